// A list whose changes become visible after a configurable lag.

#ifndef EMULATOR_INSTANCES_LAGGED_LIST_H_
#define EMULATOR_INSTANCES_LAGGED_LIST_H_

#include <chrono>
#include <deque>

#include "emulator/http/http_message.h"
#include "emulator/http/task_scheduler.h"

namespace filbertshift::emulator {

// Not thread-safe.
class LaggedList {
 public:
  // Makes `list` visible after the lag. `now` must not decrease between calls.
  void Replace(Json list, SteadyTime now);
  // Returns the list visible to readers at `now`, which must not decrease
  // between calls.
  const Json& VisibleAt(SteadyTime now);
  const Json& newest() const;

  void set_lag(std::chrono::milliseconds lag) { lag_ = lag; }
  // While stale, readers see the list that was visible when it became stale.
  void set_stale(bool stale, SteadyTime now);

 private:
  struct Change {
    SteadyTime visible;
    Json list;
  };

  std::chrono::milliseconds lag_{0};
  bool stale_ = false;
  Json visible_ = Json::array();
  // Changes that are not visible yet, oldest first.
  std::deque<Change> pending_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_INSTANCES_LAGGED_LIST_H_
