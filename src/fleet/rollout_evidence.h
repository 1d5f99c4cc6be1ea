// Statistics for comparing a candidate version with the stable one.

#ifndef SRC_FLEET_ROLLOUT_EVIDENCE_H_
#define SRC_FLEET_ROLLOUT_EVIDENCE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "src/common/common.h"
#include "src/fleet/time_histogram.h"

namespace filbertshift {

// Responses of a candidate are counted by groups of its endpoints, so that one
// slow endpoint can be told from a slow version. Those of stable versions are
// all in group 0.
constexpr int kEndpointGroups = 8;
using GroupedTimes = std::array<TimeHistogram, kEndpointGroups>;

// All instances get the same result.
int EndpointGroup(const EndpointId& endpoint);

// Totals over the responses of one version on one route. Durations are summed
// as logarithms of milliseconds, so that outliers do not dominate.
struct AnswerCounts {
  // Requests sent, whether or not a response arrived.
  std::int64_t sends = 0;
  std::int64_t answers = 0;
  // Failures reported by the endpoint itself; network failures are excluded.
  std::int64_t failures = 0;
  std::int64_t first_bytes = 0;
  double first_byte_log_sum = 0;
  std::int64_t gaps = 0;
  double gap_log_sum = 0;
  // The same times in full. Rows of instances of an earlier release lack them.
  GroupedTimes first_byte_times;
  GroupedTimes gap_times;

  void Add(const AnswerCounts& other);
};

struct EvidenceKey {
  ServiceId service;
  VersionId version;
  std::string route;
  friend bool operator<(const EvidenceKey& a, const EvidenceKey& b) {
    return std::tie(a.service, a.version, a.route) <
           std::tie(b.service, b.version, b.route);
  }
};

class RolloutEvidence {
 public:
  void OnSend(const EvidenceKey& key);
  void OnAnswer(const EvidenceKey& key, bool failed);
  // `group`: that of the endpoint; negative for a cold endpoint, whose times
  // say little about its version.
  void OnFirstByte(const EvidenceKey& key,
                   std::chrono::microseconds time,
                   int group = 0);
  // Adds the mean time between the events at the start of one response.
  void OnMeanGap(const EvidenceKey& key,
                 std::chrono::microseconds gap,
                 int group = 0);
  void Add(const RolloutEvidence& other);
  void RemoveService(const ServiceId& service);
  RolloutEvidence OfService(const ServiceId& service) const;

  // Requests sent to the version, or to all versions of the service.
  std::int64_t SendsTo(const ServiceId& service,
                       const VersionId& version) const;
  std::int64_t SendsTo(const ServiceId& service) const;

  const std::map<EvidenceKey, AnswerCounts>& counts() const { return counts_; }
  AnswerCounts& at(const EvidenceKey& key) { return counts_[key]; }

 private:
  std::map<EvidenceKey, AnswerCounts> counts_;
};

enum class CandidateVerdict {
  kUndecided,
  kGood,
  // Probably slower than the stable version, or failing more often. More
  // responses may decide it; if there is no time for them, the candidate must
  // not replace the stable one.
  kSuspect,
  kBad,
};

// Compares the candidate with all other versions of the service.
CandidateVerdict EvaluateCandidate(const RolloutEvidence& evidence,
                                   const ServiceId& service,
                                   const VersionId& candidate);

}  // namespace filbertshift

#endif  // SRC_FLEET_ROLLOUT_EVIDENCE_H_
