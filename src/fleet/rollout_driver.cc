#include "src/fleet/rollout_driver.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "src/common/document_reader.h"

namespace filbertshift {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Delay before the candidate gets its first share. Instances use it to publish
// the sessions that are active on the stable version.
constexpr milliseconds kAnnounceDelay{2000};
constexpr int kFullPermille = 1000;
constexpr std::int64_t kMaxEndpoints = 1000000;
// Margin between half the deadline and the full share, because the instances'
// views of the elapsed time differ.
constexpr milliseconds kHalfDeadlineMargin{400};
// The full share lasts at least the deadline divided by this number.
constexpr int kFullShareDeadlineDivisor = 16;
// A rollout completes before its deadline by the deadline divided by
// kDeadlineMarginDivisor, at most kMaxDeadlineMargin: operators read the state
// with a delay, and another instance must have time to repeat a lost write.
constexpr int kDeadlineMarginDivisor = 16;
constexpr milliseconds kMaxDeadlineMargin{1500};
// Time from one step of a rollout to the next where views are slow. A full
// share that begins later than this before the completion would delay it.
constexpr milliseconds kSlowStepTime{400};
// After so many requests the few of a late full share tell nothing new, so that
// it is left out. With 60 to 120 requests it has shown a slow version.
constexpr std::int64_t kManyRequests = 200;
// The first share leaves so much of the exposure limit that the full share can
// come this long before a deadline of kFullShareDeadline or more: the step to
// the full share and the completion follow each other through the store.
constexpr milliseconds kFullShareTime{1650};
constexpr milliseconds kFullShareDeadline{24000};
constexpr int kMinFirstSharePermille = 20;
// Assumed growth of the traffic after the switch to the full share.
constexpr double kTrafficGrowthFactor = 1.5;

// Load of an endpoint in the load test, relative to its usual load.
constexpr double kLoadTestFactor = 2.5;
// Requests of the load test, and the least number that is worth a test.
constexpr double kLoadTestRequests = 48;
// Assumed growth of the traffic until the end of the load test.
constexpr double kLoadTestGrowthFactor = 1.25;
constexpr double kMinLoadTestRequests = 12;
constexpr std::chrono::duration<double> kMinLoadTestTime(0.5);
constexpr std::chrono::duration<double> kMaxLoadTestTime(2.0);
// Time for all instances to learn of the load test before it begins, and for
// their evidence of it to be known after its end.
constexpr milliseconds kLoadTestLead{1000};
constexpr milliseconds kLoadEvidenceDelay{2000};

std::optional<RolloutProgress> NextStep(const RolloutInputs& inputs,
                                        int permille,
                                        RolloutPhase state) {
  RolloutProgress next = *inputs.progress;
  next.exposure_permille = permille;
  next.state = state;
  next.changed_at = inputs.store_now;
  return next;
}

// How long before its deadline a rollout is completed at the latest.
milliseconds DeadlineMargin(milliseconds deadline) {
  return std::min(deadline / kDeadlineMarginDivisor, kMaxDeadlineMargin);
}

// Requests that the candidate may receive apart from its first share, if the
// rollout is completed as late as possible and the traffic grows then.
double SpareRequests(const RolloutInputs& inputs, milliseconds remaining) {
  double rate = inputs.traffic.per_second;
  double all = static_cast<double>(inputs.traffic.all) +
               rate * std::chrono::duration<double>(remaining).count();
  double after_completion =
      rate * kTrafficGrowthFactor *
      std::chrono::duration<double>(DeadlineMargin(inputs.order.deadline))
          .count();
  return inputs.limit.share * all + inputs.limit.tolerance -
         static_cast<double>(inputs.traffic.candidate) - after_completion;
}

int FirstSharePermille(const RolloutInputs& inputs) {
  std::chrono::duration<double> total =
      std::max(inputs.order.deadline, kFullShareDeadline);
  double full = kTrafficGrowthFactor *
                std::chrono::duration<double>(kFullShareTime).count() /
                total.count();
  double first = inputs.limit.share * (1 + full) - full;
  milliseconds remaining = inputs.order.deadline - kAnnounceDelay;
  double requests = inputs.traffic.per_second *
                    std::chrono::duration<double>(remaining).count();
  if (requests > 0) {
    // Leaves enough requests for the load test.
    first =
        std::min(first, (SpareRequests(inputs, remaining) - kLoadTestRequests) /
                            requests);
  }
  return std::clamp(static_cast<int>(first * kFullPermille),
                    kMinFirstSharePermille, kFirstSharePermille);
}

// Whether the exposure limit would hold if the candidate received all requests
// until the deadline. The verdict is not taken into account, because some
// faults appear only under a load that the first share does not produce.
bool FullShareKeepsLimit(const RolloutInputs& inputs, milliseconds remaining) {
  double expected_requests = inputs.traffic.per_second * kTrafficGrowthFactor *
                             std::chrono::duration<double>(remaining).count();
  double all = static_cast<double>(inputs.traffic.all) + expected_requests;
  double candidate =
      static_cast<double>(inputs.traffic.candidate) + expected_requests;
  return candidate <= inputs.limit.share * all + inputs.limit.tolerance;
}

// Whether the rollout is completed without a full share before.
bool LeavesOutFullShare(const RolloutInputs& inputs, milliseconds remaining) {
  return inputs.traffic.candidate >= kManyRequests &&
         remaining < DeadlineMargin(inputs.order.deadline) + kSlowStepTime;
}

// Returns an empty value if the exposure limit leaves too few requests for a
// load test, or the rest of the rollout too little time.
std::optional<RolloutLoadTest> PlanLoadTest(const RolloutInputs& inputs,
                                            milliseconds remaining) {
  milliseconds margin = DeadlineMargin(inputs.order.deadline);
  double rate = inputs.traffic.per_second;
  if (rate <= 0 || inputs.candidate_endpoints <= 0 ||
      remaining < margin + kLoadTestLead + kLoadEvidenceDelay) {
    return std::nullopt;
  }
  double first =
      inputs.progress->exposure_permille / static_cast<double>(kFullPermille);
  double endpoints = inputs.candidate_endpoints;
  RolloutLoadTest test;
  test.endpoints = std::max(
      static_cast<int>(std::lround(endpoints * first / kLoadTestFactor)), 1);
  double share =
      std::clamp(kLoadTestFactor * test.endpoints / endpoints, first, 1.0);
  test.permille = static_cast<int>(share * kFullPermille);
  double affordable =
      SpareRequests(inputs, remaining) -
      rate * first * std::chrono::duration<double>(remaining).count();
  affordable /= kLoadTestGrowthFactor;
  double requests = std::min(affordable, kLoadTestRequests);
  if (requests < kMinLoadTestRequests) {
    return std::nullopt;
  }
  std::chrono::duration<double> time(requests / (share * rate));
  if (time < kMinLoadTestTime) {
    time = std::min(std::chrono::duration<double>(affordable / (share * rate)),
                    kMinLoadTestTime);
  }
  test.from = inputs.store_now + kLoadTestLead;
  test.until = test.from + std::chrono::duration_cast<milliseconds>(
                               std::min(time, kMaxLoadTestTime));
  return test;
}

}  // namespace

std::string EncodeRolloutProgress(const RolloutProgress& progress) {
  json value{{"order_version", progress.order_version.number},
             {"order_era", progress.order_version.era},
             {"to", progress.to.value()},
             {"started_at_ms", progress.started_at.count()},
             {"changed_at_ms", progress.changed_at.count()},
             {"exposure_permille", progress.exposure_permille},
             {"state", static_cast<int>(progress.state)}};
  if (progress.load_test.has_value()) {
    value["load_test"] = {{"from_ms", progress.load_test->from.count()},
                          {"until_ms", progress.load_test->until.count()},
                          {"permille", progress.load_test->permille},
                          {"endpoints", progress.load_test->endpoints}};
  }
  return value.dump();
}

std::optional<RolloutProgress> DecodeRolloutProgress(const std::string& text,
                                                     std::int64_t era) {
  try {
    json value = ParseJson(text);
    RolloutProgress progress;
    progress.order_version.number =
        ToInteger(value.at("order_version"), 0, kMaxCount);
    progress.order_version.era =
        value.contains("order_era")
            ? ToInteger(value["order_era"], 0, kMaxCount)
            : era;
    progress.to = VersionId(value.at("to").get<std::string>());
    progress.started_at =
        milliseconds(ToInteger(value.at("started_at_ms"), 0, kMaxCount));
    progress.changed_at =
        milliseconds(ToInteger(value.at("changed_at_ms"), 0, kMaxCount));
    progress.exposure_permille = static_cast<int>(
        ToInteger(value.at("exposure_permille"), 0, kFullPermille));
    std::int64_t state = ToInteger(value.at("state"), 0,
                                   static_cast<int>(RolloutPhase::kReverted));
    progress.state = static_cast<RolloutPhase>(state);
    if (value.contains("load_test")) {
      const json& test = value["load_test"];
      progress.load_test = RolloutLoadTest{
          milliseconds(ToInteger(test.at("from_ms"), 0, kMaxCount)),
          milliseconds(ToInteger(test.at("until_ms"), 0, kMaxCount)),
          static_cast<int>(ToInteger(test.at("permille"), 0, kFullPermille)),
          static_cast<int>(ToInteger(test.at("endpoints"), 1, kMaxEndpoints))};
    }
    return progress;
  } catch (const json::exception&) {
    return std::nullopt;
  } catch (const DocumentError&) {
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
    return NextStep(inputs, 0, RolloutPhase::kReverted);
  }
  milliseconds elapsed = inputs.store_now - progress.started_at;
  milliseconds deadline = inputs.order.deadline;
  if (progress.exposure_permille == 0) {
    return elapsed >= kAnnounceDelay
               ? NextStep(inputs, FirstSharePermille(inputs),
                          RolloutPhase::kInProgress)
               : std::nullopt;
  }
  if (elapsed < deadline / 2 + kHalfDeadlineMargin) {
    return std::nullopt;
  }
  milliseconds remaining = deadline - elapsed;
  bool near_deadline = remaining <= DeadlineMargin(deadline);
  if (progress.exposure_permille < kFullPermille) {
    if (!progress.load_test.has_value()) {
      std::optional<RolloutLoadTest> test = PlanLoadTest(inputs, remaining);
      if (test.has_value()) {
        RolloutProgress next = progress;
        next.load_test = test;
        next.changed_at = inputs.store_now;
        return next;
      }
    }
    bool tested =
        !progress.load_test.has_value() ||
        inputs.store_now >= progress.load_test->until + kLoadEvidenceDelay;
    bool left_out = LeavesOutFullShare(inputs, remaining);
    bool due = near_deadline ||
               (tested && !left_out && FullShareKeepsLimit(inputs, remaining));
    if (!due || inputs.candidate_endpoints == 0) {
      return std::nullopt;
    }
    if (inputs.verdict == CandidateVerdict::kSuspect) {
      return NextStep(inputs, 0, RolloutPhase::kReverted);
    }
    return NextStep(
        inputs, kFullPermille,
        left_out ? RolloutPhase::kCompleted : RolloutPhase::kInProgress);
  }
  bool settled = inputs.store_now - progress.changed_at >=
                 deadline / kFullShareDeadlineDivisor;
  if (near_deadline || (settled && inputs.stable_in_flight == 0)) {
    if (inputs.verdict == CandidateVerdict::kSuspect) {
      return NextStep(inputs, 0, RolloutPhase::kReverted);
    }
    return NextStep(inputs, kFullPermille, RolloutPhase::kCompleted);
  }
  return std::nullopt;
}

bool GoesToCandidate(const std::string& session, int exposure_permille) {
  std::uint64_t hash = XXH64(session.data(), session.size(), 0);
  return hash % kFullPermille < static_cast<std::uint64_t>(exposure_permille);
}

}  // namespace filbertshift
