// One budget for retries, hedges and escalations, filled by first attempts, so
// that failures add a bounded share of load.

#ifndef SRC_ROUTING_RETRY_BUDGET_H_
#define SRC_ROUTING_RETRY_BUDGET_H_

namespace filbertshift {

struct RetryBudgetOptions {
  // Tokens that each first attempt adds.
  double ratio = 0.1;
  // Tokens at the start and the most that can be saved; lets an idle instance
  // retry the requests of one lost endpoint.
  double capacity = 20;
};

class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options);
  void OnFirstAttempt();
  // Adds the share of an escalation that a first attempt is expected to need,
  // so that only unexpected ones draw on the budget of failures.
  void Prepay(double share);
  // Takes one token; false if there is none.
  bool TryTake();
  double tokens() const { return tokens_; }

 private:
  const RetryBudgetOptions options_;
  // Invariant: 0 <= tokens_ <= options_.capacity.
  double tokens_;
};

}  // namespace filbertshift

#endif  // SRC_ROUTING_RETRY_BUDGET_H_
