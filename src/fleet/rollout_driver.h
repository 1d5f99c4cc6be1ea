// Decides the next step of a rollout. Any instance may decide; the progress row
// is written conditionally on its version, so that concurrent decisions cannot
// both take effect.

#ifndef SRC_FLEET_ROLLOUT_DRIVER_H_
#define SRC_FLEET_ROLLOUT_DRIVER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "src/fleet/fleet_documents.h"
#include "src/fleet/rollout_evidence.h"

namespace filbertshift {

// Maximum share of sessions that goes to a candidate until it receives all, in
// thousandths.
constexpr int kFirstSharePermille = 60;

// A short time in which some of the candidate's endpoints get the load of a
// burst: a version may fail only under a load that its share does not bring,
// and after the completion nothing can be undone. Requests that belong to no
// session go to the candidate in a larger share. Times are from the store's
// clock, so that all instances begin and end together.
struct RolloutLoadTest {
  std::chrono::milliseconds from{0};
  std::chrono::milliseconds until{0};
  // Thousandths of the requests without a session that go to the candidate.
  int permille = 0;
  // Number of the candidate's endpoints that get all its requests.
  int endpoints = 0;

  friend bool operator==(const RolloutLoadTest& a, const RolloutLoadTest& b) {
    return a.from == b.from && a.until == b.until && a.permille == b.permille &&
           a.endpoints == b.endpoints;
  }
};

// Progress row by which all instances route. Times are from the store's clock.
struct RolloutProgress {
  StoreVersion order_version;
  VersionId to;
  std::chrono::milliseconds started_at{0};
  std::chrono::milliseconds changed_at{0};
  // Thousandths of the sessions that go to the candidate.
  int exposure_permille = 0;
  RolloutPhase state = RolloutPhase::kInProgress;
  std::optional<RolloutLoadTest> load_test = std::nullopt;

  // Whether active sessions must still keep their version.
  bool in_first_share() const {
    return state == RolloutPhase::kInProgress &&
           exposure_permille <= kFirstSharePermille;
  }

  friend bool operator==(const RolloutProgress& a, const RolloutProgress& b) {
    return a.order_version == b.order_version && a.to == b.to &&
           a.started_at == b.started_at && a.changed_at == b.changed_at &&
           a.exposure_permille == b.exposure_permille && a.state == b.state &&
           a.load_test == b.load_test;
  }
};

std::string EncodeRolloutProgress(const RolloutProgress& progress);
// Returns an empty value if the text is not a valid progress row. `era`: era of
// the row, for a writer that names no era of the order.
std::optional<RolloutProgress> DecodeRolloutProgress(const std::string& text,
                                                     std::int64_t era);

// Maximum number of requests that a bad candidate may receive between its order
// and its deadline.
struct ExposureLimit {
  // Share of all requests of the service.
  double share = 1;
  // Number of requests allowed beyond that share.
  double tolerance = 0;
};

// Requests sent since the order, as published by all instances.
struct RolloutTraffic {
  std::int64_t candidate = 0;
  std::int64_t all = 0;
  // Current rate of all requests of the service.
  double per_second = 0;
};

struct RolloutInputs {
  RolloutOrder order;
  std::optional<RolloutProgress> progress;
  std::chrono::milliseconds store_now{0};
  CandidateVerdict verdict = CandidateVerdict::kUndecided;
  // Ready endpoints of the candidate.
  int candidate_endpoints = 0;
  // Requests in flight on other versions, over all instances.
  int stable_in_flight = 0;
  ExposureLimit limit;
  RolloutTraffic traffic;
};

// Returns the next progress row; empty if nothing changes.
std::optional<RolloutProgress> NextRolloutProgress(const RolloutInputs& inputs);

// Whether the hash of a session assigns it to the candidate. All instances get
// the same result.
bool GoesToCandidate(const std::string& session, int exposure_permille);

}  // namespace filbertshift

#endif  // SRC_FLEET_ROLLOUT_DRIVER_H_
