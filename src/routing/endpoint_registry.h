// What this instance knows of the endpoints, and the choice of one for an
// attempt.

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

// How endpoints are chosen; all but kCostAware are baselines.
enum class ChoicePolicy { kCostAware, kLeastOutstanding, kRoundRobin };

struct EndpointRegistryOptions {
  DataCentreId own_data_centre;
  int seat = -1;
  ChoicePolicy policy = ChoicePolicy::kCostAware;
  // A probe older than this does not count for the uptime of an endpoint. A
  // probe without a result for this time is sent again; the timeout of probes
  // must be shorter.
  std::chrono::milliseconds max_probe_age{5000};
  // After a change of seats or limits the smaller of old and new share holds
  // for this time, in which the change reaches every instance.
  std::chrono::milliseconds share_transition{13000};
  // Cost of another data centre, as expected delay.
  std::chrono::milliseconds remote_penalty{5};
  DelayModel delays;
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
  // The request is a crash suspect: only endpoints where this seat has its turn
  // and no other suspect runs.
  bool suspect = false;
  // Number of the present turn. The turn at an endpoint passes from seat to
  // seat in rendezvous order, so that two instances do not start suspects on it
  // at the same time and no instance is left without an endpoint for them.
  std::uint64_t suspect_turn = 0;
};

struct EndpointChoice {
  EndpointId endpoint;
  std::string address;
  // Unknown while the endpoint is not verified; it then has its cold share,
  // which any incarnation can bear.
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

  // Every revision is to be applied in order, or two instances could use shares
  // of revisions that do not overlap. If this instance may have missed some, at
  // its start or because it skipped revisions, `missed_change_age` is the age
  // of the newest change of seats or limits; the instance has no share until
  // that change has spread everywhere.
  void ApplyConfiguration(const Configuration& configuration,
                          TimePoint now,
                          std::optional<std::chrono::milliseconds>
                              missed_change_age = std::nullopt);

  struct ListChange {
    std::vector<EndpointRecord> added;
    std::vector<EndpointId> removed;
  };
  // An endpoint that is missing from the list is removed once it has no
  // attempt in flight; until then it is draining.
  ListChange ApplyInstanceList(const std::vector<EndpointRecord>& endpoints,
                               TimePoint now);

  // True if the probe shows a restart of the endpoint; the caller then also
  // drops the samples of the failure detector. A failed probe suspects the
  // endpoint. Results for unknown endpoints are ignored.
  bool OnProbe(const ProbeResult& probe, TimePoint now);
  // The next attempt needs a fresh probe.
  void OnConnectionLost(const EndpointId& endpoint);
  void Suspect(const EndpointId& endpoint, const std::string& reason);

  // The endpoint for an attempt, or nothing if no share is free. Does not
  // reserve.
  std::optional<EndpointChoice> Choose(const EndpointQuery& query,
                                       TimePoint now);
  // Counts the attempt against the share until Release. An attempt beyond the
  // share, or a second suspect at a time, is logged as kInvariantViolated,
  // counted, and refused with std::logic_error; so is an unknown endpoint or an
  // attempt that is already reserved.
  void Reserve(const EndpointId& endpoint,
               const AttemptId& attempt,
               Fingerprint fingerprint,
               const EndpointQuery& query,
               TimePoint now);
  // The prompt has been processed; it no longer counts as outstanding work.
  void OnFirstToken(const AttemptId& attempt);
  // No effect for an unknown attempt.
  void Release(const AttemptId& attempt);

  // Fingerprints of the attempts in flight on the endpoint.
  std::vector<Fingerprint> InFlight(const EndpointId& endpoint) const;
  // Endpoints whose next probe is due; each counts as sent. Endpoints in which
  // this seat has no part are not probed, so that the number of probes does not
  // grow with the number of instances.
  std::vector<EndpointChoice> DueProbes(TimePoint now,
                                        std::chrono::milliseconds interval);
  // True if any endpoint could serve the query now or later: also one that is
  // busy, is suspected or has a cold share of 0, because attempts end, probes
  // succeed and shares grow while a request waits.
  bool HasCandidate(const EndpointQuery& query) const;
  std::vector<EndpointView> Views(TimePoint now) const;
  // Violations found by Reserve since the start.
  std::uint64_t invariant_violations() const { return violations_; }

 private:
  struct Attempt {
    EndpointId endpoint;
    Fingerprint fingerprint{};
    bool suspect = false;
    // Not yet processed, as far as known.
    double prompt_tokens = 0;
  };
  struct Endpoint {
    EndpointRecord record;
    // In the latest instance list.
    bool listed = true;
    bool data_centre_open = false;
    // The version is configured and not withdrawn, or the service is
    // configured.
    bool configured = false;
    // As last logged.
    bool draining = false;
    EndpointShare share;
    EndpointHealth health;
    EndpointLoad load;
  };
  struct PastPlan {
    SharePlan plan;
    TimePoint until;
  };
  using Slots = std::vector<EndpointSlot>;

  // Both return nullptr for an unknown endpoint.
  Endpoint* Find(const EndpointId& endpoint);
  const Endpoint* Find(const EndpointId& endpoint) const;

  // Endpoints and their standing in configuration and list.
  void AddEndpoint(const EndpointRecord& record, TimePoint now);
  void UpdateEndpoint(Endpoint* endpoint,
                      const EndpointRecord& record,
                      TimePoint now);
  std::vector<EndpointId> RemoveVanished();
  void RemoveSlot(EndpointSlot slot);
  void CloseShares(TimePoint until);
  void AddPastPlan(Endpoint* endpoint, const PastPlan& past);
  // With `same_seats` the rank of the present basis still holds.
  void ApplyPlan(Endpoint* endpoint, bool same_seats, TimePoint now);
  // An endpoint that is `returning` with its data centre warms up again.
  void ApplyConfigurationTo(Endpoint* endpoint, bool returning);
  bool IsConfigured(const EndpointRecord& record) const;
  void LogDraining(Endpoint* endpoint);
  void RebuildIndex();
  void RefreshShares(TimePoint now);

  // Whether an endpoint can take an attempt.
  static bool IsDraining(const Endpoint& endpoint);
  static bool TakesWork(const Endpoint& endpoint);
  int ShareOf(const Endpoint& endpoint, TimePoint now) const;
  bool CanStart(const Endpoint& endpoint, TimePoint now) const;
  bool CanStartSuspect(const Endpoint& endpoint,
                       const EndpointQuery& query,
                       TimePoint now) const;

  // The choice of one.
  Slots CandidatesFor(const EndpointQuery& query,
                      EndpointGroup* group,
                      TimePoint now);
  Slots SuspectCandidates(const EndpointQuery& query,
                          const EndpointGroup& group,
                          TimePoint now) const;
  Slots NextInTurn(const EndpointQuery& query,
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
  // Seeded with the seat, so that choices are reproducible.
  SystemRandom random_;
  Configuration configuration_;
  bool has_plan_ = false;
  SharePlan plan_;
  // Plans that other instances may still use.
  std::vector<PastPlan> past_plans_;
  // When the next past plan of an endpoint expires.
  TimePoint next_share_change_ = TimePoint::max();

  std::vector<Endpoint> endpoints_;
  // Invariant: has the place of each endpoint in endpoints_.
  std::unordered_map<EndpointId, EndpointSlot> slots_;
  EndpointIndex index_;
  // Invariant: each attempt's endpoint is in endpoints_.
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::uint64_t violations_ = 0;
};

}  // namespace filbertshift

#endif  // SRC_ROUTING_ENDPOINT_REGISTRY_H_
