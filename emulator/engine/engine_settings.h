// Settings of an emulated inference engine.

#ifndef EMULATOR_ENGINE_ENGINE_SETTINGS_H_
#define EMULATOR_ENGINE_ENGINE_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <string>

namespace filbertshift::emulator {

struct EngineSettings {
  std::string model = "model";
  std::string version = "1";
  // Time per token with a single running request.
  std::chrono::microseconds base_token_time{30'000};
  // Relative increase of the token time at max_concurrency over the base.
  double token_time_growth = 0.5;
  std::chrono::microseconds prefill_time_per_token{100};
  std::size_t prefix_cache_tokens = 65'536;
  // Requests above this number wait.
  std::size_t max_concurrency = 32;
  // Requests above this number are rejected with 429.
  std::size_t max_waiting = 1000;
  std::size_t kv_capacity_tokens = 100'000;
  // Time after a start during which the request limit rises from
  // cold_concurrency to max_concurrency. Exceeding it crashes the engine.
  std::chrono::milliseconds cold_duration{20'000};
  std::size_t cold_concurrency = 4;
  // The first incarnation has no reduced request limit.
  bool start_warm = false;
  // Downtime after a crash.
  std::chrono::milliseconds restart_duration{3000};
  // Age of the running and waiting request counts in the metrics.
  std::chrono::milliseconds metrics_lag{500};
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_ENGINE_ENGINE_SETTINGS_H_
