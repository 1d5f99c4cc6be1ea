#include "src/fleet/time_comparison.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <vector>

#include "src/fleet/time_score.h"

namespace filbertshift {

namespace {

// Ratio of geometric mean times above which a candidate counts as slow.
constexpr double kSlowFactor = 3.0;
constexpr std::int64_t kMinTimedAnswers = 8;
// A test of the times, and the standard deviations above the allowed score at
// which a candidate is slow, and at which it is suspect. The first is tested
// after every response.
struct TimeTest {
  TimeScores (*score)(const TimeHistogram& stable);
  double slow_deviations;
  double suspect_deviations;
};
// The scores of the mixture are skewed, so that its limits are higher: with 2.8
// as the second one, four more of 5,400 sound versions were sent back, and with
// 4.4 as the first one a sound version of another 300 seeds.
constexpr TimeTest kTimeTests[] = {{RankScores, 3.75, 2.5},
                                   {MixtureScores, 4.6, 3.3}};
// The candidate must be slower by this many deviations without any one group of
// its endpoints as well.
constexpr double kRestDeviations = 1.0;
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
constexpr std::int64_t kMinRestAnswers = 2;
// Responses of one route that may all be of one group, or nearly all, by chance
// are fewer: with two endpoints, eight of eight are on one in 64 cases.
constexpr std::int64_t kMinOneGroupAnswers = 16;
// No group of endpoints is left out.
constexpr int kNoGroup = -1;
// Responses of the stable version on a route that its times can be judged by.
constexpr std::int64_t kMinStableTimes = 20;

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
ScoreTest TestTimes(const CountsByRoute& candidate,
                    const CountsByRoute& stable,
                    const TimeTest& test,
                    const ComparedTimes& compared,
                    const std::string* route,
                    int left_out) {
  ScoreTest result;
  for (const auto& [name, counts] : candidate) {
    auto found = stable.find(name);
    if (found == stable.end() || (route != nullptr && *route != name)) {
      continue;
    }
    TimeHistogram times = SumWithout(counts.*compared.times, left_out);
    TimeHistogram stable_times =
        SumWithout(found->second.*compared.times, kNoGroup);
    if (times.total() > 0 && stable_times.total() >= kMinStableTimes) {
      result.AddRoute(times, stable_times.total(), test.score(stable_times),
                      compared.allowed_bins);
    }
  }
  return result;
}

// Verdict of one test; not slow if that may be due to one group of the
// candidate's endpoints.
TimeVerdict TestVersion(const CountsByRoute& candidate,
                        const CountsByRoute& stable,
                        const TimeTest& test,
                        const ComparedTimes& compared,
                        const std::string* route,
                        bool has_one_group) {
  ScoreTest all = TestTimes(candidate, stable, test, compared, route, kNoGroup);
  double deviations = all.Deviations().value_or(0);
  if (deviations <= test.suspect_deviations) {
    return TimeVerdict::kNotSlow;
  }
  for (int group = 0; group < kEndpointGroups; ++group) {
    ScoreTest rest = TestTimes(candidate, stable, test, compared, route, group);
    double required = all.DeviationsOfOthers(rest) > kSlowGroupDeviations
                          ? kSlowGroupRestDeviations
                          : kRestDeviations;
    // A candidate that has only one group is judged by it.
    bool is_one_group =
        rest.responses() == 0 &&
        (has_one_group || all.responses() >= kMinOneGroupAnswers);
    if (!is_one_group && rest.Deviations().value_or(0) < required) {
      return TimeVerdict::kNotSlow;
    }
  }
  return deviations > test.slow_deviations ? TimeVerdict::kSlow
                                           : TimeVerdict::kSuspect;
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

}  // namespace

// Tests each route, because a version may be slow on only one, and then all
// routes together.
TimeVerdict CompareTimes(const CountsByRoute& candidate,
                         const CountsByRoute& stable) {
  bool has_one_group = HasOneGroup(candidate);
  if (HasSlowMean(candidate, stable, has_one_group)) {
    return TimeVerdict::kSlow;
  }
  std::vector<const std::string*> routes{nullptr};
  for (const auto& entry : candidate) {
    routes.push_back(&entry.first);
  }
  TimeVerdict worst = TimeVerdict::kNotSlow;
  for (const TimeTest& test : kTimeTests) {
    for (const ComparedTimes& compared :
         {ComparedTimes{&AnswerCounts::first_byte_times, kAllowedFirstByteBins},
          ComparedTimes{&AnswerCounts::gap_times, kAllowedGapBins}}) {
      for (const std::string* route : routes) {
        worst = std::max(worst, TestVersion(candidate, stable, test, compared,
                                            route, has_one_group));
      }
    }
  }
  return worst;
}

}  // namespace filbertshift
