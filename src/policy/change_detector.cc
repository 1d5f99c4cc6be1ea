#include "src/policy/change_detector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace filbertshift {

namespace {

constexpr double kMinReferenceShare = 0.001;
constexpr double kMaxReferenceShare = 0.98;

}  // namespace

// By Lorden's bound, the mean number of responses until a false alarm of one
// sum is at least exp(threshold). The false alarm rates of several sums add up.
ChangeDetector::ChangeDetector(ChangeDetectorOptions options)
    : options_(std::move(options)),
      threshold_(std::log(static_cast<double>(options_.increases.size()) /
                          options_.false_alarm_per_answer)),
      sums_(options_.increases.size(), 0.0) {}

bool ChangeDetector::Add(bool bad, double reference) {
  double normal = std::clamp(reference, kMinReferenceShare, kMaxReferenceShare);
  for (std::size_t i = 0; i < sums_.size(); ++i) {
    double increased = std::min(normal + options_.increases[i], 0.99);
    double step = bad ? std::log(increased / normal)
                      : std::log((1.0 - increased) / (1.0 - normal));
    sums_[i] = std::max(0.0, sums_[i] + step);
    alarmed_ = alarmed_ || sums_[i] >= threshold_;
  }
  return alarmed_;
}

void ChangeDetector::Reset() {
  std::fill(sums_.begin(), sums_.end(), 0.0);
  alarmed_ = false;
}

}  // namespace filbertshift
