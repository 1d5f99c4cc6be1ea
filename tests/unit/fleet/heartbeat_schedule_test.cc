// Tests when an instance writes its member row itself and when it leaves that
// to the reader of its view.

#include <catch2/catch.hpp>

#include "src/fleet/fleet.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kInterval{3000};
constexpr TimePoint kStart{std::chrono::hours(1)};

TEST_CASE("an instance without a reader writes its row in each interval",
          "[fleet]") {
  HeartbeatSchedule schedule;
  CHECK(schedule.Next({kInterval, false, true, false}, kStart) ==
        HeartbeatAction::kWrite);
  schedule.OnWriteStarted(kStart);
  CHECK(schedule.Next({kInterval, false, true, false},
                      kStart + milliseconds(2900)) == HeartbeatAction::kNone);
  CHECK(schedule.Next({kInterval, false, true, false}, kStart + kInterval) ==
        HeartbeatAction::kWrite);
  // A rollout shortens the interval.
  CHECK(schedule.Next({milliseconds(1000), false, true},
                      kStart + milliseconds(1000)) == HeartbeatAction::kWrite);
}

// Guards against store writes that grow with the number of instances.
TEST_CASE("an instance with a reader leaves the write to it", "[fleet]") {
  HeartbeatSchedule schedule;
  schedule.OnCommitted(kStart);
  int offers = 0;
  for (int ms = 0; ms < 60000; ms += 100) {
    TimePoint now = kStart + milliseconds(ms);
    HeartbeatAction action = schedule.Next({kInterval, true, true, false}, now);
    REQUIRE(action != HeartbeatAction::kWrite);
    if (action == HeartbeatAction::kOffer) {
      schedule.OnOffered(now);
      // The reader reports its write of an earlier offer.
      offers += 1;
      if (offers % 2 == 0) {
        schedule.OnCommitted(now);
      }
    }
  }
  CHECK(offers == 40);
}

// Guards against an instance that others consider dead, after 9 s without a new
// row, because its reader accepts rows and does not write them.
TEST_CASE("an instance writes its row if the reader does not", "[fleet]") {
  HeartbeatSchedule schedule;
  schedule.OnCommitted(kStart);
  milliseconds first_write{0};
  for (int ms = 0; ms < 9000 && first_write.count() == 0; ms += 100) {
    TimePoint now = kStart + milliseconds(ms);
    HeartbeatAction action = schedule.Next({kInterval, true, true, false}, now);
    if (action == HeartbeatAction::kWrite) {
      first_write = milliseconds(ms);
    }
  }
  CHECK(first_write == milliseconds(5000));
  SECTION("and at once if the reader is lost after the interval") {
    CHECK(schedule.Next({kInterval, false, true, false}, kStart + kInterval) ==
          HeartbeatAction::kWrite);
    CHECK(schedule.Next({kInterval, false, true},
                        kStart + milliseconds(2900)) == HeartbeatAction::kNone);
  }
}

// Guards against members that stay unknown after an outage of the store until
// each has waited for its interval.
TEST_CASE("a failed write is repeated once the store answers", "[fleet]") {
  HeartbeatSchedule schedule;
  schedule.OnWriteStarted(kStart);
  schedule.OnWriteFailed();
  TimePoint now = kStart + milliseconds(700);
  CHECK(schedule.Next({kInterval, false, false, false}, now) ==
        HeartbeatAction::kNone);
  CHECK(schedule.Next({kInterval, false, true, false}, now) ==
        HeartbeatAction::kWrite);
  // Until then, all instances together would press on it.
  CHECK(schedule.Next({kInterval, false, false, false},
                      kStart + kInterval + milliseconds(1900)) ==
        HeartbeatAction::kNone);
  schedule.OnWriteStarted(now);
  schedule.OnCommitted(now);
  CHECK(schedule.Next({kInterval, false, true, false},
                      now + milliseconds(700)) == HeartbeatAction::kNone);
}

}  // namespace
}  // namespace filbertshift
