// Tells a slow version from a sound one by the times of its responses. See
// docs/decisions/0010-slow-versions.md.

#ifndef SRC_FLEET_TIME_COMPARISON_H_
#define SRC_FLEET_TIME_COMPARISON_H_

#include <map>
#include <string>

#include "src/fleet/rollout_evidence.h"

namespace filbertshift {

using CountsByRoute = std::map<std::string, AnswerCounts>;

enum class TimeVerdict {
  kNotSlow,
  // Probably slower; more responses may decide it.
  kSuspect,
  kSlow,
};

TimeVerdict CompareTimes(const CountsByRoute& candidate,
                         const CountsByRoute& stable);

}  // namespace filbertshift

#endif  // SRC_FLEET_TIME_COMPARISON_H_
