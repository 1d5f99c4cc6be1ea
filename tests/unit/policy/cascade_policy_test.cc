// Tests of selecting the first model of a cascade.

#include <catch2/catch.hpp>

#include "src/common/common.h"
#include "src/policy/policy.h"

namespace filbertshift {
namespace {

const ModelId kSmall("small");
const ModelId kLarge("large");
const AccountId kAccount("museum");

Configuration TwoModels() {
  Configuration configuration;
  configuration.models.push_back({kSmall, 1.0, {}});
  configuration.models.push_back({kLarge, 5.0, {}});
  return configuration;
}

QualityClass Summaries() {
  QualityClass quality_class;
  quality_class.name = "summary";
  quality_class.cascade = {kSmall, kLarge};
  quality_class.quality_target = 0.7;
  return quality_class;
}

// Guards against starting on a cheap model whose responses mostly miss the
// quality target. The small model costs 1 and the large one 5, so starting with
// the small one is cheaper from a pass probability of 0.2.
TEST_CASE("the cascade starts where the expected cost is least", "[policy]") {
  Configuration configuration = TwoModels();
  QualityClass summaries = Summaries();
  CascadePolicy policy{CascadeOptions()};
  for (int i = 0; i < 200; ++i) {
    policy.OnRating(summaries, kAccount, kSmall, i % 10 == 0 ? 0.9 : 0.1);
  }
  CHECK(policy.SelectFirstModel(summaries, kAccount, configuration,
                                {true, true}, 0.5) == 1);
  for (int i = 0; i < 2000; ++i) {
    policy.OnRating(summaries, kAccount, kSmall, i % 10 < 6 ? 0.9 : 0.1);
  }
  CHECK(policy.SelectFirstModel(summaries, kAccount, configuration,
                                {true, true}, 0.5) == 0);
}

// Guards against never detecting that the cheap model has improved.
TEST_CASE("the cascade explores for the stated share", "[policy]") {
  Configuration configuration = TwoModels();
  QualityClass summaries = Summaries();
  CascadePolicy policy{CascadeOptions()};
  for (int i = 0; i < 200; ++i) {
    policy.OnRating(summaries, kAccount, kSmall, 0.0);
  }
  CHECK(policy.SelectFirstModel(summaries, kAccount, configuration,
                                {true, true}, 0.01) == 0);
  CHECK(policy.SelectFirstModel(summaries, kAccount, configuration,
                                {true, true}, 0.03) == 1);
}

// Guards against starting on a model that the client account must not use.
TEST_CASE("the cascade leaves out models that are not usable", "[policy]") {
  Configuration configuration = TwoModels();
  QualityClass summaries = Summaries();
  CascadePolicy policy{CascadeOptions()};
  CHECK(policy.SelectFirstModel(summaries, kAccount, configuration,
                                {false, true}, 0.0) == 1);
  CHECK(policy.SelectFirstModel(summaries, kAccount, configuration,
                                {false, false}, 0.0) == 2);
}

// Guards against a new account that ignores the ratings of its quality class.
TEST_CASE("a new account starts from the ratings of its class", "[policy]") {
  QualityClass summaries = Summaries();
  CascadePolicy policy{CascadeOptions()};
  for (int i = 0; i < 300; ++i) {
    policy.OnRating(summaries, AccountId("other"), kSmall, 0.9);
  }
  CHECK(policy.PassProbability("summary", kAccount, kSmall) > 0.9);
}

}  // namespace
}  // namespace filbertshift
