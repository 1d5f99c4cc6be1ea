#include "src/admission/decayed_sum.h"

#include <algorithm>
#include <cmath>

namespace filbertshift {

void DecayedSum::Add(double value, TimePoint now) {
  value_ = ValueAt(now) + value;
  updated_at_ = std::max(updated_at_, now);
}

double DecayedSum::ValueAt(TimePoint now) const {
  if (value_ == 0) {
    return 0;
  }
  std::chrono::duration<double, std::milli> age =
      std::max(now, updated_at_) - updated_at_;
  return value_ * std::exp(-age.count() / static_cast<double>(decay_.count()));
}

double DecayedSum::PerSecond(TimePoint now) const {
  return ValueAt(now) / std::chrono::duration<double>(decay_).count();
}

}  // namespace filbertshift
