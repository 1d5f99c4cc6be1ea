// Decoded documents of operators and endpoints: configuration, endpoint records
// and rollout orders. Requests are routed by host and path prefix.

#ifndef SRC_FLEET_FLEET_DOCUMENTS_H_
#define SRC_FLEET_FLEET_DOCUMENTS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/common/common.h"
#include "src/fleet/store_row.h"

namespace filbertshift {

enum class RouteKind {
  // May be executed more than once.
  kIdempotent,
  // Executed at most once per request of a caller.
  kNonIdempotent,
  // Responds with an event stream; executed at most once unless resumable.
  kStreaming,
};

struct WeightedService {
  ServiceId service;
  std::uint32_t weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  // Starts and ends with a slash.
  std::string prefix;
  RouteKind kind = RouteKind::kNonIdempotent;
  std::chrono::milliseconds timeout{0};
  // Target response time; a response within it gets full credit.
  std::chrono::milliseconds objective{0};
  // Maximum pause between events of a response; 0 if not set.
  std::chrono::milliseconds event_gap_objective{0};
  // 0 is the most urgent.
  int priority = 0;
  int max_attempts = 1;
  bool is_public = false;
  bool resumable = false;
  std::vector<WeightedService> services;
  // Models from the smallest to the largest; empty if callers name the model.
  std::vector<ModelId> models;

  // A request may be sent again although an earlier attempt may have executed
  // it.
  bool repeatable() const {
    return kind == RouteKind::kIdempotent ||
           (kind == RouteKind::kStreaming && resumable);
  }
};

struct ModelCost {
  ModelId model;
  // Price of 1,000 generated tokens.
  double cost = 0;
};

struct ServiceSettings {
  ServiceId service;
  std::chrono::milliseconds cold_start{0};
  // Requests per second that an endpoint can take while it is cold; 0: no
  // limit.
  double cold_requests_per_second = 0;
  // Empty for a service without models.
  std::vector<ModelCost> models;
};

struct CallerLimits {
  std::size_t max_head_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
  std::chrono::milliseconds head_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

struct AccountSettings {
  AccountId account;
  std::optional<int> priority;
  std::vector<std::string> api_keys;
};

struct FleetConfiguration {
  std::int64_t version = 0;
  std::vector<Route> routes;
  std::unordered_map<ServiceId, ServiceSettings> services;
  std::vector<AccountSettings> accounts;
  CallerLimits limits;

  // Builds the lookup tables; must be called after the lists are filled.
  void BuildIndex();
  // Returns the host's route with the longest matching path prefix, or nullptr.
  const Route* FindRoute(std::string_view host, std::string_view target) const;
  const AccountSettings* FindAccount(const std::string& api_key) const;
  const ServiceSettings* FindService(const ServiceId& service) const;

 private:
  // Positions in `routes`, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host_;
  // Positions in `accounts`.
  std::unordered_map<std::string, std::size_t> accounts_by_key_;
};

enum class EndpointState { kReady, kDraining };

struct RoutedEndpoint {
  EndpointId endpoint;
  ServiceId service;
  // "ip:port".
  std::string address;
  DataCentreId data_centre;
  VersionId version;
  EndpointState state = EndpointState::kReady;
  int slots = 0;
  // Remaining cold time when the record was written.
  std::chrono::milliseconds cold_remaining{0};
  // Process start time in Unix milliseconds; a change indicates a restart.
  std::int64_t started_at = 0;
  std::vector<ModelId> models;
  // Store version of the row.
  std::int64_t row_version = 0;
};

struct RolloutOrder {
  ServiceId service;
  VersionId to;
  std::chrono::milliseconds deadline{0};
  // Store version of the order row; reissuing an order changes it, writing it
  // again after the store has lost it does not.
  StoreVersion order_version;
};

enum class RolloutPhase { kInProgress, kCompleted, kReverted };

}  // namespace filbertshift

#endif  // SRC_FLEET_FLEET_DOCUMENTS_H_
