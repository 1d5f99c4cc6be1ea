// Tests of what is known of rollouts when the store has lost a part of it.

#include <catch2/catch.hpp>

#include "src/fleet/fleet.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

const ServiceId kService("s");

RolloutOrder OrderOf(const std::string& version) {
  return {kService, VersionId(version), milliseconds(20000), {}};
}

RolloutProgress ProgressOf(const StoreVersion& order,
                           RolloutPhase state,
                           milliseconds started_at = milliseconds(100)) {
  RolloutProgress progress;
  progress.order_version = order;
  progress.to = VersionId("v2");
  progress.started_at = started_at;
  progress.changed_at = started_at + milliseconds(50);
  progress.state = state;
  return progress;
}

struct Fixture {
  // The store returns from a copy that has the order's row, but not its
  // progress.
  void Return() {
    records.KeepProgress();
    records.ExpectOrdersAgain();
    records.SetOrder(OrderOf("v2"), {2, 50});
  }
  RolloutPhase State() const { return records.FindProgress(kService)->state; }
  bool Applies() const {
    return records.FindProgress(kService)->order_version ==
           records.orders().at(kService).order_version;
  }
  RolloutRecords records;
};

TEST_CASE("a decision that the store has lost is written again", "[fleet]") {
  Fixture f;
  f.records.SetOrder(OrderOf("v2"), {1, 50});
  f.records.SetProgressRow(kService,
                           ProgressOf({1, 50}, RolloutPhase::kReverted));
  CHECK_FALSE(f.records.MustWriteAgain(kService));
  f.Return();
  CHECK(f.records.MustWriteAgain(kService));
  CHECK(f.State() == RolloutPhase::kReverted);
  CHECK(f.Applies());
  // An instance that knew nothing begins anew, later.
  f.records.SetProgressRow(
      kService,
      ProgressOf({2, 50}, RolloutPhase::kInProgress, milliseconds(9000)));
  CHECK(f.State() == RolloutPhase::kReverted);
  CHECK(f.records.MustWriteAgain(kService));
  // The operator writes the order again.
  CHECK_FALSE(f.records.SetOrder(OrderOf("v2"), {2, 60}));
  CHECK(f.Applies());
  f.records.SetProgressRow(kService,
                           ProgressOf({1, 50}, RolloutPhase::kReverted));
  CHECK_FALSE(f.records.MustWriteAgain(kService));
  f.records.Settle();
  // From now on, an order with another version is another one.
  CHECK(f.records.MustWriteAgain(kService));
  CHECK(f.records.VersionToWrite(kService) == StoreVersion{2, 60});
  f.records.SetProgressRow(kService,
                           ProgressOf({2, 60}, RolloutPhase::kReverted));
  CHECK_FALSE(f.records.MustWriteAgain(kService));
  CHECK(f.Applies());
  CHECK(f.records.SetOrder(OrderOf("v2"), {2, 90}));
  CHECK_FALSE(f.Applies());
}

TEST_CASE("an instance that starts after the return takes a decision over",
          "[fleet]") {
  Fixture f;
  f.records.SetOrder(OrderOf("v2"), {2, 60});
  f.records.SetProgressRow(kService,
                           ProgressOf({1, 50}, RolloutPhase::kCompleted));
  CHECK(f.Applies());
  CHECK(f.State() == RolloutPhase::kCompleted);
  f.records.SetOrder(OrderOf("v3"), {2, 70});
  CHECK_FALSE(f.Applies());
}

// Guards against a decision that names a row of the order which others never
// see, because the operator has written the order again.
TEST_CASE("instances that start before and after an order is written agree",
          "[fleet]") {
  Fixture before;
  before.records.ExpectOrdersAgain();
  before.records.SetOrder(OrderOf("v2"), {2, 50});
  before.records.SetProgressRow(kService,
                                ProgressOf({1, 50}, RolloutPhase::kInProgress));
  REQUIRE(before.Applies());
  RolloutProgress decided = *before.records.FindProgress(kService);
  decided.state = RolloutPhase::kCompleted;
  decided.order_version = before.records.VersionToWrite(kService);
  before.records.SetProgressRow(kService, decided);
  CHECK_FALSE(before.records.MustWriteAgain(kService));
  Fixture after;
  after.records.ExpectOrdersAgain();
  after.records.SetOrder(OrderOf("v2"), {2, 60});
  after.records.SetProgressRow(kService, decided);
  before.records.SetOrder(OrderOf("v2"), {2, 60});
  for (Fixture* f : {&before, &after}) {
    CHECK(f->Applies());
    CHECK(f->State() == RolloutPhase::kCompleted);
    CHECK_FALSE(f->records.MustWriteAgain(kService));
    f->records.Settle();
    CHECK(f->records.MustWriteAgain(kService));
    CHECK(f->records.VersionToWrite(kService) == StoreVersion{2, 60});
  }
}

TEST_CASE("the progress of an earlier order does not come back", "[fleet]") {
  Fixture f;
  f.records.SetOrder(OrderOf("v2"), {1, 50});
  f.records.SetProgressRow(kService,
                           ProgressOf({1, 50}, RolloutPhase::kReverted));
  f.records.SetOrder(OrderOf("v2"), {1, 80});
  f.records.SetProgressRow(kService,
                           ProgressOf({1, 80}, RolloutPhase::kInProgress));
  f.Return();
  f.records.SetProgressRow(kService,
                           ProgressOf({1, 50}, RolloutPhase::kReverted));
  CHECK(f.Applies());
  CHECK(f.State() == RolloutPhase::kInProgress);
  CHECK(f.records.MustWriteAgain(kService));
}

TEST_CASE("a new order needs no second write of the earlier progress",
          "[fleet]") {
  Fixture f;
  f.records.SetOrder(OrderOf("v2"), {1, 50});
  f.records.SetProgressRow(kService,
                           ProgressOf({1, 50}, RolloutPhase::kCompleted));
  f.records.SetOrder(OrderOf("v3"), {1, 90});
  CHECK_FALSE(f.Applies());
  CHECK_FALSE(f.records.MustWriteAgain(kService));
}

}  // namespace
}  // namespace filbertshift
