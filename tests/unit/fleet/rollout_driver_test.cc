// Tests of rollouts in simulated schedules with several deciding instances,
// lost writes and response statistics.

#include <catch2/catch.hpp>

#include <random>

#include "src/dispatch/dispatch.h"
#include "src/fleet/fleet.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

RolloutInputs Inputs(milliseconds deadline) {
  RolloutInputs inputs;
  inputs.order = {ServiceId("s"), VersionId("v2"), deadline, {0, 7}};
  inputs.candidate_endpoints = 3;
  return inputs;
}

// Guards against a rollout that misses its deadline or moves sessions in its
// first half.
TEST_CASE("a good version is completed by its deadline", "[fleet]") {
  for (int seconds : {8, 12, 16, 24, 60}) {
    INFO(seconds);
    milliseconds deadline = std::chrono::seconds(seconds);
    RolloutInputs inputs = Inputs(deadline);
    milliseconds start(5000);
    for (milliseconds now = start; now < start + deadline;
         now += milliseconds(100)) {
      inputs.store_now = now;
      // Requests on the stable version end two seconds after the last step.
      bool all_moved = inputs.progress.has_value() &&
                       inputs.progress->exposure_permille == 1000 &&
                       now - inputs.progress->changed_at > milliseconds(2000);
      inputs.stable_in_flight = all_moved ? 0 : 4;
      if (auto next = NextRolloutProgress(inputs)) {
        inputs.progress = *next;
      }
      if (now < start + deadline / 2) {
        int share = inputs.progress->exposure_permille;
        CHECK((share == 0 || share == kFirstSharePermille));
        CHECK(share < 150);
        // Active sessions are published before the candidate gets its share.
        CHECK((share == 0 || now - start >= milliseconds(2000)));
      }
    }
    CHECK(inputs.progress->state == RolloutPhase::kCompleted);
    CHECK(inputs.progress->changed_at < start + deadline);
  }
}

// Thousandths of the requests that go to the candidate; none has a session.
int CandidatePermille(const std::optional<RolloutProgress>& progress,
                      milliseconds now) {
  if (!progress.has_value()) {
    return 0;
  }
  bool in_load_test = progress->load_test.has_value() &&
                      progress->state == RolloutPhase::kInProgress &&
                      now >= progress->load_test->from &&
                      now < progress->load_test->until;
  return in_load_test ? std::max(progress->load_test->permille,
                                 progress->exposure_permille)
                      : progress->exposure_permille;
}

// Request counts of a simulated rollout whose candidate shows no fault before
// the deadline. The traffic grows by half at a random time, and the published
// counts lag by one second.
struct ExposureResult {
  double candidate = 0;
  double all = 0;
  // Time between completion of the rollout and its deadline.
  std::optional<milliseconds> time_left;
};

ExposureResult SimulateExposure(unsigned seed, milliseconds deadline) {
  constexpr milliseconds kTick{50};
  constexpr std::size_t kEvidenceLagTicks = 20;
  std::mt19937 random(seed);
  std::uniform_real_distribution<double> uniform(0, 1);
  double base_rate = 10 + 190 * uniform(random);
  auto burst_at = milliseconds(static_cast<std::int64_t>(
      uniform(random) * static_cast<double>(deadline.count())));
  RolloutInputs inputs = Inputs(deadline);
  inputs.limit = {0.15, 30};
  inputs.stable_in_flight = 40;
  std::vector<RolloutTraffic> published;
  ExposureResult result;
  milliseconds start(5000);
  for (milliseconds elapsed(0); elapsed < deadline; elapsed += kTick) {
    double rate = elapsed >= burst_at ? base_rate * 1.5 : base_rate;
    double sent = rate * std::chrono::duration<double>(kTick).count();
    int permille = CandidatePermille(inputs.progress, start + elapsed);
    result.all += sent;
    result.candidate += sent * permille / 1000.0;
    published.push_back({static_cast<std::int64_t>(result.candidate),
                         static_cast<std::int64_t>(result.all), rate});
    inputs.traffic = published[published.size() > kEvidenceLagTicks
                                   ? published.size() - kEvidenceLagTicks
                                   : 0];
    inputs.store_now = start + elapsed;
    if (auto next = NextRolloutProgress(inputs)) {
      inputs.progress = *next;
      if (next->state == RolloutPhase::kCompleted) {
        result.time_left = deadline - elapsed;
      }
    }
  }
  return result;
}

// Guards against excess exposure to a version whose faults appear late or only
// under a load that the first share does not produce.
TEST_CASE("the exposure limit holds without a verdict", "[fleet]") {
  for (int seconds : {12, 16, 20, 24, 60}) {
    for (unsigned seed = 1; seed <= 200; ++seed) {
      INFO("deadline " << seconds << " s, seed " << seed);
      ExposureResult result =
          SimulateExposure(seed, std::chrono::seconds(seconds));
      CHECK(result.candidate <= 0.15 * result.all + 30);
      // Operators read the state with a delay.
      milliseconds least =
          std::min(milliseconds(1000), milliseconds(1000) * seconds / 18);
      CHECK(result.time_left.value_or(milliseconds(0)) >= least);
    }
  }
}

// Completes a rollout of a large fleet, where evidence is two seconds old and
// the exposure limit is lower. A step is known to its writer `view_lag` after
// it was written, the order `order_lag` after it was given.
void CheckLargeFleet(milliseconds view_lag, milliseconds order_lag) {
  constexpr milliseconds kTick{50};
  constexpr std::size_t kEvidenceLagTicks = 40;
  constexpr milliseconds kDeadline{24000};
  constexpr double kRate = 1000;
  for (double growth : {1.0, 1.5}) {
    INFO("growth " << growth);
    RolloutInputs inputs = Inputs(kDeadline);
    inputs.limit = {0.12, 30};
    inputs.stable_in_flight = 1000;
    std::vector<RolloutTraffic> published;
    double all = 0;
    double candidate = 0;
    milliseconds written(-1000);
    milliseconds completed(0);
    // The time runs from the first row of the rollout.
    for (milliseconds now(0); now < kDeadline; now += kTick) {
      double rate = now > milliseconds(22000) ? kRate * growth : kRate;
      double sent = rate * std::chrono::duration<double>(kTick).count();
      int permille = CandidatePermille(inputs.progress, now);
      all += sent;
      candidate += sent * permille / 1000.0;
      published.push_back({static_cast<std::int64_t>(candidate),
                           static_cast<std::int64_t>(all), rate});
      inputs.traffic = published[published.size() > kEvidenceLagTicks
                                     ? published.size() - kEvidenceLagTicks
                                     : 0];
      inputs.store_now = now;
      if (now - written < view_lag) {
        continue;
      }
      if (auto next = NextRolloutProgress(inputs)) {
        inputs.progress = *next;
        written = now;
        if (next->state == RolloutPhase::kCompleted) {
          completed = now;
        }
      }
    }
    REQUIRE(completed.count() > 0);
    // Operators read the state with a delay.
    CHECK(kDeadline - order_lag - completed >= milliseconds(1000));
    CHECK(candidate <= 0.12 * all + 30);
  }
}

// Guards against sound versions that are completed too late in a large fleet.
// The lags are those in the log of a calm day.
TEST_CASE("a large fleet completes a rollout in time", "[fleet]") {
  CheckLargeFleet(milliseconds(200), milliseconds(200));
}

// The same with the lags that the poll intervals of readers and their members
// allow.
TEST_CASE("a large fleet with slow views completes a rollout in time",
          "[fleet]") {
  CheckLargeFleet(milliseconds(400), milliseconds(300));
}

// A rollout of a service with three endpoints and 42 requests a second, whose
// candidate fails only under load. Evidence is known 1.5 s after the responses.
struct LoadFault {
  // Share of failures at the usual load of an endpoint and in the load test.
  double usual = 0;
  double in_test = 0;
};

struct LoadOutcome {
  RolloutPhase state = RolloutPhase::kInProgress;
  milliseconds decided_at{0};
  int bad_answers = 0;
};

LoadOutcome SimulateLoadFault(unsigned seed,
                              const LoadFault& fault,
                              double stable_failures = 0.006) {
  constexpr milliseconds kTick{50};
  constexpr std::size_t kEvidenceLagTicks = 30;
  constexpr milliseconds kDeadline{16000};
  constexpr double kRate = 42;
  std::mt19937 random(seed);
  std::uniform_real_distribution<double> uniform(0, 1);
  std::poisson_distribution<int> arrivals(
      kRate * std::chrono::duration<double>(kTick).count());
  RolloutInputs inputs = Inputs(kDeadline);
  inputs.limit = {0.15, 30};
  inputs.stable_in_flight = 5;
  std::vector<RolloutEvidence> published;
  RolloutEvidence evidence;
  LoadOutcome outcome;
  for (milliseconds now(0); now < kDeadline; now += kTick) {
    int permille = CandidatePermille(inputs.progress, now);
    bool is_full = inputs.progress.has_value() &&
                   inputs.progress->exposure_permille == 1000;
    double failures = permille < 500 ? 0
                      : is_full      ? fault.usual
                                     : fault.in_test;
    int count = arrivals(random);
    for (int i = 0; i < count; ++i) {
      bool candidate = uniform(random) * 1000 < permille;
      EvidenceKey key{ServiceId("s"), VersionId(candidate ? "v2" : "v1"), "r"};
      bool failed =
          uniform(random) <
          (candidate ? std::max(failures, stable_failures) : stable_failures);
      evidence.OnSend(key);
      evidence.OnAnswer(key, failed);
      outcome.bad_answers += candidate && failed ? 1 : 0;
    }
    published.push_back(evidence);
    const RolloutEvidence& known =
        published[published.size() > kEvidenceLagTicks
                      ? published.size() - kEvidenceLagTicks
                      : 0];
    inputs.store_now = now;
    inputs.traffic = {known.SendsTo(ServiceId("s"), VersionId("v2")),
                      known.SendsTo(ServiceId("s")), kRate};
    inputs.verdict = EvaluateCandidate(known, ServiceId("s"), VersionId("v2"));
    std::optional<RolloutProgress> next = NextRolloutProgress(inputs);
    if (next.has_value()) {
      inputs.progress = *next;
    }
    outcome.state = inputs.progress->state;
    if (outcome.state != RolloutPhase::kInProgress) {
      outcome.decided_at = now;
      break;
    }
  }
  return outcome;
}

// Guards against a version that is completed, and can't be undone, before it
// has been seen under load. Half of its requests fail there.
TEST_CASE("a version that fails under load is not completed", "[fleet]") {
  constexpr int kRollouts = 400;
  int completed = 0;
  int most_bad_answers = 0;
  for (unsigned seed = 1; seed <= kRollouts; ++seed) {
    LoadOutcome outcome = SimulateLoadFault(seed, {0.15, 0.4});
    completed += outcome.state == RolloutPhase::kCompleted ? 1 : 0;
    most_bad_answers = std::max(most_bad_answers, outcome.bad_answers);
  }
  WARN("completed of " << kRollouts << " that fail under load: " << completed
                       << "; most bad answers: " << most_bad_answers);
  CHECK(completed <= kRollouts / 100);
  CHECK(most_bad_answers < 50);
}

// Guards against load tests that send sound versions back, or make them late.
TEST_CASE("a sound version passes the load test in time", "[fleet]") {
  constexpr int kRollouts = 400;
  for (double natural_failures : {0.006, 0.02, 0.25}) {
    int sent_back = 0;
    for (unsigned seed = 1; seed <= kRollouts; ++seed) {
      LoadOutcome outcome = SimulateLoadFault(seed, {0, 0}, natural_failures);
      sent_back += outcome.state == RolloutPhase::kReverted ? 1 : 0;
      CHECK(outcome.state != RolloutPhase::kInProgress);
      CHECK(outcome.decided_at <= milliseconds(15100));
    }
    WARN("sent back of " << kRollouts << " sound ones that fail "
                         << natural_failures << ": " << sent_back);
    CHECK(sent_back <= kRollouts / 100);
  }
}

// Guards against a load test that moves sessions back and forth.
TEST_CASE("a load test takes requests without a session only", "[dispatch]") {
  TimePoint now{std::chrono::hours(1)};
  RolloutOrder order{
      ServiceId("s"), VersionId("v2"), milliseconds(20000), {0, 7}};
  RolloutProgress progress{{0, 7},
                           VersionId("v2"),
                           milliseconds(100),
                           milliseconds(100),
                           kFirstSharePermille,
                           RolloutPhase::kInProgress};
  progress.load_test = {milliseconds(9000), milliseconds(10000), 1000, 1};
  VersionPolicy policy(milliseconds(5000));
  std::string session;
  for (int i = 0; session.empty(); ++i) {
    std::string name = "session-" + std::to_string(i);
    session = GoesToCandidate(name, kFirstSharePermille) ? "" : name;
  }
  auto allows_candidate = [&](bool has_session, milliseconds time) {
    return policy.RuleFor(&order, &progress, session, now + time, has_session)
        .Allows(VersionId("v2"));
  };
  CHECK_FALSE(allows_candidate(false, milliseconds(500)));
  policy.SetLoadTest(ServiceId("s"), LoadTestWindow{now + milliseconds(200),
                                                    now + milliseconds(900)});
  CHECK_FALSE(allows_candidate(false, milliseconds(100)));
  CHECK(allows_candidate(false, milliseconds(500)));
  CHECK_FALSE(allows_candidate(true, milliseconds(500)));
  CHECK_FALSE(allows_candidate(false, milliseconds(900)));
  CHECK(
      policy.RuleFor(&order, &progress, session, now + milliseconds(500), false)
          .max_endpoints == 1);
  policy.Stop(ServiceId("s"), {0, 7});
  CHECK_FALSE(allows_candidate(false, milliseconds(500)));
}

TEST_CASE("a bad version is reverted and stays so", "[fleet]") {
  RolloutInputs inputs = Inputs(milliseconds(20000));
  inputs.progress = NextRolloutProgress(inputs);
  inputs.verdict = CandidateVerdict::kBad;
  inputs.progress = NextRolloutProgress(inputs);
  REQUIRE(inputs.progress.has_value());
  CHECK(inputs.progress->state == RolloutPhase::kReverted);
  CHECK(inputs.progress->exposure_permille == 0);
  inputs.verdict = CandidateVerdict::kGood;
  inputs.store_now = milliseconds(19000);
  CHECK_FALSE(NextRolloutProgress(inputs).has_value());
  inputs.order.order_version = {0, 8};  // Ordered again.
  CHECK(NextRolloutProgress(inputs).has_value());
}

// Guards against instances that revert each other's steps. Each decides on a
// delayed view and writes conditionally on the row version that it has read.
// Some writes are lost, and a view may miss the instance's own write.
TEST_CASE("racing drivers never lower the exposure of a rollout", "[fleet]") {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    struct Row {
      std::optional<RolloutProgress> progress;
      std::int64_t version = 0;
    };
    Row store;
    std::vector<Row> views(4);
    for (int step = 0; step < 400; ++step) {
      std::size_t driver = random() % views.size();
      if (random() % 3 == 0) {
        views[driver] = store;
        continue;
      }
      RolloutInputs inputs = Inputs(milliseconds(20000));
      inputs.progress = views[driver].progress;
      inputs.store_now = milliseconds(60) * step + milliseconds(random() % 50);
      std::optional<RolloutProgress> next = NextRolloutProgress(inputs);
      bool lost = random() % 5 == 0;
      if (!next.has_value() || lost || views[driver].version != store.version) {
        continue;
      }
      if (store.progress.has_value()) {
        REQUIRE(next->exposure_permille >= store.progress->exposure_permille);
        REQUIRE(store.progress->state == RolloutPhase::kInProgress);
      }
      store = {next, store.version + 1};
    }
    CHECK(store.progress->state == RolloutPhase::kCompleted);
  }
}

TEST_CASE("progress rows are read back", "[fleet]") {
  RolloutProgress progress{
      {0, 7}, VersionId("v2"),         milliseconds(5), milliseconds(9),
      300,    RolloutPhase::kReverted, std::nullopt};
  auto read = DecodeRolloutProgress(EncodeRolloutProgress(progress), 0);
  REQUIRE(read.has_value());
  CHECK(*read == progress);
  progress.load_test = {milliseconds(5), milliseconds(900), 140, 2};
  read = DecodeRolloutProgress(EncodeRolloutProgress(progress), 0);
  REQUIRE(read.has_value());
  CHECK(*read == progress);
  CHECK_FALSE(DecodeRolloutProgress("{\"state\":0}", 0).has_value());
  CHECK_FALSE(DecodeRolloutProgress("\xff", 0).has_value());
}

// Simulates responses until the candidate gets a bad verdict. Returns the
// number of its bad responses, or -1 if there was no bad verdict.
int BadAnswersUntilBadVerdict(unsigned seed,
                              double bad_share,
                              double natural_share,
                              int answers) {
  std::mt19937 random(seed);
  std::uniform_real_distribution<double> uniform(0, 1);
  std::lognormal_distribution<double> time(4.5, 0.8);
  RolloutEvidence evidence;
  int bad = 0;
  for (int i = 0; i < answers; ++i) {
    bool candidate = uniform(random) < 0.08;
    EvidenceKey key{ServiceId("s"), VersionId(candidate ? "v2" : "v1"), "r"};
    double share =
        candidate ? std::max(bad_share, natural_share) : natural_share;
    bool failed = uniform(random) < share;
    bad += candidate && failed ? 1 : 0;
    evidence.OnAnswer(key, failed);
    evidence.OnFirstByte(key,
                         std::chrono::microseconds(
                             static_cast<std::int64_t>(1000 * time(random))));
    if (candidate &&
        EvaluateCandidate(evidence, ServiceId("s"), VersionId("v2")) ==
            CandidateVerdict::kBad) {
      return bad;
    }
  }
  return -1;
}

// Guards against reverting good versions. The limit is one false alarm per 100
// rollouts; the number is printed.
TEST_CASE("false alarms over 10,000 good rollouts", "[fleet]") {
  int alarms = 0;
  for (unsigned seed = 1; seed <= 10000; ++seed) {
    alarms += BadAnswersUntilBadVerdict(seed, 0, 0.02, 400) >= 0 ? 1 : 0;
  }
  WARN("false alarms in 10,000 good rollouts: " << alarms);
  CHECK(alarms <= 100);
}

// The platform requires a bad version to be found before its 50th bad response.
TEST_CASE("a failing version is found before its 50th bad answer", "[fleet]") {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    for (double share : {0.3, 0.5, 0.9}) {
      int bad = BadAnswersUntilBadVerdict(seed, share, 0.02, 5000);
      INFO("seed " << seed << " share " << share);
      CHECK(bad > 0);
      CHECK(bad < 50);
    }
  }
}

// Guards against accepting a candidate that is slow but does not fail.
TEST_CASE("a slow version is bad", "[fleet]") {
  RolloutEvidence evidence;
  for (int i = 0; i < 40; ++i) {
    for (const char* version : {"v1", "v2"}) {
      EvidenceKey key{ServiceId("s"), VersionId(version), "r"};
      bool slow = version[1] == '2';
      evidence.OnAnswer(key, false);
      evidence.OnMeanGap(key, milliseconds(slow ? 300 : 60));
    }
  }
  CHECK(EvaluateCandidate(evidence, ServiceId("s"), VersionId("v2")) ==
        CandidateVerdict::kBad);
  CHECK(EvaluateCandidate(evidence, ServiceId("s"), VersionId("v1")) ==
        CandidateVerdict::kGood);
}

// Guards against sessions that change their version at the start of a rollout,
// including on an instance that has not served them before.
TEST_CASE("sessions in use keep their version", "[dispatch]") {
  TimePoint now{std::chrono::hours(1)};
  RolloutOrder order{
      ServiceId("s"), VersionId("v2"), milliseconds(20000), {0, 7}};
  RolloutProgress progress{{0, 7},
                           VersionId("v2"),
                           milliseconds(100),
                           milliseconds(100),
                           kFirstSharePermille,
                           RolloutPhase::kInProgress};
  VersionPolicy here(milliseconds(5000));
  VersionPolicy there(milliseconds(5000));
  std::string session;
  for (int i = 0; session.empty(); ++i) {
    std::string name = "session-" + std::to_string(i);
    session = GoesToCandidate(name, kFirstSharePermille) ? name : "";
  }
  here.OnRequestSent(session, VersionId("v1"), now);
  here.OnRequestEnded(session, now);
  CHECK(here.RuleFor(&order, &progress, session, now).Allows(VersionId("v1")));
  CHECK(there.RuleFor(&order, &progress, session, now).Allows(VersionId("v2")));
  std::vector<std::uint32_t> kept = here.KeptSessions(order, progress, now);
  REQUIRE(kept.size() == 1);
  there.SetKeptByPeers({kept.begin(), kept.end()});
  CHECK(there.RuleFor(&order, &progress, session, now).Allows(VersionId("v1")));
  // After the retention time the session may change its version.
  TimePoint later = now + milliseconds(6000);
  CHECK(
      here.RuleFor(&order, &progress, session, later).Allows(VersionId("v2")));
}

// Guards against a session that changes its version because its latest request
// takes longer than the retention time.
TEST_CASE("a session is in use while a request runs", "[dispatch]") {
  TimePoint now{std::chrono::hours(1)};
  RolloutOrder order{
      ServiceId("s"), VersionId("v2"), milliseconds(20000), {0, 7}};
  RolloutProgress progress{{0, 7},
                           VersionId("v2"),
                           milliseconds(100),
                           milliseconds(2100),
                           kFirstSharePermille,
                           RolloutPhase::kInProgress};
  VersionPolicy policy(milliseconds(5000));
  std::string session;
  for (int i = 0; session.empty(); ++i) {
    std::string name = "session-" + std::to_string(i);
    session = GoesToCandidate(name, kFirstSharePermille) ? name : "";
  }
  policy.OnRequestSent(session, VersionId("v1"), now);
  now += milliseconds(9000);
  policy.Expire(now);
  CHECK(
      policy.RuleFor(&order, &progress, session, now).Allows(VersionId("v1")));
  policy.OnRequestEnded(session, now);
  now += milliseconds(4000);
  CHECK(
      policy.RuleFor(&order, &progress, session, now).Allows(VersionId("v1")));
  CHECK(policy.KeptSessions(order, progress, now).size() == 1);
  now += milliseconds(2000);
  CHECK(
      policy.RuleFor(&order, &progress, session, now).Allows(VersionId("v2")));
}

TEST_CASE("a stopped or reverted version gets nothing", "[dispatch]") {
  TimePoint now{std::chrono::hours(1)};
  RolloutOrder order{
      ServiceId("s"), VersionId("v2"), milliseconds(20000), {0, 7}};
  RolloutProgress progress{
      {0, 7}, VersionId("v2"),          milliseconds(100), milliseconds(100),
      1000,   RolloutPhase::kInProgress};
  VersionPolicy policy(milliseconds(5000));
  CHECK(policy.RuleFor(&order, &progress, "x", now).Allows(VersionId("v2")));
  CHECK_FALSE(
      policy.RuleFor(&order, nullptr, "x", now).Allows(VersionId("v2")));
  progress.state = RolloutPhase::kReverted;
  CHECK_FALSE(
      policy.RuleFor(&order, &progress, "x", now).Allows(VersionId("v2")));
  progress.state = RolloutPhase::kInProgress;
  policy.Stop(ServiceId("s"), {0, 7});
  CHECK_FALSE(
      policy.RuleFor(&order, &progress, "x", now).Allows(VersionId("v2")));
  progress.state = RolloutPhase::kCompleted;
  CHECK_FALSE(
      policy.RuleFor(&order, &progress, "x", now).Allows(VersionId("v1")));
}

}  // namespace
}  // namespace filbertshift
