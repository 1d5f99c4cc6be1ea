// Tests which response is broken off when responses take up too much memory.

#include <catch2/catch.hpp>

#include "src/dispatch/dispatch.h"

namespace filbertshift {
namespace {

// Guards against a long sound answer that is broken off in favour of answers
// without an end.
TEST_CASE("the largest response without a length is broken off", "[dispatch]") {
  BufferBudget budget(1000);
  budget.Set(1, 600, true);
  budget.Set(2, 150, false);
  budget.Set(3, 200, false);
  CHECK_FALSE(budget.FindExcess().has_value());
  budget.Set(2, 250, false);
  REQUIRE(budget.FindExcess() == 2);
  budget.Remove(2);
  CHECK(budget.total() == 800);
  budget.Set(1, 990, true);
  CHECK(budget.FindExcess() == 3);
  budget.Remove(3);
  budget.Set(4, 500, true);
  CHECK(budget.FindExcess() == 1);
}

TEST_CASE("responses that are no longer held count for nothing", "[dispatch]") {
  BufferBudget budget(100);
  budget.Set(1, 90, false);
  budget.Set(1, 0, false);
  budget.Remove(1);
  budget.Remove(7);
  CHECK(budget.total() == 0);
}

}  // namespace
}  // namespace filbertshift
