// The parts of a configuration that determine endpoint limits and their split
// between seats. Much smaller than the configuration, so that recent plans can
// be kept during transitions.

#ifndef SRC_ROUTING_SHARE_PLAN_H_
#define SRC_ROUTING_SHARE_PLAN_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "src/config/config.h"
#include "src/ports/ports.h"

namespace filbertshift {

// Determines the share of one seat in one endpoint.
struct SeatAllocation {
  EndpointLimits limits;
  // Rendezvous rank of the seat, 0 is the best; -1 without a share.
  int rank = -1;
  // Number of seats that share the limit.
  int seat_count = 0;

  int ShareAt(std::chrono::milliseconds uptime) const;
  // True if `turn` modulo the number of seats equals the rank of this seat.
  bool IsTurnOfSeat(std::uint64_t turn) const;
  friend bool operator==(const SeatAllocation& a, const SeatAllocation& b);
  friend bool operator!=(const SeatAllocation& a, const SeatAllocation& b) {
    return !(a == b);
  }
};

class SharePlan {
 public:
  SharePlan() = default;
  explicit SharePlan(const Configuration& configuration);

  // Returns a plan with the same limits but no seats: all shares are 0.
  SharePlan WithoutSeats() const;

  // std::nullopt if the plan has no limits for the endpoint, which then gets no
  // attempts.
  std::optional<SeatAllocation> AllocationFor(const EndpointRecord& record,
                                              int seat) const;
  // Reuses the rank of an allocation from a plan with the same seats, because
  // ranking is by far the most expensive part.
  std::optional<SeatAllocation> AllocationFor(
      const EndpointRecord& record,
      const SeatAllocation& same_seats) const;
  bool HasSameSeats(const SharePlan& other) const;

  friend bool operator==(const SharePlan& a, const SharePlan& b);
  friend bool operator!=(const SharePlan& a, const SharePlan& b) {
    return !(a == b);
  }

 private:
  const EndpointLimits* FindLimits(const EndpointRecord& record) const;

  // Distinct.
  std::vector<int> seats_;
  int seats_per_endpoint_ = 0;
  std::map<std::pair<ModelId, VersionId>, EndpointLimits> versions_;
  std::map<ServiceId, EndpointLimits> services_;
};

}  // namespace filbertshift

#endif  // SRC_ROUTING_SHARE_PLAN_H_
