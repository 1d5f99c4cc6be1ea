// Tracks the endpoints of all services and the load that this instance puts on
// them, and selects an endpoint for each request.

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
#include "src/dispatch/endpoint_load_table.h"
#include "src/dispatch/endpoint_notices.h"
#include "src/dispatch/observed_time.h"
#include "src/dispatch/sliding_counter.h"
#include "src/fleet/fleet_documents.h"

namespace filbertshift {

// Estimated cost of a request, in tokens of the largest model.
struct WorkEstimate {
  double prompt_tokens = 0;
  // Length of the prompt prefix that an endpoint may have cached.
  double shared_tokens = 0;
  // Cost per token relative to the largest model.
  double model_weight = 1;
};

struct DispatchQuery {
  ServiceId service;
  // Returns whether a version may execute the request; unset: all may.
  std::function<bool(const VersionId&)> allows_version;
  // Empty: any endpoint of the service.
  ModelId model;
  // Hash of the shared prompt prefix, or of the request if it has none. All
  // instances prefer the same endpoints for the same hash. 0: no affinity.
  std::uint64_t affinity = 0;
  WorkEstimate work;
  // Restricts the choice to a subset of this size, which is the same on every
  // instance; 0: no restriction.
  int max_endpoints = 0;
  // Endpoints to which this request has already been sent.
  std::vector<EndpointId> excluded;
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
  NoEndpointReason reason = NoEndpointReason::kNone;
  // With kPaused, when the first pause ends.
  TimePoint free_at{};
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
  void Update(const RoutedEndpoint& record, TimePoint now);
  void Remove(const EndpointId& endpoint, TimePoint now);

  DispatchChoice Choose(const DispatchQuery& query, TimePoint now);

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
  // The endpoint's host accepts no connections.
  void OnHostGone(const EndpointId& endpoint, TimePoint now);
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
    SlidingCounter sends;
    TimePoint avoid_until{};
    int consecutive_breaks = 0;
    // Moving average over executed requests; refusals are not counted.
    double failure_rate = 0;
    MovingAverage first_byte_ms{0.15};
    EndpointActivity activity;
  };

  bool IsUnreachable(const DataCentreId& data_centre, TimePoint now) const;
  bool IsCandidate(const Entry& entry, const DispatchQuery& query) const;
  bool IsCold(const Entry& entry, TimePoint now) const;
  bool ColdLimitReached(Entry* entry, TimePoint now) const;
  // Avoids the endpoint for a time that doubles with each consecutive call.
  static void AvoidAfterBreak(Entry* entry, TimePoint now);
  // The endpoint may have restarted before its record shows it; a restarted
  // endpoint is cold.
  void AssumeCold(Entry* entry, TimePoint now) const;
  // Whether the endpoint is used only if there is no other.
  bool IsAvoided(Entry* entry, double mean_failure_rate, TimePoint now) const;
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
  std::unordered_map<DataCentreId, EndpointActivity> data_centres_;
};

}  // namespace filbertshift

#endif  // SRC_DISPATCH_ENDPOINT_POOL_H_
