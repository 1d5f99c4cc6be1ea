// One request of a caller, from its arrival to the end of its answer.

#ifndef SRC_GATEWAY_EXCHANGE_H_
#define SRC_GATEWAY_EXCHANGE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/dispatch/dispatch.h"
#include "src/gateway/gateway_ports.h"
#include "src/gateway/http_client.h"
#include "src/net/net.h"

namespace filbertshift {

// One run of a request at one endpoint.
struct EndpointAttempt {
  CallId call{};
  EndpointId endpoint;
  VersionId version;
  ModelId model;
  WorkEstimate work;
  TimePoint started_at{};
  // Time of the latest bytes, or of the start.
  TimePoint progress_at{};
  TimePoint first_byte_at{};
  bool head_seen = false;
  HttpResponseHead head;
  AnswerMetadata answer;
  // Body of an answer that is delivered as a whole.
  std::string body;
  EventSplitter events;
  int event_blocks = 0;
};

struct Exchange {
  ConnectionId caller{};
  HttpRequestHead head;
  std::string body;
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
  TimePoint arrived_at{};
  // The earlier of the caller's deadline and the route's timeout.
  TimePoint deadline{};
  TimerId deadline_timer{};
  TimerId dispatch_timer{};

  // Since when no endpoint was to be had.
  std::optional<TimePoint> waiting_since;
  std::optional<EndpointAttempt> attempt;
  std::vector<EndpointId> tried;
  // Attempts, those of them that reached an endpoint, and those that may have
  // run.
  int attempts = 0;
  int sends = 0;
  int runs = 0;
  // Model of the latest attempt, and how sure the first answer was; -1 if it
  // did not say.
  ModelId model;
  int confidence = -1;
  // Invariant: set once a byte of the answer's head went to the caller.
  bool answer_begun = false;
  // Times of the first and the latest bytes for the caller, and the longest
  // pause between two pieces.
  TimePoint first_delivery_at{};
  TimePoint latest_delivery_at{};
  std::chrono::milliseconds longest_pause{0};
  // Event after which the stream goes on; the caller's own at first.
  std::optional<std::string> last_event_id;
  // The endpoint's own failure, delivered if no other endpoint answers.
  std::optional<HttpResponseHead> failure_head;
  std::string failure_body;
  // Why the latest attempt ended without an answer, for the log.
  std::string trouble;
};

}  // namespace filbertshift

#endif  // SRC_GATEWAY_EXCHANGE_H_
