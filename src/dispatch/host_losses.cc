#include "src/dispatch/host_losses.h"

#include <algorithm>
#include <chrono>

#include "src/dispatch/connect_outcomes.h"

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kProbeInterval{500};
// A request that runs at most once may end without a result if its connection
// to a lost host is still open, so it is used as a probe only where no other
// requests come.
constexpr milliseconds kReluctantProbeInterval{2000};

}  // namespace

void HostLosses::OnHostGone(std::string_view address) {
  std::string_view host = HostOf(address);
  if (gone_.size() < kLostHosts &&
      std::find(gone_.begin(), gone_.end(), host) == gone_.end()) {
    gone_.emplace_back(host);
  }
}

bool HostLosses::IsAvoided(bool may_probe, TimePoint now) const {
  return IsCutOff() &&
         now - last_request_ <
             (may_probe ? kProbeInterval : kReluctantProbeInterval);
}

}  // namespace filbertshift
