// Registry of the endpoints known to this instance; selects the endpoint for
// each attempt.

#ifndef SRC_ROUTING_ENDPOINT_REGISTRY_H_
#define SRC_ROUTING_ENDPOINT_REGISTRY_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/config/config.h"
#include "src/ports/ports.h"
#include "src/routing/endpoint_health.h"
#include "src/routing/endpoint_index.h"
#include "src/routing/endpoint_load.h"
#include "src/routing/endpoint_share.h"
#include "src/routing/share_plan.h"

namespace filbertshift {

// Selection policy; all but kCostAware are baselines for comparison.
enum class ChoicePolicy { kCostAware, kLeastOutstanding, kRoundRobin };

struct EndpointRegistryOptions {
  DataCentreId own_data_centre;
  int seat = -1;
  ChoicePolicy policy = ChoicePolicy::kCostAware;
  // An older probe does not verify the uptime of an endpoint. A probe without a
  // result for this time is sent again, so the probe timeout must be shorter.
  std::chrono::milliseconds max_probe_age{5000};
  // After a change of seats or limits the smaller of the old and new share
  // applies for this time, within which the change reaches every instance.
  std::chrono::milliseconds share_transition{13000};
  // Added to the expected delay of endpoints in other data centres.
  std::chrono::milliseconds remote_penalty{5};
  DelayModel delays;
};

struct EndpointQuery {
  EndpointKind kind = EndpointKind::kModelEngine;
  ModelId model;
  VersionId version;
  ServiceId service;
  // Endpoints on which this request has already failed.
  std::set<EndpointId> excluded;
  // Hash of the leading part of the prompt; 0 if there is none.
  std::uint64_t prefix_hash = 0;
  double prompt_tokens = 0;
  // The request is a crash suspect: only endpoints where it is this seat's turn
  // and no other suspect is running.
  bool suspect = false;
  // Number of the current turn. Turns at an endpoint rotate through the seats
  // in rendezvous order, so that two instances do not start suspects on it at
  // the same time and every instance eventually gets an endpoint for its
  // suspects.
  std::uint64_t suspect_turn = 0;
};

struct EndpointChoice {
  EndpointId endpoint;
  std::string address;
  // Unknown while the endpoint is not verified; the cold-start share then
  // applies, which is safe for any incarnation.
  Incarnation incarnation;
};

// State of one endpoint as shown to operators.
struct EndpointView {
  EndpointRecord record;
  Incarnation incarnation;
  std::chrono::milliseconds uptime{0};
  bool verified = false;
  bool suspected = false;
  bool draining = false;
  // Has asked for no attempts for a while.
  bool paused = false;
  int share = 0;
  int in_flight = 0;
  // As last reported by the endpoint.
  int running = 0;
  int waiting = 0;
};

class EndpointRegistry {
 public:
  EndpointRegistry(EndpointRegistryOptions options, EventLog& log);

  // Revisions must be applied in order, or two instances could use shares of
  // revisions whose transitions do not overlap. An instance that may have
  // missed revisions, because it has just started or skipped some, passes the
  // age of the newest change of seats or limits as `missed_change_age`; its
  // shares are 0 until that change has reached every instance.
  void ApplyConfiguration(const Configuration& configuration,
                          TimePoint now,
                          std::optional<std::chrono::milliseconds>
                              missed_change_age = std::nullopt);

  struct ListChange {
    std::vector<EndpointRecord> added;
    std::vector<EndpointId> removed;
  };
  // An endpoint that is missing from the list drains and is removed once it has
  // no attempt in flight.
  ListChange ApplyInstanceList(const std::vector<EndpointRecord>& endpoints,
                               TimePoint now);

  // Returns true if the probe shows a restart of the endpoint; the samples of
  // the failure detector must then be cleared as well. A failed probe marks the
  // endpoint as suspected. Results for unknown endpoints are ignored.
  bool OnProbe(const ProbeResult& probe, TimePoint now);
  // The uptime counts as 0 until a probe that is sent after this call succeeds.
  void OnConnectionLost(const EndpointId& endpoint);
  void Suspect(const EndpointId& endpoint, const std::string& reason);
  // The endpoint has asked for no attempts until then; a new incarnation has
  // not. Returns whether this begins a pause.
  bool Pause(const EndpointId& endpoint,
             Incarnation incarnation,
             TimePoint until,
             TimePoint now);

  // Selects an endpoint for an attempt without reserving it; std::nullopt if no
  // endpoint has free capacity in its share.
  std::optional<EndpointChoice> Choose(const EndpointQuery& query,
                                       TimePoint now);
  // Counts the attempt against the share until Release. Throws std::logic_error
  // if the share is exhausted, another suspect is running, the endpoint is
  // unknown or the attempt is already reserved; each such case is counted and
  // logged as kInvariantViolated.
  void Reserve(const EndpointId& endpoint,
               const AttemptId& attempt,
               Fingerprint fingerprint,
               const EndpointQuery& query,
               TimePoint now);
  // Removes the prompt, which has been processed, from the outstanding work.
  void OnFirstToken(const AttemptId& attempt);
  // No effect for an unknown attempt.
  void Release(const AttemptId& attempt);

  // Returns the fingerprints of the attempts in flight on the endpoint.
  std::vector<Fingerprint> InFlight(const EndpointId& endpoint) const;
  // Returns the endpoints whose next probe is due and marks their probes as
  // sent. Endpoints in which this seat has no share and no attempt in flight
  // are not probed, so that the number of probes does not grow with the number
  // of instances.
  std::vector<EndpointChoice> DueProbes(TimePoint now,
                                        std::chrono::milliseconds interval);
  // Returns true if any endpoint could serve the query now or later. Busy and
  // suspected endpoints and those with a cold-start share of 0 count as well:
  // attempts end, probes succeed and shares grow while a request waits.
  bool HasCandidate(const EndpointQuery& query) const;
  std::vector<EndpointView> Views(TimePoint now) const;
  // Number of violations detected by Reserve since the process started.
  std::uint64_t invariant_violations() const { return violations_; }

 private:
  struct Attempt {
    EndpointId endpoint;
    Fingerprint fingerprint{};
    bool suspect = false;
    // Not yet processed; 0 after OnFirstToken.
    double prompt_tokens = 0;
  };
  struct Endpoint {
    EndpointRecord record;
    // Contained in the latest instance list.
    bool listed = true;
    bool data_centre_open = false;
    // The version is configured and not withdrawn, or the service is
    // configured.
    bool configured = false;
    // Previous state, to log transitions only.
    bool draining = false;
    EndpointShare share;
    EndpointHealth health;
    EndpointLoad load;
    TimePoint paused_until{};
  };
  struct PastPlan {
    SharePlan plan;
    TimePoint until;
  };
  using Slots = std::vector<EndpointSlot>;

  // Both return nullptr for an unknown endpoint.
  Endpoint* Find(const EndpointId& endpoint);
  const Endpoint* Find(const EndpointId& endpoint) const;

  // Endpoint state from the configuration and the instance list.
  void AddEndpoint(const EndpointRecord& record, TimePoint now);
  void UpdateEndpoint(Endpoint* endpoint,
                      const EndpointRecord& record,
                      TimePoint now);
  std::vector<EndpointId> RemoveUnlisted();
  void RemoveSlot(EndpointSlot slot);
  void SuspendShares(TimePoint until);
  void AddPastPlan(Endpoint* endpoint, const PastPlan& past);
  // With `same_seats` the rank of the current allocation is reused.
  void ApplyPlan(Endpoint* endpoint, bool same_seats, TimePoint now);
  // With `returning`, an endpoint warms up again if its data centre reopens.
  void ApplyConfigurationTo(Endpoint* endpoint, bool returning);
  bool IsConfigured(const EndpointRecord& record) const;
  void LogDraining(Endpoint* endpoint);
  void RebuildIndex();
  void RefreshShares(TimePoint now);

  // Checks whether an endpoint can take an attempt.
  static bool IsDraining(const Endpoint& endpoint);
  static bool AcceptsAttempts(const Endpoint& endpoint);
  int ShareOf(const Endpoint& endpoint, TimePoint now) const;
  bool CanStart(const Endpoint& endpoint, TimePoint now) const;
  bool CanStartSuspect(const Endpoint& endpoint,
                       const EndpointQuery& query,
                       TimePoint now) const;

  // Endpoint selection.
  Slots CandidatesFor(const EndpointQuery& query,
                      EndpointGroup* group,
                      TimePoint now);
  Slots SuspectCandidates(const EndpointQuery& query,
                          const EndpointGroup& group,
                          TimePoint now) const;
  Slots RoundRobinCandidate(const EndpointQuery& query,
                            EndpointGroup* group,
                            TimePoint now);
  Slots Sample(const EndpointQuery& query, EndpointGroup* group, TimePoint now);
  std::optional<EndpointSlot> PrefixEndpoint(const EndpointQuery& query,
                                             const EndpointGroup& group,
                                             TimePoint now) const;
  double ScoreOf(const Endpoint& endpoint,
                 const EndpointQuery& query,
                 bool hashed,
                 TimePoint now) const;
  EndpointChoice ChoiceOf(const Endpoint& endpoint, TimePoint now) const;
  [[noreturn]] void RefuseReservation(const EndpointId& endpoint,
                                      const AttemptId& attempt,
                                      const std::string& reason);

  const EndpointRegistryOptions options_;
  EventLog& log_;
  // Seeded from the seat for reproducible choices.
  SystemRandom random_;
  Configuration configuration_;
  bool has_plan_ = false;
  SharePlan plan_;
  // Plans that other instances may still use.
  std::vector<PastPlan> past_plans_;
  // Earliest expiry of a past allocation of any endpoint.
  TimePoint next_share_change_ = TimePoint::max();

  std::vector<Endpoint> endpoints_;
  // Invariant: maps each endpoint to its index in endpoints_.
  std::unordered_map<EndpointId, EndpointSlot> slots_;
  EndpointIndex index_;
  // Invariant: the endpoint of each attempt is in endpoints_.
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::uint64_t violations_ = 0;
};

}  // namespace filbertshift

#endif  // SRC_ROUTING_ENDPOINT_REGISTRY_H_
