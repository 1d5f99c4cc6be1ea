#include "src/policy/cascade_policy.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace filbertshift {

namespace {

// Weight of the estimate over all accounts, in ratings of the account itself. A
// new account starts from the estimate of its quality class.
constexpr double kMaxClassWeight = 10;

double ModelCost(const Configuration& configuration, const ModelId& model) {
  const Model* found = configuration.FindModel(model);
  return found == nullptr ? 0.0 : found->cost_per_1000_tokens;
}

}  // namespace

CascadePolicy::CascadePolicy(CascadeOptions options) : options_(options) {}

std::size_t CascadePolicy::SelectFirstModel(const QualityClass& quality_class,
                                            const AccountId& account,
                                            const Configuration& configuration,
                                            const std::vector<bool>& usable,
                                            double exploration_draw) const {
  const std::vector<ModelId>& cascade = quality_class.cascade;
  std::size_t first = cascade.size();
  std::size_t best = cascade.size();
  double best_cost = std::numeric_limits<double>::infinity();
  // Expected cost of the cascade from model i onwards, computed backwards.
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
      quality_class.quality_target <= 0 ||
      exploration_draw < options_.exploration) {
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
  double decay = 1.0 - 1.0 / options_.effective_ratings;
  for (Counts* counts : {&counts_[{quality_class.name, account, model}],
                         &class_counts_[{quality_class.name, model}]}) {
    counts->passes = counts->passes * decay + (pass ? 1.0 : 0.0);
    counts->fails = counts->fails * decay + (pass ? 0.0 : 1.0);
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
  double weight = std::min(kMaxClassWeight, all_total);
  return (own.passes + weight * class_estimate) /
         (own.passes + own.fails + weight);
}

}  // namespace filbertshift
