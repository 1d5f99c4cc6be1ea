// State that an instance publishes to the others in its store row.

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
  // "ip:port" at which other instances connect.
  std::string peer_address;
  // Empty for an instance of an earlier version.
  DataCentreId data_centre;
  // Distinguishes successive processes of one instance.
  std::uint64_t incarnation = 0;
  // Heartbeat counter, incremented with each write so that the row changes.
  std::uint64_t beat = 0;
  RolloutEvidence evidence;
  // Requests in flight on versions other than the candidate, per service.
  std::map<ServiceId, int> stable_in_flight;
  // Hashes of sessions that are kept on the stable version during a rollout.
  std::vector<std::uint32_t> kept_sessions;
};

std::string EncodeMemberState(const MemberState& state);
// Returns an empty value if the text is not a valid instance row.
std::optional<MemberState> DecodeMemberState(const std::string& text);

}  // namespace filbertshift

#endif  // SRC_FLEET_MEMBER_STATE_H_
