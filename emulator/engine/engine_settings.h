// Settings of one emulated model engine.

#ifndef EMULATOR_ENGINE_ENGINE_SETTINGS_H_
#define EMULATOR_ENGINE_ENGINE_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <string>

namespace filbertshift::emulator {

struct EngineSettings {
  std::string model = "model";
  std::string version = "1";
  // Time of one token with one running request.
  std::chrono::microseconds base_token_time{30'000};
  // Token time at max_concurrency, relative to the base, minus one.
  double token_time_growth = 0.5;
  std::chrono::microseconds prefill_time_per_token{100};
  std::size_t prefix_cache_tokens = 65'536;
  // Further requests wait.
  std::size_t max_concurrency = 32;
  // Further requests are refused with 429.
  std::size_t max_waiting = 1000;
  std::size_t kv_capacity_tokens = 100'000;
  std::chrono::milliseconds cold_duration{20'000};
  std::size_t cold_concurrency = 4;
  // The first life starts as if cold_duration had passed.
  bool start_warm = false;
  std::chrono::milliseconds restart_duration{3000};
  // Age of the numbers of running and waiting requests in the metrics.
  std::chrono::milliseconds metrics_lag{500};
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_ENGINE_ENGINE_SETTINGS_H_
