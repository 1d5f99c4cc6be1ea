#include "src/gateway/shutdown_schedule.h"

#include <algorithm>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCloseIdle{2200};
constexpr milliseconds kRefuse{2900};
constexpr milliseconds kEarliestExit{3300};
// Time to deliver the last answers, and to end before the process is killed.
constexpr milliseconds kDeliveryTime{400};
constexpr milliseconds kExitMargin{500};

}  // namespace

ShutdownSchedule MakeShutdownSchedule(milliseconds grace) {
  ShutdownSchedule schedule;
  schedule.exit = grace - std::min(kExitMargin, grace / 8);
  schedule.end_requests =
      schedule.exit - std::min(kDeliveryTime, schedule.exit / 8);
  // With a short grace period, requests get at least half of it.
  schedule.refuse = std::min(kRefuse, schedule.end_requests / 2);
  schedule.close_idle = std::min(kCloseIdle, schedule.refuse * 4 / 5);
  schedule.earliest_exit = std::min(kEarliestExit, schedule.end_requests);
  return schedule;
}

}  // namespace filbertshift
