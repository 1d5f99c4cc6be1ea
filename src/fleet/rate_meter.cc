#include "src/fleet/rate_meter.h"

#include <chrono>

namespace filbertshift {

namespace {

// Time over which the rate is taken. Instances tell their counts once a second
// during a rollout.
constexpr std::chrono::milliseconds kRateTime{4000};

}  // namespace

void RateMeter::Add(std::int64_t value, TimePoint now) {
  if (!samples_.empty() && value < samples_.back().value) {
    samples_.clear();
  }
  samples_.push_back({value, now});
  while (samples_.size() > 2 && now - samples_[1].at >= kRateTime) {
    samples_.pop_front();
  }
}

double RateMeter::PerSecond() const {
  if (samples_.size() < 2) {
    return 0;
  }
  std::chrono::duration<double> time = samples_.back().at - samples_.front().at;
  auto grown =
      static_cast<double>(samples_.back().value - samples_.front().value);
  return time.count() > 0 ? grown / time.count() : 0;
}

}  // namespace filbertshift
