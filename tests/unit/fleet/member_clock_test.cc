// Tests the time after which instances without a heartbeat count as dead.

#include <catch2/catch.hpp>

#include "src/fleet/fleet.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

TEST_CASE("the member clock runs while rows are read and change", "[fleet]") {
  MemberClock clock;
  TimePoint now{std::chrono::hours(1)};
  clock.OnRead(true, now);
  for (int i = 0; i < 20; ++i) {
    now += milliseconds(500);
    // A few rows that are written together every three seconds.
    clock.OnRead(i % 6 == 0, now);
  }
  CHECK(clock.elapsed() == milliseconds(10000));
  // A view from a peer that is older than the latest read.
  clock.OnRead(true, now - milliseconds(400));
  CHECK(clock.elapsed() == milliseconds(10000));
}

// Guards against instances that consider all others dead after an outage.
TEST_CASE("the member clock stands still during an outage", "[fleet]") {
  MemberClock clock;
  TimePoint now{std::chrono::hours(1)};
  clock.OnRead(true, now);
  SECTION("of reads") {
    clock.OnRead(false, now + milliseconds(30000));
    CHECK(clock.elapsed() == milliseconds(0));
  }
  SECTION("of writes") {
    for (int i = 0; i < 60; ++i) {
      now += milliseconds(500);
      clock.OnRead(false, now);
    }
    CHECK(clock.elapsed() == milliseconds(2500));
    clock.OnRead(true, now + milliseconds(500));
    CHECK(clock.elapsed() == milliseconds(3000));
  }
}

}  // namespace
}  // namespace filbertshift
