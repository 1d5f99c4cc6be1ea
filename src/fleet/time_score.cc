#include "src/fleet/time_score.h"

#include <algorithm>
#include <cmath>

namespace filbertshift {

namespace {

constexpr int kBins = TimeHistogram::kBins;
constexpr std::int64_t kMinTimedAnswers = 8;
// Allowed excess of the probability that a response of the candidate takes
// longer than one of the stable version over one half, and about the same for
// the mixture scores, in standard deviations of one response.
constexpr double kAllowedRankExcess = 0.05;
constexpr double kAllowedMixtureDeviations = 0.17;
// The slow version that the mixture scores are made for: this share of its
// responses takes twice as long. It also finds other shares and factors; scores
// for a factor of 1.7 found fewer with large factors and more sound versions.
constexpr double kSlowShare = 0.5;
constexpr int kSlowBins = TimeHistogram::kBinsPerDoubling;
// Responses beyond the stable version's times must not decide by a few.
constexpr double kMaxMixtureScore = 1.5;
// Share of responses of the stable version that is assumed to be spread over
// all bins, because its histogram has few in its tail.
constexpr double kSpreadShare = 0.02;
// Minimum variance of the mixture scores: without it one delayed response would
// decide where all times of the stable version are the same.
constexpr double kMinMixtureVariance = 0.25;

double Count(const TimeHistogram& times, int bin) {
  return bin >= 0 && bin < kBins ? static_cast<double>(times.count(bin)) : 0;
}

// Probability of the bin, smoothed over its neighbours.
double Density(const TimeHistogram& times, int bin) {
  double spread = kSpreadShare / kBins;
  if (bin < 0) {
    return spread;
  }
  double near = Count(times, bin - 1) / 4 + Count(times, bin) / 2 +
                Count(times, bin + 1) / 4;
  return near / static_cast<double>(times.total()) + spread;
}

}  // namespace

TimeScores RankScores(const TimeHistogram& stable) {
  TimeScores result;
  auto total = static_cast<double>(stable.total());
  double below = 0;
  double tied_cubes = 0;
  for (int bin = 0; bin < kBins; ++bin) {
    double in_bin = Count(stable, bin) / total;
    result.scores[static_cast<std::size_t>(bin)] = below + in_bin / 2 - 0.5;
    below += in_bin;
    tied_cubes += std::pow(in_bin, 3);
  }
  result.variance = (1 - tied_cubes) / 12;
  result.allowed_excess = kAllowedRankExcess;
  return result;
}

TimeScores MixtureScores(const TimeHistogram& stable) {
  TimeScores result;
  auto total = static_cast<double>(stable.total());
  double longest = std::log(1 - kSlowShare);
  double mean = 0;
  for (int bin = 0; bin < kBins; ++bin) {
    double ratio = Density(stable, bin - kSlowBins) / Density(stable, bin);
    double score = std::min(std::log(1 - kSlowShare + kSlowShare * ratio),
                            kMaxMixtureScore);
    longest = std::max(longest, score);
    result.scores[static_cast<std::size_t>(bin)] = longest;
    mean += longest * Count(stable, bin) / total;
  }
  double variance = 0;
  for (int bin = 0; bin < kBins; ++bin) {
    double& score = result.scores[static_cast<std::size_t>(bin)];
    score -= mean;
    variance += score * score * Count(stable, bin) / total;
  }
  result.variance = std::max(variance, kMinMixtureVariance);
  result.allowed_excess =
      kAllowedMixtureDeviations * std::sqrt(result.variance);
  return result;
}

void ScoreTest::AddRoute(const TimeHistogram& candidate,
                         std::int64_t stable_responses,
                         const TimeScores& scores,
                         int allowed_bins) {
  for (int bin = 0; bin < kBins; ++bin) {
    auto scored_bin = static_cast<std::size_t>(std::max(bin - allowed_bins, 0));
    sum_ += Count(candidate, bin) * scores.scores[scored_bin];
  }
  auto responses = static_cast<double>(candidate.total());
  variance_ += responses *
               (1 + responses / static_cast<double>(stable_responses)) *
               scores.variance;
  allowed_sum_ += responses * scores.allowed_excess;
  responses_ += candidate.total();
}

double ScoreTest::DeviationsOfOthers(const ScoreTest& rest) const {
  auto rest_count = static_cast<double>(rest.responses_);
  auto other_count = static_cast<double>(responses_ - rest.responses_);
  if (rest_count <= 0 || other_count <= 0 || variance_ <= 0) {
    return 0;
  }
  double difference = (sum_ - rest.sum_) / other_count - rest.sum_ / rest_count;
  double variance = variance_ / static_cast<double>(responses_) *
                    (1 / rest_count + 1 / other_count);
  return difference / std::sqrt(variance);
}

std::optional<double> ScoreTest::Deviations() const {
  if (responses_ < kMinTimedAnswers || variance_ <= 0) {
    return std::nullopt;
  }
  return (sum_ - allowed_sum_) / std::sqrt(variance_);
}

}  // namespace filbertshift
