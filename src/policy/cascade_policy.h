// Chooses the model on which a request of a cascade starts, and whether an
// answer is good enough.

#ifndef SRC_POLICY_CASCADE_POLICY_H_
#define SRC_POLICY_CASCADE_POLICY_H_

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "src/config/config.h"

namespace filbertshift {

// How the first model is chosen; all but kLearned are baselines.
enum class CascadeMode { kLearned, kAlwaysCheapest, kAlwaysBest };

struct CascadeOptions {
  CascadeMode mode = CascadeMode::kLearned;
  // Assumed passes and fails of a model without ratings.
  double prior_passes = 1;
  double prior_fails = 1;
  // Ratings that count; older ones fade out, so that a change is learnt.
  double memory_ratings = 500;
  // Share of requests that start on the cheapest model although the estimate
  // speaks against it, so that an improvement is noticed.
  double exploration = 0.02;
};

class CascadePolicy {
 public:
  explicit CascadePolicy(CascadeOptions options);

  // Index in quality_class.cascade of the model to start with. `explore` is a
  // random number in [0, 1). The start is the one with the least expected cost
  // per delivered answer, where a failed answer costs its own price and is
  // followed by the next model that the account may use. Models for which
  // `usable` is false are left out; returns cascade.size() if none is usable.
  std::size_t Start(const QualityClass& quality_class,
                    const AccountId& account,
                    const Configuration& configuration,
                    const std::vector<bool>& usable,
                    double explore) const;

  // The rating of an answer from 0 to 1.
  void OnRating(const QualityClass& quality_class,
                const AccountId& account,
                const ModelId& model,
                double score);

  // Estimated chance that an answer of the model reaches the class's target.
  double PassProbability(const std::string& quality_class,
                         const AccountId& account,
                         const ModelId& model) const;

 private:
  struct Counts {
    double passes = 0;
    double fails = 0;
  };
  using Key = std::tuple<std::string, AccountId, ModelId>;

  double Estimate(const Counts& own, const Counts& all) const;

  const CascadeOptions options_;
  std::map<Key, Counts> counts_;
  // Over all client accounts; the prior of each account.
  std::map<std::pair<std::string, ModelId>, Counts> class_counts_;
};

}  // namespace filbertshift

#endif  // SRC_POLICY_CASCADE_POLICY_H_
