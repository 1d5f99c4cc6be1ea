// Measures the rate of a counter over the last few seconds.

#ifndef SRC_FLEET_RATE_METER_H_
#define SRC_FLEET_RATE_METER_H_

#include <cstdint>
#include <deque>

#include "src/common/common.h"

namespace filbertshift {

class RateMeter {
 public:
  // Adds the counter's value at `now`. A decrease resets the measurement.
  void Add(std::int64_t value, TimePoint now);
  // 0 until two values have been added.
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
