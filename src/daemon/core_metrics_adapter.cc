#include "src/daemon/core_metrics_adapter.h"

#include <algorithm>
#include <map>

namespace filbertshift {

namespace {

std::string StateName(const EndpointView& view) {
  if (view.draining || view.record.leaving) {
    return "draining";
  }
  if (view.suspected) {
    return "suspected";
  }
  return view.verified ? "up" : "unverified";
}

}  // namespace

void CoreMetricsAdapter::OnRequestEnd(const std::string& quality_class,
                                      const std::string& code,
                                      std::chrono::microseconds) {
  metrics_.CountRequest(quality_class, code);
}

void CoreMetricsAdapter::OnAttemptEnd(AttemptOutcome outcome) {
  metrics_.CountAttempt(outcome);
}

void CoreMetricsAdapter::OnFirstToken(const std::string& quality_class,
                                      std::chrono::microseconds delay) {
  metrics_.ObserveFirstToken(quality_class, delay);
}

void CoreMetricsAdapter::OnTokenGap(const std::string& quality_class,
                                    std::chrono::microseconds gap) {
  metrics_.ObserveTokenGap(quality_class, gap);
}

void CoreMetricsAdapter::OnInvariantViolated(const std::string& invariant) {
  metrics_.CountInvariantViolation(invariant);
}

void CoreMetricsAdapter::SetRequests(std::size_t in_progress) {
  metrics_.SetInFlight(in_progress);
}

void CoreMetricsAdapter::SetQueueLength(const std::string& quality_class,
                                        std::size_t queued) {
  metrics_.SetQueueLength(quality_class, queued);
}

void CoreMetricsAdapter::SetEndpoints(
    const std::vector<EndpointView>& endpoints) {
  std::map<std::string, std::size_t> count_by_state = {
      {"up", 0}, {"suspected", 0}, {"draining", 0}, {"unverified", 0}};
  std::size_t used_share = 0;
  std::size_t total_share = 0;
  for (const EndpointView& view : endpoints) {
    ++count_by_state[StateName(view)];
    used_share += static_cast<std::size_t>(std::max(0, view.in_flight));
    total_share += static_cast<std::size_t>(std::max(0, view.share));
  }
  for (const auto& [state, count] : count_by_state) {
    metrics_.SetEndpoints(state, count);
  }
  metrics_.SetShare(used_share, total_share);
}

void CoreMetricsAdapter::SetCharges(std::size_t unstored) {
  metrics_.SetChargesBuffered(unstored);
}

void CoreMetricsAdapter::SetRevisions(
    const std::vector<std::uint64_t>& revisions) {
  const std::vector<Section>& sections = ConfigurationSections();
  for (std::size_t i = 0; i < sections.size() && i < revisions.size(); ++i) {
    metrics_.SetConfigurationRevision(sections[i], revisions[i]);
  }
}

}  // namespace filbertshift
