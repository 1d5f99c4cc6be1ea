#include "src/policy/rollout_monitor.h"

#include <fmt/format.h>

#include <utility>

namespace filbertshift {

namespace {

bool IsSameRollout(const Rollout& a, const Rollout& b) {
  return a.stable == b.stable && a.candidate == b.candidate &&
         a.generation == b.generation;
}

}  // namespace

RolloutMonitor::RolloutMonitor(RolloutMonitorOptions options)
    : options_(std::move(options)) {}

void RolloutMonitor::ApplyConfiguration(const Configuration& configuration) {
  std::map<ModelId, MonitoredRollout> kept;
  for (const Rollout& rollout : configuration.rollouts) {
    auto existing = rollouts_.find(rollout.model);
    if (existing != rollouts_.end() &&
        IsSameRollout(existing->second.rollout, rollout)) {
      MonitoredRollout monitored = std::move(existing->second);
      monitored.rollout = rollout;
      kept.emplace(rollout.model, std::move(monitored));
      continue;
    }
    kept.emplace(rollout.model,
                 MonitoredRollout{rollout, ChangeDetector(options_.detector), 0,
                                  0, 0, 0});
  }
  rollouts_ = std::move(kept);
}

bool RolloutMonitor::OnAnswer(const ModelId& model,
                              const VersionId& version,
                              bool bad) {
  auto found = rollouts_.find(model);
  if (found == rollouts_.end()) {
    return false;
  }
  MonitoredRollout& monitored = found->second;
  if (version == monitored.rollout.stable) {
    double decay = 1.0 - 1.0 / options_.effective_answers;
    monitored.stable_answers = monitored.stable_answers * decay + 1.0;
    monitored.stable_bad = monitored.stable_bad * decay + (bad ? 1.0 : 0.0);
    return false;
  }
  if (version != monitored.rollout.candidate || monitored.detector.alarmed()) {
    return false;
  }
  ++monitored.candidate_answers;
  monitored.candidate_bad += bad ? 1 : 0;
  if (!monitored.detector.Add(bad, ReferenceShare(model))) {
    return false;
  }
  return AddStop(
      {model, version, monitored.rollout.generation,
       fmt::format("{} of {} answers bad, reference share {:.3f}",
                   monitored.candidate_bad, monitored.candidate_answers,
                   ReferenceShare(model))});
}

bool RolloutMonitor::OnRating(const ModelId& model,
                              const VersionId& version,
                              double score) {
  return OnAnswer(model, version, score < options_.bad_rating);
}

bool RolloutMonitor::AddStop(const StoppedCandidate& stop) {
  return stops_.insert(stop).second;
}

std::set<VersionId> RolloutMonitor::StoppedVersions(
    const ModelId& model) const {
  std::set<VersionId> stopped;
  auto found = rollouts_.find(model);
  if (found == rollouts_.end()) {
    return stopped;
  }
  const Rollout& rollout = found->second.rollout;
  StoppedCandidate current{rollout.model, rollout.candidate, rollout.generation,
                           ""};
  if (stops_.count(current) > 0) {
    stopped.insert(rollout.candidate);
  }
  return stopped;
}

std::vector<StoppedCandidate> RolloutMonitor::Stops() const {
  return std::vector<StoppedCandidate>(stops_.begin(), stops_.end());
}

double RolloutMonitor::ReferenceShare(const ModelId& model) const {
  auto found = rollouts_.find(model);
  if (found == rollouts_.end()) {
    return options_.prior_share;
  }
  const MonitoredRollout& monitored = found->second;
  return (monitored.stable_bad +
          options_.prior_share * options_.prior_answers) /
         (monitored.stable_answers + options_.prior_answers);
}

}  // namespace filbertshift
