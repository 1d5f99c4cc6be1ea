#include "emulator/engine/batch_model.h"

#include <algorithm>
#include <utility>

#include "emulator/tokens/tokens.h"

namespace filbertshift::emulator {

namespace {

// Fraction of KV memory in use above which the token time grows.
constexpr double kKvPressureThreshold = 0.9;
// Growth rate of the token time above the threshold: threefold at full memory,
// because engines then preempt and recompute whole requests.
constexpr double kKvPressureSlope = 20;

std::chrono::microseconds Scale(std::chrono::microseconds time, double factor) {
  return std::chrono::microseconds(
      static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

}  // namespace

BatchModel::BatchModel(EngineSettings settings, Time start)
    : settings_(std::move(settings)),
      cache_(settings_.prefix_cache_tokens),
      start_(start),
      warm_(settings_.start_warm),
      last_step_(start) {}

BatchAdmission BatchModel::Add(BatchRequestId id,
                               const std::string& prompt,
                               Time now) {
  const std::size_t total = running_.size() + waiting_.size();
  const std::optional<std::size_t> limit = RequestLimit(now);
  if (limit && total + 1 > *limit) {
    high_water_ = std::max(high_water_, total + 1);
    return BatchAdmission::kOverload;
  }
  if (waiting_.size() >= settings_.max_waiting &&
      running_.size() >= settings_.max_concurrency) {
    return BatchAdmission::kQueueFull;
  }
  high_water_ = std::max(high_water_, total + 1);
  waiting_.push_back({id, prompt});
  StartWaiting(now);
  return BatchAdmission::kAccepted;
}

void BatchModel::Remove(BatchRequestId id, Time now) {
  running_.erase(id);
  waiting_.erase(
      std::remove_if(waiting_.begin(), waiting_.end(),
                     [id](const Waiting& entry) { return entry.id == id; }),
      waiting_.end());
  StartWaiting(now);
}

void BatchModel::Restart(Time now) {
  running_.clear();
  waiting_.clear();
  cache_.Clear();
  start_ = now;
  last_step_ = now;
  warm_ = false;
  high_water_ = 0;
}

std::optional<BatchModel::Time> BatchModel::NextStep() const {
  if (running_.empty() || hung_) {
    return std::nullopt;
  }
  Time earliest = Time::max();
  for (const auto& [id, request] : running_) {
    earliest = std::min(earliest, request.prefill_end);
  }
  return std::max(earliest, last_step_ + StepTime());
}

std::vector<BatchRequestId> BatchModel::Step(Time now) {
  std::vector<BatchRequestId> served;
  const std::optional<Time> due = NextStep();
  if (!due || *due > now) {
    return served;
  }
  // A delay of up to one step does not shift the schedule of later steps.
  const bool late = now - *due > StepTime();
  last_step_ = late ? now : *due;
  for (auto& [id, request] : running_) {
    if (request.prefill_end <= now) {
      ++request.kv_tokens;
      served.push_back(id);
    }
  }
  return served;
}

std::optional<std::size_t> BatchModel::RequestLimit(Time now) const {
  const auto uptime = now - start_;
  if (warm_ || uptime >= settings_.cold_duration) {
    return std::nullopt;
  }
  const double warmup_fraction =
      std::chrono::duration<double>(uptime) /
      std::chrono::duration<double>(settings_.cold_duration);
  const double range = static_cast<double>(settings_.max_concurrency) -
                       static_cast<double>(settings_.cold_concurrency);
  return settings_.cold_concurrency +
         static_cast<std::size_t>(std::max(0.0, range) * warmup_fraction);
}

std::chrono::microseconds BatchModel::StepTime() const {
  const double concurrency = static_cast<double>(running_.size()) /
                             static_cast<double>(settings_.max_concurrency);
  const double kv_usage = static_cast<double>(KvTokens()) /
                          static_cast<double>(settings_.kv_capacity_tokens);
  const double kv_factor =
      1 + kKvPressureSlope * std::max(0.0, kv_usage - kKvPressureThreshold);
  const double load_factor = 1 + settings_.token_time_growth * concurrency;
  return Scale(settings_.base_token_time,
               load_factor * kv_factor * slowdown_factor_);
}

void BatchModel::StartWaiting(Time now) {
  while (!waiting_.empty() && running_.size() < settings_.max_concurrency) {
    const Waiting next = std::move(waiting_.front());
    waiting_.pop_front();
    const std::size_t tokens = CountPromptTokens(next.prompt);
    const std::size_t cached =
        std::min(tokens, cache_.LookupAndInsert(next.prompt));
    const auto prefill =
        Scale(settings_.prefill_time_per_token,
              static_cast<double>(tokens - cached) * slowdown_factor_);
    running_[next.id] = {now + prefill, tokens};
  }
}

std::size_t BatchModel::KvTokens() const {
  std::size_t tokens = 0;
  for (const auto& [id, request] : running_) {
    tokens += request.kv_tokens;
  }
  return tokens;
}

}  // namespace filbertshift::emulator
