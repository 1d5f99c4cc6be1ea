// Measures the time in which instances could show that they are live. While the
// member rows cannot be read or written, no instance can, and the time must not
// count against any: otherwise each instance would consider itself the only one
// after an outage of the store and use all of the limits that they share.

#ifndef SRC_FLEET_MEMBER_CLOCK_H_
#define SRC_FLEET_MEMBER_CLOCK_H_

#include <chrono>
#include <optional>

#include "src/common/common.h"

namespace filbertshift {

class MemberClock {
 public:
  // The member rows were current at `now`. `any_changed`: some row has changed
  // since the previous read.
  void OnRead(bool any_changed, TimePoint now);
  // Runs only while rows are read and change.
  std::chrono::milliseconds elapsed() const { return elapsed_; }

 private:
  std::chrono::milliseconds elapsed_{0};
  // Time without a change, up to the latest read.
  std::chrono::milliseconds quiet_{0};
  std::optional<TimePoint> read_at_;
};

}  // namespace filbertshift

#endif  // SRC_FLEET_MEMBER_CLOCK_H_
