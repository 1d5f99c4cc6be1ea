// What each instance tells the others through its row in the store.

#ifndef SRC_FLEET_MEMBER_STATE_H_
#define SRC_FLEET_MEMBER_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/fleet/rollout_evidence.h"

namespace filbertshift {

struct MemberState {
  InstanceId instance;
  // "ip:port" for the other instances.
  std::string peer_address;
  // Distinguishes the lives of one instance.
  std::uint64_t incarnation = 0;
  // Grows with each write, so that a live instance's row changes.
  std::uint64_t beat = 0;
  RolloutEvidence evidence;
  // Requests that run on versions other than the candidate.
  std::map<ServiceId, int> stable_in_flight;
  // Hashes of sessions that stay on the stable version of a rollout.
  std::vector<std::uint32_t> kept_sessions;
};

std::string EncodeMemberState(const MemberState& state);
// Empty if the text is not a member's row.
std::optional<MemberState> DecodeMemberState(const std::string& text);

}  // namespace filbertshift

#endif  // SRC_FLEET_MEMBER_STATE_H_
