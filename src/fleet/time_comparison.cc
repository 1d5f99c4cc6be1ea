#include "src/fleet/time_comparison.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>

namespace filbertshift {

namespace {

// Ratio of geometric mean times above which a candidate counts as slow.
constexpr double kSlowFactor = 3.0;
constexpr std::int64_t kMinTimedAnswers = 8;
// The rank test compares the probability that a response of the candidate takes
// longer than one of the stable version with this one. It is one half for equal
// versions; caches that are still cold and endpoints farther away raise it.
constexpr double kMaxSlowerProbability = 0.55;
// Standard deviations above that probability at which a candidate is bad, and
// at which it is suspect. The first is tested after every response.
constexpr double kBadRankDeviations = 3.75;
constexpr double kSuspectRankDeviations = 2.5;
// The candidate must be slower by this many deviations without any one group of
// its endpoints as well.
constexpr double kRestRankDeviations = 1.0;
// A group that is slower than the rest by the first number of deviations is
// probably slow for a reason of its own: the rest must then be slow by itself,
// by the second number.
constexpr double kSlowGroupDeviations = 2.0;
constexpr double kSlowGroupRestDeviations = 2.5;
// Bins by which first bytes may be longer, a factor of 1.4: a new endpoint has
// to read shared prompts once, and may be in another data centre. Neither
// affects the gaps between events.
constexpr int kAllowedFirstByteBins = 2;
constexpr int kAllowedGapBins = 0;
// Ratio of geometric mean times that a slow candidate must exceed without any
// one group of its endpoints as well; their few responses scatter more.
constexpr double kSlowRestFactor = 1.7;
constexpr std::int64_t kMinRestAnswers = 3;
// Responses of one route that may all be of one group, or nearly all, by chance
// are fewer: with two endpoints, eight of eight are on one in 64 cases.
constexpr std::int64_t kMinOneGroupAnswers = 16;
// No group of endpoints is left out.
constexpr int kNoGroup = -1;
// Responses of the stable version on a route that its times can be judged by.
constexpr std::int64_t kMinStableTimes = 20;

// Rank test (Mann-Whitney) of the times of two versions, over one or several
// routes: times are compared with those of the same route only. Every
// response counts the same, so that a share of slow responses shows as well as
// a shift of all of them, and a few very slow ones do not dominate.
class RankTest {
 public:
  // `allowed_bins`: by how many bins the candidate's times may be longer.
  void AddRoute(const TimeHistogram& candidate,
                const TimeHistogram& stable,
                int allowed_bins) {
    if (candidate.total() == 0 || stable.total() < kMinStableTimes) {
      return;
    }
    auto candidate_total = static_cast<double>(candidate.total());
    auto stable_total = static_cast<double>(stable.total());
    double stable_below = 0;
    double tied_cubes = 0;
    for (int bin = 0; bin < TimeHistogram::kBins; ++bin) {
      auto in_bin = static_cast<double>(stable.count(bin));
      int candidate_bin = bin + allowed_bins;
      double compared =
          candidate_bin < TimeHistogram::kBins
              ? static_cast<double>(candidate.count(candidate_bin))
              : 0;
      slower_ += compared * (stable_below + in_bin / 2) / stable_total;
      stable_below += in_bin;
      tied_cubes += std::pow(in_bin / stable_total, 3);
    }
    variance_ += candidate_total * (1 + candidate_total / stable_total) *
                 (1 - tied_cubes) / 12;
    responses_ += candidate.total();
  }

  std::int64_t responses() const { return responses_; }
  // Standard deviations by which the responses that `rest` lacks are slower
  // than those that it has.
  double DeviationsOfOthers(const RankTest& rest) const {
    auto rest_count = static_cast<double>(rest.responses_);
    auto other_count = static_cast<double>(responses_ - rest.responses_);
    if (rest_count <= 0 || other_count <= 0 || variance_ <= 0) {
      return 0;
    }
    double difference =
        (slower_ - rest.slower_) / other_count - rest.slower_ / rest_count;
    double variance = variance_ / static_cast<double>(responses_) *
                      (1 / rest_count + 1 / other_count);
    return difference / std::sqrt(variance);
  }
  // Standard deviations by which the candidate is slower than allowed; empty
  // if there are too few responses.
  std::optional<double> Deviations() const {
    if (responses_ < kMinTimedAnswers || variance_ <= 0) {
      return std::nullopt;
    }
    double allowed = kMaxSlowerProbability * static_cast<double>(responses_);
    return (slower_ - allowed) / std::sqrt(variance_);
  }

 private:
  std::int64_t responses_ = 0;
  // Sum over the candidate's responses of the share of the stable version's
  // responses that are faster, and its variance for equal versions.
  double slower_ = 0;
  double variance_ = 0;
};

TimeHistogram SumWithout(const GroupedTimes& times, int left_out) {
  TimeHistogram sum;
  for (int group = 0; group < kEndpointGroups; ++group) {
    if (group != left_out) {
      sum.Add(times[static_cast<std::size_t>(group)]);
    }
  }
  return sum;
}

// Mean logarithm of the times, with the resolution of the bins.
double MeanLog(const TimeHistogram& times) {
  double sum = 0;
  for (int bin = 0; bin < TimeHistogram::kBins; ++bin) {
    sum += bin * static_cast<double>(times.count(bin));
  }
  return sum / static_cast<double>(times.total()) * std::log(2.0) /
         TimeHistogram::kBinsPerDoubling;
}

// Whether the candidate is slower without any one group of its endpoints as
// well: the mean of a few responses does not tell a slow endpoint from a slow
// version. A candidate with one group only is judged by it. Responses in rows
// of earlier releases belong to no group and cannot be left out.
bool IsSlowerWithoutAnyGroup(const GroupedTimes& candidate,
                             const GroupedTimes& stable,
                             bool has_one_group) {
  TimeHistogram candidate_times = SumWithout(candidate, kNoGroup);
  TimeHistogram stable_times = SumWithout(stable, kNoGroup);
  if (candidate_times.total() == 0 || stable_times.total() == 0) {
    return true;
  }
  bool may_be_one_group_by_chance =
      !has_one_group && candidate_times.total() < kMinOneGroupAnswers;
  double limit = MeanLog(stable_times) + std::log(kSlowRestFactor);
  for (int group = 0; group < kEndpointGroups; ++group) {
    TimeHistogram rest = SumWithout(candidate, group);
    if ((rest.total() > 0 && MeanLog(rest) <= limit) ||
        (rest.total() < kMinRestAnswers && may_be_one_group_by_chance)) {
      return false;
    }
  }
  return true;
}

// Count and sum of the logarithms of the times, and the times themselves.
struct MeanTimes {
  std::int64_t count = 0;
  double log_sum = 0;
  const GroupedTimes& times;
};

MeanTimes FirstBytesOf(const AnswerCounts& counts) {
  return {counts.first_bytes, counts.first_byte_log_sum,
          counts.first_byte_times};
}

MeanTimes GapsOf(const AnswerCounts& counts) {
  return {counts.gaps, counts.gap_log_sum, counts.gap_times};
}

bool IsSlower(const MeanTimes& candidate,
              const MeanTimes& stable,
              bool has_one_group) {
  if (candidate.count < kMinTimedAnswers || stable.count < kMinTimedAnswers) {
    return false;
  }
  double difference = candidate.log_sum / static_cast<double>(candidate.count) -
                      stable.log_sum / static_cast<double>(stable.count);
  return difference > std::log(kSlowFactor) &&
         IsSlowerWithoutAnyGroup(candidate.times, stable.times, has_one_group);
}

// The times that are compared: first bytes or gaps.
struct ComparedTimes {
  GroupedTimes AnswerCounts::*times;
  int allowed_bins;
};

// Tests the times of one route, or of all if `route` is null.
RankTest TestTimes(const CountsByRoute& candidate,
                   const CountsByRoute& stable,
                   const ComparedTimes& compared,
                   const std::string* route,
                   int left_out) {
  RankTest test;
  for (const auto& [name, counts] : candidate) {
    auto found = stable.find(name);
    if (found != stable.end() && (route == nullptr || *route == name)) {
      test.AddRoute(SumWithout(counts.*compared.times, left_out),
                    SumWithout(found->second.*compared.times, kNoGroup),
                    compared.allowed_bins);
    }
  }
  return test;
}

// Standard deviations by which the candidate is slower than allowed; 0 if that
// may be due to one group of its endpoints.
double SlowVersionDeviations(const CountsByRoute& candidate,
                             const CountsByRoute& stable,
                             const ComparedTimes& compared,
                             const std::string* route,
                             bool has_one_group) {
  RankTest all = TestTimes(candidate, stable, compared, route, kNoGroup);
  double deviations = all.Deviations().value_or(0);
  if (deviations <= kSuspectRankDeviations) {
    return 0;
  }
  for (int group = 0; group < kEndpointGroups; ++group) {
    RankTest rest = TestTimes(candidate, stable, compared, route, group);
    double required = all.DeviationsOfOthers(rest) > kSlowGroupDeviations
                          ? kSlowGroupRestDeviations
                          : kRestRankDeviations;
    // A candidate that has only one group is judged by it.
    bool is_one_group =
        rest.responses() == 0 &&
        (has_one_group || all.responses() >= kMinOneGroupAnswers);
    if (!is_one_group && rest.Deviations().value_or(0) < required) {
      return 0;
    }
  }
  return deviations;
}

// Whether all times of the candidate come from one group of its endpoints.
bool HasOneGroup(const CountsByRoute& candidate) {
  std::set<std::size_t> groups;
  for (const auto& [route, counts] : candidate) {
    for (std::size_t group = 0; group < kEndpointGroups; ++group) {
      if (counts.first_byte_times[group].total() > 0 ||
          counts.gap_times[group].total() > 0) {
        groups.insert(group);
      }
    }
  }
  return groups.size() <= 1;
}

bool HasSlowMean(const CountsByRoute& candidate,
                 const CountsByRoute& stable,
                 bool has_one_group) {
  return std::any_of(
      candidate.begin(), candidate.end(), [&](const auto& entry) {
        auto found = stable.find(entry.first);
        return found != stable.end() &&
               (IsSlower(FirstBytesOf(entry.second),
                         FirstBytesOf(found->second), has_one_group) ||
                IsSlower(GapsOf(entry.second), GapsOf(found->second),
                         has_one_group));
      });
}

// Tests each route, because a version may be slow on only one, and then all
// routes together.
double LargestSlowDeviations(const CountsByRoute& candidate,
                             const CountsByRoute& stable,
                             bool has_one_group) {
  double largest = 0;
  for (const ComparedTimes& compared :
       {ComparedTimes{&AnswerCounts::first_byte_times, kAllowedFirstByteBins},
        ComparedTimes{&AnswerCounts::gap_times, kAllowedGapBins}}) {
    for (const auto& entry : candidate) {
      largest =
          std::max(largest, SlowVersionDeviations(candidate, stable, compared,
                                                  &entry.first, has_one_group));
    }
    largest =
        std::max(largest, SlowVersionDeviations(candidate, stable, compared,
                                                nullptr, has_one_group));
  }
  return largest;
}

}  // namespace

TimeVerdict CompareTimes(const CountsByRoute& candidate,
                         const CountsByRoute& stable) {
  bool has_one_group = HasOneGroup(candidate);
  if (HasSlowMean(candidate, stable, has_one_group)) {
    return TimeVerdict::kSlow;
  }
  double deviations = LargestSlowDeviations(candidate, stable, has_one_group);
  if (deviations > kBadRankDeviations) {
    return TimeVerdict::kSlow;
  }
  return deviations > kSuspectRankDeviations ? TimeVerdict::kSuspect
                                             : TimeVerdict::kNotSlow;
}

}  // namespace filbertshift
