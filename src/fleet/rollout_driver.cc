#include "src/fleet/rollout_driver.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace filbertshift {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Time before the candidate gets its first share. Instances tell each other
// meanwhile which sessions are in use on the stable version.
constexpr milliseconds kAnnounceTime{2000};
constexpr int kFullPermille = 1000;
// Time between the half and the full share, for differences between the
// instances' views of it.
constexpr milliseconds kHalfMargin{400};
// The full share is kept for this part of the deadline at least.
constexpr int kFullSharesPerDeadline = 16;
// A rollout is completed this part of the deadline before it, but not more than
// the time: operators read the state with a delay, and instances take turns if
// a write is lost.
constexpr int kMarginsPerDeadline = 16;
constexpr milliseconds kMaxDeadlineMargin{1200};
// Traffic may grow by this factor after the full share was given.
constexpr double kTrafficReserve = 1.5;

std::optional<RolloutProgress> Change(const RolloutInputs& inputs,
                                      int permille,
                                      RolloutPhase state) {
  RolloutProgress next = *inputs.progress;
  next.exposure_permille = permille;
  next.state = state;
  next.changed_at = inputs.store_now;
  return next;
}

// Whether the limit would hold with all requests until the deadline on the
// candidate. Faults may show under a load that the first share does not bring,
// so no verdict is relied on.
bool FullShareKeepsLimit(const RolloutInputs& inputs, milliseconds time_left) {
  double coming = inputs.traffic.per_second * kTrafficReserve *
                  std::chrono::duration<double>(time_left).count();
  double all = static_cast<double>(inputs.traffic.all) + coming;
  double candidate = static_cast<double>(inputs.traffic.candidate) + coming;
  return candidate <= inputs.limit.share * all + inputs.limit.tolerance;
}

}  // namespace

std::string EncodeRolloutProgress(const RolloutProgress& progress) {
  return json{{"order_version", progress.order_version},
              {"to", progress.to.value()},
              {"started_at_ms", progress.started_at.count()},
              {"changed_at_ms", progress.changed_at.count()},
              {"exposure_permille", progress.exposure_permille},
              {"state", static_cast<int>(progress.state)}}
      .dump();
}

std::optional<RolloutProgress> DecodeRolloutProgress(const std::string& text) {
  try {
    json value = json::parse(text);
    RolloutProgress progress;
    progress.order_version = value.at("order_version").get<std::int64_t>();
    progress.to = VersionId(value.at("to").get<std::string>());
    progress.started_at =
        milliseconds(value.at("started_at_ms").get<std::int64_t>());
    progress.changed_at =
        milliseconds(value.at("changed_at_ms").get<std::int64_t>());
    progress.exposure_permille = value.at("exposure_permille").get<int>();
    int state = value.at("state").get<int>();
    if (state < 0 || state > static_cast<int>(RolloutPhase::kReverted)) {
      return std::nullopt;
    }
    progress.state = static_cast<RolloutPhase>(state);
    return progress;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::optional<RolloutProgress> NextRolloutProgress(
    const RolloutInputs& inputs) {
  if (!inputs.progress.has_value() ||
      inputs.progress->order_version != inputs.order.order_version) {
    RolloutProgress first;
    first.order_version = inputs.order.order_version;
    first.to = inputs.order.to;
    first.started_at = inputs.store_now;
    first.changed_at = inputs.store_now;
    return first;
  }
  const RolloutProgress& progress = *inputs.progress;
  if (progress.state != RolloutPhase::kInProgress) {
    return std::nullopt;
  }
  if (inputs.verdict == CandidateVerdict::kBad) {
    return Change(inputs, 0, RolloutPhase::kReverted);
  }
  milliseconds elapsed = inputs.store_now - progress.started_at;
  milliseconds deadline = inputs.order.deadline;
  if (progress.exposure_permille == 0) {
    return elapsed >= kAnnounceTime
               ? Change(inputs, kFirstSharePermille, RolloutPhase::kInProgress)
               : std::nullopt;
  }
  if (elapsed < deadline / 2 + kHalfMargin) {
    return std::nullopt;
  }
  milliseconds time_left = deadline - elapsed;
  bool last_chance =
      time_left <= std::min(deadline / kMarginsPerDeadline, kMaxDeadlineMargin);
  if (progress.exposure_permille < kFullPermille) {
    bool due = last_chance || FullShareKeepsLimit(inputs, time_left);
    if (!due || inputs.candidate_endpoints == 0) {
      return std::nullopt;
    }
    return Change(inputs, kFullPermille, RolloutPhase::kInProgress);
  }
  bool settled = inputs.store_now - progress.changed_at >=
                 deadline / kFullSharesPerDeadline;
  if (last_chance || (settled && inputs.stable_in_flight == 0)) {
    return Change(inputs, kFullPermille, RolloutPhase::kCompleted);
  }
  return std::nullopt;
}

bool GoesToCandidate(const std::string& session, int exposure_permille) {
  std::uint64_t hash = XXH64(session.data(), session.size(), 0);
  return hash % kFullPermille < static_cast<std::uint64_t>(exposure_permille);
}

}  // namespace filbertshift
