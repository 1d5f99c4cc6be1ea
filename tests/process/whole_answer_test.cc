// Complete responses while endpoints fail (I7), and requests that crash
// endpoints.

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

#include "tests/process/deployment.h"

namespace filbertshift {
namespace {

using nlohmann::json;

// Requests the answer directly from an engine without faults.
std::string ExpectedText(Deployment& deployment,
                         std::size_t engine,
                         const std::string& prompt,
                         int max_tokens) {
  HttpCall call = deployment.Chat(0, prompt, max_tokens);
  call.url = deployment.engine(engine).address + "/v1/chat/completions";
  HttpResult result = Call(call);
  REQUIRE(result.status == 200);
  return ReadStream(result.body).text;
}

// Returns the index of an engine that is running a request.
std::size_t BusyEngine(Deployment& deployment) {
  for (int tries = 0; tries < 100; ++tries) {
    for (std::size_t i = 0; i < deployment.engine_count(); ++i) {
      json history = deployment.History(deployment.engine(i));
      for (const json& entry : history["requests"]) {
        if (entry.value("outcome", "") == "running") {
          return i;
        }
      }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  FAIL("no engine runs a request");
  return 0;
}

struct StreamingCall {
  explicit StreamingCall(HttpCall call)
      : thread([this, call] { result = Call(call); }) {}
  ~StreamingCall() { Wait(); }
  void Wait() {
    if (thread.joinable()) {
      thread.join();
    }
  }
  HttpResult result;
  std::thread thread;
};

DeploymentSpec OneInstanceTwoEngines() {
  DeploymentSpec spec;
  spec.instances = {"a"};
  return spec;
}

// Guards against an answer that is truncated, duplicated or mixed with another
// when its engine crashes during the stream.
TEST_CASE("an engine crash in mid-answer leaves the answer whole",
          "[process]") {
  Deployment deployment{OneInstanceTwoEngines()};
  INFO(deployment.folder());
  std::string expected = ExpectedText(deployment, 0, "jury report", 200);
  StreamingCall caller(deployment.Chat(0, "jury report", 200));
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  std::size_t busy_engine = BusyEngine(deployment);
  deployment.Control(deployment.engine(busy_engine).control, {{"crash", true}});
  caller.Wait();
  StreamedAnswer answer = ReadStream(caller.result.body);
  CHECK(answer.done);
  CHECK(answer.text == expected);
}

// Guards against requests that wait for an endpoint that passes health checks
// but sends nothing.
TEST_CASE("a hanging engine does not hold its requests", "[process]") {
  Deployment deployment{OneInstanceTwoEngines()};
  INFO(deployment.folder());
  // Gives the failure detector samples of normal delays.
  for (int i = 0; i < 6; ++i) {
    REQUIRE(Call(deployment.Chat(0, "warm " + std::to_string(i), 20)).status ==
            200);
  }
  std::string expected = ExpectedText(deployment, 0, "lookup", 100);
  StreamingCall caller(deployment.Chat(0, "lookup", 100));
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  std::size_t busy_engine = BusyEngine(deployment);
  deployment.Control(deployment.engine(busy_engine).control, {{"hang", true}});
  caller.Wait();
  StreamedAnswer answer = ReadStream(caller.result.body);
  CHECK(answer.done);
  CHECK(answer.text == expected);
  // The upper bound of the detector on a token gap is 3 s.
  CHECK(caller.result.total < std::chrono::milliseconds(5000));
}

// Guards against delivering the answer of another request, and a truncated
// answer as complete.
TEST_CASE("crossed and truncated answers are not delivered", "[process]") {
  Deployment deployment{OneInstanceTwoEngines()};
  INFO(deployment.folder());
  std::string expected = ExpectedText(deployment, 0, "tags", 40);
  deployment.Control(deployment.engine(0).control, {{"wrong_request_id", 1}});
  deployment.Control(deployment.engine(1).control, {{"truncate_after", 10}});
  HttpResult result = Call(deployment.Chat(0, "tags", 40));
  StreamedAnswer answer = ReadStream(result.body);
  // The answer is either complete or ends with an error.
  if (answer.done) {
    CHECK(answer.text == expected);
  } else {
    CHECK(expected.rfind(answer.text, 0) == 0);
    CHECK_FALSE(answer.error_code.empty());
  }
  deployment.Control(deployment.engine(1).control, {{"truncate_after", -1}});
  result = Call(deployment.Chat(0, "tags", 40));
  CHECK(ReadStream(result.body).text == expected);
}

// Guards against an extra token when the engine fails between the last token
// and the end of the stream.
TEST_CASE("an answer that is cut after its last token is whole", "[process]") {
  Deployment deployment{OneInstanceTwoEngines()};
  INFO(deployment.folder());
  std::string expected = ExpectedText(deployment, 0, "blurb", 30);
  for (std::size_t i = 0; i < 2; ++i) {
    deployment.Control(deployment.engine(i).control, {{"truncate_after", 30}});
  }
  StreamedAnswer answer =
      ReadStream(Call(deployment.Chat(0, "blurb", 30)).body);
  CHECK(answer.done);
  CHECK(answer.text == expected);
}

// Counts the engine runs that ended in a crash.
int CrashedEngineRuns(Deployment& deployment) {
  int crashed = 0;
  for (std::size_t i = 0; i < deployment.engine_count(); ++i) {
    json history = deployment.History(deployment.engine(i));
    for (const json& engine_run : history["lives"]) {
      crashed += engine_run.value("end_cause", "").empty() ? 0 : 1;
    }
  }
  return crashed;
}

// Guards against a request that crashes one engine after another when its
// caller retries it at every instance, and against failing the requests that
// ran concurrently on the crashed engines.
TEST_CASE("a crashing request costs at most two engines", "[process]") {
  DeploymentSpec spec;
  spec.instances = {"a", "b", "c"};
  spec.engines.assign(5, EngineSpec());
  Deployment deployment{spec};
  INFO(deployment.folder());
  std::vector<std::unique_ptr<StreamingCall>> concurrent;
  std::vector<std::string> expected;
  for (int i = 0; i < 6; ++i) {
    std::string prompt = "beside " + std::to_string(i);
    expected.push_back(ExpectedText(deployment, 0, prompt, 300));
    concurrent.push_back(std::make_unique<StreamingCall>(
        deployment.Chat(static_cast<std::size_t>(i) % 3, prompt, 300)));
  }
  REQUIRE(CrashedEngineRuns(deployment) == 0);
  for (int resend = 0; resend < 6; ++resend) {
    HttpResult result = Call(deployment.Chat(
        static_cast<std::size_t>(resend) % 3, "CRASH-ENGINE now", 20, false));
    CHECK(result.status != 200);
  }
  for (std::size_t i = 0; i < concurrent.size(); ++i) {
    concurrent[i]->Wait();
    StreamedAnswer answer = ReadStream(concurrent[i]->result.body);
    INFO("concurrent request " << i << " " << answer.error_code);
    CHECK(answer.done);
    CHECK(answer.text == expected[i]);
  }
  int crashed = CrashedEngineRuns(deployment);
  CHECK(crashed <= 2);
  CHECK(crashed >= 1);
}

}  // namespace
}  // namespace filbertshift
