// Measures the delay and CPU time that an instance adds to streams. Hidden: run
// with `build/tests/process_tests "[.streams]"` on a quiet machine.

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
  // Skips the process name in parentheses; of the fields after it, the 12th and
  // 13th are the user and system CPU times.
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

// Runs about 200 concurrent streams of 100 tokens, 43 ms apart.
json RunLoad(Deployment& deployment,
             const std::string& name,
             const std::vector<std::string>& target) {
  std::string summary = deployment.folder() + "/" + name + ".json";
  std::string plan = deployment.folder() + "/plan.json";
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
  ChildProcess load(name, deployment.folder(), command);
  CHECK(load.WaitExit(std::chrono::seconds(60)) == 0);
  std::ifstream file(summary);
  return json::parse(file, nullptr, false);
}

// Reports the added delay next to the goals of the design page (1.4) without
// checking them, since they need an otherwise idle machine.
TEST_CASE("what an instance adds to 200 streams", "[.streams]") {
  DeploymentSpec spec;
  spec.instances = {"a"};
  spec.max_concurrency = 512;
  spec.cold_start_concurrency = 512;
  spec.extra_settings = {{"log_severity", "warning"}};
  EngineSpec engine;
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
  spec.engines = {engine};
  Deployment deployment{spec};
  json direct = RunLoad(deployment, "direct",
                        {"--direct", "--version", "v1", "--target",
                         deployment.engine(0).proxy_address});
  Usage before = UsageOf(deployment.instance(0).process->pid());
  json routed = RunLoad(deployment, "routed",
                        {"--target", deployment.instance(0).caller_address});
  Usage after = UsageOf(deployment.instance(0).process->pid());
  std::cout << "direct " << direct.dump() << "\nrouted " << routed.dump()
            << "\ncpu_s " << after.cpu_seconds - before.cpu_seconds
            << " rss_kib before " << before.resident_kib << " after "
            << after.resident_kib << "\n";
}

}  // namespace
}  // namespace filbertshift
