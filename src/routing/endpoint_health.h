// Health of one endpoint as derived from probes and connection events: its
// incarnation, its verified uptime and whether it is suspected.

#ifndef SRC_ROUTING_ENDPOINT_HEALTH_H_
#define SRC_ROUTING_ENDPOINT_HEALTH_H_

#include <chrono>

#include "src/ports/ports.h"

namespace filbertshift {

class EndpointHealth {
 public:
  struct Change {
    bool restarted = false;
    bool suspected = false;
    bool trusted = false;
  };

  // A failed probe marks the endpoint as suspected. A probe that was sent
  // before the last suspicion or connection loss is used to detect a restart
  // only.
  Change OnProbe(const ProbeResult& probe, TimePoint now);
  void OnConnectionLost();
  // Returns true if the endpoint was not suspected before.
  bool Suspect();
  // Restarts the warm-up of an endpoint that returns to service: its uptime is
  // counted from the next probe on.
  void RestartWarmUp();

  bool ProbeDue(TimePoint now,
                std::chrono::milliseconds interval,
                std::chrono::milliseconds resend_after) const;
  void OnProbeRequested(TimePoint now);

  // True while the last probe is valid and not older than `max_probe_age`.
  bool IsVerified(TimePoint now, std::chrono::milliseconds max_probe_age) const;
  // Uptime at the last probe, not extrapolated; 0 if not verified.
  std::chrono::milliseconds Uptime(
      TimePoint now,
      std::chrono::milliseconds max_probe_age) const;
  bool suspected() const { return suspected_; }
  Incarnation incarnation() const { return incarnation_; }

 private:
  void InvalidateProbes();

  // Last known incarnation, even if no longer verified.
  Incarnation incarnation_;
  std::chrono::milliseconds uptime_{0};
  // Uptime at which the warm-up started.
  std::chrono::milliseconds warm_up_start_{0};
  // The next probe sets warm_up_start_; until then the uptime counts as 0.
  bool warm_up_pending_ = false;
  TimePoint probed_at_;
  bool verified_ = false;
  bool suspected_ = false;

  TimePoint probe_sent_;
  bool probe_outstanding_ = false;
  // The outstanding probe was sent before the last suspicion or connection
  // loss.
  bool probe_outdated_ = false;
  // The next probe is due immediately, regardless of the interval.
  bool probe_wanted_ = true;
};

}  // namespace filbertshift

#endif  // SRC_ROUTING_ENDPOINT_HEALTH_H_
