#include "src/fleet/rollout_evidence.h"

#include <algorithm>
#include <cmath>

namespace filbertshift {

namespace {

// Minimum number of failures for a bad verdict, because every version has
// occasional failures.
constexpr std::int64_t kMinFailures = 4;
// Allowed excess over the failure rate of the stable version, in standard
// deviations of the stable rate. About one in 30,000 good candidates exceeds
// it.
constexpr double kFailureDeviations = 4.0;
// Minimum failure rate assumed for a stable version.
constexpr double kMinStableFailureRate = 0.01;
// Ratio of geometric mean times above which a candidate counts as slow.
constexpr double kSlowFactor = 3.0;
constexpr std::int64_t kMinTimedAnswers = 8;
// Number of responses after which a candidate that is not bad counts as good.
constexpr std::int64_t kMinGoodAnswers = 30;

std::int64_t AtLeastOneMicrosecond(std::chrono::microseconds time) {
  return std::max<std::int64_t>(time.count(), 1);
}

double LogMilliseconds(std::chrono::microseconds time) {
  return std::log(static_cast<double>(AtLeastOneMicrosecond(time)) / 1000.0);
}

bool HasHigherFailureRate(const AnswerCounts& candidate,
                          const AnswerCounts& stable) {
  if (candidate.failures < kMinFailures) {
    return false;
  }
  auto answers = static_cast<double>(candidate.answers);
  double stable_rate = static_cast<double>(stable.failures + 1) /
                       static_cast<double>(stable.answers + 50);
  double expected = std::max(stable_rate, kMinStableFailureRate);
  double deviation = std::sqrt(expected * (1 - expected) / answers);
  double rate = static_cast<double>(candidate.failures) / answers;
  return rate > expected + kFailureDeviations * deviation;
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
  return HasHigherFailureRate(candidate, stable) ||
         IsSlower(candidate.first_bytes, candidate.first_byte_log_sum,
                  stable.first_bytes, stable.first_byte_log_sum) ||
         IsSlower(candidate.gaps, candidate.gap_log_sum, stable.gaps,
                  stable.gap_log_sum);
}

}  // namespace

void AnswerCounts::Add(const AnswerCounts& other) {
  sends += other.sends;
  answers += other.answers;
  failures += other.failures;
  first_bytes += other.first_bytes;
  first_byte_log_sum += other.first_byte_log_sum;
  gaps += other.gaps;
  gap_log_sum += other.gap_log_sum;
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
                                  std::chrono::microseconds time) {
  AnswerCounts& counts = counts_[key];
  ++counts.first_bytes;
  counts.first_byte_log_sum += LogMilliseconds(time);
}

void RolloutEvidence::OnMeanGap(const EvidenceKey& key,
                                std::chrono::microseconds gap) {
  AnswerCounts& counts = counts_[key];
  ++counts.gaps;
  counts.gap_log_sum += LogMilliseconds(gap);
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
  for (const auto& [route, counts] : candidate_by_route) {
    if (IsBad(counts, stable_by_route[route])) {
      return CandidateVerdict::kBad;
    }
  }
  if (HasHigherFailureRate(all_candidate, all_stable)) {
    return CandidateVerdict::kBad;
  }
  return all_candidate.answers >= kMinGoodAnswers
             ? CandidateVerdict::kGood
             : CandidateVerdict::kUndecided;
}

}  // namespace filbertshift
