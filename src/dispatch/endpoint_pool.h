// The endpoints of all services with this instance's own load on them, and the
// choice among them.

#ifndef SRC_DISPATCH_ENDPOINT_POOL_H_
#define SRC_DISPATCH_ENDPOINT_POOL_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/dispatch/attempt_result.h"
#include "src/dispatch/endpoint_activity.h"
#include "src/dispatch/sliding_counter.h"
#include "src/fleet/fleet_documents.h"

namespace filbertshift {

// What a request costs an endpoint, in tokens of the largest model.
struct WorkEstimate {
  double prompt_tokens = 0;
  // Part of the prompt that an endpoint may hold in its cache.
  double shared_tokens = 0;
  // Cost of a token relative to the largest model.
  double model_weight = 1;
};

struct ChoiceQuery {
  ServiceId service;
  // Versions that may run the request.
  std::function<bool(const VersionId&)> allows_version;
  // Empty: any endpoint of the service.
  ModelId model;
  // Hash of the shared part of the prompt; requests with the same one meet the
  // same endpoints from every instance. 0: none.
  std::uint64_t affinity = 0;
  WorkEstimate work;
  // Only this many of the endpoints, the same at every instance; 0: all.
  int most_endpoints = 0;
  // Endpoints that this request has already tried.
  std::vector<EndpointId> excluded;
  DataCentreId near;
};

enum class NoEndpointReason {
  kNone,
  // The service has no endpoint that may run the request.
  kNoCandidate,
  // All candidates are cold and their limits are used up for now.
  kColdLimit,
};

struct Choice {
  std::optional<EndpointId> endpoint;
  NoEndpointReason reason = NoEndpointReason::kNone;
};

struct ColdLimits {
  // Bound over all instances: rate x overshoot + tolerance in any second.
  double overshoot = 1;
  double tolerance = 0;
};

class EndpointPool {
 public:
  explicit EndpointPool(ColdLimits cold_limits);

  void SetInstanceCount(int count) { instances_ = count; }
  // While false, cold endpoints get nothing: the others may not yet count this
  // instance.
  void SetColdAllowed(bool allowed) { cold_allowed_ = allowed; }
  void SetConfiguration(std::shared_ptr<const FleetConfiguration> value);
  void SetEvacuated(std::function<bool(const DataCentreId&)> evacuated);
  void Update(const RoutedEndpoint& record, TimePoint now);
  void Remove(const EndpointId& endpoint);

  Choice Choose(const ChoiceQuery& query, TimePoint now);

  void OnStart(const EndpointId& endpoint,
               const WorkEstimate& work,
               TimePoint now);
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

  const RoutedEndpoint* Find(const EndpointId& endpoint) const;
  int InFlight(const EndpointId& endpoint) const;
  // The endpoint has sent nothing on any connection for so long that its
  // requests no longer run, or nothing comes from its whole data centre.
  // `allowed` is the longest pause that an answer in time may have.
  bool IsSilent(const EndpointId& endpoint,
                std::chrono::milliseconds allowed,
                TimePoint now) const;
  // Ready endpoints of the version, or of all others if `same` is false.
  int CountReady(const ServiceId& service,
                 const VersionId& version,
                 bool same) const;

 private:
  struct Entry {
    explicit Entry(RoutedEndpoint value);
    RoutedEndpoint record;
    // Hash of the id, for rendezvous hashing.
    std::uint64_t hash = 0;
    int in_flight = 0;
    // Weighted prompt tokens of requests that wait for their first byte.
    double waiting_tokens = 0;
    double running_weight = 0;
    TimePoint cold_until{};
    SlidingCounter sends;
    TimePoint avoid_until{};
    int broken_in_a_row = 0;
    // Moving average over answers that are no refusals.
    double failure_share = 0;
    MovingAverage first_byte_ms{0.15};
    EndpointActivity activity;
  };

  bool IsUnreachable(const DataCentreId& data_centre, TimePoint now) const;
  bool IsCandidate(const Entry& entry, const ChoiceQuery& query) const;
  bool IsCold(const Entry& entry, TimePoint now) const;
  bool ColdLimitReached(Entry* entry, TimePoint now) const;
  double Score(const Entry& entry,
               const ChoiceQuery& query,
               double cached_part,
               double typical_first_byte_ms) const;
  double TypicalFirstByte(const std::vector<Entry*>& entries) const;
  double TypicalFailureShare(const std::vector<Entry*>& entries) const;
  const ServiceSettings* SettingsOf(const Entry& entry) const;

  const ColdLimits cold_limits_;
  std::shared_ptr<const FleetConfiguration> configuration_;
  std::function<bool(const DataCentreId&)> evacuated_;
  int instances_ = 1;
  bool cold_allowed_ = false;
  std::unordered_map<EndpointId, Entry> entries_;
  std::unordered_map<DataCentreId, EndpointActivity> data_centres_;
};

}  // namespace filbertshift

#endif  // SRC_DISPATCH_ENDPOINT_POOL_H_
