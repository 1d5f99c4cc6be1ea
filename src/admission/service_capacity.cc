#include "src/admission/service_capacity.h"

#include <algorithm>
#include <vector>

namespace filbertshift {

namespace {

// An instance of a fleet of 340 sees about one response a second.
constexpr std::size_t kMaxSamples = 64;
constexpr std::chrono::seconds kMaxSampleAge{30};
constexpr std::size_t kMinSamples = 8;
// The sample at size / kQuantileDivisor: one endpoint in seven may be slow, and
// more than half of the responses wait in a queue under load.
constexpr std::size_t kQuantileDivisor = 5;
constexpr std::chrono::seconds kMeanInterval{1};
constexpr double kMinServiceMs = 0.1;

}  // namespace

void ServiceCapacity::OnAnswer(std::chrono::microseconds time, TimePoint now) {
  samples_.push_back({now, static_cast<double>(time.count()) / 1000});
  if (samples_.size() > kMaxSamples) {
    samples_.pop_front();
  }
  service_ms_.reset();
}

void ServiceCapacity::OnReportedMean(double ms, TimePoint now) {
  if (ms <= 0) {
    return;
  }
  if (means_.empty() || now - means_.back().at >= kMeanInterval) {
    means_.push_back({now, ms});
  } else {
    means_.back().ms = std::min(means_.back().ms, ms);
  }
  while (now - means_.front().at > kMaxSampleAge) {
    means_.pop_front();
  }
}

std::optional<double> ServiceCapacity::ServiceMs(TimePoint now) {
  std::optional<double> lowest = QuantileMs(now);
  for (const Sample& mean : means_) {
    if (now - mean.at <= kMaxSampleAge) {
      lowest = std::min(lowest.value_or(mean.ms), mean.ms);
    }
  }
  return lowest;
}

std::optional<double> ServiceCapacity::QuantileMs(TimePoint now) {
  while (!samples_.empty() && now - samples_.front().at > kMaxSampleAge) {
    samples_.pop_front();
    service_ms_.reset();
  }
  if (samples_.size() < kMinSamples) {
    return std::nullopt;
  }
  if (!service_ms_.has_value()) {
    std::vector<double> times;
    for (const Sample& sample : samples_) {
      times.push_back(sample.ms);
    }
    auto low = times.begin() +
               static_cast<std::ptrdiff_t>(times.size() / kQuantileDivisor);
    std::nth_element(times.begin(), low, times.end());
    service_ms_ = std::max(*low, kMinServiceMs);
  }
  return service_ms_;
}

}  // namespace filbertshift
