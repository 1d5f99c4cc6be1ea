// The share of this instance's seat in one endpoint, also while a change of
// seats or limits spreads over the instances.

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
  // Replaces the basis; the old one still bounds the share until `old_until`.
  void Set(const std::optional<ShareBasis>& basis, TimePoint old_until);
  // Another instance may still use a basis that this one has replaced.
  void AddPast(const ShareBasis& basis, TimePoint until);
  void DropExpired(TimePoint now);

  // The least share of the current and past bases; 0 without a current one.
  int ShareAt(std::chrono::milliseconds uptime, TimePoint now) const;
  // True if the turn falls on the seat by the current and all past bases.
  bool HasTurn(std::uint64_t turn, TimePoint now) const;
  // True if the seat has a part in the endpoint by the current basis.
  bool HasSeat() const { return basis_ && basis_->rank >= 0; }
  // The share once the endpoint is warm and all changes have spread.
  int FullShare() const;
  const std::optional<ShareBasis>& basis() const { return basis_; }
  // When the next past basis expires; TimePoint::max() if there is none.
  TimePoint NextChange() const;

 private:
  struct Past {
    ShareBasis basis;
    TimePoint until;
  };

  std::optional<ShareBasis> basis_;
  std::vector<Past> past_;
};

}  // namespace filbertshift

#endif  // SRC_ROUTING_ENDPOINT_SHARE_H_
