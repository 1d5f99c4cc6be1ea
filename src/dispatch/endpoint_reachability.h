// Whether the hosts of silent endpoints still accept connections, according to
// probes that the caller runs.

#ifndef SRC_DISPATCH_ENDPOINT_REACHABILITY_H_
#define SRC_DISPATCH_ENDPOINT_REACHABILITY_H_

#include <chrono>
#include <string_view>
#include <unordered_map>

#include "src/common/common.h"

namespace filbertshift {

enum class Reachability {
  kUnknown,
  // The host accepts connections; the endpoint's process may pause or hang.
  kReachable,
  // The host refuses connections or does not reply.
  kGone,
};

std::string_view ReachabilityName(Reachability value);

class EndpointReachability {
 public:
  // Whether a probe should start for an endpoint that has been silent since
  // `silent_since`. While the silence lasts, one is due each second.
  bool IsProbeDue(const EndpointId& endpoint,
                  TimePoint silent_since,
                  TimePoint now) const;
  void OnProbeStarted(const EndpointId& endpoint, TimePoint now);
  // kUnknown: the probe had no result, and the next one is due.
  void OnProbeEnded(const EndpointId& endpoint, Reachability result);
  // Result of the latest probe that started after the endpoint fell silent.
  Reachability Of(const EndpointId& endpoint, TimePoint silent_since) const;

 private:
  struct Probe {
    bool running = false;
    TimePoint started_at{};
    // Of the latest probe that had a result.
    Reachability result = Reachability::kUnknown;
    TimePoint result_started_at{};
  };
  // Invariant: holds the endpoints that were probed within kMaxAge of the
  // latest probe.
  std::unordered_map<EndpointId, Probe> probes_;
};

}  // namespace filbertshift

#endif  // SRC_DISPATCH_ENDPOINT_REACHABILITY_H_
