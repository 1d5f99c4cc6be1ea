#include "src/fleet/rollout_evidence.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <iterator>

#include "src/fleet/time_comparison.h"

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
  CountsByRoute candidate_by_route;
  CountsByRoute stable_by_route;
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
    if (HasHigherFailureRate(counts, stable, kBadFailures)) {
      return CandidateVerdict::kBad;
    }
    is_suspect =
        is_suspect || HasHigherFailureRate(counts, stable, kSuspectFailures);
  }
  if (HasHigherFailureRate(all_candidate, all_stable, kBadFailures)) {
    return CandidateVerdict::kBad;
  }
  TimeVerdict times = CompareTimes(candidate_by_route, stable_by_route);
  if (times == TimeVerdict::kSlow) {
    return CandidateVerdict::kBad;
  }
  if (is_suspect || times == TimeVerdict::kSuspect) {
    return CandidateVerdict::kSuspect;
  }
  return all_candidate.answers >= kMinGoodAnswers
             ? CandidateVerdict::kGood
             : CandidateVerdict::kUndecided;
}

}  // namespace filbertshift
