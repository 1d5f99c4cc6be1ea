#include "emulator/engine/engine.h"
#include "emulator/main/command.h"

namespace filbertshift::emulator {

namespace options = boost::program_options;

namespace {

void AddEngineOptions(options::options_description* description) {
  const EngineSettings defaults;
  description->add_options()(
      "model", options::value<std::string>()->default_value(defaults.model),
      "name of the model")(
      "version", options::value<std::string>()->default_value(defaults.version),
      "version of the model")(
      "token-us",
      options::value<int>()->default_value(defaults.base_token_time.count()),
      "time of one token with one request, microseconds")(
      "token-growth",
      options::value<double>()->default_value(defaults.token_time_growth),
      "relative growth of the token time at full concurrency")(
      "prefill-us",
      options::value<int>()->default_value(
          defaults.prefill_time_per_token.count()),
      "prefill time of one prompt token, microseconds")(
      "prefix-cache-tokens",
      options::value<std::size_t>()->default_value(
          defaults.prefix_cache_tokens),
      "size of the prefix cache")(
      "max-concurrency",
      options::value<std::size_t>()->default_value(defaults.max_concurrency),
      "requests that run at the same time")(
      "max-waiting",
      options::value<std::size_t>()->default_value(defaults.max_waiting),
      "requests that wait before others get 429")(
      "kv-tokens",
      options::value<std::size_t>()->default_value(defaults.kv_capacity_tokens),
      "capacity of the KV memory")(
      "cold-ms",
      options::value<int>()->default_value(defaults.cold_duration.count()),
      "time after a start with a reduced limit, milliseconds")(
      "cold-concurrency",
      options::value<std::size_t>()->default_value(defaults.cold_concurrency),
      "requests that a just started engine bears")(
      "start-warm", options::bool_switch(),
      "the first life has no reduced limit")(
      "restart-ms",
      options::value<int>()->default_value(defaults.restart_duration.count()),
      "time between a crash and the next life, milliseconds")(
      "metrics-lag-ms",
      options::value<int>()->default_value(defaults.metrics_lag.count()),
      "age of the load in the metrics, milliseconds");
}

EngineSettings ReadEngineSettings(const options::variables_map& values) {
  EngineSettings settings;
  settings.model = values["model"].as<std::string>();
  settings.version = values["version"].as<std::string>();
  settings.base_token_time =
      std::chrono::microseconds(values["token-us"].as<int>());
  settings.token_time_growth = values["token-growth"].as<double>();
  settings.prefill_time_per_token =
      std::chrono::microseconds(values["prefill-us"].as<int>());
  settings.prefix_cache_tokens =
      values["prefix-cache-tokens"].as<std::size_t>();
  settings.max_concurrency = values["max-concurrency"].as<std::size_t>();
  settings.max_waiting = values["max-waiting"].as<std::size_t>();
  settings.kv_capacity_tokens = values["kv-tokens"].as<std::size_t>();
  settings.cold_duration =
      std::chrono::milliseconds(values["cold-ms"].as<int>());
  settings.cold_concurrency = values["cold-concurrency"].as<std::size_t>();
  settings.start_warm = values["start-warm"].as<bool>();
  settings.restart_duration =
      std::chrono::milliseconds(values["restart-ms"].as<int>());
  settings.metrics_lag =
      std::chrono::milliseconds(values["metrics-lag-ms"].as<int>());
  if (settings.max_concurrency == 0 || settings.kv_capacity_tokens == 0 ||
      settings.base_token_time.count() <= 0) {
    throw UsageError(
        "max-concurrency, kv-tokens and token-us must be at least 1");
  }
  return settings;
}

}  // namespace

int RunEngineCommand(const std::vector<std::string>& arguments) {
  options::options_description description("filbertshift-emulator engine");
  AddPortOptions(&description);
  AddFaultOption(&description);
  AddEngineOptions(&description);
  options::variables_map values;
  if (!ParseOptions(arguments, description, &values)) {
    return 0;
  }
  EngineService service(ReadPorts(values), ReadEngineSettings(values));
  ApplyFaultOption(values, &service);
  return Serve(&service);
}

}  // namespace filbertshift::emulator
