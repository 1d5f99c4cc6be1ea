#include "src/routing/endpoint_share.h"

#include <algorithm>

#include "src/routing/seat_share.h"

namespace filbertshift {

void EndpointShare::Set(const std::optional<ShareBasis>& basis,
                        TimePoint old_until) {
  if (basis_ == basis) {
    return;
  }
  if (basis_) {
    AddPast(*basis_, old_until);
  }
  basis_ = basis;
}

void EndpointShare::AddPast(const ShareBasis& basis, TimePoint until) {
  past_.push_back({basis, until});
}

void EndpointShare::DropExpired(TimePoint now) {
  past_.erase(
      std::remove_if(past_.begin(), past_.end(),
                     [now](const Past& past) { return past.until <= now; }),
      past_.end());
}

int EndpointShare::ShareAt(std::chrono::milliseconds uptime,
                           TimePoint now) const {
  if (!basis_) {
    return 0;
  }
  int share = basis_->ShareAt(uptime);
  for (const Past& past : past_) {
    if (past.until > now) {
      share = std::min(share, past.basis.ShareAt(uptime));
    }
  }
  return share;
}

bool EndpointShare::HasTurn(std::uint64_t turn, TimePoint now) const {
  if (!basis_ || !basis_->HasTurn(turn)) {
    return false;
  }
  return std::all_of(past_.begin(), past_.end(), [&](const Past& past) {
    return past.until <= now || past.basis.HasTurn(turn);
  });
}

int EndpointShare::FullShare() const {
  return basis_ ? basis_->ShareAt(basis_->limits.warm_up) : 0;
}

TimePoint EndpointShare::NextChange() const {
  TimePoint next = TimePoint::max();
  for (const Past& past : past_) {
    next = std::min(next, past.until);
  }
  return next;
}

}  // namespace filbertshift
