// Sum whose parts decay exponentially with their age.

#ifndef SRC_ADMISSION_DECAYED_SUM_H_
#define SRC_ADMISSION_DECAYED_SUM_H_

#include <chrono>

#include "src/common/common.h"

namespace filbertshift {

class DecayedSum {
 public:
  // A part is down to 1/e of its value after `decay`.
  explicit DecayedSum(std::chrono::milliseconds decay) : decay_(decay) {}

  void Add(double value, TimePoint now);
  double ValueAt(TimePoint now) const;
  double PerSecond(TimePoint now) const;

 private:
  const std::chrono::milliseconds decay_;
  double value_ = 0;
  TimePoint updated_at_{};
};

}  // namespace filbertshift

#endif  // SRC_ADMISSION_DECAYED_SUM_H_
