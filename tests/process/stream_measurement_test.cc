// Measures what an instance adds to a stream. Hidden: run with
// `build/tests/process_tests "[.streams]"` on a quiet machine.

#include <catch2/catch.hpp>

#include <unistd.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include "tests/process/deployment.h"

namespace filbertshift {
namespace {

using nlohmann::json;

struct Usage {
  double cpu_seconds = 0;
  double resident_kib = 0;
};

Usage UsageOf(pid_t pid) {
  std::string folder = "/proc/" + std::to_string(pid);
  std::ifstream stat(folder + "/stat");
  std::string line;
  std::getline(stat, line);
  // The fields after the name in parentheses; the 12th and 13th are the times.
  std::istringstream fields(line.substr(line.rfind(')') + 2));
  std::string field;
  double ticks = 0;
  for (int i = 1; i <= 13 && fields >> field; ++i) {
    ticks += i >= 12 ? std::stod(field) : 0;
  }
  Usage usage;
  usage.cpu_seconds = ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::ifstream status(folder + "/status");
  while (std::getline(status, line)) {
    if (line.rfind("VmRSS:", 0) == 0) {
      usage.resident_kib = std::stod(line.substr(6));
    }
  }
  return usage;
}

// About 200 streams of 100 tokens, 43 ms apart.
json RunLoad(Deployment& site,
             const std::string& name,
             const std::vector<std::string>& target) {
  std::string summary = site.folder() + "/" + name + ".json";
  std::string plan = site.folder() + "/plan.json";
  std::ofstream(plan) << json({{"api_keys", {kMuseumKey}},
                               {"classes",
                                {{{"name", "stream"},
                                  {"kind", "chat"},
                                  {"share", 1},
                                  {"model", "small"},
                                  {"stream", true},
                                  {"prompt_tokens", {50, 50}},
                                  {"answer_tokens", {100, 100}}}}}})
                             .dump();
  const std::string program =
      FILBERTSHIFT_BINARY_DIR "/emulator/filbertshift-emulator";
  std::vector<std::string> command = {
      program,         "load",  "--plan",    plan,    "--rate", "46.5",
      "--duration-ms", "20000", "--arrival", "fixed", "--seed", "1",
      "--json",        summary};
  command.insert(command.end(), target.begin(), target.end());
  ChildProcess load(name, site.folder(), command);
  CHECK(load.WaitExit(std::chrono::seconds(60)) == 0);
  std::ifstream file(summary);
  return json::parse(file, nullptr, false);
}

// Guards against a claim on added delay without a run; reports the goals of the
// design page (1.4) instead of checking them, since they need a quiet machine.
TEST_CASE("what an instance adds to 200 streams", "[.streams]") {
  DeploymentShape shape;
  shape.instances = {"a"};
  shape.max_concurrency = 512;
  shape.cold_start_concurrency = 512;
  shape.extra_settings = {{"log_severity", "warning"}};
  EngineShape engine;
  engine.options = {"--start-warm",
                    "--token-us",
                    "43000",
                    "--token-growth",
                    "0",
                    "--prefill-us",
                    "10",
                    "--max-concurrency",
                    "512",
                    "--kv-tokens",
                    "10000000"};
  shape.engines = {engine};
  Deployment site{shape};
  json direct = RunLoad(site, "direct",
                        {"--direct", "--version", "v1", "--target",
                         site.engine(0).proxy_address});
  Usage before = UsageOf(site.instance(0).process->pid());
  json routed = RunLoad(site, "routed", {"--target", site.instance(0).callers});
  Usage after = UsageOf(site.instance(0).process->pid());
  std::cout << "direct " << direct.dump() << "\nrouted " << routed.dump()
            << "\ncpu_s " << after.cpu_seconds - before.cpu_seconds
            << " rss_kib before " << before.resident_kib << " after "
            << after.resident_kib << "\n";
}

}  // namespace
}  // namespace filbertshift
