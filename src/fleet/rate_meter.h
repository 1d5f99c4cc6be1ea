// Rate of a counter over the latest seconds.

#ifndef SRC_FLEET_RATE_METER_H_
#define SRC_FLEET_RATE_METER_H_

#include <cstdint>
#include <deque>

#include "src/common/common.h"

namespace filbertshift {

class RateMeter {
 public:
  // The counter's value at `now`; a lower one than before starts anew.
  void Add(std::int64_t value, TimePoint now);
  // 0 before the second value.
  double PerSecond() const;

 private:
  struct Sample {
    std::int64_t value;
    TimePoint at;
  };
  std::deque<Sample> samples_;
};

}  // namespace filbertshift

#endif  // SRC_FLEET_RATE_METER_H_
