#include "src/routing/failure_detector.h"

#include <algorithm>
#include <cmath>

namespace filbertshift {

FailureDetector::FailureDetector(FailureDetectorOptions options)
    : options_(options) {}

void FailureDetector::Observe(const EndpointId& endpoint,
                              DelayKind kind,
                              std::chrono::microseconds delay) {
  windows_[{endpoint, kind}].Add(delay,
                                 std::max<std::size_t>(options_.window, 1));
}

std::chrono::milliseconds FailureDetector::Timeout(const EndpointId& endpoint,
                                                   DelayKind kind) const {
  const std::chrono::milliseconds fixed = FixedTimeout(kind);
  const auto found = windows_.find({endpoint, kind});
  if (!options_.adaptive || found == windows_.end() ||
      found->second.size() < options_.min_samples) {
    return fixed;
  }
  const DelayWindow& window = found->second;
  const double timeout_us =
      window.Mean() + options_.deviation_factor * window.Deviation();
  const std::chrono::milliseconds timeout =
      options_.margin +
      std::chrono::milliseconds(std::llround(timeout_us / 1000));
  // The fixed timeout takes precedence if it is below min_timeout.
  return std::min(std::max(timeout, options_.min_timeout), fixed);
}

void FailureDetector::ClearSamples(const EndpointId& endpoint) {
  for (DelayKind kind :
       {DelayKind::kFirstToken, DelayKind::kTokenGap, DelayKind::kProbe}) {
    windows_.erase({endpoint, kind});
  }
}

std::chrono::milliseconds FailureDetector::FixedTimeout(DelayKind kind) const {
  switch (kind) {
    case DelayKind::kFirstToken:
      return options_.max_first_token;
    case DelayKind::kTokenGap:
      return options_.max_token_gap;
    case DelayKind::kProbe:
      return options_.max_probe;
  }
  return options_.max_first_token;
}

}  // namespace filbertshift
