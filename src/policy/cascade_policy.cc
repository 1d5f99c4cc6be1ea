#include "src/policy/cascade_policy.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace filbertshift {

namespace {

// Ratings of all accounts weigh like this many of the account's own, so that a
// new account starts from what is known of its class.
constexpr double kClassWeight = 10;

double ModelCost(const Configuration& configuration, const ModelId& model) {
  const Model* found = configuration.FindModel(model);
  return found == nullptr ? 0.0 : found->cost_per_1000_tokens;
}

}  // namespace

CascadePolicy::CascadePolicy(CascadeOptions options) : options_(options) {}

std::size_t CascadePolicy::Start(const QualityClass& quality_class,
                                 const AccountId& account,
                                 const Configuration& configuration,
                                 const std::vector<bool>& usable,
                                 double explore) const {
  const std::vector<ModelId>& cascade = quality_class.cascade;
  std::size_t first = cascade.size();
  std::size_t best = cascade.size();
  double best_cost = std::numeric_limits<double>::infinity();
  // Cost of the cascade from model i on, computed from its end.
  double cost_after = 0;
  for (std::size_t i = cascade.size(); i-- > 0;) {
    if (!usable[i]) {
      continue;
    }
    double pass = PassProbability(quality_class.name, account, cascade[i]);
    bool is_last = first == cascade.size();
    double cost = ModelCost(configuration, cascade[i]) +
                  (is_last ? 0.0 : (1.0 - pass) * cost_after);
    cost_after = cost;
    first = i;
    if (cost <= best_cost) {
      best_cost = cost;
      best = i;
    }
  }
  if (options_.mode == CascadeMode::kAlwaysCheapest ||
      quality_class.quality_target <= 0 || explore < options_.exploration) {
    return first;
  }
  if (options_.mode == CascadeMode::kAlwaysBest) {
    for (std::size_t i = cascade.size(); i-- > 0;) {
      if (usable[i]) {
        return i;
      }
    }
  }
  return best;
}

void CascadePolicy::OnRating(const QualityClass& quality_class,
                             const AccountId& account,
                             const ModelId& model,
                             double score) {
  bool pass = score >= quality_class.quality_target;
  double fade = 1.0 - 1.0 / options_.memory_ratings;
  for (Counts* counts : {&counts_[{quality_class.name, account, model}],
                         &class_counts_[{quality_class.name, model}]}) {
    counts->passes = counts->passes * fade + (pass ? 1.0 : 0.0);
    counts->fails = counts->fails * fade + (pass ? 0.0 : 1.0);
  }
}

double CascadePolicy::PassProbability(const std::string& quality_class,
                                      const AccountId& account,
                                      const ModelId& model) const {
  auto own = counts_.find({quality_class, account, model});
  auto all = class_counts_.find({quality_class, model});
  return Estimate(own == counts_.end() ? Counts() : own->second,
                  all == class_counts_.end() ? Counts() : all->second);
}

double CascadePolicy::Estimate(const Counts& own, const Counts& all) const {
  double all_passes = all.passes + options_.prior_passes;
  double all_total =
      all.passes + all.fails + options_.prior_passes + options_.prior_fails;
  double class_estimate = all_passes / all_total;
  double weight = std::min(kClassWeight, all_total);
  return (own.passes + weight * class_estimate) /
         (own.passes + own.fails + weight);
}

}  // namespace filbertshift
