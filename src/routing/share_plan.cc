#include "src/routing/share_plan.h"

#include <algorithm>
#include <tuple>

#include "src/routing/seat_share.h"

namespace filbertshift {

namespace {

auto AsTuple(const EndpointLimits& limits) {
  return std::tie(limits.max_concurrency, limits.cold_start_concurrency,
                  limits.warm_up);
}

template <class Map>
bool SameLimits(const Map& a, const Map& b) {
  return std::equal(
      a.begin(), a.end(), b.begin(), b.end(), [](const auto& x, const auto& y) {
        return x.first == y.first && AsTuple(x.second) == AsTuple(y.second);
      });
}

}  // namespace

int SeatAllocation::ShareAt(std::chrono::milliseconds uptime) const {
  return ShareOfRank(LimitAtUptime(limits, uptime), seat_count, rank);
}

bool SeatAllocation::IsTurnOfSeat(std::uint64_t turn) const {
  return rank >= 0 && seat_count > 0 &&
         turn % static_cast<std::uint64_t>(seat_count) ==
             static_cast<std::uint64_t>(rank);
}

bool operator==(const SeatAllocation& a, const SeatAllocation& b) {
  return AsTuple(a.limits) == AsTuple(b.limits) && a.rank == b.rank &&
         a.seat_count == b.seat_count;
}

SharePlan::SharePlan(const Configuration& configuration)
    : seats_(configuration.Seats()),
      seats_per_endpoint_(configuration.seats_per_endpoint) {
  seats_.erase(std::unique(seats_.begin(), seats_.end()), seats_.end());
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

std::optional<SeatAllocation> SharePlan::AllocationFor(
    const EndpointRecord& record,
    int seat) const {
  SeatAllocation ranked;
  ranked.rank = SeatRank(record.endpoint, seats_, seats_per_endpoint_, seat);
  ranked.seat_count =
      std::min(static_cast<int>(seats_.size()), seats_per_endpoint_);
  return AllocationFor(record, ranked);
}

std::optional<SeatAllocation> SharePlan::AllocationFor(
    const EndpointRecord& record,
    const SeatAllocation& same_seats) const {
  const EndpointLimits* limits = FindLimits(record);
  if (limits == nullptr) {
    return std::nullopt;
  }
  SeatAllocation allocation = same_seats;
  allocation.limits = *limits;
  return allocation;
}

bool SharePlan::HasSameSeats(const SharePlan& other) const {
  return seats_ == other.seats_ &&
         seats_per_endpoint_ == other.seats_per_endpoint_;
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
  return a.HasSameSeats(b) && SameLimits(a.versions_, b.versions_) &&
         SameLimits(a.services_, b.services_);
}

}  // namespace filbertshift
