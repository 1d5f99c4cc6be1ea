// Decides how a rollout goes on. Any instance may decide; the progress row is
// written under its version, so that one decision takes effect at a time.

#ifndef SRC_FLEET_ROLLOUT_DRIVER_H_
#define SRC_FLEET_ROLLOUT_DRIVER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "src/fleet/fleet_documents.h"
#include "src/fleet/rollout_evidence.h"

namespace filbertshift {

// Share of sessions that a candidate gets until it gets all, in thousandths.
constexpr int kFirstSharePermille = 60;

// The row all instances route by. Times are of the store's clock.
struct RolloutProgress {
  std::int64_t order_version = 0;
  VersionId to;
  std::chrono::milliseconds started_at{0};
  std::chrono::milliseconds changed_at{0};
  // Thousandths of the sessions that go to the candidate.
  int exposure_permille = 0;
  RolloutPhase state = RolloutPhase::kInProgress;

  // Sessions may not change their version yet.
  bool in_first_share() const {
    return state == RolloutPhase::kInProgress &&
           exposure_permille <= kFirstSharePermille;
  }

  friend bool operator==(const RolloutProgress& a, const RolloutProgress& b) {
    return a.order_version == b.order_version && a.to == b.to &&
           a.started_at == b.started_at && a.changed_at == b.changed_at &&
           a.exposure_permille == b.exposure_permille && a.state == b.state;
  }
};

std::string EncodeRolloutProgress(const RolloutProgress& progress);
// Empty if the text is not a progress row.
std::optional<RolloutProgress> DecodeRolloutProgress(const std::string& text);

// Most requests that a bad candidate may get from its order to its deadline.
struct ExposureLimit {
  // Part of all requests of the service.
  double share = 1;
  // Requests beyond that part.
  double tolerance = 0;
};

// Requests sent since the order, over all instances as far as they have told.
struct RolloutTraffic {
  std::int64_t candidate = 0;
  std::int64_t all = 0;
  // Latest rate of all requests of the service.
  double per_second = 0;
};

struct RolloutInputs {
  RolloutOrder order;
  std::optional<RolloutProgress> progress;
  std::chrono::milliseconds store_now{0};
  CandidateVerdict verdict = CandidateVerdict::kUndecided;
  // Ready endpoints of the candidate.
  int candidate_endpoints = 0;
  // Requests that still run on other versions, over all instances.
  int stable_in_flight = 0;
  ExposureLimit limit;
  RolloutTraffic traffic;
};

// The next progress row; empty if nothing changes.
std::optional<RolloutProgress> NextRolloutProgress(const RolloutInputs& inputs);

// Whether a session goes to the candidate. The same on every instance.
bool GoesToCandidate(const std::string& session, int exposure_permille);

}  // namespace filbertshift

#endif  // SRC_FLEET_ROLLOUT_DRIVER_H_
