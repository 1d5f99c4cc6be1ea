// Stops the candidate of a rollout when its responses are worse than those of
// the stable version.

#ifndef SRC_POLICY_ROLLOUT_MONITOR_H_
#define SRC_POLICY_ROLLOUT_MONITOR_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/config/config.h"
#include "src/policy/change_detector.h"

namespace filbertshift {

// A stop applies to one generation of a rollout. Operators restart the rollout
// by increasing the generation.
struct StoppedCandidate {
  ModelId model;
  VersionId version;
  int generation = 0;
  // Reason shown to operators.
  std::string reason;

  friend bool operator<(const StoppedCandidate& a, const StoppedCandidate& b) {
    return std::tie(a.model, a.version, a.generation) <
           std::tie(b.model, b.version, b.generation);
  }
};

struct RolloutMonitorOptions {
  ChangeDetectorOptions detector;
  // A response with a rating below this counts as bad.
  double bad_rating = 0.5;
  // Prior share of bad responses of a stable version, and the weight of the
  // prior in responses.
  double prior_share = 0.05;
  double prior_answers = 50;
  // Effective number of responses of the stable version in its estimate; older
  // responses decay.
  double effective_answers = 2000;
};

class RolloutMonitor {
 public:
  explicit RolloutMonitor(RolloutMonitorOptions options);

  // Keeps the counts of unchanged rollouts.
  void ApplyConfiguration(const Configuration& configuration);

  // Records a completed response. `bad`: it failed, was truncated, was late or
  // was rated below the limit. Returns true if this stops the candidate.
  bool OnAnswer(const ModelId& model, const VersionId& version, bool bad);
  // Records the rating of a response. Returns true if this stops the candidate.
  bool OnRating(const ModelId& model, const VersionId& version, double score);

  // Applies a stop reported by another instance or by the table service.
  // Returns true if it was not known yet.
  bool AddStop(const StoppedCandidate& stop);

  // Versions of the model that must not receive new requests.
  std::set<VersionId> StoppedVersions(const ModelId& model) const;
  // All stops, for publishing to peers.
  std::vector<StoppedCandidate> Stops() const;
  // Expected share of bad responses of the model.
  double ReferenceShare(const ModelId& model) const;

 private:
  struct MonitoredRollout {
    Rollout rollout;
    ChangeDetector detector;
    // Exponentially decayed counts of the stable version.
    double stable_answers = 0;
    double stable_bad = 0;
    std::size_t candidate_answers = 0;
    std::size_t candidate_bad = 0;
  };

  const RolloutMonitorOptions options_;
  std::map<ModelId, MonitoredRollout> rollouts_;
  std::set<StoppedCandidate> stops_;
};

}  // namespace filbertshift

#endif  // SRC_POLICY_ROLLOUT_MONITOR_H_
