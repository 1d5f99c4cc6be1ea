// What the connects of this instance say about its path to the endpoints, for
// the log: whether they fail at many endpoints while none succeeds. Decides
// nothing.

#ifndef SRC_DISPATCH_CONNECT_OUTCOMES_H_
#define SRC_DISPATCH_CONNECT_OUTCOMES_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "src/fleet/fleet_documents.h"

namespace filbertshift {

// Host of an endpoint's address ("ip:port"). Several endpoints may share one;
// on the loopback interface, each port stands for a host.
std::string_view HostOf(std::string_view address);

// Connects that failed since the latest one that succeeded, at any endpoint.
struct ConnectFailures {
  std::size_t failures = 0;
  // Numbers of different ones.
  std::size_t endpoints = 0;
  std::size_t hosts = 0;
  std::size_t services = 0;
  std::size_t data_centres = 0;
  std::chrono::milliseconds since_first{0};
  // Ages; not set if there was none.
  std::optional<std::chrono::milliseconds> latest_success;
  // Of the latest byte from any endpoint, also on older connections.
  std::optional<std::chrono::milliseconds> latest_bytes;
};

struct ConnectReport {
  // Connects fail at several endpoints, and none succeeds; false: one has
  // succeeded again.
  bool failing = false;
  // Up to that success.
  ConnectFailures failures;
};

class ConnectOutcomes {
 public:
  void OnFailed(const RoutedEndpoint& endpoint, TimePoint now);
  void OnSucceeded(TimePoint now);
  void OnBytes(TimePoint now) { latest_bytes_at_ = now; }

  // A change since the last call; a new start of failures at most once a
  // second. `known` is the number of endpoints.
  std::optional<ConnectReport> TakeReport(std::size_t known, TimePoint now);
  ConnectFailures Failures(TimePoint now) const;

 private:
  // Invariant: of the failures since the latest success; at most kMaxTracked of
  // each.
  std::set<EndpointId> endpoints_;
  std::set<std::string> hosts_;
  std::set<ServiceId> services_;
  std::set<DataCentreId> data_centres_;
  std::size_t failures_ = 0;
  TimePoint first_failure_at_{};
  std::optional<TimePoint> latest_success_at_;
  std::optional<TimePoint> latest_bytes_at_;
  // These failures were reported.
  bool reported_ = false;
  // Failures that were reported and have ended, not yet taken.
  std::optional<ConnectFailures> ended_;
  std::optional<TimePoint> reported_at_;
};

}  // namespace filbertshift

#endif  // SRC_DISPATCH_CONNECT_OUTCOMES_H_
