// Tests whether the times of a candidate version are longer than those of the
// stable one, by scores that depend on the stable version's times only.

#ifndef SRC_FLEET_TIME_SCORE_H_
#define SRC_FLEET_TIME_SCORE_H_

#include <array>
#include <cstdint>
#include <optional>

#include "src/fleet/time_histogram.h"

namespace filbertshift {

// Score of a response by the bin of its time. Longer times never score less.
struct TimeScores {
  // Invariant: the mean over the stable version's responses is zero.
  std::array<double, TimeHistogram::kBins> scores{};
  // Variance over the stable version's responses, or an upper bound of it.
  double variance = 0;
  // By how much the mean score of a sound candidate may be above zero: caches
  // that are still cold and endpoints farther away raise it.
  double allowed_excess = 0;
};

// Rank of a response among those of the stable version (Mann-Whitney), from
// -0.5 to 0.5. Every response counts the same, so that a share of slow
// responses shows as well as a shift of all of them, and a few very slow ones
// do not dominate.
TimeScores RankScores(const TimeHistogram& stable);

// Logarithm of the likelihood ratio between a version that is twice as slow for
// half of its responses and the stable one. Such a
// version shows in the times that few responses of the stable one have; ranks
// spend their range on the times that most responses have.
TimeScores MixtureScores(const TimeHistogram& stable);

// Sum of scores over one or several routes: times are scored by those of the
// same route only.
class ScoreTest {
 public:
  // `allowed_bins`: by how many bins the candidate's times may be longer.
  void AddRoute(const TimeHistogram& candidate,
                std::int64_t stable_responses,
                const TimeScores& scores,
                int allowed_bins);

  std::int64_t responses() const { return responses_; }
  // Standard deviations by which the responses that `rest` lacks are slower
  // than those that it has.
  double DeviationsOfOthers(const ScoreTest& rest) const;
  // Standard deviations by which the candidate is slower than allowed; empty
  // if there are too few responses.
  std::optional<double> Deviations() const;

 private:
  std::int64_t responses_ = 0;
  double sum_ = 0;
  double allowed_sum_ = 0;
  // Variance of `sum_` for equal versions.
  double variance_ = 0;
};

}  // namespace filbertshift

#endif  // SRC_FLEET_TIME_SCORE_H_
