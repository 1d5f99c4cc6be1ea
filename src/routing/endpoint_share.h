// Share of this instance's seat in one endpoint, including the transition after
// a change of seats or limits.

#ifndef SRC_ROUTING_ENDPOINT_SHARE_H_
#define SRC_ROUTING_ENDPOINT_SHARE_H_

#include <chrono>
#include <optional>
#include <vector>

#include "src/common/common.h"
#include "src/routing/share_plan.h"

namespace filbertshift {

class EndpointShare {
 public:
  // Replaces the allocation; the old one also bounds the share until
  // `old_until`.
  void Set(const std::optional<SeatAllocation>& allocation,
           TimePoint old_until);
  // Adds an allocation that other instances may still use until `until`.
  void AddPastAllocation(const SeatAllocation& allocation, TimePoint until);
  void DropExpired(TimePoint now);

  // Minimum over the current and past allocations; 0 without a current one.
  int ShareAt(std::chrono::milliseconds uptime, TimePoint now) const;
  // True if the current and all past allocations give this seat the turn.
  bool IsTurnOfSeat(std::uint64_t turn, TimePoint now) const;
  // True if the current allocation gives the seat a share of the endpoint.
  bool HasSeat() const { return allocation_ && allocation_->rank >= 0; }
  // The share after warm-up and after the transition.
  int FullShare() const;
  const std::optional<SeatAllocation>& allocation() const {
    return allocation_;
  }
  // Earliest expiry of a past allocation; TimePoint::max() if there is none.
  TimePoint NextChange() const;

 private:
  struct PastAllocation {
    SeatAllocation allocation;
    TimePoint until;
  };

  std::optional<SeatAllocation> allocation_;
  std::vector<PastAllocation> past_;
};

}  // namespace filbertshift

#endif  // SRC_ROUTING_ENDPOINT_SHARE_H_
