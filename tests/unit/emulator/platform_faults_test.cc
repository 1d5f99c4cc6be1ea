// Tests of fault injection in the emulated platform services.

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <string>

#include "emulator/instances/instances.h"
#include "emulator/rating/rating.h"
#include "emulator/service/service.h"
#include "tests/unit/emulator/test_socket.h"

namespace filbertshift::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Sufficient for loopback on a heavily loaded machine.
constexpr milliseconds kArrivalTimeout{5000};
constexpr SteadyTime kStart{std::chrono::hours(1)};

void ApplyControl(FaultInjector* injector, const std::string& body) {
  ControlReader reader(body);
  injector->Apply(&reader);
}

// Guards against a misspelt fault that is silently ignored.
TEST_CASE("unknown control keys and wrong types are rejected",
          "[emulator][faults]") {
  FaultInjector injector;
  for (const char* body : {"", "[]", R"({"dely_ms":1})", R"({"delay_ms":"x"})",
                           R"({"delay_ms":-1})", R"({"down":"maybe"})"}) {
    CHECK_THROWS_AS(ApplyControl(&injector, body), ControlError);
  }
  CHECK(injector.Admit(true, kStart) == Admission::kAdmitted);
}

// Guards against admitting more than the configured rate, and against dropping
// replies to reads, which leave no outcome in doubt.
TEST_CASE("the fault injector limits rates and drops replies to writes",
          "[emulator][faults]") {
  FaultInjector injector;
  ApplyControl(&injector, R"({"writes_per_s":10,"drop_replies":1})");
  int admitted = 0;
  for (int i = 0; i < 100; ++i) {
    admitted += injector.Admit(true, kStart) == Admission::kAdmitted ? 1 : 0;
    CHECK(injector.Admit(false, kStart) == Admission::kAdmitted);
  }
  CHECK(admitted == 10);
  CHECK(injector.Admit(true, kStart + milliseconds(50)) ==
        Admission::kThrottled);
  CHECK(injector.Admit(true, kStart + milliseconds(100)) ==
        Admission::kAdmitted);
  CHECK_FALSE(injector.ConsumeReplyDrop(false));
  CHECK(injector.ConsumeReplyDrop(true));
  CHECK_FALSE(injector.ConsumeReplyDrop(true));
}

// Guards against list changes that become visible before the lag has passed or
// while the list is stale, or that are lost.
TEST_CASE("list changes become visible in order after the lag",
          "[emulator][faults]") {
  LaggedList list;
  list.Replace(Json::array({1}), kStart);
  CHECK(list.VisibleAt(kStart) == Json::array({1}));
  list.set_lag(seconds(2));
  list.Replace(Json::array({2}), kStart);
  list.Replace(Json::array({3}), kStart + seconds(1));
  CHECK(list.VisibleAt(kStart + milliseconds(1999)) == Json::array({1}));
  CHECK(list.VisibleAt(kStart + seconds(2)) == Json::array({2}));
  list.set_stale(true, kStart + seconds(2));
  CHECK(list.VisibleAt(kStart + seconds(9)) == Json::array({2}));
  CHECK(list.newest() == Json::array({3}));
  list.set_stale(false, kStart + seconds(9));
  CHECK(list.VisibleAt(kStart + seconds(9)) == Json::array({3}));
}

// Guards against scores that are not reproducible for a seed or that ignore
// low-quality tokens.
TEST_CASE("scores follow settings, seed and quality", "[emulator][faults]") {
  ScoreTable scores;
  ControlReader reader(
      R"({"scores":[{"model":"m","score":0.8},
                    {"model":"m","version":"2","score":0.3}],"noise":0.1})");
  scores.Apply(&reader);
  const RatedAnswer good{"m", "1", "draft", "prompt", " w0-000000"};
  const RatedAnswer other{"m", "2", "draft", "prompt", " w0-000000"};
  const RatedAnswer bad{"m", "1", "draft", "prompt", " bad0-000000"};
  CHECK(scores.Score(good) == Approx(0.8).margin(0.1));
  CHECK(scores.Score(good) == scores.Score(good));
  CHECK(scores.Score(other) == Approx(0.3).margin(0.1));
  CHECK(scores.Score(bad) < 0.2);
  CHECK(scores.Score({"m", "1", "draft", "prompt", ""}) == 0);
}

// Sends a request and returns the reply, which is empty if the connection was
// cut.
std::string Call(const ListenAddress& address,
                 const std::string& path,
                 const std::string& body) {
  TestSocket socket(TestSocket::Connect(address));
  socket.Send(
      fmt::format("POST {} HTTP/1.1\r\nHost: test\r\nIdempotency-Key: k\r\n"
                  "Connection: close\r\nContent-Length: {}\r\n\r\n{}",
                  path, body.size(), body));
  return socket.ReceiveUntil("\n\n", kArrivalTimeout);
}

int ExecutionCount(const PlainService& service) {
  const std::string reply = Call(*service.control_address(), "/_history", "");
  const Json counts =
      Json::parse(reply.substr(reply.find("\r\n\r\n") + 4)).at("counts");
  return counts.value("k", 0);
}

// Guards against uncounted repeated executions, and against faults injected on
// the wrong side of the execution.
TEST_CASE("a plain service counts each execution", "[emulator][faults]") {
  PlainService service({{"127.0.0.1", 0}, ListenAddress{"127.0.0.1", 0}},
                       "ledger", milliseconds(10));
  service.Start();
  const ListenAddress control = *service.control_address();
  CHECK(Call(service.address(), "/book", "a").find("\"count\":1") !=
        std::string::npos);
  Call(service.address(), "/book", "a");
  CHECK(ExecutionCount(service) == 2);
  Call(control, "/_control", R"({"drop_replies":1})");
  CHECK(Call(service.address(), "/book", "a").empty());
  CHECK(ExecutionCount(service) == 3);
  Call(control, "/_control", R"({"crash_before":1})");
  CHECK(Call(service.address(), "/book", "a").empty());
  CHECK(ExecutionCount(service) == 3);
}

}  // namespace
}  // namespace filbertshift::emulator
