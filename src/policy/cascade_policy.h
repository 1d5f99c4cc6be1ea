// Selects the model on which a request of a cascade starts, based on the
// ratings of earlier responses.

#ifndef SRC_POLICY_CASCADE_POLICY_H_
#define SRC_POLICY_CASCADE_POLICY_H_

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "src/config/config.h"

namespace filbertshift {

// How the first model is selected. Modes other than kLearned are baselines.
enum class CascadeMode { kLearned, kAlwaysCheapest, kAlwaysBest };

struct CascadeOptions {
  CascadeMode mode = CascadeMode::kLearned;
  // Prior counts of passes and fails for a model without ratings.
  double prior_passes = 1;
  double prior_fails = 1;
  // Effective number of ratings in an estimate. Older ratings decay, so that
  // the estimate follows changes.
  double effective_ratings = 500;
  // Share of requests that start on the cheapest model even if its estimate is
  // worse, so that an improvement is detected.
  double exploration = 0.02;
};

class CascadePolicy {
 public:
  explicit CascadePolicy(CascadeOptions options);

  // Returns the index in quality_class.cascade of the model to start with.
  // `exploration_draw` is a random number in [0, 1). Minimises the expected
  // cost per delivered response: a response that fails the quality target costs
  // its own price and is followed by the next usable model. Models for which
  // `usable` is false are skipped; returns cascade.size() if none is usable.
  std::size_t SelectFirstModel(const QualityClass& quality_class,
                               const AccountId& account,
                               const Configuration& configuration,
                               const std::vector<bool>& usable,
                               double exploration_draw) const;

  // Records the rating of a response, from 0 to 1.
  void OnRating(const QualityClass& quality_class,
                const AccountId& account,
                const ModelId& model,
                double score);

  // Estimated probability that a response of the model reaches the quality
  // target of the class.
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
  // Totals over all client accounts, used as the prior of each account.
  std::map<std::pair<std::string, ModelId>, Counts> class_counts_;
};

}  // namespace filbertshift

#endif  // SRC_POLICY_CASCADE_POLICY_H_
