#include "src/admission/retry_after_planner.h"

#include <algorithm>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

// Share of the admitted rate that serves callers that return; the rest is taken
// up by new requests while requests are refused.
constexpr double kReturnShare = 0.25;
constexpr double kMinReturnsPerSecond = 0.2;
constexpr double kMinMs = 100;
// Callers wait for at most a third of their time.
constexpr double kMaxTimeLeftShare = 0.3;
constexpr double kJitter = 0.25;
// Bounds the memory; further refusals are planned as if these were all.
constexpr std::size_t kMaxReturns = 500;

// Uniform in [-1, 1).
double SignedFraction(std::uint64_t hash) {
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>(hash >> 11) * kScale * 2 - 1;
}

}  // namespace

milliseconds RetryAfterPlanner::Plan(const Refusal& refusal, TimePoint now) {
  std::size_t known = backlog(now);
  auto ahead = static_cast<double>(std::count_if(
      returns_.begin(), returns_.end(),
      [&](const auto& entry) { return entry.second <= refusal.priority; }));
  double per_second = std::max(refusal.admitted_per_second * kReturnShare,
                               kMinReturnsPerSecond);
  double ms = static_cast<double>(refusal.first_free.count()) +
              (ahead + 1) * 1000 / per_second;
  // Bounded before the jitter: callers at a bound would return together.
  double max_ms =
      static_cast<double>(refusal.time_left.count()) * kMaxTimeLeftShare;
  ms = std::min(std::max(ms, kMinMs / (1 - kJitter)), max_ms / (1 + kJitter));
  ms *= 1 + kJitter * SignedFraction(refusal.hash);
  // What the caller can wait takes precedence over the lower bound.
  ms = std::max(std::min(std::max(ms, kMinMs), max_ms), 1.0);
  milliseconds wait(static_cast<std::int64_t>(ms));
  if (known < kMaxReturns) {
    returns_.emplace(now + wait, refusal.priority);
  }
  return wait;
}

std::size_t RetryAfterPlanner::backlog(TimePoint now) {
  returns_.erase(returns_.begin(), returns_.upper_bound(now));
  return returns_.size();
}

}  // namespace filbertshift
