// Tests of the plan that decides which share of the requests leaves a data
// centre.

#include <catch2/catch.hpp>

#include "src/dispatch/dispatch.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

struct Loads {
  double a = 0;
  double b = 0;
  double c = 0;
};

// Three data centres with 100 slots each unless a capacity is given.
OverflowInputs Inputs(Loads loads, Loads capacities = {100, 100, 100}) {
  OverflowInputs inputs;
  inputs.local = DataCentreId("a");
  inputs.data_centres = {{DataCentreId("a"), capacities.a, loads.a, 0},
                         {DataCentreId("b"), capacities.b, loads.b, 0},
                         {DataCentreId("c"), capacities.c, loads.c, 0}};
  return inputs;
}

double ShareOf(const OverflowPlan& plan,
               const std::string& from,
               const std::string& to = "") {
  double sum = 0;
  for (const OverflowPlan::Share& share : plan.SharesOf(DataCentreId(from))) {
    sum +=
        to.empty() || share.destination == DataCentreId(to) ? share.share : 0;
  }
  return sum;
}

// Steps with the same inputs, as if what leaves had no effect.
void Repeat(OverflowPlan* plan,
            const OverflowInputs& inputs,
            int steps,
            TimePoint* now) {
  for (int i = 0; i < steps; ++i) {
    *now += OverflowPlan::kStepInterval;
    plan->Step(inputs, *now);
  }
}

// Guards against bytes between data centres that save no caller any waiting.
TEST_CASE("nothing leaves a data centre without need", "[dispatch]") {
  TimePoint now = kStart;
  for (Loads loads : {Loads{60, 0, 0}, Loads{90, 75, 75}, Loads{0, 0, 0}}) {
    OverflowPlan plan;
    Repeat(&plan, Inputs(loads), 20, &now);
    CHECK(ShareOf(plan, "a") == 0);
  }
  OverflowInputs costly = Inputs({90, 40, 40});
  costly.data_centres[1].path_cost = 0.5;
  costly.data_centres[2].path_cost = 0.5;
  OverflowPlan plan;
  Repeat(&plan, costly, 20, &now);
  CHECK(ShareOf(plan, "a") == 0);
}

// Guards against overshooting on a stale view: the destination must not become
// fuller than the source is left, and the share grows by steps.
TEST_CASE("half of the difference leaves, by steps", "[dispatch]") {
  TimePoint now = kStart;
  OverflowPlan plan;
  OverflowInputs inputs = Inputs({100, 20, 100}, {100, 100, 100});
  double before = 0;
  for (int i = 0; i < 30; ++i) {
    Repeat(&plan, inputs, 1, &now);
    double share = ShareOf(plan, "a", "b");
    CHECK(share <= before + 0.1 + 1e-9);
    before = share;
    if (i == 0) {
      CHECK(share > 0.05);
    }
  }
  CHECK(ShareOf(plan, "a", "c") == 0);
  // It falls at once.
  Repeat(&plan, Inputs({20, 20, 20}), 1, &now);
  CHECK(ShareOf(plan, "a") == 0);
}

// Guards against a flow that swings because what has left no longer shows in
// the source's load: requests hold their slots for a second, and the view of
// both loads is 0.6 s old.
TEST_CASE("the plan settles at an even load", "[dispatch]") {
  OverflowPlan plan;
  TimePoint now = kStart;
  std::vector<std::pair<double, double>> history(2, {120, 20});
  double moved = 0;
  double least = 1;
  double most = 0;
  for (int step = 0; step < 100; ++step) {
    auto [a, b] = history[history.size() - 2];
    OverflowInputs inputs = Inputs({a, b, 0}, {100, 100, 0});
    inputs.hold_time = milliseconds(1000);
    now += OverflowPlan::kStepInterval;
    plan.Step(inputs, now);
    double share = ShareOf(plan, "a", "b");
    moved += (share * 120 - moved) * 0.26;
    history.emplace_back(120 - moved, 20 + moved);
    if (step >= 50) {
      least = std::min(least, share);
      most = std::max(most, share);
    }
  }
  // Callers of both wait alike: 70 of 100 slots are in use in each.
  CHECK(history.back().first < 85);
  CHECK(history.back().second < 85);
  CHECK(most - least < 0.1);
}

// Guards against two data centres that send to each other: for 2 s after the
// last flow, the receiver sends nothing, even if it is full by now.
TEST_CASE("a data centre that receives sends nothing", "[dispatch]") {
  OverflowPlan plan;
  TimePoint now = kStart;
  Repeat(&plan, Inputs({100, 20, 100}), 5, &now);
  REQUIRE(ShareOf(plan, "a", "b") > 0);
  TimePoint flipped = now;
  for (int i = 0; i < 30; ++i) {
    Repeat(&plan, Inputs({10, 100, 100}), 1, &now);
    CHECK(ShareOf(plan, "a") == 0);
    CHECK_FALSE(
        plan.SendToEachOther(DataCentreId("a"), DataCentreId("b"), now));
    if (now - flipped <= milliseconds(2000)) {
      CHECK(ShareOf(plan, "b") == 0);
    }
  }
  CHECK(ShareOf(plan, "b", "a") > 0);
}

// Guards against instances that keep a data centre's callers waiting for
// endpoints that are gone, and against sending them to a full data centre.
TEST_CASE("a data centre without endpoints sends everything", "[dispatch]") {
  OverflowPlan plan;
  TimePoint now = kStart;
  Repeat(&plan, Inputs({0, 100, 20}, {0, 100, 100}), 1, &now);
  CHECK(ShareOf(plan, "a") == Approx(1));
  CHECK(ShareOf(plan, "a", "c") == Approx(1));
  // Back again: it takes its requests by steps.
  double before = 1;
  for (int i = 0; i < 20; ++i) {
    Repeat(&plan, Inputs({0, 40, 40}), 1, &now);
    double share = ShareOf(plan, "a");
    CHECK(share >= before - 0.1 - 1e-9);
    CHECK(share <= before);
    before = share;
  }
  CHECK(before == 0);
}

// Guards against overloading a data centre that can be reached again after a
// partition, beside one that has served all along.
TEST_CASE("a data centre that returns receives by steps", "[dispatch]") {
  OverflowPlan plan;
  TimePoint now = kStart;
  Repeat(&plan, Inputs({0, 30, 0}, {0, 100, 0}), 10, &now);
  CHECK(ShareOf(plan, "a", "b") == Approx(1));
  double before = 0;
  for (int i = 0; i < 10; ++i) {
    Repeat(&plan, Inputs({0, 30, 0}, {0, 100, 100}), 1, &now);
    double share = ShareOf(plan, "a", "c");
    CHECK(share <= before + 0.1 + 1e-9);
    CHECK(ShareOf(plan, "a") == Approx(1));
    before = share;
  }
  CHECK(before > 0.3);
}

// Guards against a plan from before a freeze or a loss of reports.
TEST_CASE("a plan that was not renewed starts anew", "[dispatch]") {
  OverflowPlan plan;
  TimePoint now = kStart;
  Repeat(&plan, Inputs({100, 20, 100}), 10, &now);
  REQUIRE(ShareOf(plan, "a", "b") > 0.2);
  now += milliseconds(5000);
  plan.Step(Inputs({100, 20, 100}), now);
  CHECK(ShareOf(plan, "a", "b") <= 0.1 + 1e-9);
}

// Guards against unequal treatment of data centres with the same load.
TEST_CASE("equal destinations get equal shares", "[dispatch]") {
  OverflowPlan plan;
  TimePoint now = kStart;
  Repeat(&plan, Inputs({100, 20, 20}), 10, &now);
  CHECK(ShareOf(plan, "a", "b") == Approx(ShareOf(plan, "a", "c")));
  int to_b = 0;
  int to_c = 0;
  for (int i = 0; i < 1000; ++i) {
    const DataCentreId* to = plan.DestinationOf(DataCentreId("a"), i / 1000.0);
    to_b += to != nullptr && *to == DataCentreId("b") ? 1 : 0;
    to_c += to != nullptr && *to == DataCentreId("c") ? 1 : 0;
  }
  CHECK(to_b > 0);
  CHECK(std::abs(to_b - to_c) <= 1);
}

}  // namespace
}  // namespace filbertshift
