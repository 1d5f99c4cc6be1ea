// Exchanges reports of load with other instances and fills the table of what
// the others put on endpoints. Most instances report to the reader of their
// view; readers report the sums of their instances to each other.

#ifndef SRC_GATEWAY_ENDPOINT_LOAD_EXCHANGE_H_
#define SRC_GATEWAY_ENDPOINT_LOAD_EXCHANGE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/dispatch/dispatch.h"
#include "src/gateway/endpoint_load_collector.h"
#include "src/gateway/gateway_metrics.h"
#include "src/gateway/gateway_settings.h"
#include "src/gateway/http_client.h"

namespace filbertshift {

// Path at the peer address to which reports are posted.
constexpr std::string_view kEndpointLoadPath = "/v1/endpoint-load";

// Status codes of the responses.
// The report was taken; the body is the load of the others.
constexpr int kLoadOk = 200;
// It was taken; the receiver has not collected for long enough to tell more.
constexpr int kLoadAccepted = 202;
constexpr int kLoadMalformed = 400;
// Changes to a report that the receiver does not hold.
constexpr int kLoadBaseUnknown = 409;
// It was taken; the receiver does not collect reports for others.
constexpr int kLoadNotReady = 503;

// Size of the head of a response: status line, type and length.
constexpr std::size_t kLoadResponseHeadBytes = 80;

// Beyond this interval, the table would not be renewed before it counts as
// unknown, and readers would drop reports before the next ones.
constexpr std::chrono::milliseconds kMaxLoadInterval{650};

// Peer addresses ("ip:port") of the instances that collect reports.
struct LoadReaders {
  // This instance collects reports itself.
  bool is_reader = false;
  // The reader of this instance's view; not set if it has none.
  std::optional<std::string> own;
  // All readers without this instance.
  std::vector<std::string> all;
};

class EndpointLoadExchange : public CallListener {
 public:
  // `settings.endpoint_load_interval` must not be 0.
  EndpointLoadExchange(const GatewaySettings& settings,
                       std::uint64_t incarnation,
                       Transport* transport,
                       HttpClient* client,
                       EventLog* log,
                       GatewayMetrics* metrics,
                       OwnLoadProvider* own_load,
                       EndpointLoadTable* table);
  EndpointLoadExchange(const EndpointLoadExchange&) = delete;
  EndpointLoadExchange& operator=(const EndpointLoadExchange&) = delete;

  // Sends the reports that are due. Called several times in each interval; a
  // longer time without a call means that the process was suspended.
  void Step(const LoadReaders& readers);

  struct Reply {
    int status = 200;
    std::string body;
  };
  // Handles the body of a request to kEndpointLoadPath.
  Reply Receive(const std::string& body);

  // Current interval between reports.
  std::chrono::milliseconds interval() const { return interval_; }

  HeadDecision OnHead(CallId call, const HttpResponseHead& head) override;
  void OnBody(CallId call, std::string_view data) override;
  void OnComplete(CallId call) override;
  void OnFailed(CallId call,
                CallFailure failure,
                std::string_view detail) override;

 private:
  struct Call {
    std::string address;
    LoadScope scope = LoadScope::kInstance;
    TimePoint sent_at{};
    std::size_t request_bytes = 0;
    TimerId timeout{};
    int status = 0;
    std::string body;
    // What the peer holds once it has accepted the message.
    std::uint64_t sequence = 0;
    LoadReport sent;
  };
  struct Peer {
    bool busy = false;
    // Nothing is sent before these times.
    TimePoint next_at{};
    TimePoint retry_at{};
    // It collects reports, but not for long enough to give a table.
    bool takes_reports = false;
    // Calls in succession that gave no table.
    int failures = 0;
    // Of calls that were rejected and repeated.
    std::size_t uncounted_bytes = 0;
    // Number of the latest message, the latest one that the peer has accepted
    // (0 if that is not known) and what it holds since.
    std::uint64_t last_sequence = 0;
    std::uint64_t sent_sequence = 0;
    LoadReport sent;
    // The same for the peer's responses.
    std::uint64_t received_sequence = 0;
    std::uint64_t incarnation = 0;
    LoadReport received;
  };
  // What an instance that reports to this one holds of its responses.
  struct Client {
    TimePoint latest_at{};
    std::uint64_t sequence = 0;
    LoadReport held;
  };

  // Notices a suspension, after which the collected reports are out of date.
  void CheckSuspension(bool is_reader, TimePoint now);
  // Whether the collected reports are complete enough to decide by.
  bool CanServe(TimePoint now) const;
  // Whether they will be.
  bool IsCollecting() const;
  // `calls` in each interval.
  void UpdateInterval(double calls);
  std::optional<std::string> SelectReader(const LoadReaders& readers,
                                          TimePoint now) const;
  // Exchanges with the other readers and fills the own table.
  void StepAsReader(const LoadReaders& readers, TimePoint now);
  void Post(const std::string& address, LoadScope scope, LoadReport report);
  LoadMessage MessageOf(LoadScope scope) const;
  // Returns false if it is malformed.
  bool TakeReply(const Call& call);
  void SetTable(LoadReport report,
                std::chrono::milliseconds oldest,
                std::chrono::milliseconds delay);
  void Reject(std::string_view peer, std::string_view detail);
  void ReportState(TimePoint now);
  // Ends the call. `retry_delay`: how long the peer is left alone.
  void End(CallId call, std::chrono::milliseconds retry_delay);

  const GatewaySettings settings_;
  const std::uint64_t incarnation_;
  Transport* const transport_;
  HttpClient* const client_;
  EventLog* const log_;
  GatewayMetrics* const metrics_;
  OwnLoadProvider* const own_load_;
  EndpointLoadTable* const table_;
  const double tolerance_;
  EndpointLoadCollector collector_;
  std::map<std::string, Peer> peers_;
  std::map<std::uint64_t, Call> calls_;
  std::map<InstanceId, Client> clients_;
  std::chrono::milliseconds interval_;
  // Bytes of a call with its response.
  MovingAverage call_bytes_{0.1};
  // When an instance that is no reader sends its next report.
  TimePoint next_report_{};
  // The same over all peers.
  int failures_ = 0;
  TimePoint next_table_{};
  // Since when this instance has collected reports without interruption; not
  // set while it does not.
  std::optional<TimePoint> collecting_since_;
  TimePoint last_step_{};
  bool was_current_ = false;
  TimePoint next_rejection_log_{};
};

}  // namespace filbertshift

#endif  // SRC_GATEWAY_ENDPOINT_LOAD_EXCHANGE_H_
