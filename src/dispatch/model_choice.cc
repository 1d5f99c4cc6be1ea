#include "src/dispatch/model_choice.h"

#include <algorithm>
#include <iterator>

namespace filbertshift {

namespace {

using std::chrono::microseconds;

// Responses of a smaller model with at least this confidence are kept.
constexpr int kMinConfidence = 55;
// Each new time to first byte has a weight of 1 / kFirstByteAverageLength.
constexpr int kFirstByteAverageLength = 30;
// Times to first byte, in percent of the objective, above which requests no
// longer escalate, for priorities 0, 1 and all others: beyond them the load of
// the larger model makes more responses late than it improves.
constexpr int kMaxWaitPercent[] = {120, 80, 50};
// Prompt processing is interleaved with token generation of the active
// responses. A prompt that takes longer than this percentage of their event gap
// objective makes most of them miss it.
constexpr int kMaxPromptGapPercent = 150;
// Weight of the latest prompt in the average time per token, and the minimum
// prompt length: shorter prompts say too little about that time.
constexpr double kPromptWeight = 0.05;
constexpr double kMinMeasuredPromptTokens = 8000;

}  // namespace

void FirstByteWaitEstimator::OnFirstByte(const ServiceId& service,
                                         microseconds time) {
  microseconds& average = estimates_[service].first_byte_average;
  average += (time - average) / kFirstByteAverageLength;
}

void FirstByteWaitEstimator::SetPendingMean(const ServiceId& service,
                                            microseconds mean) {
  estimates_[service].pending_mean = mean;
}

microseconds FirstByteWaitEstimator::Estimate(const ServiceId& service) const {
  auto found = estimates_.find(service);
  return found == estimates_.end() ? microseconds(0)
                                   : std::max(found->second.first_byte_average,
                                              found->second.pending_mean);
}

void PromptTimeEstimator::OnFirstByte(const ServiceId& service,
                                      double tokens,
                                      microseconds time) {
  if (tokens >= kMinMeasuredPromptTokens) {
    auto estimate =
        estimates_.emplace(service, MovingAverage(kPromptWeight)).first;
    estimate->second.Add(static_cast<double>(time.count()) / tokens);
  }
}

microseconds PromptTimeEstimator::TimeFor(const ServiceId& service,
                                          double tokens) const {
  auto found = estimates_.find(service);
  return found == estimates_.end() ? microseconds(0)
                                   : microseconds(static_cast<std::int64_t>(
                                         tokens * found->second.value()));
}

ModelId FirstModel(const Route& route) {
  return route.repeatable() ? route.models.front() : route.models.back();
}

std::optional<ModelId> SelectEscalationModel(
    const Route& route,
    const StartedResponse& answer,
    microseconds wait,
    const std::function<microseconds(const ModelId&)>& prompt_time) {
  auto priority_index =
      std::clamp<std::size_t>(static_cast<std::size_t>(route.priority), 0,
                              std::size(kMaxWaitPercent) - 1);
  bool overloaded =
      wait > route.objective * kMaxWaitPercent[priority_index] / 100;
  if (answer.confidence >= kMinConfidence || overloaded) {
    return std::nullopt;
  }
  microseconds limit = route.objective - answer.elapsed;
  if (route.event_gap_objective.count() > 0) {
    limit = std::min<microseconds>(
        limit, route.event_gap_objective * kMaxPromptGapPercent / 100);
  }
  for (auto model = route.models.rbegin();
       model != route.models.rend() && *model != answer.model; ++model) {
    if (prompt_time(*model) <= limit) {
      return *model;
    }
  }
  return std::nullopt;
}

}  // namespace filbertshift
