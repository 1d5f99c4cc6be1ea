#include "src/fleet/live_instances.h"

#include <chrono>

namespace filbertshift {

namespace {

// An instance whose member row has not changed for this long, by the member
// clock, is considered dead.
constexpr std::chrono::milliseconds kMemberTimeout{9000};

}  // namespace

std::vector<LiveInstance> LiveInstances(const FleetView& view,
                                        const LiveInstance& self) {
  std::vector<LiveInstance> live{self};
  for (const auto& [instance, member] : view.members()) {
    if (instance != self.instance &&
        view.member_time() - member.changed_after < kMemberTimeout) {
      live.push_back(
          {instance, member.state.peer_address, member.state.data_centre});
    }
  }
  return live;
}

}  // namespace filbertshift
