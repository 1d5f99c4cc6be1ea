#include "src/fleet/rate_meter.h"

#include <chrono>

namespace filbertshift {

namespace {

// Window of the rate. Instances publish their counts once per second during a
// rollout.
constexpr std::chrono::milliseconds kRateWindow{4000};

}  // namespace

void RateMeter::Add(std::int64_t value, TimePoint now) {
  if (!samples_.empty() && value < samples_.back().value) {
    samples_.clear();
  }
  samples_.push_back({value, now});
  while (samples_.size() > 2 && now - samples_[1].at >= kRateWindow) {
    samples_.pop_front();
  }
}

double RateMeter::PerSecond() const {
  if (samples_.size() < 2) {
    return 0;
  }
  std::chrono::duration<double> elapsed =
      samples_.back().at - samples_.front().at;
  auto increase =
      static_cast<double>(samples_.back().value - samples_.front().value);
  return elapsed.count() > 0 ? increase / elapsed.count() : 0;
}

}  // namespace filbertshift
