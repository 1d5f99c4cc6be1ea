// Tracks the endpoints of all services and the load that this instance puts on
// them, and selects an endpoint for each request.

#ifndef SRC_DISPATCH_ENDPOINT_POOL_H_
#define SRC_DISPATCH_ENDPOINT_POOL_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/dispatch/attempt_result.h"
#include "src/dispatch/connect_outcomes.h"
#include "src/dispatch/endpoint_activity.h"
#include "src/dispatch/endpoint_load_table.h"
#include "src/dispatch/endpoint_notices.h"
#include "src/dispatch/host_losses.h"
#include "src/dispatch/observed_time.h"
#include "src/dispatch/overflow_plan.h"
#include "src/dispatch/placement.h"
#include "src/dispatch/service_endpoints.h"
#include "src/dispatch/sliding_counter.h"
#include "src/fleet/fleet_documents.h"

namespace filbertshift {

struct DispatchQuery {
  ServiceId service;
  // Returns whether a version may execute the request; unset: all may.
  std::function<bool(const VersionId&)> allows_version;
  // Empty: any endpoint of the service.
  ModelId model;
  // Hash of the shared prompt prefix, or of the request if it has none. All
  // instances prefer the same endpoints for the same hash. 0: no affinity.
  std::uint64_t affinity = 0;
  // Spreads requests over candidates and decides which of them leave the data
  // centre.
  std::uint64_t request_hash = 0;
  // Of the request and of its expected response.
  double bytes = 0;
  WorkEstimate work;
  // Restricts the choice to a subset of this size, which is the same on every
  // instance; 0: no restriction.
  int max_endpoints = 0;
  // Endpoints to which this request has already been sent.
  std::vector<EndpointId> excluded;
  // The request may be sent to a data centre that is probably cut off, to find
  // out; false where the caller would suffer from its loss.
  bool may_probe = true;
  DataCentreId local_data_centre;
};

enum class NoEndpointReason {
  kNone,
  // No ready endpoint of the service may execute the request.
  kNoCandidate,
  // All candidates are cold and have reached their rate limits, or are paused.
  kColdLimit,
  // All candidates have asked for no requests for a while.
  kPaused,
};

struct DispatchChoice {
  std::optional<EndpointId> endpoint;
  // The endpoint has failed or refused lately; there is no better one.
  bool avoided = false;
  // It has rejected a request just now: its queue is full.
  bool full = false;
  NoEndpointReason reason = NoEndpointReason::kNone;
  // With kPaused, when the first pause ends.
  TimePoint free_at{};
  // Why the endpoint is in another data centre.
  RemoteReason remote = RemoteReason::kLocal;
};

// Share of a service's requests that the plan sends to another data centre.
struct OverflowState {
  ServiceId service;
  DataCentreId destination;
  double share = 0;
  // The destination also sends, or has just sent, requests here.
  bool both_ways = false;
};

// Recent traffic of an endpoint with requests in progress.
struct EndpointSilence {
  // False once the endpoint's record is gone.
  bool known = false;
  // Latest byte from the endpoint on any connection, and the observed time
  // since.
  TimePoint since{};
  std::chrono::nanoseconds endpoint{0};
  // All endpoints of the data centre fell silent together.
  bool data_centre_stalled = false;
};

// Why endpoints that may execute a request are not used for it now. One may
// count more than once.
struct CandidateCounts {
  int candidates = 0;
  int paused = 0;
  // Cold by their records, and at their limit.
  int cold = 0;
  // Assumed to be cold after a connection failed or broke, and at their limit.
  int assumed_cold = 0;
  // Addresses of these.
  std::vector<std::string> assumed_cold_addresses;
  // Failed or refused lately.
  int avoided = 0;
  // In a data centre that is probably cut off.
  int cut_off = 0;
};

struct ColdLimits {
  // Limit per cold endpoint over all instances: rate x overshoot + tolerance
  // requests in any second.
  double overshoot = 1;
  double tolerance = 0;
};

class EndpointPool {
 public:
  static constexpr std::chrono::seconds kDefaultMaxPause{30};

  explicit EndpointPool(ColdLimits cold_limits,
                        std::chrono::milliseconds max_pause = kDefaultMaxPause);

  void SetInstanceCount(int count) { instances_ = count; }
  // While false, no requests go to cold endpoints: the other instances may not
  // yet include this one when they divide the cold limit.
  void SetColdAllowed(bool allowed) { cold_allowed_ = allowed; }
  void SetConfiguration(std::shared_ptr<const FleetConfiguration> value);
  void SetEvacuated(std::function<bool(const DataCentreId&)> evacuated);
  void SetPlacement(PlacementSettings settings);
  // Must outlive the pool; null: the load of the others is unknown.
  void SetLoadTable(const EndpointLoadTable* table) { load_table_ = table; }
  void Update(const RoutedEndpoint& record, TimePoint now);
  void Remove(const EndpointId& endpoint, TimePoint now);

  DispatchChoice Choose(const DispatchQuery& query, TimePoint now);
  // Computes the plans that are due. Its cost grows with the number of
  // endpoints, so it should be called often and outside the path of requests.
  void UpdatePlans(TimePoint now);

  void OnStart(const EndpointId& endpoint,
               const WorkEstimate& work,
               TimePoint now);
  // A connection to the endpoint was established in this time.
  void OnConnected(const EndpointId& endpoint, std::chrono::microseconds time);
  void OnActivity(const EndpointId& endpoint, TimePoint now);
  void OnFirstByte(const EndpointId& endpoint,
                   const WorkEstimate& work,
                   std::chrono::microseconds time,
                   TimePoint now);
  void OnEnd(const EndpointId& endpoint,
             const WorkEstimate& work,
             bool had_first_byte,
             AttemptResult result,
             TimePoint now);

  EndpointNotices& notices() { return notices_; }
  const EndpointNotices& notices() const { return notices_; }
  const RoutedEndpoint* Find(const EndpointId& endpoint) const;
  int InFlight(const EndpointId& endpoint) const;
  // Adds the requests of this instance in progress at each endpoint.
  void ExportLoad(LoadReport* report) const;
  // Whether the endpoint is cold and its requests are limited.
  bool IsCold(const EndpointId& endpoint, TimePoint now) const;
  // `allowed` is the longest pause within a response that is in time.
  EndpointSilence SilenceOf(const EndpointId& endpoint,
                            std::chrono::milliseconds allowed,
                            const ObservedTime& observed) const;
  // Another process has the endpoint's address; the endpoint is avoided until
  // its record changes. Ignored if the record is no longer that incarnation.
  void OnReplaced(const EndpointId& endpoint,
                  const EndpointIncarnation& incarnation,
                  TimePoint now);
  // The endpoint's host accepts no connections.
  void OnHostGone(const EndpointId& endpoint, TimePoint now);
  // For the log: a connection to an endpoint was not established, or was, for a
  // request or as a probe.
  void OnConnectFailed(const EndpointId& endpoint, TimePoint now);
  void OnConnectSucceeded(TimePoint now) { connects_.OnSucceeded(now); }
  CandidateCounts CountCandidates(const DispatchQuery& query, TimePoint now);
  std::optional<ConnectReport> TakeConnectReport(TimePoint now) {
    return connects_.TakeReport(entries_.size(), now);
  }
  ConnectFailures FailuresToConnect(TimePoint now) const {
    return connects_.Failures(now);
  }
  // Flows out of this data centre that the plans contain now.
  std::vector<OverflowState> Overflows(TimePoint now) const;
  // Number of ready endpoints that run the version, or any other version if
  // `same_version` is false.
  int CountReady(const ServiceId& service,
                 const VersionId& version,
                 bool same_version) const;

 private:
  struct Entry {
    explicit Entry(RoutedEndpoint value);
    RoutedEndpoint record;
    // Hash of the id, for rendezvous hashing.
    std::uint64_t hash = 0;
    int in_flight = 0;
    // Weighted prompt tokens of requests that await their first byte.
    double waiting_tokens = 0;
    double running_weight = 0;
    TimePoint cold_until{};
    // The part of that which the record states.
    TimePoint recorded_cold_until{};
    SlidingCounter sends;
    TimePoint avoid_until{};
    // Until then, its latest rejection says that its queue is full.
    TimePoint full_until{};
    int consecutive_breaks = 0;
    // Moving average over executed requests; refusals are not counted.
    double failure_rate = 0;
    MovingAverage first_byte_ms{0.15};
    EndpointActivity activity;
    struct Send {
      TimePoint at{};
      double tokens = 0;
    };
    // Invariant: ordered by time; the latest are younger than the load table.
    // Empty without placement.
    std::vector<Send> recent_sends;
    // The reported pace is that of the process before a restart.
    TimePoint pace_unknown_until{};
  };

  struct DataCentre {
    EndpointActivity activity;
    HostLosses losses;
    // Least time to connect; 0: unknown.
    double connect_ms = 0;
  };

  // What placement knows of a service.
  struct PlacedService {
    OverflowPlan plan;
    std::vector<DataCentreLoad> loads;
    TimePoint updated_at{};
    double mean_failure_rate = 0;
    int max_slots = 0;
    // Requests that this instance has sent since the update, and decaying sums
    // of them and of the time that they held a slot.
    double sends = 0;
    double send_sum = 0;
    double held_ms_sum = 0;
    // Low quantile of the time that a request without a prompt takes.
    double service_ms = 0;
    // Low quantile of the time for each prompt token of the largest model, over
    // the requests of this instance.
    double ms_per_token = 0;
    MovingAverage bytes{0.02};
  };

  struct Pick {
    Entry* entry = nullptr;
    double score = 0;
    double wait_ms = 0;
  };

  // Two hosts of the entry's data centre were found gone since it was last
  // heard of.
  bool IsCutOff(const Entry& entry) const;
  // Chooses by the load of all instances; empty where that does not apply.
  std::optional<DispatchChoice> Place(const DispatchQuery& query,
                                      TimePoint now);
  // Does nothing if the latest update is younger than `max_age`.
  void UpdatePlan(const ServiceEndpoints::RingsByDataCentre& rings,
                  std::chrono::milliseconds max_age,
                  PlacedService* service,
                  TimePoint now);
  DataCentreLoad LoadOf(const DataCentreId& data_centre,
                        const EndpointRing& ring,
                        double ms_per_token,
                        TimePoint now);
  // The best of a few usable endpoints of the ring; `entry` is null if none of
  // those looked at is usable.
  Pick PickFrom(const EndpointRing& ring,
                const DispatchQuery& query,
                const PlacedService& service,
                TimePoint now);
  // Other data centres in the order in which the request tries them.
  std::vector<DataCentreId> OtherCentres(const DispatchQuery& query,
                                         const PlacedService& service) const;
  bool IsUsable(Entry* entry,
                const DispatchQuery& query,
                double mean_failure_rate,
                TimePoint now);
  CandidateLoad LoadOf(const Entry& entry,
                       double ms_per_token,
                       TimePoint now) const;
  // Least time there and back, beyond that within this data centre.
  double DistanceMs(const DataCentreId& data_centre) const;
  // Learns from requests sent and answered.
  void RecordSend(Entry* entry, const WorkEstimate& work, TimePoint now);
  void RecordResponse(const Entry& entry,
                      const WorkEstimate& work,
                      std::chrono::microseconds time);

  bool IsCandidate(const Entry& entry, const DispatchQuery& query) const;
  bool IsCold(const Entry& entry, TimePoint now) const;
  bool ColdLimitReached(Entry* entry, TimePoint now) const;
  // Avoids the endpoint for a time that doubles with each consecutive call.
  static void AvoidAfterBreak(Entry* entry, TimePoint now);
  // The endpoint may have restarted before its record shows it; a restarted
  // endpoint is cold.
  void AssumeCold(Entry* entry, TimePoint now) const;
  // Whether the endpoint is used only if there is no other.
  bool IsAvoided(Entry* entry,
                 const DispatchQuery& query,
                 double mean_failure_rate,
                 TimePoint now) const;
  // Sorts so that all instances prefer the same endpoints for the same hash.
  static void SortByAffinity(std::uint64_t affinity,
                             std::vector<Entry*>* entries);
  double Score(const Entry& entry,
               const DispatchQuery& query,
               double cached_share,
               double median_first_byte_ms) const;
  double MedianFirstByteMs(const std::vector<Entry*>& entries) const;
  double MeanFailureRate(const std::vector<Entry*>& entries) const;
  const ServiceSettings* SettingsOf(const Entry& entry) const;

  const ColdLimits cold_limits_;
  std::shared_ptr<const FleetConfiguration> configuration_;
  std::function<bool(const DataCentreId&)> evacuated_;
  int instances_ = 1;
  bool cold_allowed_ = false;
  std::unordered_map<EndpointId, Entry> entries_;
  EndpointNotices notices_;
  std::unordered_map<DataCentreId, DataCentre> data_centres_;
  ConnectOutcomes connects_;
  PlacementSettings placement_;
  const EndpointLoadTable* load_table_ = nullptr;
  // Invariant: holds the endpoints of `entries_` if placement is enabled,
  // otherwise none.
  ServiceEndpoints service_endpoints_;
  std::unordered_map<ServiceId, PlacedService> placed_services_;
};

}  // namespace filbertshift

#endif  // SRC_DISPATCH_ENDPOINT_POOL_H_
