// What this instance knows of the endpoints, and the choice of one for an
// attempt.

#ifndef SRC_ROUTING_ENDPOINT_REGISTRY_H_
#define SRC_ROUTING_ENDPOINT_REGISTRY_H_

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/config/config.h"
#include "src/ports/ports.h"

namespace filbertshift {

// How endpoints are chosen; all but kCostAware are baselines.
enum class ChoicePolicy { kCostAware, kLeastOutstanding, kRoundRobin };

struct EndpointRegistryOptions {
  DataCentreId own_data_centre;
  int seat = -1;
  ChoicePolicy policy = ChoicePolicy::kCostAware;
  // A probe older than this does not count for the uptime of an endpoint.
  std::chrono::milliseconds max_probe_age{5000};
  // After a change of seats or limits the smaller of old and new share holds
  // for this time, in which the change reaches every instance.
  std::chrono::milliseconds share_transition{13000};
  // Cost of another data centre, as expected delay.
  std::chrono::milliseconds remote_penalty{5};
};

struct EndpointQuery {
  EndpointKind kind = EndpointKind::kModelEngine;
  ModelId model;
  VersionId version;
  ServiceId service;
  // Endpoints that already failed this request.
  std::set<EndpointId> excluded;
  // Hash of the leading part of the prompt; 0 if there is none.
  std::uint64_t prefix_hash = 0;
  double prompt_tokens = 0;
  // The request is a crash suspect: only endpoints where this seat has the
  // first rank and no other suspect runs.
  bool suspect = false;
};

struct EndpointChoice {
  EndpointId endpoint;
  std::string address;
  Incarnation incarnation;
};

// State of one endpoint for operators.
struct EndpointView {
  EndpointRecord record;
  Incarnation incarnation;
  std::chrono::milliseconds uptime{0};
  bool verified = false;
  bool suspected = false;
  bool draining = false;
  int share = 0;
  int in_flight = 0;
  // As last reported by the endpoint.
  int running = 0;
  int waiting = 0;
};

class EndpointRegistry {
 public:
  EndpointRegistry(EndpointRegistryOptions options, EventLog& log);

  void ApplyConfiguration(const Configuration& configuration, TimePoint now);

  struct ListChange {
    std::vector<EndpointRecord> added;
    std::vector<EndpointId> removed;
  };
  // An endpoint that is missing from the list is removed once it has no
  // attempt in flight; until then it is draining.
  ListChange ApplyInstanceList(const std::vector<EndpointRecord>& endpoints,
                               TimePoint now);

  // True if the probe shows a restart of the endpoint.
  bool OnProbe(const ProbeResult& probe, TimePoint now);
  // The next attempt needs a fresh probe.
  void OnConnectionLost(const EndpointId& endpoint);
  void Suspect(const EndpointId& endpoint, const std::string& reason);

  // The endpoint for an attempt, or nothing if no share is free. Does not
  // reserve.
  std::optional<EndpointChoice> Choose(const EndpointQuery& query,
                                       TimePoint now);
  // Counts the attempt against the share until Release. Asserts that the share
  // is not exceeded.
  void Reserve(const EndpointId& endpoint,
               const AttemptId& attempt,
               Fingerprint fingerprint,
               const EndpointQuery& query,
               TimePoint now);
  void Release(const AttemptId& attempt);

  // Fingerprints of the attempts in flight on the endpoint.
  std::vector<Fingerprint> InFlight(const EndpointId& endpoint) const;
  // Endpoints whose next probe is due.
  std::vector<EndpointChoice> DueProbes(TimePoint now,
                                        std::chrono::milliseconds interval);
  // True if any endpoint, busy or not, could serve the query now or after its
  // present attempts.
  bool HasCandidate(const EndpointQuery& query) const;
  std::vector<EndpointView> Views(TimePoint now) const;

 private:
  struct Attempt {
    EndpointId endpoint;
    Fingerprint fingerprint{};
    bool suspect = false;
    double prompt_tokens = 0;
  };
  struct Endpoint;

  const EndpointRegistryOptions options_;
  EventLog& log_;
  Configuration configuration_;
  std::map<EndpointId, Endpoint> endpoints_;
  // Invariant: each attempt's endpoint is in endpoints_.
  std::map<AttemptId, Attempt> attempts_;
  std::uint64_t round_robin_ = 0;
};

}  // namespace filbertshift

#endif  // SRC_ROUTING_ENDPOINT_REGISTRY_H_
