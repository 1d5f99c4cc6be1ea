// Whether this instance reaches any endpoint at all. Rests on the outcome of
// connects alone: an endpoint may answer late or not at all for many reasons,
// and connections that are open may outlive the path on which they were opened.

#ifndef SRC_HANDOVER_ENDPOINT_CONTACT_H_
#define SRC_HANDOVER_ENDPOINT_CONTACT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

// An endpoint that should accept connections.
struct ContactTarget {
  EndpointId endpoint;
  // Address without the port.
  std::string host;
  ServiceId service;
  DataCentreId data_centre;
};

class EndpointContact {
 public:
  explicit EndpointContact(DataCentreId own = DataCentreId())
      : own_(std::move(own)) {}

  // All targets; none means that nothing is known, and never a loss of contact.
  void SetTargets(std::vector<ContactTarget> targets);

  // Outcome of a connect, for a request or as a probe.
  void OnConnectFailed(const EndpointId& endpoint, TimePoint now);
  void OnConnected(const EndpointId& endpoint, TimePoint now);
  // Bytes of an endpoint arrived, on any connection.
  void OnBytes(TimePoint now) { latest_bytes_at_ = now; }

  // Whether probes may be due; if not, SetTargets() and TakeDueProbes() need
  // not be called. `waiting_since`: when the oldest attempt in progress began
  // to wait for its endpoint; not set if none is.
  bool NeedsProbes(std::optional<TimePoint> waiting_since, TimePoint now) const;
  // Targets that should be probed now. The caller reports the outcome of each,
  // or OnProbeAbandoned(), within about a second.
  std::vector<EndpointId> TakeDueProbes(std::optional<TimePoint> waiting_since,
                                        TimePoint now);
  void OnProbeAbandoned(const EndpointId& endpoint);

  // No endpoint can be reached.
  bool stranded() const { return stranded_at_.has_value(); }
  // Connects have failed lately and none has succeeded since: it is open who is
  // at fault.
  bool IsInDoubt(TimePoint now) const;
  // In doubt on account of several hosts: a request that is sent now will
  // probably fail.
  bool IsProbablyLost(TimePoint now) const;
  // Hosts at which connects have failed, for the log.
  std::string Describe() const;

 private:
  const ContactTarget* Find(const EndpointId& endpoint) const;
  void Forget(TimePoint now);
  void Evaluate(TimePoint now);
  // How much a probe of the target adds to what is covered: the own data
  // centre first, then other services, data centres and hosts.
  int GainOf(const ContactTarget& target,
             const std::set<EndpointId>& covered) const;

  // Data centre of this instance; empty if unknown.
  const DataCentreId own_;
  // Ordered by endpoint id.
  std::vector<ContactTarget> targets_;
  struct Failure {
    TimePoint at{};
    // The endpoint was probed: it was chosen to find one that is reached.
    bool by_probe = false;
  };
  // Latest failure of each endpoint. Invariant: while in contact, none is older
  // than the latest success.
  std::map<EndpointId, Failure> failures_;
  // How often endpoints have accepted a connection since contact was lost,
  // without a failure in between.
  std::map<EndpointId, int> successes_;
  // When endpoints last accepted a connection.
  std::map<EndpointId, TimePoint> accepted_at_;
  std::map<EndpointId, TimePoint> probing_since_;
  // Latest probe of each endpoint.
  std::map<EndpointId, TimePoint> probed_at_;
  TimePoint latest_success_at_{};
  TimePoint latest_bytes_at_{};
  // While in doubt, and otherwise.
  TimePoint next_probe_at_{};
  TimePoint next_silence_probe_at_{};
  std::uint64_t probe_round_ = 0;
  std::optional<TimePoint> stranded_at_;
};

}  // namespace filbertshift

#endif  // SRC_HANDOVER_ENDPOINT_CONTACT_H_
