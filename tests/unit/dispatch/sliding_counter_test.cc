// Tests of the counter of events within a time window.

#include <catch2/catch.hpp>

#include "src/dispatch/sliding_counter.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart = TimePoint(std::chrono::hours(1));

// Guards against memory that grows with the time for which a counter is not
// read: outcomes of requests are read only when endpoints crash.
TEST_CASE("a counter that is never read stays bounded", "[dispatch]") {
  SlidingCounter counter(milliseconds(1000), milliseconds(100));
  for (int i = 0; i < 10000; ++i) {
    counter.Add(kStart + milliseconds(50 * i));
  }
  CHECK(counter.slices() <= 12);
}

TEST_CASE("events of a part of the window are counted", "[dispatch]") {
  SlidingCounter counter(milliseconds(10000), milliseconds(100));
  for (int i = 0; i < 100; ++i) {
    counter.Add(kStart + milliseconds(100 * i));
  }
  CHECK(counter.CountBetween(kStart + milliseconds(1000),
                             kStart + milliseconds(1900)) == 10);
  CHECK(counter.CountBetween(kStart - milliseconds(900),
                             kStart + milliseconds(50)) == 1);
  CHECK(counter.CountBetween(kStart + milliseconds(9950),
                             kStart + milliseconds(20000)) == 0);
  CHECK(counter.Count(kStart + milliseconds(9900)) == 100);
}

TEST_CASE("an event that is taken back is not counted", "[dispatch]") {
  SlidingCounter counter(milliseconds(1000), milliseconds(100));
  counter.Add(kStart);
  counter.Add(kStart + milliseconds(200));
  counter.Add(kStart + milliseconds(250));
  counter.Remove(kStart + milliseconds(250));
  CHECK(counter.Count(kStart + milliseconds(300)) == 2);
  counter.Remove(kStart);
  CHECK(counter.Count(kStart + milliseconds(300)) == 1);
  // Its slice has none left, or is gone.
  counter.Remove(kStart);
  CHECK(counter.Count(kStart + milliseconds(300)) == 1);
  CHECK(counter.Count(kStart + milliseconds(5000)) == 0);
  counter.Remove(kStart);
  CHECK(counter.Count(kStart + milliseconds(5000)) == 0);
}

}  // namespace
}  // namespace filbertshift
