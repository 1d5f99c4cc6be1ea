// Tests of the budget of repeats.

#include <catch2/catch.hpp>

#include "src/dispatch/repeat_budget.h"

namespace filbertshift {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

TEST_CASE("a repeat that was not sent takes no part of the budget",
          "[dispatch]") {
  RepeatLimits limits;
  limits.allowance = 2.5;
  RepeatBudget budget(limits);
  ServiceId service("s");
  REQUIRE(budget.RepeatsLeft(service, kStart) == 2);
  budget.OnRepeat(service, kStart);
  budget.OnRepeat(service, kStart);
  CHECK_FALSE(budget.AllowsRepeat(service, kStart));
  budget.OnRepeatNotSent(service, kStart);
  CHECK(budget.RepeatsLeft(service, kStart) == 1);
}

}  // namespace
}  // namespace filbertshift
