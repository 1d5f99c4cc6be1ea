// State of a caller's request from its arrival to the end of its response.

#ifndef SRC_GATEWAY_EXCHANGE_H_
#define SRC_GATEWAY_EXCHANGE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/dispatch/dispatch.h"
#include "src/gateway/caller_server.h"
#include "src/gateway/gateway_ports.h"
#include "src/gateway/http_client.h"
#include "src/handover/handover.h"
#include "src/net/net.h"

namespace filbertshift {

// Number of event blocks at which the pace of a stream is measured if it has
// not ended before.
constexpr int kMaxPaceBlocks = 16;

// One attempt to run a request at an endpoint.
struct EndpointAttempt {
  CallId call{};
  CallConnection connection;
  // Set if the request was handed over to this instance; what concerns the
  // endpoint, its version and its times is not set then.
  std::optional<HandoverPeer> peer;
  // Runs that the attempt may end with.
  int granted_runs = 1;
  // Counted as a repeat in the shared budget.
  bool is_repeat = false;
  EndpointId endpoint;
  EndpointIncarnation incarnation;
  std::string address;
  VersionId version;
  ModelId model;
  DataCentreId data_centre;
  WorkEstimate work;
  TimePoint started_at{};
  // When the response last advanced; `started_at` before its head. A few bytes,
  // or events without content, do not advance it.
  TimePoint progress_at{};
  // Bytes of a response that is not streamed, since it last advanced.
  std::size_t bytes_since_progress = 0;
  TimePoint first_byte_at{};
  // Started in a load test, whose times are no measure of the version.
  bool in_load_test = false;
  bool head_seen = false;
  HttpResponseHead head;
  ResponseMetadata response_metadata;
  // The response carries the id of this request.
  bool names_request = false;
  // The response can only be to this request: it carries the id, or nothing
  // else was on its connection.
  bool own_response = false;
  // The response has arrived whole.
  bool complete = false;
  // Whether bytes of the request may have been sent; set when the call ends.
  std::optional<bool> sent;
  // Of the body of the response.
  std::size_t received_bytes = 0;
  // Body of a response that is not streamed.
  std::string body;
  EventSplitter events;
  int event_blocks = 0;
  TimePoint first_block_at{};
  // The quarantine knows that the request was answered.
  bool answer_reported = false;
};

struct Exchange {
  ConnectionId caller{};
  // Server of the caller's connection.
  CallerServer* server = nullptr;
  // The caller is another instance, which has handed the request over.
  bool handed_over = false;
  // Sends and runs elsewhere before this instance got the request.
  int sends_before = 0;
  int runs_before = 0;
  HttpRequestHead head;
  // Shared with the attempts that send it.
  std::shared_ptr<const std::string> body;
  RequestMetadata metadata;
  // Keeps `route` alive while the configuration changes.
  std::shared_ptr<const FleetConfiguration> configuration;
  const Route* route = nullptr;
  ServiceId service;
  AccountId account;
  std::optional<int> urgency;
  // Requests with the same session keep their version.
  std::string session;
  std::uint64_t affinity = 0;
  // Of the request's id.
  std::uint64_t request_hash = 0;
  // Why the endpoint chosen last is in another data centre.
  RemoteReason remote_reason = RemoteReason::kLocal;
  TimePoint arrived_at{};
  // The earlier of the caller's deadline and the route's timeout.
  TimePoint deadline{};
  TimerId deadline_timer{};
  TimerId dispatch_timer{};

  // Start of the current wait for an available endpoint.
  std::optional<TimePoint> waiting_since;
  std::optional<EndpointAttempt> attempt;
  std::vector<EndpointId> tried;
  // Instances to which it was handed over.
  std::vector<InstanceId> tried_peers;
  // Number of attempts, of those sent to an endpoint, and of those that may
  // have run there.
  int attempts = 0;
  int sends = 0;
  int runs = 0;
  // Value of `runs` with which a repeatable request is given up.
  int max_runs = 1;
  // Attempts that endpoints refused as not run, for whatever reason.
  int refusals = 0;
  // Model of the latest attempt, and the confidence of the first response (-1
  // if not reported).
  ModelId model;
  int confidence = -1;
  // Invariant: set once the response head was sent to the caller.
  bool response_started = false;
  // Media type of a stream that has begun; empty if its head names none.
  std::string stream_type;
  // When the first and latest events were sent to the caller, and the longest
  // pause between two sends.
  TimePoint first_delivery_at{};
  TimePoint latest_delivery_at{};
  std::chrono::milliseconds longest_pause{0};
  // Event after which the stream resumes; initially the caller's Last-Event-Id.
  std::optional<std::string> last_event_id;
  // Latest error response of an endpoint, forwarded if no other endpoint
  // succeeds.
  std::optional<HttpResponseHead> failure_head;
  std::string failure_body;
  // Set if all endpoints are paused: when the caller may try again.
  std::optional<std::chrono::milliseconds> retry_after;
  // Why the latest attempt ended without a response, for the log.
  std::string failure_detail;
  CrashProfile crash_profile;
  // Attempts whose connection ended before the request was answered, and those
  // of them that ended with a crash of the endpoint.
  int early_breaks = 0;
  int crashes = 0;
  // Breaks of which it is not known yet whether the endpoint has crashed.
  int pending_probes = 0;
  // The repeat waits until that is known of all of them.
  bool awaits_probes = false;
  // Admitted by the quarantine; reset when an attempt breaks early.
  bool admitted = false;
  // Set while the request waits in the admission queue of its service.
  std::optional<TimePoint> admission_wait_since;
  // Admission control has let it pass; it is not asked again before an endpoint
  // has rejected the request.
  bool may_send = false;
  // Endpoints that rejected it because of their load.
  int rejections = 0;
  // Why this instance ended the request itself, for the log.
  std::string end_cause;
};

}  // namespace filbertshift

#endif  // SRC_GATEWAY_EXCHANGE_H_
