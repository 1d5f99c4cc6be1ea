// Tests of the rollout monitor and its change detector.

#include <catch2/catch.hpp>

#include "src/common/common.h"
#include "src/policy/policy.h"

namespace filbertshift {
namespace {

const ModelId kModel("m");
const VersionId kStable("v1");
const VersionId kCandidate("v2");

Configuration WithRollout(int generation) {
  Configuration configuration;
  Rollout rollout;
  rollout.model = kModel;
  rollout.stable = kStable;
  rollout.candidate = kCandidate;
  rollout.exposure = 0.1;
  rollout.state = RolloutState::kRunning;
  rollout.generation = generation;
  configuration.rollouts.push_back(rollout);
  return configuration;
}

bool Chance(Random& random, double probability) {
  return static_cast<double>(random.Next() >> 11) / 9007199254740992.0 <
         probability;
}

// Guards against a detector that stops good versions. The configured rate is at
// most one false alarm per 100,000 responses.
TEST_CASE("false alarms stay below the stated rate", "[policy]") {
  constexpr int kRuns = 20;
  constexpr int kAnswers = 20000;
  // 400,000 responses allow 4 alarms on average; 9 is the 99% quantile.
  constexpr int kMaxAlarms = 9;
  int alarms = 0;
  for (int run = 0; run < kRuns; ++run) {
    SystemRandom random(1000 + run);
    RolloutMonitor monitor{RolloutMonitorOptions()};
    monitor.ApplyConfiguration(WithRollout(1));
    for (int i = 0; i < kAnswers && monitor.Stops().empty(); ++i) {
      for (int j = 0; j < 9; ++j) {
        monitor.OnAnswer(kModel, kStable, Chance(random, 0.05));
      }
      monitor.OnAnswer(kModel, kCandidate, Chance(random, 0.05));
    }
    alarms += monitor.Stops().empty() ? 0 : 1;
  }
  INFO("seeds 1000 to 1019, alarms " << alarms);
  CHECK(alarms <= kMaxAlarms);
}

// Guards against a good history that hides a version that turns bad late. The
// limit of 25 is a quarter of the 100 responses that a fixed share of 10% gets
// out of 1,000.
TEST_CASE("a version that turns bad is stopped early", "[policy]") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    INFO("seed " << seed);
    SystemRandom random(seed);
    RolloutMonitor monitor{RolloutMonitorOptions()};
    monitor.ApplyConfiguration(WithRollout(1));
    for (int i = 0; i < 2000; ++i) {
      monitor.OnAnswer(kModel, kStable, Chance(random, 0.05));
      monitor.OnAnswer(kModel, kCandidate, Chance(random, 0.05));
    }
    REQUIRE(monitor.StoppedVersions(kModel).empty());
    int answers = 0;
    while (monitor.StoppedVersions(kModel).empty() && answers < 1000) {
      monitor.OnAnswer(kModel, kCandidate, Chance(random, 0.9));
      ++answers;
    }
    CHECK(answers <= 25);
  }
}

// Guards against a stop that an operator cannot lift, and against a stop that
// an unrelated configuration change discards.
TEST_CASE("a stop holds for its generation only", "[policy]") {
  RolloutMonitor monitor{RolloutMonitorOptions()};
  monitor.ApplyConfiguration(WithRollout(1));
  CHECK(monitor.AddStop({kModel, kCandidate, 1, "rated bad"}));
  CHECK_FALSE(monitor.AddStop({kModel, kCandidate, 1, "rated bad"}));
  CHECK(monitor.StoppedVersions(kModel).count(kCandidate) == 1);
  monitor.ApplyConfiguration(WithRollout(1));
  CHECK(monitor.StoppedVersions(kModel).count(kCandidate) == 1);
  monitor.ApplyConfiguration(WithRollout(2));
  CHECK(monitor.StoppedVersions(kModel).empty());
}

}  // namespace
}  // namespace filbertshift
