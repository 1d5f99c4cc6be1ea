// What a configuration says about the limits of endpoints and their split over
// seats. Small enough to keep those of the recent past.

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

// The part of one seat in one endpoint.
struct ShareBasis {
  EndpointLimits limits;
  // Rendezvous rank of the seat, 0 is the best; -1 without a part.
  int rank = -1;
  // Seats among which the limit is split.
  int seat_count = 0;

  int ShareAt(std::chrono::milliseconds uptime) const;
  // True if `turn`, taken modulo the number of seats, falls on this seat.
  bool HasTurn(std::uint64_t turn) const;
  friend bool operator==(const ShareBasis& a, const ShareBasis& b);
  friend bool operator!=(const ShareBasis& a, const ShareBasis& b) {
    return !(a == b);
  }
};

class SharePlan {
 public:
  SharePlan() = default;
  explicit SharePlan(const Configuration& configuration);

  // The same limits without any seat: all shares are 0.
  SharePlan WithoutSeats() const;

  // Nothing if the plan has no limits for the endpoint, so that nobody sends
  // to it.
  std::optional<ShareBasis> BasisFor(const EndpointRecord& record,
                                     int seat) const;
  // The same, given the basis by a plan with the same seats. Ranking again is
  // by far the most expensive part.
  std::optional<ShareBasis> BasisFor(const EndpointRecord& record,
                                     const ShareBasis& same_seats) const;
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
