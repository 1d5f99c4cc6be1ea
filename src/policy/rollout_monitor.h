// Stops the candidate of a rollout when its answers are worse than those of the
// stable version.

#ifndef SRC_POLICY_ROLLOUT_MONITOR_H_
#define SRC_POLICY_ROLLOUT_MONITOR_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/config/config.h"
#include "src/policy/change_detector.h"

namespace filbertshift {

// A stop holds for one generation of a rollout; operators start another try by
// raising the generation.
struct StoppedCandidate {
  ModelId model;
  VersionId version;
  int generation = 0;
  // Why it was stopped, for operators.
  std::string reason;

  friend bool operator<(const StoppedCandidate& a, const StoppedCandidate& b) {
    return std::tie(a.model, a.version, a.generation) <
           std::tie(b.model, b.version, b.generation);
  }
};

struct RolloutMonitorOptions {
  ChangeDetectorOptions detector;
  // A rating below this makes an answer bad.
  double bad_rating = 0.5;
  // Share of bad answers assumed for a stable version without data, and the
  // number of answers that this assumption weighs.
  double prior_share = 0.05;
  double prior_answers = 50;
  // Answers of the stable version that count; older ones fade out.
  double memory_answers = 2000;
};

class RolloutMonitor {
 public:
  explicit RolloutMonitor(RolloutMonitorOptions options);

  // Keeps the counts of rollouts that did not change.
  void ApplyConfiguration(const Configuration& configuration);

  // An answer ended: bad if it failed, was cut off, came too late or was rated
  // below the bound. Returns true if this stops the candidate.
  bool OnAnswer(const ModelId& model, const VersionId& version, bool bad);
  // The rating of an answer. Returns true if this stops the candidate.
  bool OnRating(const ModelId& model, const VersionId& version, double score);

  // Takes over a stop that another instance or the table service reports. True
  // if it is new here.
  bool AddStop(const StoppedCandidate& stop);

  // Versions of the model that must get no new work here.
  std::set<VersionId> Stopped(const ModelId& model) const;
  // All stops, to be given to peers.
  std::vector<StoppedCandidate> Stops() const;
  // Share of bad answers that is normal for the model.
  double ReferenceShare(const ModelId& model) const;

 private:
  struct Watch {
    Rollout rollout;
    ChangeDetector detector;
    // Faded counts of the stable version.
    double stable_answers = 0;
    double stable_bad = 0;
    std::size_t candidate_answers = 0;
    std::size_t candidate_bad = 0;
  };

  const RolloutMonitorOptions options_;
  std::map<ModelId, Watch> watches_;
  std::set<StoppedCandidate> stops_;
};

}  // namespace filbertshift

#endif  // SRC_POLICY_ROLLOUT_MONITOR_H_
