#include "src/dispatch/model_choice.h"

#include <algorithm>
#include <iterator>

namespace filbertshift {

namespace {

using std::chrono::microseconds;

// Confidence from which the answer of a smaller model stands.
constexpr int kMinConfidence = 55;
// A first byte counts for one part in this many of the moving average.
constexpr int kAverageLength = 30;
// Waits, in percent of the objective, from which no more answers are dropped,
// for priorities 0, 1 and all others: the larger model would make more answers
// late than it makes right.
constexpr int kMaxWaitPercent[] = {120, 80, 50};

}  // namespace

void WaitGauge::OnFirstByte(const ServiceId& service, microseconds time) {
  microseconds& average = gauges_[service].answered;
  average += (time - average) / kAverageLength;
}

void WaitGauge::SetWaiting(const ServiceId& service, microseconds mean) {
  gauges_[service].waiting = mean;
}

microseconds WaitGauge::Wait(const ServiceId& service) const {
  auto found = gauges_.find(service);
  return found == gauges_.end()
             ? microseconds(0)
             : std::max(found->second.answered, found->second.waiting);
}

ModelId FirstModel(const Route& route) {
  return route.models.front();
}

std::optional<ModelId> LargerModel(const Route& route,
                                   const ModelId& current,
                                   int confidence,
                                   microseconds wait) {
  const ModelId& largest = route.models.back();
  auto position =
      std::clamp<std::size_t>(static_cast<std::size_t>(route.priority), 0,
                              std::size(kMaxWaitPercent) - 1);
  bool loaded = wait > route.objective * kMaxWaitPercent[position] / 100;
  if (current == largest || confidence >= kMinConfidence || loaded) {
    return std::nullopt;
  }
  return largest;
}

}  // namespace filbertshift
