// Tests of what the end of an attempt says about the request's execution.

#include <catch2/catch.hpp>

#include "src/dispatch/dispatch.h"

namespace filbertshift {
namespace {

TEST_CASE("only an unsent or a refused request has not run", "[dispatch]") {
  for (bool refused : {false, true}) {
    for (bool own : {false, true}) {
      INFO(refused << " " << own);
      CHECK(ExecutionStateOf({false, refused, own}) ==
            ExecutionState::kNotSent);
      CHECK(ExecutionStateOf({true, refused, own}) ==
            (refused && own ? ExecutionState::kRefused
                            : ExecutionState::kMayHaveRun));
    }
  }
}

}  // namespace
}  // namespace filbertshift
