#include <cstdio>
#include <fstream>
#include <random>

#include "emulator/load/load.h"
#include "emulator/main/command.h"

namespace filbertshift::emulator {

namespace options = boost::program_options;

namespace {

void AddLoadOptions(options::options_description* description) {
  const LoadSettings defaults;
  const auto milliseconds = [](std::chrono::milliseconds value) {
    return options::value<int>()->default_value(
        static_cast<int>(value.count()));
  };
  description->add_options()(
      "target", options::value<std::vector<std::string>>()->required(),
      "loopback IP number and port; may be given several times")(
      "rate", options::value<double>()->default_value(defaults.rate),
      "requests per second")("duration-ms", milliseconds(defaults.duration),
                             "length of the run, milliseconds")(
      "requests", options::value<std::size_t>()->default_value(0),
      "number of requests; takes the place of the duration")(
      "arrival", options::value<std::string>()->default_value("poisson"),
      "poisson or fixed")("seed",
                          options::value<std::uint64_t>()->default_value(0),
                          "seed of the run; 0 takes a random one")(
      "plan", options::value<std::string>(),
      "JSON file with classes and api_keys")(
      "model", options::value<std::string>()->default_value("model"),
      "model of the one class of a run without a plan")(
      "api-key", options::value<std::string>(),
      "API key of a run without a plan")(
      "max-in-flight",
      options::value<std::size_t>()->default_value(defaults.max_in_flight),
      "requests beyond this bound are not sent and fail")(
      "timeout-ms", milliseconds(defaults.timeout),
      "longest time of one request, milliseconds")(
      "direct", options::bool_switch(), "the target is a model engine itself")(
      "version", options::value<std::string>()->default_value(""),
      "version of the engine, for --direct")(
      "json", options::value<std::string>(), "file for the summary as JSON")(
      "records", options::value<std::string>(),
      "file for one JSON line for each request");
}

std::uint64_t RandomSeed() {
  std::random_device device;
  return device();
}

LoadSettings ReadLoadSettings(const options::variables_map& values) {
  LoadSettings settings;
  for (const std::string& target :
       values["target"].as<std::vector<std::string>>()) {
    settings.targets.push_back(ParseListenAddress(target));
  }
  settings.rate = values["rate"].as<double>();
  settings.duration =
      std::chrono::milliseconds(values["duration-ms"].as<int>());
  settings.request_count = values["requests"].as<std::size_t>();
  const std::string arrival = values["arrival"].as<std::string>();
  if (arrival != "poisson" && arrival != "fixed") {
    throw UsageError("--arrival: expected poisson or fixed");
  }
  settings.arrival = arrival == "fixed" ? Arrival::kFixed : Arrival::kPoisson;
  settings.seed = values["seed"].as<std::uint64_t>();
  if (settings.seed == 0) {
    settings.seed = RandomSeed();
  }
  settings.max_in_flight = values["max-in-flight"].as<std::size_t>();
  settings.timeout = std::chrono::milliseconds(values["timeout-ms"].as<int>());
  settings.direct = values["direct"].as<bool>();
  settings.direct_version = values["version"].as<std::string>();
  if (values.count("plan") > 0) {
    ReadLoadPlan(ReadJsonFile(values["plan"].as<std::string>()), &settings);
  } else {
    RequestClass default_class;
    default_class.name = "chat";
    default_class.model = values["model"].as<std::string>();
    settings.classes.push_back(default_class);
  }
  if (values.count("api-key") > 0) {
    settings.api_keys = {values["api-key"].as<std::string>()};
  }
  CheckLoadSettings(settings);
  return settings;
}

}  // namespace

// Returns exit status 0 if all requests succeeded, 1 otherwise.
int RunLoadCommand(const std::vector<std::string>& arguments) {
  options::options_description description("filbertshift-emulator load");
  AddLoadOptions(&description);
  options::variables_map values;
  if (!ParseOptions(arguments, description, &values)) {
    return 0;
  }
  RestoreStopSignals();
  LoadSettings settings;
  try {
    settings = ReadLoadSettings(values);
  } catch (const LoadSettingsError& error) {
    throw UsageError(error.what());
  } catch (const ControlError& error) {
    throw UsageError(error.what());
  }
  std::printf("seed %llu\n", static_cast<unsigned long long>(settings.seed));
  std::fflush(stdout);
  std::ofstream records;
  if (values.count("records") > 0) {
    records.open(values["records"].as<std::string>());
  }
  LoadReport report(settings.seed);
  LoadRunner runner(settings, [&report, &records](const LoadRecord& record) {
    report.Add(record);
    if (records.is_open()) {
      records << RecordJson(record).dump() << '\n';
    }
  });
  runner.Run();
  std::fputs(report.Text().c_str(), stdout);
  if (values.count("json") > 0) {
    std::ofstream(values["json"].as<std::string>())
        << report.ToJson().dump(2) << '\n';
  }
  return report.failed() == 0 ? 0 : 1;
}

}  // namespace filbertshift::emulator
