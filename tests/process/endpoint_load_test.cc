// What endpoints may be given: cold starts (I5), leaving endpoints (I10), data
// centres taken out (I6), withdrawn versions (I2) and sessions (I3).

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

// Callers that send chat requests one after another until they are stopped.
class SteadyLoad {
 public:
  SteadyLoad(Deployment& site, int callers) {
    for (int i = 0; i < callers; ++i) {
      threads_.emplace_back([this, &site, i] {
        for (int n = 0; !stopped_; ++n) {
          std::string prompt =
              "load " + std::to_string(i) + " " + std::to_string(n);
          HttpResult result = Call(site.Chat(
              static_cast<std::size_t>(i) % site.instance_count(), prompt, 20));
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

std::size_t RequestsOf(Deployment& site, std::size_t engine) {
  return site.History(site.engine(engine))["requests"].size();
}

// Guards against instances that together give a just restarted engine more
// than it bears; the engine crashes again when they do.
TEST_CASE("a restarted engine is not pushed over", "[process]") {
  DeploymentShape shape;
  shape.instances = {"a", "b", "c", "a"};
  shape.max_concurrency = 16;
  shape.cold_start_concurrency = 4;
  shape.warm_up = "4s";
  EngineShape engine;
  engine.options = {
      "--start-warm", "--token-us",         "5000", "--max-concurrency",
      "16",           "--cold-concurrency", "4",    "--cold-ms",
      "4000",         "--restart-ms",       "500"};
  shape.engines = {engine, engine};
  Deployment site{shape};
  INFO(site.folder());
  SteadyLoad load(site, 40);
  std::this_thread::sleep_for(std::chrono::seconds(1));
  // Nobody announces the restart.
  site.Control(site.engine(0).control, {{"silent_restart", true}});
  std::this_thread::sleep_for(std::chrono::seconds(7));
  load.Stop();
  json lives = site.History(site.engine(0))["lives"];
  INFO(lives.dump());
  // The first life and the one after the restart; a third one means that the
  // restarted engine was pushed over.
  CHECK(lives.size() == 2);
  CHECK(lives[1].value("high_water", 0) >= 2);
  CHECK(load.done() == load.total());
}

// Guards against new work on an endpoint that leaves, or on one of a data
// centre that operators have taken out, a few seconds after the order.
TEST_CASE("leaving endpoints and drained data centres get no new work",
          "[process]") {
  DeploymentShape shape;
  EngineShape in_b;
  in_b.data_centre = "b";
  shape.engines = {EngineShape(), EngineShape(), in_b};
  Deployment site{shape};
  INFO(site.folder());
  SteadyLoad load(site, 12);
  std::this_thread::sleep_for(std::chrono::seconds(1));
  site.ChangeInstanceList(
      [](json* list) { (*list)[0]["labels"]["state"] = "leaving"; });
  HttpResult drained = site.ChangeSection(0, "data_centres", [](json* section) {
    for (json& data_centre : *section) {
      if (data_centre["data_centre"] == "b") {
        data_centre["drained"] = true;
      }
    }
  });
  REQUIRE(drained.status == 200);
  std::this_thread::sleep_for(std::chrono::seconds(3));
  std::size_t leaving = RequestsOf(site, 0);
  std::size_t in_drained = RequestsOf(site, 2);
  std::size_t staying = RequestsOf(site, 1);
  std::this_thread::sleep_for(std::chrono::seconds(2));
  CHECK(RequestsOf(site, 0) == leaving);
  CHECK(RequestsOf(site, 2) == in_drained);
  CHECK(RequestsOf(site, 1) > staying);
  load.Stop();
  CHECK(load.done() == load.total());
}

// Guards against a session that changes its version between instances, after
// the loss of one, or during a rollout; and against new work on a version that
// is withdrawn.
TEST_CASE("sessions keep their version until it is withdrawn", "[process]") {
  DeploymentShape shape;
  EngineShape candidate;
  candidate.version = "v2";
  shape.engines = {EngineShape(), EngineShape(), candidate, candidate};
  Deployment site{shape};
  INFO(site.folder());
  auto set_exposure = [&](double exposure) {
    HttpResult result = site.ChangeSection(0, "rollouts", [&](json* section) {
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
    HttpCall call = site.Chat(instance, "s", 3);
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
  site.instance(0).process->Kill();
  for (const auto& [session, version] : versions) {
    CHECK(version_of(1, session) == version);
  }
  HttpResult withdrawn = site.ChangeSection(1, "models", [](json* section) {
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
  std::size_t before = RequestsOf(site, 2) + RequestsOf(site, 3);
  for (const auto& [session, version] : versions) {
    CHECK(version_of(1, session) == "small:v1");
  }
  CHECK(RequestsOf(site, 2) + RequestsOf(site, 3) == before);
}

}  // namespace
}  // namespace filbertshift
