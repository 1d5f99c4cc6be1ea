#include "src/routing/retry_budget.h"

#include <algorithm>

namespace filbertshift {

namespace {

// Ten additions of 0.1 yield slightly less than 1 in floating point.
constexpr double kRoundingTolerance = 1e-9;

}  // namespace

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : options_(options), tokens_(options.capacity) {}

void RetryBudget::OnFirstAttempt() {
  tokens_ = std::min(options_.capacity, tokens_ + options_.ratio);
}

void RetryBudget::AddExpectedEscalations(double probability) {
  tokens_ = std::min(options_.capacity, tokens_ + probability);
}

bool RetryBudget::TryTake() {
  if (tokens_ < 1 - kRoundingTolerance) {
    return false;
  }
  tokens_ = std::max(0.0, tokens_ - 1);
  return true;
}

}  // namespace filbertshift
