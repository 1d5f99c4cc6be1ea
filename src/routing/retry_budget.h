// Shared token bucket for retries, hedges and escalations, filled by first
// attempts, so that the load added by failures is bounded.

#ifndef SRC_ROUTING_RETRY_BUDGET_H_
#define SRC_ROUTING_RETRY_BUDGET_H_

namespace filbertshift {

struct RetryBudgetOptions {
  // Tokens added by each first attempt.
  double ratio = 0.1;
  // Initial and maximum number of tokens; lets an idle instance retry the
  // requests of one lost endpoint.
  double capacity = 20;
};

class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options);
  void OnFirstAttempt();
  // Adds the probability that a first attempt is escalated, so that only
  // escalations above the expected rate use tokens meant for failures.
  void AddExpectedEscalations(double probability);
  // Takes one token; returns false if there is none.
  bool TryTake();
  double tokens() const { return tokens_; }

 private:
  const RetryBudgetOptions options_;
  // Invariant: 0 <= tokens_ <= options_.capacity.
  double tokens_;
};

}  // namespace filbertshift

#endif  // SRC_ROUTING_RETRY_BUDGET_H_
