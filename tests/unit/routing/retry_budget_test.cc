// Tests of RetryBudget.

#include <catch2/catch.hpp>

#include "tests/unit/routing/routing_fixture.h"

namespace filbertshift {
namespace {

// Guards against retries that exceed the budget.
TEST_CASE("retries are bounded by first attempts", "[routing]") {
  RetryBudget budget(RetryBudgetOptions{0.1, 3});
  int taken = 0;
  while (budget.TryTake()) {
    ++taken;
  }
  CHECK(taken == 3);
  for (int i = 0; i < 1000; ++i) {
    budget.OnFirstAttempt();
    taken += budget.TryTake() ? 1 : 0;
  }
  CHECK(taken == 103);
  for (int i = 0; i < 1000; ++i) {
    budget.OnFirstAttempt();
  }
  CHECK(budget.tokens() == 3);
}

}  // namespace
}  // namespace filbertshift
