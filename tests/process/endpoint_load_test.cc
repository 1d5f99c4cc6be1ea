// Which requests endpoints may receive: cold starts (I5), leaving endpoints
// (I10), drained data centres (I6), withdrawn versions (I2) and sessions (I3).

#include <catch2/catch.hpp>

#include <atomic>
#include <map>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "tests/process/deployment.h"

namespace filbertshift {
namespace {

using nlohmann::json;

// Callers that each send chat requests sequentially until they are stopped.
class SteadyLoad {
 public:
  SteadyLoad(Deployment& deployment, int callers) {
    for (int i = 0; i < callers; ++i) {
      threads_.emplace_back([this, &deployment, i] {
        for (int n = 0; !stopped_; ++n) {
          std::string prompt =
              "load " + std::to_string(i) + " " + std::to_string(n);
          HttpResult result = Call(deployment.Chat(
              static_cast<std::size_t>(i) % deployment.instance_count(), prompt,
              20));
          ++total_;
          done_ += ReadStream(result.body).done ? 1 : 0;
        }
      });
    }
  }
  ~SteadyLoad() { Stop(); }
  void Stop() {
    stopped_ = true;
    for (std::thread& thread : threads_) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }
  int total() const { return total_; }
  int done() const { return done_; }

 private:
  std::atomic<bool> stopped_{false};
  std::atomic<int> total_{0};
  std::atomic<int> done_{0};
  std::vector<std::thread> threads_;
};

std::size_t RequestsOf(Deployment& deployment, std::size_t engine) {
  return deployment.History(deployment.engine(engine))["requests"].size();
}

// Guards against instances that together exceed the cold-start capacity of a
// restarted engine; the engine crashes again when they do.
TEST_CASE("a restarted engine is not pushed over", "[process]") {
  DeploymentSpec spec;
  spec.instances = {"a", "b", "c", "a"};
  spec.max_concurrency = 16;
  spec.cold_start_concurrency = 4;
  spec.warm_up = "4s";
  EngineSpec engine;
  engine.options = {
      "--start-warm", "--token-us",         "5000", "--max-concurrency",
      "16",           "--cold-concurrency", "4",    "--cold-ms",
      "4000",         "--restart-ms",       "500"};
  spec.engines = {engine, engine};
  Deployment deployment{spec};
  INFO(deployment.folder());
  SteadyLoad load(deployment, 40);
  std::this_thread::sleep_for(std::chrono::seconds(1));
  // The restart is not announced to the instances.
  deployment.Control(deployment.engine(0).control, {{"silent_restart", true}});
  std::this_thread::sleep_for(std::chrono::seconds(7));
  load.Stop();
  json engine_runs = deployment.History(deployment.engine(0))["lives"];
  INFO(engine_runs.dump());
  // The first run and the one after the restart; a third one means that the
  // restarted engine was overloaded and crashed.
  CHECK(engine_runs.size() == 2);
  CHECK(engine_runs[1].value("high_water", 0) >= 2);
  CHECK(load.done() == load.total());
}

// Guards against new requests to a leaving endpoint, or to an endpoint of a
// data centre that operators have drained, a few seconds after the change.
TEST_CASE("leaving endpoints and drained data centres get no new work",
          "[process]") {
  DeploymentSpec spec;
  EngineSpec in_b;
  in_b.data_centre = "b";
  spec.engines = {EngineSpec(), EngineSpec(), in_b};
  Deployment deployment{spec};
  INFO(deployment.folder());
  SteadyLoad load(deployment, 12);
  std::this_thread::sleep_for(std::chrono::seconds(1));
  deployment.ChangeInstanceList(
      [](json* list) { (*list)[0]["labels"]["state"] = "leaving"; });
  HttpResult drained =
      deployment.ChangeSection(0, "data_centres", [](json* section) {
        for (json& data_centre : *section) {
          if (data_centre["data_centre"] == "b") {
            data_centre["drained"] = true;
          }
        }
      });
  REQUIRE(drained.status == 200);
  std::this_thread::sleep_for(std::chrono::seconds(3));
  std::size_t leaving = RequestsOf(deployment, 0);
  std::size_t in_drained = RequestsOf(deployment, 2);
  std::size_t staying = RequestsOf(deployment, 1);
  std::this_thread::sleep_for(std::chrono::seconds(2));
  CHECK(RequestsOf(deployment, 0) == leaving);
  CHECK(RequestsOf(deployment, 2) == in_drained);
  CHECK(RequestsOf(deployment, 1) > staying);
  load.Stop();
  CHECK(load.done() == load.total());
}

// Guards against a session that changes its version between instances, after an
// instance fails, or during a rollout; and against new requests to a withdrawn
// version.
TEST_CASE("sessions keep their version until it is withdrawn", "[process]") {
  DeploymentSpec spec;
  EngineSpec candidate;
  candidate.version = "v2";
  spec.engines = {EngineSpec(), EngineSpec(), candidate, candidate};
  Deployment deployment{spec};
  INFO(deployment.folder());
  auto set_exposure = [&](double exposure) {
    HttpResult result =
        deployment.ChangeSection(0, "rollouts", [&](json* section) {
          *section = json::array({{{"model", "small"},
                                   {"stable", "v1"},
                                   {"candidate", "v2"},
                                   {"exposure", exposure},
                                   {"state", "running"}}});
        });
    REQUIRE(result.status == 200);
    std::this_thread::sleep_for(std::chrono::seconds(2));
  };
  auto version_of = [&](std::size_t instance, const std::string& session) {
    HttpCall call = deployment.Chat(instance, "s", 3);
    call.headers.push_back("X-Session-Id: " + session);
    HttpResult result = Call(call);
    CHECK(result.status == 200);
    return result.headers["x-model-version"];
  };
  set_exposure(0.5);
  std::map<std::string, std::string> versions;
  for (int i = 0; i < 20; ++i) {
    std::string session = "session-" + std::to_string(i);
    versions[session] = version_of(0, session);
  }
  std::set<std::string> used;
  for (const auto& [session, version] : versions) {
    used.insert(version);
  }
  CHECK(used.size() == 2);
  set_exposure(0.0);
  for (const auto& [session, version] : versions) {
    CHECK(version_of(1, session) == version);
  }
  deployment.instance(0).process->Kill();
  for (const auto& [session, version] : versions) {
    CHECK(version_of(1, session) == version);
  }
  HttpResult withdrawn =
      deployment.ChangeSection(1, "models", [](json* section) {
        for (json& model : (*section)["models"]) {
          for (json& version : model["versions"]) {
            if (version["version"] == "v2") {
              version["withdrawn"] = true;
            }
          }
        }
      });
  REQUIRE(withdrawn.status == 200);
  std::this_thread::sleep_for(std::chrono::seconds(2));
  std::size_t before = RequestsOf(deployment, 2) + RequestsOf(deployment, 3);
  for (const auto& [session, version] : versions) {
    CHECK(version_of(1, session) == "small:v1");
  }
  CHECK(RequestsOf(deployment, 2) + RequestsOf(deployment, 3) == before);
}

}  // namespace
}  // namespace filbertshift
