#include "src/routing/endpoint_share.h"

#include <algorithm>

#include "src/routing/seat_share.h"

namespace filbertshift {

void EndpointShare::Set(const std::optional<SeatAllocation>& allocation,
                        TimePoint old_until) {
  if (allocation_ == allocation) {
    return;
  }
  if (allocation_) {
    AddPastAllocation(*allocation_, old_until);
  }
  allocation_ = allocation;
}

void EndpointShare::AddPastAllocation(const SeatAllocation& allocation,
                                      TimePoint until) {
  past_.push_back({allocation, until});
}

void EndpointShare::DropExpired(TimePoint now) {
  past_.erase(std::remove_if(past_.begin(), past_.end(),
                             [now](const PastAllocation& past) {
                               return past.until <= now;
                             }),
              past_.end());
}

int EndpointShare::ShareAt(std::chrono::milliseconds uptime,
                           TimePoint now) const {
  if (!allocation_) {
    return 0;
  }
  int share = allocation_->ShareAt(uptime);
  for (const PastAllocation& past : past_) {
    if (past.until > now) {
      share = std::min(share, past.allocation.ShareAt(uptime));
    }
  }
  return share;
}

bool EndpointShare::IsTurnOfSeat(std::uint64_t turn, TimePoint now) const {
  if (!allocation_ || !allocation_->IsTurnOfSeat(turn)) {
    return false;
  }
  return std::all_of(
      past_.begin(), past_.end(), [&](const PastAllocation& past) {
        return past.until <= now || past.allocation.IsTurnOfSeat(turn);
      });
}

int EndpointShare::FullShare() const {
  return allocation_ ? allocation_->ShareAt(allocation_->limits.warm_up) : 0;
}

TimePoint EndpointShare::NextChange() const {
  TimePoint next = TimePoint::max();
  for (const PastAllocation& past : past_) {
    next = std::min(next, past.until);
  }
  return next;
}

}  // namespace filbertshift
