// Whole answers while endpoints fail (I7), and requests that crash endpoints.

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

#include "tests/process/deployment.h"

namespace filbertshift {
namespace {

using nlohmann::json;

// The answer that an engine without faults gives.
std::string ExpectedText(Deployment& site,
                         std::size_t engine,
                         const std::string& prompt,
                         int max_tokens) {
  HttpCall call = site.Chat(0, prompt, max_tokens);
  call.url = site.engine(engine).address + "/v1/chat/completions";
  HttpResult result = Call(call);
  REQUIRE(result.status == 200);
  return ReadStream(result.body).text;
}

// Index of the engine that runs a request at present.
std::size_t BusyEngine(Deployment& site) {
  for (int tries = 0; tries < 100; ++tries) {
    for (std::size_t i = 0; i < site.engine_count(); ++i) {
      json history = site.History(site.engine(i));
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

DeploymentShape OneInstanceTwoEngines() {
  DeploymentShape shape;
  shape.instances = {"a"};
  return shape;
}

// Guards against an answer that is cut, doubled or mixed when its engine
// crashes in the middle.
TEST_CASE("an engine crash in mid-answer leaves the answer whole",
          "[process]") {
  Deployment site{OneInstanceTwoEngines()};
  INFO(site.folder());
  std::string expected = ExpectedText(site, 0, "jury report", 200);
  StreamingCall caller(site.Chat(0, "jury report", 200));
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  std::size_t busy = BusyEngine(site);
  site.Control(site.engine(busy).control, {{"crash", true}});
  caller.Wait();
  StreamedAnswer answer = ReadStream(caller.result.body);
  CHECK(answer.done);
  CHECK(answer.text == expected);
}

// Guards against an endpoint that reports healthy and sends nothing.
TEST_CASE("a hanging engine does not hold its requests", "[process]") {
  Deployment site{OneInstanceTwoEngines()};
  INFO(site.folder());
  // The detector learns the usual delays first.
  for (int i = 0; i < 6; ++i) {
    REQUIRE(Call(site.Chat(0, "warm " + std::to_string(i), 20)).status == 200);
  }
  std::string expected = ExpectedText(site, 0, "lookup", 100);
  StreamingCall caller(site.Chat(0, "lookup", 100));
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  std::size_t busy = BusyEngine(site);
  site.Control(site.engine(busy).control, {{"hang", true}});
  caller.Wait();
  StreamedAnswer answer = ReadStream(caller.result.body);
  CHECK(answer.done);
  CHECK(answer.text == expected);
  // The fixed bound on a token gap is 3 s.
  CHECK(caller.result.total < std::chrono::milliseconds(5000));
}

// Guards against an answer of another request, and against a cut one that
// looks whole.
TEST_CASE("crossed and truncated answers are not delivered", "[process]") {
  Deployment site{OneInstanceTwoEngines()};
  INFO(site.folder());
  std::string expected = ExpectedText(site, 0, "tags", 40);
  site.Control(site.engine(0).control, {{"wrong_request_id", 1}});
  site.Control(site.engine(1).control, {{"truncate_after", 10}});
  HttpResult result = Call(site.Chat(0, "tags", 40));
  StreamedAnswer answer = ReadStream(result.body);
  // Either the whole answer, or an answer that shows that it is not whole.
  if (answer.done) {
    CHECK(answer.text == expected);
  } else {
    CHECK(expected.rfind(answer.text, 0) == 0);
    CHECK_FALSE(answer.error_code.empty());
  }
  site.Control(site.engine(1).control, {{"truncate_after", -1}});
  result = Call(site.Chat(0, "tags", 40));
  CHECK(ReadStream(result.body).text == expected);
}

// Guards against an answer with one token too many when the engine is lost
// between the last token and the end mark.
TEST_CASE("an answer that is cut after its last token is whole", "[process]") {
  Deployment site{OneInstanceTwoEngines()};
  INFO(site.folder());
  std::string expected = ExpectedText(site, 0, "blurb", 30);
  for (std::size_t i = 0; i < 2; ++i) {
    site.Control(site.engine(i).control, {{"truncate_after", 30}});
  }
  StreamedAnswer answer = ReadStream(Call(site.Chat(0, "blurb", 30)).body);
  CHECK(answer.done);
  CHECK(answer.text == expected);
}

// Engine lives that ended by a crash.
int CrashedLives(Deployment& site) {
  int crashed = 0;
  for (std::size_t i = 0; i < site.engine_count(); ++i) {
    json history = site.History(site.engine(i));
    for (const json& life : history["lives"]) {
      crashed += life.value("end_cause", "").empty() ? 0 : 1;
    }
  }
  return crashed;
}

// Guards against a request that is sent again by its caller, at every
// instance, and takes down one engine after another; and against blaming the
// requests that ran beside it.
TEST_CASE("a crashing request costs at most two engines", "[process]") {
  DeploymentShape shape;
  shape.instances = {"a", "b", "c"};
  shape.engines.assign(5, EngineShape());
  Deployment site{shape};
  INFO(site.folder());
  std::vector<std::unique_ptr<StreamingCall>> beside;
  std::vector<std::string> expected;
  for (int i = 0; i < 6; ++i) {
    std::string prompt = "beside " + std::to_string(i);
    expected.push_back(ExpectedText(site, 0, prompt, 300));
    beside.push_back(std::make_unique<StreamingCall>(
        site.Chat(static_cast<std::size_t>(i) % 3, prompt, 300)));
  }
  REQUIRE(CrashedLives(site) == 0);
  for (int resend = 0; resend < 6; ++resend) {
    HttpResult result = Call(site.Chat(static_cast<std::size_t>(resend) % 3,
                                       "CRASH-ENGINE now", 20, false));
    CHECK(result.status != 200);
  }
  for (std::size_t i = 0; i < beside.size(); ++i) {
    beside[i]->Wait();
    StreamedAnswer answer = ReadStream(beside[i]->result.body);
    INFO("beside " << i << " " << answer.error_code);
    CHECK(answer.done);
    CHECK(answer.text == expected[i]);
  }
  int crashed = CrashedLives(site);
  CHECK(crashed <= 2);
  CHECK(crashed >= 1);
}

}  // namespace
}  // namespace filbertshift
