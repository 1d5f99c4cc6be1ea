// What probes and connections tell about one endpoint: its incarnation, its
// proven uptime and whether it is suspected.

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

  // A failed probe suspects the endpoint. A probe that was sent before the last
  // suspicion or loss of connection proves nothing but a restart.
  Change OnProbe(const ProbeResult& probe, TimePoint now);
  void OnConnectionLost();
  // True if the endpoint was not suspected before.
  bool Suspect();
  // The endpoint was out of use and returns: its uptime counts from the next
  // probe on.
  void RestartWarmUp();

  bool ProbeDue(TimePoint now,
                std::chrono::milliseconds interval,
                std::chrono::milliseconds lost_after) const;
  void OnProbeRequested(TimePoint now);

  // True while the last probe counts.
  bool IsVerified(TimePoint now, std::chrono::milliseconds max_probe_age) const;
  // As of the last probe, never extrapolated; 0 if that does not count.
  std::chrono::milliseconds Uptime(
      TimePoint now,
      std::chrono::milliseconds max_probe_age) const;
  bool suspected() const { return suspected_; }
  Incarnation incarnation() const { return incarnation_; }

 private:
  void Doubt();

  // The last one known, also when it is no longer verified.
  Incarnation incarnation_;
  std::chrono::milliseconds uptime_{0};
  // Uptime from which the warm-up counts.
  std::chrono::milliseconds warm_up_start_{0};
  // The next probe sets warm_up_start_; until then the uptime counts as 0.
  bool warm_up_pending_ = false;
  TimePoint probed_at_;
  bool verified_ = false;
  bool suspected_ = false;

  TimePoint probe_sent_;
  bool probe_outstanding_ = false;
  // The outstanding probe was sent before the last suspicion or loss of
  // connection.
  bool probe_outdated_ = false;
  // A probe is due without waiting for the interval.
  bool probe_wanted_ = true;
};

}  // namespace filbertshift

#endif  // SRC_ROUTING_ENDPOINT_HEALTH_H_
