// Tests the request life cycle under failures of endpoints and the table
// service.

#include <catch2/catch.hpp>

#include "tests/unit/core/core_fixture.h"
#include "tests/unit/support/small_stack.h"

namespace filbertshift {
namespace {

// Guards against truncated, duplicated or mixed-up answers when an endpoint
// crashes after some tokens.
TEST_CASE("an interrupted answer continues on another endpoint", "[core]") {
  CoreFixture fixture;
  CallerId caller = fixture.Chat("draft", true);
  AttemptSpec first = fixture.LastAttempt();
  fixture.Stream(first, {"one ", "two "});
  fixture.Crash(first);
  AttemptSpec second = fixture.LastAttempt();
  REQUIRE(second.attempt != first.attempt);
  CHECK(second.endpoint != first.endpoint);
  nlohmann::json body = nlohmann::json::parse(second.body);
  CHECK(body["continue_final_message"] == true);
  CHECK(body["messages"].back()["content"] == "one two ");
  fixture.Stream(second, {"three"});
  fixture.EndStream(second);
  fixture.Advance(std::chrono::seconds(2));
  CHECK(fixture.StreamText(caller) == "one two three");
  CHECK(fixture.Record(caller).finished);
  CHECK(fixture.Record(caller).body.find("data: [DONE]") != std::string::npos);
  CHECK(fixture.metrics.violations.empty());
}

// Guards against a stream that looks complete although no endpoint completed
// it.
TEST_CASE("a stream that no endpoint can continue ends with an error",
          "[core]") {
  CoreFixture fixture;
  CallerId caller = fixture.Chat("draft", true);
  AttemptSpec first = fixture.LastAttempt();
  fixture.Stream(first, {"one "});
  fixture.endpoint_start_times[EndpointId("e0")] = std::chrono::milliseconds(0);
  fixture.endpoint_start_times[EndpointId("e1")] = std::chrono::milliseconds(0);
  fixture.Crash(first);
  fixture.Advance(std::chrono::seconds(31));
  CHECK(fixture.Record(caller).finished);
  CHECK(fixture.Record(caller).body.find("[DONE]") == std::string::npos);
  CHECK(fixture.Record(caller).body.find("deadline_exceeded") !=
        std::string::npos);
}

// Guards against delivering the answer of another request to a caller.
TEST_CASE("an answer with another attempt's id is dropped", "[core]") {
  CoreFixture fixture;
  CallerId caller = fixture.Chat("draft", true);
  AttemptSpec first = fixture.LastAttempt();
  fixture.Sent(first);
  fixture.Head(
      first, 200,
      {{"Content-Type", "text/event-stream"}, {"X-Request-Id", "r-other.1"}});
  fixture.core.Handle(AttemptData{
      first.attempt,
      "data: {\"choices\":[{\"delta\":{\"content\":\"foreign\"}}]}\n\n"});
  fixture.End(first, AttemptOutcome::kCancelled);
  AttemptSpec second = fixture.LastAttempt();
  fixture.Stream(second, {"own"});
  fixture.EndStream(second);
  fixture.Advance(std::chrono::seconds(2));
  CHECK(fixture.StreamText(caller) == "own");
}

// Guards against a process that a caller's request ends: copying and encoding
// a deep document recurse.
TEST_CASE("a deep chat request is refused", "[core]") {
  const std::string field =
      GENERATE(as<std::string>(), "metadata", "stream_options", "messages", "n",
               "model");
  INFO(field);
  const std::string deep = std::string(100000, '[') + std::string(100000, ']');
  CoreFixture fixture;
  CallerId caller{};
  RunOnSmallStack([&] {
    caller = fixture.ChatWithBody(
        R"({"messages":[{"role":"user","content":"x"}],"model":"small",")" +
        field + "\":" + deep + "}");
  });
  CHECK(fixture.Record(caller).http_status == 400);
  CHECK(fixture.ErrorField(caller, "code") == "invalid_json");
  CHECK(fixture.endpoints.started.empty());
}

// Guards against a process that an engine's answer ends.
TEST_CASE("a deep event of an engine is malformed", "[core]") {
  const std::string deep = std::string(100000, '[') + std::string(100000, ']');
  CoreFixture fixture;
  fixture.Chat("draft", true);
  AttemptSpec first = fixture.LastAttempt();
  fixture.Sent(first);
  fixture.Head(first, 200, {{"Content-Type", "text/event-stream"}});
  RunOnSmallStack([&] {
    fixture.core.Handle(AttemptData{
        first.attempt,
        R"(data: {"choices":[{"delta":{"content":"x","tool_calls":[{"id":)" +
            deep + "}]}}]}\n\n"});
  });
  CHECK(fixture.endpoints.cancelled == std::vector<AttemptId>{first.attempt});
}

// Guards against a limit that wraps to a small or negative number of tokens.
TEST_CASE("a token limit out of range is as good as none", "[core]") {
  for (const char* limit :
       {"4294967297", "9223372036854775807", "18446744073709551615"}) {
    INFO(limit);
    CHECK(TokenLimit(nlohmann::json::parse(std::string("{\"max_tokens\":") +
                                           limit + "}")) >= 1000000);
  }
  CHECK(TokenLimit({{"max_tokens", -5}}) == 0);
  CHECK(TokenLimit({{"max_tokens", 5}}) == 5);
}

// Guards against a second execution of a non-repeatable call, by a retry of the
// router or by a later request with the same idempotency key.
TEST_CASE("a broken non-repeatable call is never sent again", "[core]") {
  CoreFixture fixture;
  CallerId caller = fixture.Post("/invoices", "k1", "{}");
  AttemptSpec attempt = fixture.LastAttempt();
  fixture.Sent(attempt);
  fixture.End(attempt, AttemptOutcome::kBroken);
  fixture.Advance(std::chrono::seconds(2));
  CHECK(fixture.ErrorField(caller, "run") == "unknown");
  std::size_t attempts = fixture.endpoints.started.size();
  CallerId again = fixture.Post("/invoices", "k1", "{}");
  fixture.Advance(std::chrono::seconds(31));
  CHECK(fixture.endpoints.started.size() == attempts);
  CHECK(fixture.Record(again).http_status == 409);
  CHECK(fixture.ErrorField(again, "run") == "unknown");
}

// Guards against a call that runs twice, or is reported as not run, because an
// earlier refusal was written once more on its connection.
TEST_CASE("a refusal that may answer an earlier attempt promises nothing",
          "[core]") {
  bool named = GENERATE(false, true);
  bool own_connection = GENERATE(false, true);
  INFO(named << " " << own_connection);
  CoreFixture fixture;
  CallerId caller = fixture.Post("/invoices", "k1", "{}");
  AttemptSpec attempt = fixture.LastAttempt();
  std::size_t started = fixture.endpoints.started.size();
  fixture.Sent(attempt);
  std::vector<HttpHeader> headers = {{"X-Not-Run", "true"}};
  if (named) {
    headers.push_back({"X-Request-Id", attempt.attempt.value()});
  }
  fixture.Head(attempt, 503, headers, own_connection);
  fixture.End(attempt, AttemptOutcome::kComplete);
  fixture.Advance(std::chrono::seconds(1));
  bool believed = named || own_connection;
  CHECK((fixture.endpoints.started.size() > started) == believed);
  CHECK(fixture.ErrorField(caller, "run") == (believed ? "" : "unknown"));
}

// Guards against reporting `not_run` for a call whose attempt was given to the
// endpoint thread just before the deadline and is sent.
TEST_CASE("a call in progress at its deadline is not reported as not run",
          "[core]") {
  CoreFixture fixture;
  CallerId caller = fixture.Post("/invoices", "k1", "{}");
  AttemptSpec attempt = fixture.LastAttempt();
  fixture.Advance(std::chrono::seconds(31));
  CHECK(fixture.Record(caller).http_status == 504);
  CHECK(fixture.ErrorField(caller, "run") == "unknown");
  fixture.Sent(attempt);
  fixture.Head(attempt, 201, {{"Content-Type", "application/json"}});
  fixture.core.Handle(AttemptData{attempt.attempt, "{\"number\":7}"});
  fixture.End(attempt, AttemptOutcome::kComplete);
  CallerId again = fixture.Post("/invoices", "k1", "{}");
  CHECK(fixture.Record(again).body == "{\"number\":7}");
}

// Guards against a call that is sent for nobody when the process goes on after
// a pause and the endpoint has room again.
TEST_CASE("a call is not sent after its deadline", "[core]") {
  CoreFixture fixture;
  const std::chrono::milliseconds start =
      fixture.endpoint_start_times[EndpointId("s0")];
  fixture.endpoint_start_times[EndpointId("s0")] = std::chrono::milliseconds(0);
  fixture.Advance(std::chrono::seconds(3));
  std::size_t started = fixture.endpoints.started.size();
  CallerId caller = fixture.Post("/invoices", "k1", "{}");
  fixture.Advance(std::chrono::seconds(1));
  REQUIRE(fixture.endpoints.started.size() == started);
  fixture.endpoint_start_times[EndpointId("s0")] = start;
  fixture.endpoints.probes.emplace_back("s0");
  fixture.clock.now += std::chrono::seconds(31);
  fixture.AnswerProbes();
  CHECK(fixture.endpoints.started.size() == started);
  CHECK(fixture.Record(caller).http_status == 504);
  CHECK(fixture.ErrorField(caller, "run") == "not_run");
}

// Guards against an answer that is dropped at the deadline because the caller's
// connection had ended before.
TEST_CASE("a call whose caller has disconnected is recorded after its deadline",
          "[core]") {
  CoreFixture fixture;
  CallerId caller = fixture.Post("/invoices", "k1", "{}");
  AttemptSpec attempt = fixture.LastAttempt();
  fixture.Sent(attempt);
  fixture.core.Handle(CallerDisconnected{caller});
  fixture.Advance(std::chrono::seconds(31));
  CHECK(fixture.endpoints.cancelled.empty());
  fixture.Head(attempt, 201, {{"Content-Type", "application/json"}});
  fixture.core.Handle(AttemptData{attempt.attempt, "{\"number\":7}"});
  fixture.End(attempt, AttemptOutcome::kComplete);
  CallerId again = fixture.Post("/invoices", "k1", "{}");
  CHECK(fixture.Record(again).body == "{\"number\":7}");
}

// Guards against a second execution when the caller repeats a call because the
// first answer did not reach it.
TEST_CASE("a finished non-repeatable call is replayed", "[core]") {
  CoreFixture fixture;
  CallerId caller = fixture.Post("/invoices", "k1", "{}");
  AttemptSpec attempt = fixture.LastAttempt();
  fixture.Sent(attempt);
  fixture.Head(attempt, 201, {{"Content-Type", "application/json"}});
  fixture.core.Handle(AttemptData{attempt.attempt, "{\"number\":7}"});
  fixture.End(attempt, AttemptOutcome::kComplete);
  CHECK(fixture.Record(caller).http_status == 201);
  std::size_t attempts = fixture.endpoints.started.size();
  CallerId again = fixture.Post("/invoices", "k1", "{}");
  CHECK(fixture.endpoints.started.size() == attempts);
  CHECK(fixture.Record(again).http_status == 201);
  CHECK(fixture.Record(again).body == "{\"number\":7}");
  CallerId other = fixture.Post("/invoices", "k1", "{\"other\":1}");
  CHECK(fixture.Record(other).http_status == 422);
}

// Guards against reporting `not_run` for a call that was sent, and against
// sending a call without a durable execution record.
TEST_CASE("without the store a non-repeatable call is not sent", "[core]") {
  CoreFixture fixture;
  fixture.client.down = true;
  CallerId caller = fixture.Post("/invoices", "k1", "{}");
  fixture.Advance(std::chrono::seconds(2));
  CHECK(fixture.endpoints.started.empty());
  CHECK(fixture.Record(caller).http_status == 503);
  CHECK(fixture.ErrorField(caller, "run") == "not_run");
}

// Guards against failing chat requests because charges cannot be stored.
TEST_CASE("without the store a chat request is answered", "[core]") {
  CoreFixture fixture;
  fixture.client.down = true;
  CallerId caller = fixture.Chat("lookup", true);
  AttemptSpec attempt = fixture.LastAttempt();
  fixture.Stream(attempt, {"found"});
  fixture.EndStream(attempt);
  fixture.Advance(std::chrono::seconds(2));
  CHECK(fixture.StreamText(caller) == "found");
  CHECK(fixture.Record(caller).finished);
  fixture.client.down = false;
  fixture.Advance(std::chrono::seconds(10));
  CHECK(fixture.store.Count("charges/") == 1);
}

// Guards against a request that crashes one endpoint after another.
TEST_CASE("a request that crashes two endpoints is blocked", "[core]") {
  CoreFixture fixture;
  CallerId caller = fixture.Chat("crash", true);
  AttemptSpec first = fixture.LastAttempt();
  fixture.Sent(first);
  fixture.Crash(first);
  AttemptSpec second = fixture.LastAttempt();
  REQUIRE(second.attempt != first.attempt);
  fixture.Sent(second);
  fixture.Crash(second);
  CHECK(fixture.ErrorField(caller, "code") == "request_crashes_endpoints");
  CHECK(fixture.ErrorField(caller, "run") == "run");
  fixture.Restart(first.endpoint);
  fixture.Restart(second.endpoint);
  std::size_t attempts = fixture.endpoints.started.size();
  CallerId again = fixture.Chat("crash", true);
  CHECK(fixture.endpoints.started.size() == attempts);
  CHECK(fixture.ErrorField(again, "code") == "request_crashes_endpoints");
  CHECK(fixture.ErrorField(again, "run") == "not_run");
}

// Guards against suspecting a request of a crash when only its connection broke
// and the endpoint kept running.
TEST_CASE("a broken connection without a crash creates no suspect", "[core]") {
  CoreFixture fixture;
  fixture.Chat("draft", true);
  AttemptSpec first = fixture.LastAttempt();
  fixture.Sent(first);
  fixture.End(first, AttemptOutcome::kBroken);
  fixture.AnswerProbes();
  CHECK(fixture.log.counts[EventId::kRequestSuspected] == 0);
  CHECK(fixture.LastAttempt().attempt != first.attempt);
}

// Guards against starting queued requests on a version that has been withdrawn.
TEST_CASE("waiting requests leave a withdrawn version", "[core]") {
  CoreFixture fixture;
  // Both endpoints bear 4 attempts each; the ninth request waits.
  for (int i = 0; i < 8; ++i) {
    fixture.Chat("fill " + std::to_string(i), true);
  }
  REQUIRE(fixture.endpoints.started.size() == 8);
  CallerId waiting = fixture.Chat("waits", false);
  REQUIRE(fixture.endpoints.started.size() == 8);
  fixture.models_section["models"][0]["versions"][0]["withdrawn"] = true;
  fixture.PutSection("models", fixture.models_section);
  AttemptSpec first = fixture.endpoints.started.front();
  fixture.Stream(first, {"x"});
  fixture.EndStream(first);
  fixture.Advance(std::chrono::seconds(31));
  // No endpoint serves v2, so the request must fail without being run.
  CHECK(fixture.endpoints.started.size() == 8);
  CHECK(fixture.ErrorField(waiting, "run") == "not_run");
}

// Guards against incompatible endpoint shares: an instance that missed a change
// of seats or limits must not send requests until the change has reached all
// instances.
TEST_CASE("a skipped revision holds back all shares", "[core]") {
  CoreFixture fixture;
  ++fixture.store.rows["config/models"].version;
  fixture.PutSection("models", fixture.models_section);
  CallerId caller = fixture.Chat("lookup", true);
  CHECK(fixture.endpoints.started.empty());
  fixture.Advance(std::chrono::seconds(14));
  CHECK(fixture.endpoints.started.size() == 1);
  CHECK_FALSE(fixture.Record(caller).finished);
}

// Guards against an unresponsive endpoint that holds a request until its
// deadline.
TEST_CASE("a silent endpoint is suspected and the request moves", "[core]") {
  CoreFixture fixture;
  fixture.Chat("draft", true);
  AttemptSpec first = fixture.LastAttempt();
  fixture.Sent(first);
  fixture.Advance(std::chrono::seconds(16));
  REQUIRE(fixture.endpoints.cancelled.size() == 1);
  fixture.End(first, AttemptOutcome::kCancelled);
  CHECK(fixture.LastAttempt().endpoint != first.endpoint);
}

// Guards against attempts at an engine that has asked for none for a while.
TEST_CASE("an engine gets nothing until its Retry-After is over", "[core]") {
  CoreFixture fixture;
  fixture.Chat("draft", true);
  AttemptSpec refused = fixture.LastAttempt();
  fixture.Sent(refused);
  fixture.Head(refused, 503, {{"X-Not-Run", "true"}, {"Retry-After", "4.5"}});
  fixture.End(refused, AttemptOutcome::kComplete);
  CHECK(fixture.LastAttempt().endpoint != refused.endpoint);
  std::size_t before = fixture.endpoints.started.size();
  auto reached = [&] {
    for (int i = 0; i < 10; ++i) {
      fixture.Chat("draft " + std::to_string(i), true);
    }
    bool found = false;
    for (; before < fixture.endpoints.started.size(); ++before) {
      AttemptSpec attempt = fixture.endpoints.started[before];
      found = found || attempt.endpoint == refused.endpoint;
      fixture.Stream(attempt, {"text"});
      fixture.EndStream(attempt);
    }
    return found;
  };
  fixture.Advance(std::chrono::seconds(4));
  CHECK_FALSE(reached());
  fixture.Advance(std::chrono::seconds(2));
  CHECK(reached());
}

// Guards against spending engine time on a caller that has disconnected.
TEST_CASE("a caller that hangs up cancels its attempt", "[core]") {
  CoreFixture fixture;
  CallerId caller = fixture.Chat("draft", true);
  AttemptSpec attempt = fixture.LastAttempt();
  fixture.Stream(attempt, {"one "});
  fixture.core.Handle(CallerDisconnected{caller});
  REQUIRE(fixture.endpoints.cancelled.size() == 1);
  fixture.End(attempt, AttemptOutcome::kCancelled);
  fixture.Advance(std::chrono::seconds(2));
  // The generated tokens are charged exactly once.
  CHECK(fixture.store.Count("charges/") == 1);
}

// Guards against a shutdown that interrupts an accepted request or accepts a
// new one.
TEST_CASE("a shutdown finishes what was accepted", "[core]") {
  CoreFixture fixture;
  CallerId caller = fixture.Chat("draft", true);
  AttemptSpec attempt = fixture.LastAttempt();
  fixture.Stream(attempt, {"one "});
  fixture.core.Handle(ShutdownRequested());
  CallerId late = fixture.Chat("late", true);
  CHECK(fixture.ErrorField(late, "run") == "not_run");
  fixture.Advance(std::chrono::seconds(1));
  CHECK_FALSE(fixture.core.IsDrained());
  fixture.Stream(attempt, {"two"});
  fixture.EndStream(attempt);
  fixture.Advance(std::chrono::seconds(2));
  CHECK(fixture.StreamText(caller) == "one two");
  CHECK(fixture.core.IsDrained());
}

}  // namespace
}  // namespace filbertshift
