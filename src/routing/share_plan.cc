#include "src/routing/share_plan.h"

#include <algorithm>
#include <tuple>

#include "src/routing/seat_share.h"

namespace filbertshift {

namespace {

auto Fields(const EndpointLimits& limits) {
  return std::tie(limits.max_concurrency, limits.cold_start_concurrency,
                  limits.warm_up);
}

template <class Map>
bool SameLimits(const Map& a, const Map& b) {
  return std::equal(
      a.begin(), a.end(), b.begin(), b.end(), [](const auto& x, const auto& y) {
        return x.first == y.first && Fields(x.second) == Fields(y.second);
      });
}

}  // namespace

int ShareBasis::ShareAt(std::chrono::milliseconds uptime) const {
  return ShareOfRank(LimitAtUptime(limits, uptime), seat_count, rank);
}

bool operator==(const ShareBasis& a, const ShareBasis& b) {
  return Fields(a.limits) == Fields(b.limits) && a.rank == b.rank &&
         a.seat_count == b.seat_count;
}

SharePlan::SharePlan(const Configuration& configuration)
    : seats_(configuration.Seats()),
      seats_per_endpoint_(configuration.seats_per_endpoint) {
  for (const Model& model : configuration.models) {
    for (const ModelVersion& version : model.versions) {
      versions_[{model.model, version.version}] = version.limits;
    }
  }
  for (const Service& service : configuration.services) {
    services_[service.service] = service.limits;
  }
}

SharePlan SharePlan::WithoutSeats() const {
  SharePlan plan = *this;
  plan.seats_.clear();
  return plan;
}

std::optional<ShareBasis> SharePlan::BasisFor(const EndpointRecord& record,
                                              int seat) const {
  const EndpointLimits* limits = FindLimits(record);
  if (limits == nullptr) {
    return std::nullopt;
  }
  const std::vector<int> ranked =
      SeatsOfEndpoint(record.endpoint, seats_, seats_per_endpoint_);
  ShareBasis basis;
  basis.limits = *limits;
  basis.seat_count = static_cast<int>(ranked.size());
  const auto found = std::find(ranked.begin(), ranked.end(), seat);
  if (found != ranked.end()) {
    basis.rank = static_cast<int>(found - ranked.begin());
  }
  return basis;
}

const EndpointLimits* SharePlan::FindLimits(
    const EndpointRecord& record) const {
  if (record.kind == EndpointKind::kPlainService) {
    const auto found = services_.find(record.service);
    return found == services_.end() ? nullptr : &found->second;
  }
  const auto found = versions_.find({record.model, record.version});
  return found == versions_.end() ? nullptr : &found->second;
}

bool operator==(const SharePlan& a, const SharePlan& b) {
  return a.seats_ == b.seats_ &&
         a.seats_per_endpoint_ == b.seats_per_endpoint_ &&
         SameLimits(a.versions_, b.versions_) &&
         SameLimits(a.services_, b.services_);
}

}  // namespace filbertshift
