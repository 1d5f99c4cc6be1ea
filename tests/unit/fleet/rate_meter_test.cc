// Tests of the rate that predicts the exposure of a rollout.

#include <catch2/catch.hpp>

#include "src/fleet/fleet.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

// Guards against averaging over the whole rollout, which hides a burst.
TEST_CASE("the rate of a counter is that of the latest seconds", "[fleet]") {
  TimePoint now{std::chrono::hours(1)};
  RateMeter meter;
  CHECK(meter.PerSecond() == 0);
  std::int64_t count = 0;
  for (int i = 0; i < 200; ++i) {
    meter.Add(count, now);
    count += i < 100 ? 5 : 20;  // Each 100 ms.
    now += milliseconds(100);
  }
  CHECK(meter.PerSecond() == Approx(200));
}

// Guards against a negative rate when the summed counter decreases because an
// instance has left.
TEST_CASE("a counter that goes back starts the rate anew", "[fleet]") {
  TimePoint now{std::chrono::hours(1)};
  RateMeter meter;
  meter.Add(500, now);
  meter.Add(600, now + milliseconds(1000));
  meter.Add(100, now + milliseconds(2000));
  CHECK(meter.PerSecond() == 0);
  meter.Add(130, now + milliseconds(3000));
  CHECK(meter.PerSecond() == Approx(30));
}

}  // namespace
}  // namespace filbertshift
