// Tests of model escalation under load and for long prompts.

#include <catch2/catch.hpp>

#include "src/dispatch/dispatch.h"

namespace filbertshift {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

Route ThreeModels() {
  Route route;
  route.kind = RouteKind::kIdempotent;
  route.models = {ModelId("m0"), ModelId("m1"), ModelId("m2")};
  route.objective = milliseconds(1000);
  route.priority = 2;
  return route;
}

StartedResponse Begun(const char* model, int confidence) {
  return {ModelId(model), confidence, milliseconds(100)};
}

microseconds NoTime(const ModelId& /*model*/) {
  return microseconds(0);
}

// Guards against escalation that increases an overload.
TEST_CASE("answers are dropped for a larger model while it pays",
          "[dispatch]") {
  Route route = ThreeModels();
  CHECK(FirstModel(route) == ModelId("m0"));
  CHECK(SelectEscalationModel(route, Begun("m0", 20), milliseconds(50),
                              NoTime) == ModelId("m2"));
  CHECK_FALSE(
      SelectEscalationModel(route, Begun("m0", 90), milliseconds(50), NoTime));
  CHECK_FALSE(
      SelectEscalationModel(route, Begun("m2", 0), milliseconds(50), NoTime));
  CHECK_FALSE(
      SelectEscalationModel(route, Begun("m0", 20), milliseconds(600), NoTime));
  route.priority = 0;
  CHECK(SelectEscalationModel(route, Begun("m0", 20), milliseconds(600), NoTime)
            .has_value());
}

// Guards against a poor response that cannot be replaced.
TEST_CASE("a request that may run once starts on the largest model",
          "[dispatch]") {
  Route route = ThreeModels();
  route.kind = RouteKind::kNonIdempotent;
  CHECK(FirstModel(route) == ModelId("m2"));
}

// Guards against escalating a long prompt to the largest model: its response is
// late, and it delays all active responses beyond their event gap objective.
TEST_CASE("a long prompt goes to a model that reads it in time", "[dispatch]") {
  Route route = ThreeModels();
  route.objective = milliseconds(3000);
  route.event_gap_objective = milliseconds(1500);
  auto larger = [&route](int largest_ms, int elapsed_ms) {
    return SelectEscalationModel(
        route, {ModelId("m0"), 20, milliseconds(elapsed_ms)}, milliseconds(50),
        [largest_ms](const ModelId& model) -> microseconds {
          return milliseconds(model == ModelId("m2") ? largest_ms
                                                     : largest_ms / 3);
        });
  };
  CHECK(larger(1400, 100) == ModelId("m2"));
  CHECK(larger(2400, 100) == ModelId("m1"));
  CHECK_FALSE(larger(9000, 100).has_value());
  // The remaining time of the objective limits the choice as well.
  CHECK(larger(1400, 2000) == ModelId("m1"));
}

// Guards against estimating long prompts from short ones, whose first-byte time
// is mostly fixed cost.
TEST_CASE("the time for a prompt is learned from long ones", "[dispatch]") {
  PromptTimeEstimator gauge;
  ServiceId service("s");
  CHECK(gauge.TimeFor(service, 20000) == microseconds(0));
  for (int i = 0; i < 200; ++i) {
    gauge.OnFirstByte(service, 500, milliseconds(200));
    gauge.OnFirstByte(service, 10000, milliseconds(600));
  }
  CHECK(gauge.TimeFor(service, 20000) > milliseconds(1190));
  CHECK(gauge.TimeFor(service, 20000) < milliseconds(1210));
  CHECK(gauge.TimeFor(ServiceId("other"), 20000) == microseconds(0));
}

}  // namespace
}  // namespace filbertshift
