#include "src/fleet/rollout_evidence.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <optional>

namespace filbertshift {

namespace {

// Limits on the failures of a candidate.
struct FailureLimits {
  // Every version has occasional failures.
  std::int64_t min_failures;
  // Allowed excess over the failure rate of the stable version, in standard
  // deviations of the stable rate.
  double deviations;
};
// About one in 30,000 good candidates is bad by these.
constexpr FailureLimits kBadFailures{4, 4.0};
constexpr FailureLimits kSuspectFailures{3, 3.5};
// Minimum failure rate assumed for a stable version.
constexpr double kMinStableFailureRate = 0.01;
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
// Bins by which first bytes may be longer, a factor of 1.4: a new endpoint has
// to read shared prompts once, and may be in another data centre. Neither
// affects the gaps between events.
constexpr int kAllowedFirstByteBins = 2;
constexpr int kAllowedGapBins = 0;
// No group of endpoints is left out.
constexpr int kNoGroup = -1;
// Responses of the stable version on a route that its times can be judged by.
constexpr std::int64_t kMinStableTimes = 20;
// Number of responses after which a candidate that is not bad counts as good.
constexpr std::int64_t kMinGoodAnswers = 30;

std::int64_t AtLeastOneMicrosecond(std::chrono::microseconds time) {
  return std::max<std::int64_t>(time.count(), 1);
}

double LogMilliseconds(std::chrono::microseconds time) {
  return std::log(static_cast<double>(AtLeastOneMicrosecond(time)) / 1000.0);
}

bool HasHigherFailureRate(const AnswerCounts& candidate,
                          const AnswerCounts& stable,
                          const FailureLimits& limits) {
  if (candidate.failures < limits.min_failures) {
    return false;
  }
  auto answers = static_cast<double>(candidate.answers);
  double stable_rate = static_cast<double>(stable.failures + 1) /
                       static_cast<double>(stable.answers + 50);
  double expected = std::max(stable_rate, kMinStableFailureRate);
  double deviation = std::sqrt(expected * (1 - expected) / answers);
  double rate = static_cast<double>(candidate.failures) / answers;
  return rate > expected + limits.deviations * deviation;
}

bool IsSlower(std::int64_t candidate_count,
              double candidate_sum,
              std::int64_t stable_count,
              double stable_sum) {
  if (candidate_count < kMinTimedAnswers || stable_count < kMinTimedAnswers) {
    return false;
  }
  double difference = candidate_sum / static_cast<double>(candidate_count) -
                      stable_sum / static_cast<double>(stable_count);
  return difference > std::log(kSlowFactor);
}

bool IsBad(const AnswerCounts& candidate, const AnswerCounts& stable) {
  return HasHigherFailureRate(candidate, stable, kBadFailures) ||
         IsSlower(candidate.first_bytes, candidate.first_byte_log_sum,
                  stable.first_bytes, stable.first_byte_log_sum) ||
         IsSlower(candidate.gaps, candidate.gap_log_sum, stable.gaps,
                  stable.gap_log_sum);
}

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

using CountsByRoute = std::map<std::string, AnswerCounts>;

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
                             const std::string* route) {
  double all = TestTimes(candidate, stable, compared, route, kNoGroup)
                   .Deviations()
                   .value_or(0);
  if (all <= kSuspectRankDeviations) {
    return 0;
  }
  for (int group = 0; group < kEndpointGroups; ++group) {
    RankTest rest = TestTimes(candidate, stable, compared, route, group);
    // A candidate that has only one group is judged by it.
    if (rest.responses() > 0 &&
        rest.Deviations().value_or(0) < kRestRankDeviations) {
      return 0;
    }
  }
  return all;
}

// Tests each route, because a version may be slow on only one, and then all
// routes together.
double LargestSlowDeviations(const CountsByRoute& candidate,
                             const CountsByRoute& stable) {
  double largest = 0;
  for (const ComparedTimes& compared :
       {ComparedTimes{&AnswerCounts::first_byte_times, kAllowedFirstByteBins},
        ComparedTimes{&AnswerCounts::gap_times, kAllowedGapBins}}) {
    for (const auto& entry : candidate) {
      largest = std::max(
          largest,
          SlowVersionDeviations(candidate, stable, compared, &entry.first));
    }
    largest = std::max(
        largest, SlowVersionDeviations(candidate, stable, compared, nullptr));
  }
  return largest;
}

}  // namespace

int EndpointGroup(const EndpointId& endpoint) {
  return static_cast<int>(
      XXH32(endpoint.value().data(), endpoint.value().size(), 0) %
      kEndpointGroups);
}

void AnswerCounts::Add(const AnswerCounts& other) {
  sends += other.sends;
  answers += other.answers;
  failures += other.failures;
  first_bytes += other.first_bytes;
  first_byte_log_sum += other.first_byte_log_sum;
  gaps += other.gaps;
  gap_log_sum += other.gap_log_sum;
  for (std::size_t group = 0; group < first_byte_times.size(); ++group) {
    first_byte_times[group].Add(other.first_byte_times[group]);
    gap_times[group].Add(other.gap_times[group]);
  }
}

void RolloutEvidence::OnSend(const EvidenceKey& key) {
  ++counts_[key].sends;
}

void RolloutEvidence::OnAnswer(const EvidenceKey& key, bool failed) {
  AnswerCounts& counts = counts_[key];
  ++counts.answers;
  counts.failures += failed ? 1 : 0;
}

void RolloutEvidence::OnFirstByte(const EvidenceKey& key,
                                  std::chrono::microseconds time,
                                  int group) {
  if (group < 0) {
    return;
  }
  AnswerCounts& counts = counts_[key];
  ++counts.first_bytes;
  counts.first_byte_log_sum += LogMilliseconds(time);
  counts.first_byte_times[static_cast<std::size_t>(group)].Add(time);
}

void RolloutEvidence::OnMeanGap(const EvidenceKey& key,
                                std::chrono::microseconds gap,
                                int group) {
  if (group < 0) {
    return;
  }
  AnswerCounts& counts = counts_[key];
  ++counts.gaps;
  counts.gap_log_sum += LogMilliseconds(gap);
  counts.gap_times[static_cast<std::size_t>(group)].Add(gap);
}

void RolloutEvidence::Add(const RolloutEvidence& other) {
  for (const auto& [key, counts] : other.counts_) {
    counts_[key].Add(counts);
  }
}

void RolloutEvidence::RemoveService(const ServiceId& service) {
  for (auto entry = counts_.begin(); entry != counts_.end();) {
    entry = entry->first.service == service ? counts_.erase(entry)
                                            : std::next(entry);
  }
}

RolloutEvidence RolloutEvidence::OfService(const ServiceId& service) const {
  RolloutEvidence evidence;
  for (const auto& [key, counts] : counts_) {
    if (key.service == service) {
      evidence.counts_[key] = counts;
    }
  }
  return evidence;
}

std::int64_t RolloutEvidence::SendsTo(const ServiceId& service,
                                      const VersionId& version) const {
  std::int64_t sends = 0;
  for (const auto& [key, counts] : counts_) {
    sends +=
        key.service == service && key.version == version ? counts.sends : 0;
  }
  return sends;
}

std::int64_t RolloutEvidence::SendsTo(const ServiceId& service) const {
  std::int64_t sends = 0;
  for (const auto& [key, counts] : counts_) {
    sends += key.service == service ? counts.sends : 0;
  }
  return sends;
}

CandidateVerdict EvaluateCandidate(const RolloutEvidence& evidence,
                                   const ServiceId& service,
                                   const VersionId& candidate) {
  // Checks each route separately, because a version may fail on only one, and
  // then all routes together.
  std::map<std::string, AnswerCounts> candidate_by_route;
  std::map<std::string, AnswerCounts> stable_by_route;
  AnswerCounts all_candidate;
  AnswerCounts all_stable;
  for (const auto& [key, counts] : evidence.counts()) {
    if (key.service != service) {
      continue;
    }
    bool is_candidate = key.version == candidate;
    (is_candidate ? candidate_by_route : stable_by_route)[key.route].Add(
        counts);
    (is_candidate ? all_candidate : all_stable).Add(counts);
  }
  bool is_suspect =
      HasHigherFailureRate(all_candidate, all_stable, kSuspectFailures);
  for (const auto& [route, counts] : candidate_by_route) {
    const AnswerCounts& stable = stable_by_route[route];
    if (IsBad(counts, stable)) {
      return CandidateVerdict::kBad;
    }
    is_suspect =
        is_suspect || HasHigherFailureRate(counts, stable, kSuspectFailures);
  }
  if (HasHigherFailureRate(all_candidate, all_stable, kBadFailures)) {
    return CandidateVerdict::kBad;
  }
  double slow_deviations =
      LargestSlowDeviations(candidate_by_route, stable_by_route);
  if (slow_deviations > kBadRankDeviations) {
    return CandidateVerdict::kBad;
  }
  if (is_suspect || slow_deviations > kSuspectRankDeviations) {
    return CandidateVerdict::kSuspect;
  }
  return all_candidate.answers >= kMinGoodAnswers
             ? CandidateVerdict::kGood
             : CandidateVerdict::kUndecided;
}

}  // namespace filbertshift
