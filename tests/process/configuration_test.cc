// An accepted configuration is in force everywhere within 13 s and never
// reverts (I12). The tests check the responses to callers and the rows of the
// table service.

#include <catch2/catch.hpp>

#include <iostream>
#include <thread>

#include "tests/process/deployment.h"
#include "tests/process/records.h"

namespace filbertshift {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Target of I12.
constexpr seconds kMaxPropagationTime{13};
constexpr char kAccounts[] = "client_accounts";

DeploymentSpec ThreeInstances() {
  DeploymentSpec spec;
  spec.instances = {"a", "b", "a"};
  // The default, so that the measured time is that of a deployed instance.
  spec.extra_settings = {{"configuration_poll_interval", "2s"}};
  return spec;
}

// Restricts the account "museum" to the given models.
void AllowModels(json* accounts, const std::vector<std::string>& models) {
  for (json& account : *accounts) {
    if (account.at("account") == "museum") {
      account["models"] = json::array();
      for (const std::string& model : models) {
        account["models"].push_back({{"model", model}});
      }
    }
  }
}

void DenySmallModel(json* accounts) {
  AllowModels(accounts, {"large"});
}

// Returns true if the instance denies callers the model "small".
bool DeniesSmallModel(Deployment& deployment, std::size_t instance) {
  HttpCall call = deployment.Chat(instance, "allowed?", 1, false);
  call.timeout = seconds(5);
  HttpResult result = Call(call);
  return result.ErrorCode() == "model_not_allowed" && result.Run() == "not_run";
}

// Waits until every instance denies the model; prints and checks the time since
// `accepted`.
void ExpectRefusedEverywhere(Deployment& deployment,
                             const std::string& name,
                             std::chrono::steady_clock::time_point accepted) {
  for (std::size_t i = 0; i < deployment.instance_count(); ++i) {
    INFO("instance " << i << " " << deployment.folder());
    CHECK(WaitUntil(kMaxPropagationTime,
                    [&] { return DeniesSmallModel(deployment, i); }));
  }
  const auto passed = std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - accepted);
  std::cout << name << ": in force everywhere after " << passed.count() << " ms"
            << std::endl;
  CHECK(passed <= kMaxPropagationTime);
}

// Checks that no instance allows the model again during `period`.
void ExpectNoRevert(Deployment& deployment, milliseconds period) {
  bool reverted = WaitUntil(period, [&] {
    for (std::size_t i = 0; i < deployment.instance_count(); ++i) {
      if (!DeniesSmallModel(deployment, i)) {
        return true;
      }
    }
    return false;
  });
  INFO(deployment.folder());
  CHECK_FALSE(reverted);
}

HttpCall PutSection(Deployment& deployment,
                    std::size_t instance,
                    const std::string& section,
                    int base_revision,
                    const std::string& text) {
  return {"PUT",
          deployment.instance(instance).admin_address + "/v1/configuration/" +
              section + "?base_revision=" + std::to_string(base_revision) +
              "&author=operator-" + std::to_string(instance),
          {},
          text};
}

// Returns the section as stored in the table service.
json StoredSection(Deployment& deployment, const std::string& section) {
  const std::string key = "config/" + section;
  for (const json& row : deployment.Rows(key)) {
    if (row.at("pk").at("S") == key) {
      return json::parse(row.at("v").at("S").get<std::string>());
    }
  }
  return json::object();
}

// Guards against a change that reaches some instances late or never.
TEST_CASE("an accepted change is in force everywhere within 13 s",
          "[process]") {
  Deployment deployment{ThreeInstances()};
  REQUIRE_FALSE(DeniesSmallModel(deployment, 2));
  HttpResult accepted = deployment.ChangeSection(0, kAccounts, DenySmallModel);
  const auto time = std::chrono::steady_clock::now();
  REQUIRE(accepted.status == 200);
  ExpectRefusedEverywhere(deployment, "all connected", time);
}

// Guards against lost updates when two operators change the same section.
TEST_CASE("of two operators who edit one section one is accepted",
          "[process]") {
  Deployment deployment{DeploymentSpec()};
  for (int round = 0; round < 5; ++round) {
    const json present = StoredSection(deployment, kAccounts);
    const int base = present.at("revision");
    std::vector<std::string> texts;
    for (int weight : {2, 3}) {
      json accounts = json::parse(present.at("text").get<std::string>());
      accounts.at(0)["weight"] = weight + 2 * round;
      texts.push_back(accounts.dump(2));
    }
    HttpResult second;
    std::thread other([&] {
      second = Call(PutSection(deployment, 1, kAccounts, base, texts[1]));
    });
    HttpResult first =
        Call(PutSection(deployment, 0, kAccounts, base, texts[0]));
    other.join();
    INFO(deployment.folder() << " " << first.status << first.body << " / "
                             << second.status << second.body);
    const bool first_won = first.status == 200;
    const HttpResult& lost = first_won ? second : first;
    const std::string& winning = texts[first_won ? 0 : 1];
    REQUIRE((first_won || second.status == 200));
    CHECK(lost.status == 409);
    CHECK(lost.Json()["current"].value("text", "") == winning);
    CHECK(lost.Json()["current"].value("revision", 0) == base + 1);
    const json stored = StoredSection(deployment, kAccounts);
    CHECK(stored.at("text") == winning);
    CHECK(stored.at("revision") == base + 1);
  }
}

// Guards against an instance that receives changes only from the table service.
TEST_CASE("an instance without the table service learns a change from peers",
          "[process]") {
  Deployment deployment{ThreeInstances()};
  deployment.Control(deployment.instance(2).table_proxy.proxy_control,
                     {{"cut", true}});
  HttpResult accepted = deployment.ChangeSection(0, kAccounts, DenySmallModel);
  const auto time = std::chrono::steady_clock::now();
  REQUIRE(accepted.status == 200);
  ExpectRefusedEverywhere(deployment, "one cut from the table", time);
  ExpectNoRevert(deployment, seconds(2));
}

// Guards against a paused instance that, on resuming, restores an old section
// from its memory or from a pending change based on it.
TEST_CASE("an instance that was frozen does not bring back an old section",
          "[process]") {
  Deployment deployment{ThreeInstances()};
  const json old = StoredSection(deployment, kAccounts);
  const int base = old.at("revision");
  deployment.instance(1).process->Freeze();
  // Stays pending in the paused instance.
  HttpResult late;
  std::thread operator_call([&] {
    late = Call(PutSection(deployment, 1, kAccounts, base, old.at("text")));
  });
  HttpResult accepted = deployment.ChangeSection(0, kAccounts, DenySmallModel);
  std::this_thread::sleep_for(seconds(4));
  const json stored = StoredSection(deployment, kAccounts);
  deployment.instance(1).process->Resume();
  const auto time = std::chrono::steady_clock::now();
  operator_call.join();
  INFO(late.status << " " << late.body << late.error);
  REQUIRE(accepted.status == 200);
  CHECK(late.status == 409);
  ExpectRefusedEverywhere(deployment, "one resumed after 4 s", time);
  ExpectNoRevert(deployment, seconds(3));
  CHECK(stored.at("revision") == base + 1);
  CHECK(StoredSection(deployment, kAccounts) == stored);
}

// Counts the requests that the engines have received.
std::size_t EngineRequests(Deployment& deployment) {
  std::size_t count = 0;
  for (std::size_t i = 0; i < deployment.engine_count(); ++i) {
    count += deployment.History(deployment.engine(i)).at("requests").size();
  }
  return count;
}

// Guards against instances that serve without a configuration, and against
// instances that never become ready after such a start.
TEST_CASE("instances that start without table service wait for it",
          "[process]") {
  Deployment deployment{ThreeInstances()};
  const std::size_t before = EngineRequests(deployment);
  deployment.Control(deployment.table().control, {{"down", true}});
  for (std::size_t i = 0; i < deployment.instance_count(); ++i) {
    deployment.instance(i).process->Kill();
  }
  for (std::size_t i = 0; i < deployment.instance_count(); ++i) {
    deployment.StartInstance(i);
  }
  for (std::size_t i = 0; i < deployment.instance_count(); ++i) {
    HttpResult refused;
    CHECK(WaitUntil(seconds(5), [&] {
      refused = Call(deployment.Chat(i, "too early", 1));
      return refused.status != 0;
    }));
    INFO("instance " << i << " " << refused.status << " " << refused.body);
    CHECK(refused.status == 503);
    CHECK(refused.Run() == "not_run");
    CHECK_FALSE(deployment.WaitReady(i, milliseconds(700)));
  }
  CHECK(EngineRequests(deployment) == before);
  CHECK(ExecutionCounts(deployment).empty());
  deployment.Control(deployment.table().control, {{"down", false}});
  for (std::size_t i = 0; i < deployment.instance_count(); ++i) {
    INFO("instance " << i << " " << deployment.folder());
    CHECK(deployment.WaitReady(i, kMaxPropagationTime));
    CHECK(WaitUntil(seconds(8), [&] {
      return Call(deployment.Chat(i, "in time", 1)).status == 200;
    }));
  }
}

}  // namespace
}  // namespace filbertshift
