// Tests of the adaptive timeouts of FailureDetector.

#include <catch2/catch.hpp>

#include "tests/unit/routing/routing_fixture.h"

namespace filbertshift {
namespace {

using namespace routing_test;  // NOLINT

constexpr DelayKind kGap = DelayKind::kTokenGap;

void ObserveMany(FailureDetector* detector, int count, Millis delay) {
  for (int i = 0; i < count; ++i) {
    detector->Observe(EndpointId("e"), kGap, delay);
  }
}

// Guards against a timeout based on too few samples, and against samples that
// survive a restart or affect other endpoints or kinds.
TEST_CASE("without enough samples the fixed bound holds", "[routing]") {
  const FailureDetectorOptions options;
  FailureDetector detector(options);
  const EndpointId endpoint("e");
  ObserveMany(&detector, static_cast<int>(options.min_samples) - 1, Millis(43));
  CHECK(detector.Timeout(endpoint, kGap) == options.max_token_gap);
  ObserveMany(&detector, 1, Millis(43));
  CHECK(detector.Timeout(endpoint, kGap) == Millis(43) + options.margin);
  CHECK(detector.Timeout(EndpointId("f"), kGap) == options.max_token_gap);
  CHECK(detector.Timeout(endpoint, DelayKind::kFirstToken) ==
        options.max_first_token);
  CHECK(detector.Timeout(endpoint, DelayKind::kProbe) == options.max_probe);
  detector.ClearSamples(endpoint);
  CHECK(detector.Timeout(endpoint, kGap) == options.max_token_gap);
}

// Guards against a timeout that does not adapt to the load or exceeds its
// bounds.
TEST_CASE("the timeout follows the recent delays within bounds", "[routing]") {
  FailureDetectorOptions options;
  options.margin = Millis(0);
  FailureDetector detector(options);
  const EndpointId endpoint("e");
  ObserveMany(&detector, 200, Millis(20));
  CHECK(detector.Timeout(endpoint, kGap) == options.min_timeout);
  ObserveMany(&detector, 50, Millis(420));
  // Mean 220 ms and deviation 200 ms.
  CHECK(detector.Timeout(endpoint, kGap) ==
        Millis(220 + static_cast<int>(options.deviation_factor * 200)));
  ObserveMany(&detector, 50, Millis(420));
  CHECK(detector.Timeout(endpoint, kGap) == Millis(420));
  ObserveMany(&detector, 100, std::chrono::hours(1));
  CHECK(detector.Timeout(endpoint, kGap) == options.max_token_gap);
  ObserveMany(&detector, 100, Millis(420));
  CHECK(detector.Timeout(endpoint, kGap) == Millis(420));
}

// Guards against a measurement baseline that adapts to samples.
TEST_CASE("the fixed baseline ignores samples", "[routing]") {
  FailureDetectorOptions options;
  options.adaptive = false;
  FailureDetector detector(options);
  ObserveMany(&detector, 200, Millis(43));
  CHECK(detector.Timeout(EndpointId("e"), kGap) == options.max_token_gap);
}

}  // namespace
}  // namespace filbertshift
