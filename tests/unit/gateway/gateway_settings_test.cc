// Tests of the gateway's settings and of the template that the platform fills
// in.

#include <catch2/catch.hpp>

#include <fstream>
#include <regex>
#include <sstream>

#include "src/gateway/gateway_settings.h"

namespace filbertshift {
namespace {

std::string Template() {
  std::ifstream file(FILBERTSHIFT_SOURCE_DIR "/deploy/settings.template");
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// Fills in the template as documented for the platform, with the given seeds.
std::string Fill(std::string text, const std::string& seeds) {
  text = std::regex_replace(
      text, std::regex("\\{\\{#seeds\\}\\}.*\\{\\{/seeds\\}\\}"), seeds);
  text = std::regex_replace(text, std::regex("\\{\\{[#/][a-z_.]*\\}\\}"), "");
  text = std::regex_replace(
      text, std::regex("\\{\\{(listen|platform)[a-z_.]*\\}\\}"), "10.0.0.1:80");
  text = std::regex_replace(
      text, std::regex("\\{\\{bounds.[a-z_]*_share\\}\\}"), "0.15");
  text =
      std::regex_replace(text, std::regex("\\{\\{bounds[a-z_.]*\\}\\}"), "9.8");
  text =
      std::regex_replace(text, std::regex("\\{\\{limits[a-z_.]*\\}\\}"), "380");
  text = std::regex_replace(text, std::regex("\\{\\{[a-z_.]*\\}\\}"), "name-1");
  return std::regex_replace(text, std::regex("\"configuration_apply_ms\": 9.8"),
                            "\"configuration_apply_ms\": 2000");
}

// Guards against a template that the daemon would reject at startup.
TEST_CASE("the template of the deploy file gives valid settings", "[gateway]") {
  GatewaySettings settings = ParseGatewaySettings("t", Fill(Template(), ""));
  CHECK(settings.instance == InstanceId("name-1"));
  CHECK(settings.store_address == "10.0.0.1:80");
  CHECK(settings.repeat_window_s == Approx(9.8));
  CHECK(settings.rollout_share == Approx(0.15));
  CHECK(settings.rollout_tolerance == Approx(9.8));
  CHECK(settings.memory_mb == 380);
  settings = ParseGatewaySettings(
      "t", Fill(Template(), "\"10.0.0.1:1\",\"10.0.0.2:1\""));
  CHECK(settings.seed_peers.size() == 2);
}

// Guards against shares that exceed the memory together.
TEST_CASE("requests and responses share the memory", "[gateway]") {
  for (std::size_t memory_mb : {32, 128, 380, 512, 4096}) {
    INFO(memory_mb);
    GatewaySettings settings;
    settings.memory_mb = memory_mb;
    MemoryShares shares = ShareMemory(settings);
    std::size_t memory = memory_mb * 1024 * 1024;
    CHECK(shares.request_bytes + shares.response_bytes + shares.unsent_bytes <=
          memory * 6 / 10);
    CHECK(shares.request_bytes >= memory * 3 / 10);
    CHECK(shares.response_bytes > 0);
    CHECK(shares.unsent_bytes > 0);
  }
}

// Guards against invalid settings that silently fall back to defaults.
TEST_CASE("faults of the gateway's settings are reported together",
          "[gateway]") {
  std::string found;
  try {
    ParseGatewaySettings("t", R"({"instance": "a b", "repeat_ratio": "x",
 "silence_timeout": "5", "no_such": 1})");
  } catch (const FindingsError& error) {
    found = error.what();
  }
  for (const char* part :
       {"/instance: must be", "/repeat_ratio: expected a number",
        "/silence_timeout: not a duration", "/no_such: unknown key",
        "missing key \"store_address\""}) {
    INFO(found);
    CHECK(found.find(part) != std::string::npos);
  }
}

}  // namespace
}  // namespace filbertshift
