#include "src/policy/rollout_monitor.h"

#include <fmt/format.h>

#include <utility>

namespace filbertshift {

namespace {

bool SameTry(const Rollout& a, const Rollout& b) {
  return a.stable == b.stable && a.candidate == b.candidate &&
         a.generation == b.generation;
}

}  // namespace

RolloutMonitor::RolloutMonitor(RolloutMonitorOptions options)
    : options_(std::move(options)) {}

void RolloutMonitor::ApplyConfiguration(const Configuration& configuration) {
  std::map<ModelId, Watch> kept;
  for (const Rollout& rollout : configuration.rollouts) {
    auto old = watches_.find(rollout.model);
    if (old != watches_.end() && SameTry(old->second.rollout, rollout)) {
      Watch watch = std::move(old->second);
      watch.rollout = rollout;
      kept.emplace(rollout.model, std::move(watch));
      continue;
    }
    kept.emplace(rollout.model,
                 Watch{rollout, ChangeDetector(options_.detector), 0, 0, 0, 0});
  }
  watches_ = std::move(kept);
}

bool RolloutMonitor::OnAnswer(const ModelId& model,
                              const VersionId& version,
                              bool bad) {
  auto found = watches_.find(model);
  if (found == watches_.end()) {
    return false;
  }
  Watch& watch = found->second;
  if (version == watch.rollout.stable) {
    double fade = 1.0 - 1.0 / options_.memory_answers;
    watch.stable_answers = watch.stable_answers * fade + 1.0;
    watch.stable_bad = watch.stable_bad * fade + (bad ? 1.0 : 0.0);
    return false;
  }
  if (version != watch.rollout.candidate || watch.detector.alarmed()) {
    return false;
  }
  ++watch.candidate_answers;
  watch.candidate_bad += bad ? 1 : 0;
  if (!watch.detector.Add(bad, ReferenceShare(model))) {
    return false;
  }
  return AddStop({model, version, watch.rollout.generation,
                  fmt::format("{} of {} answers bad, reference share {:.3f}",
                              watch.candidate_bad, watch.candidate_answers,
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

std::set<VersionId> RolloutMonitor::Stopped(const ModelId& model) const {
  std::set<VersionId> stopped;
  auto found = watches_.find(model);
  if (found == watches_.end()) {
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
  auto found = watches_.find(model);
  if (found == watches_.end()) {
    return options_.prior_share;
  }
  const Watch& watch = found->second;
  return (watch.stable_bad + options_.prior_share * options_.prior_answers) /
         (watch.stable_answers + options_.prior_answers);
}

}  // namespace filbertshift
