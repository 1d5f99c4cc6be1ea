// Tests of batching and cold starts of the emulated engine.

#include <catch2/catch.hpp>

#include <string>

#include "emulator/engine/engine.h"

namespace filbertshift::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr BatchModel::Time kStart{std::chrono::hours(1)};

EngineSettings TestSettings() {
  EngineSettings settings;
  settings.base_token_time = milliseconds(10);
  settings.prefill_time_per_token = milliseconds(1);
  settings.max_concurrency = 12;
  settings.cold_concurrency = 2;
  settings.cold_duration = seconds(10);
  return settings;
}

// Adds requests until the engine is overloaded or has accepted `max_requests`.
// Returns the number of accepted requests.
std::size_t CountAcceptedRequests(BatchModel* model,
                                  BatchModel::Time now,
                                  std::size_t max_requests) {
  for (std::size_t i = 0; i < max_requests; ++i) {
    const BatchRequestId id{i};
    if (model->Add(id, "p", now) == BatchAdmission::kOverload) {
      return i;
    }
  }
  return max_requests;
}

// Guards against an emulated cold engine that tolerates more requests than the
// router may send (invariant I5).
TEST_CASE("a cold engine crashes when its request limit is exceeded",
          "[emulator][engine]") {
  BatchModel just_started(TestSettings(), kStart);
  CHECK(CountAcceptedRequests(&just_started, kStart, 100) == 2);
  BatchModel half_warm(TestSettings(), kStart);
  CHECK(CountAcceptedRequests(&half_warm, kStart + seconds(5), 100) == 7);
  BatchModel warm(TestSettings(), kStart);
  CHECK(CountAcceptedRequests(&warm, kStart + seconds(10), 100) == 100);
  CHECK(warm.running() == 12);
  CHECK(warm.waiting() == 88);
}

// Guards against a restarted engine that is still warm.
TEST_CASE("a restart makes the engine cold and empty", "[emulator][engine]") {
  EngineSettings settings = TestSettings();
  settings.start_warm = true;
  BatchModel model(settings, kStart);
  CHECK(CountAcceptedRequests(&model, kStart, 100) == 100);
  model.Restart(kStart + seconds(1));
  CHECK(model.running() + model.waiting() == 0);
  CHECK(model.high_water() == 0);
  CHECK(CountAcceptedRequests(&model, kStart + seconds(1), 100) == 2);
  CHECK(model.high_water() == 3);
}

// Guards against a first token before the end of the prefill, and against a
// prefix cache that has no effect.
TEST_CASE("cached prefixes shorten the prefill", "[emulator][engine]") {
  EngineSettings settings = TestSettings();
  settings.start_warm = true;
  settings.prefix_cache_tokens = 64;
  BatchModel model(settings, kStart);
  const std::string prompt(256, 'x');  // 64 tokens.
  model.Add(BatchRequestId{1}, prompt, kStart);
  CHECK(model.NextStep() == kStart + milliseconds(64));
  CHECK(model.Step(kStart + milliseconds(63)).empty());
  CHECK(model.Step(kStart + milliseconds(64)).size() == 1);
  model.Remove(BatchRequestId{1}, kStart + seconds(1));

  model.Add(BatchRequestId{2}, prompt, kStart + seconds(1));
  CHECK(model.NextStep() == kStart + seconds(1));
  model.Remove(BatchRequestId{2}, kStart + seconds(2));

  // Another prompt evicts the first one from the full cache.
  model.Add(BatchRequestId{3}, std::string(256, 'y'), kStart + seconds(2));
  model.Remove(BatchRequestId{3}, kStart + seconds(3));
  model.Add(BatchRequestId{4}, prompt, kStart + seconds(3));
  CHECK(model.NextStep() == kStart + seconds(3) + milliseconds(64));
}

// Guards against an engine whose speed does not depend on its load.
TEST_CASE("token time grows with load and with full KV memory",
          "[emulator][engine]") {
  EngineSettings settings = TestSettings();
  settings.start_warm = true;
  settings.token_time_growth = 0.5;
  settings.kv_capacity_tokens = 1000;
  BatchModel model(settings, kStart);
  for (std::uint64_t i = 0; i < 12; ++i) {
    model.Add(BatchRequestId{i}, "p", kStart);
  }
  CHECK(model.StepTime() == milliseconds(15));
  model.Remove(BatchRequestId{0}, kStart);
  // 11 tokens of the other prompts and 989 of this one fill the memory.
  model.Add(BatchRequestId{20}, std::string(3956, 'p'), kStart);
  CHECK(model.StepTime() >= milliseconds(44));
  CHECK(model.StepTime() <= milliseconds(46));
}

// Guards against a hang that drops the request.
TEST_CASE("a hung engine generates no tokens until it resumes",
          "[emulator][engine]") {
  EngineSettings settings = TestSettings();
  settings.start_warm = true;
  BatchModel model(settings, kStart);
  model.Add(BatchRequestId{1}, "p", kStart);
  model.set_hung(true);
  CHECK_FALSE(model.NextStep());
  CHECK(model.Step(kStart + seconds(9)).empty());
  model.set_hung(false);
  CHECK(model.Step(kStart + seconds(9)).size() == 1);
}

}  // namespace
}  // namespace filbertshift::emulator
