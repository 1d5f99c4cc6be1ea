// Tests of the HTTP server for callers over the loopback interface.

#include <catch2/catch.hpp>

#include <string>
#include <thread>
#include <vector>

#include "src/frontend/frontend.h"
#include "tests/unit/support/core_inbox.h"
#include "tests/unit/support/loopback.h"
#include "tests/unit/support/recording_event_log.h"
#include "tests/unit/support/test_seed.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

constexpr const char* kRequest =
    "POST /v1/chat/completions?a=%20b HTTP/1.1\r\nHost: x\r\n"
    "Authorization: Bearer k\r\nContent-Length: 4\r\n\r\nbody";

struct Server {
  explicit Server(FrontendOptions options = FrontendOptions(),
                  std::size_t ring_capacity = 65536)
      : inbox(ring_capacity), frontend(options, inbox.ring(), clock, log) {}

  TestSocket Connect() const {
    const std::string address = frontend.BoundAddress();
    return ConnectToLoopback(std::stoi(address.substr(address.rfind(':') + 1)));
  }

  CallerRequest TakeRequest() {
    auto request = inbox.Take<CallerRequest>();
    REQUIRE(request);
    return *request;
  }

  void SendShortResponse(CallerId caller) {
    frontend.SendHead(caller, 200, {{"X-Model-Version", "v1"}}, false);
    frontend.SendBody(caller, "{}");
    frontend.Finish(caller);
  }

  CoreInbox inbox;
  SystemClock clock;
  RecordingEventLog log;
  Frontend frontend;
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Guards against modification of requests or responses in transit.
TEST_CASE("frontend forwards a request and sends its response", "[frontend]") {
  Server server;
  const TestSocket caller = server.Connect();
  // Twice, to cover the second request on a keep-alive connection.
  for (int i = 0; i < 2; ++i) {
    caller.Write(kRequest);
    const CallerRequest request = server.TakeRequest();
    CHECK(request.method == "POST");
    CHECK(request.path == "/v1/chat/completions");
    CHECK(request.query == "a=%20b");
    CHECK(FindHeader(request.headers, "authorization") == "Bearer k");
    CHECK(request.body == "body");
    server.SendShortResponse(request.caller);
    const std::string response = caller.ReadMessage();
    CHECK(Contains(response, "HTTP/1.1 200"));
    CHECK(Contains(response, "X-Model-Version: v1\r\n"));
    CHECK(Contains(response, "\r\n\r\n{}"));
  }
  CHECK_FALSE(server.inbox.Take<CallerDisconnected>(milliseconds(50)));
}

// Guards against a caller that waits forever for an interim response. Common
// HTTP clients send Expect: 100-continue before large bodies.
TEST_CASE("frontend answers Expect with an interim response", "[frontend]") {
  Server server;
  const TestSocket caller = server.Connect();
  caller.Write(
      "POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
      "Content-Length: 4\r\n\r\n");
  CHECK(Contains(caller.ReadUntil("\r\n\r\n"), "HTTP/1.1 100"));
  caller.Write("body");
  const CallerRequest request = server.TakeRequest();
  CHECK(request.body == "body");
  server.SendShortResponse(request.caller);
  CHECK(Contains(caller.ReadMessage(), "HTTP/1.1 200"));
}

// Guards against a response that is buffered until its end.
TEST_CASE("frontend streams the response incrementally", "[frontend]") {
  Server server;
  const TestSocket caller = server.Connect();
  caller.Write(kRequest);
  const CallerId id = server.TakeRequest().caller;
  server.frontend.SendHead(id, 200, {{"Content-Type", "text/event-stream"}},
                           true);
  CHECK(Contains(caller.ReadUntil("\r\n\r\n"), "text/event-stream"));
  server.frontend.SendBody(id, "data: 1\n\n");
  CHECK(Contains(caller.ReadUntil("data: 1\n\n"), "data: 1\n\n"));
  server.frontend.SendBody(id, "data: 2\n\n");
  CHECK(Contains(caller.ReadUntil("data: 2\n\n"), "data: 2\n\n"));
  server.frontend.Finish(id);
  CHECK(Contains(caller.ReadUntil("0\r\n\r\n"), "0\r\n\r\n"));
  // The connection serves the next request.
  caller.Write(kRequest);
  server.SendShortResponse(server.TakeRequest().caller);
  CHECK(Contains(caller.ReadMessage(), "{}"));
}

// Guards against attempts that continue after their caller has disconnected,
// and against a second CallerDisconnected.
TEST_CASE("frontend reports a disconnected caller once", "[frontend]") {
  const bool reset = GENERATE(true, false);
  Server server;
  TestSocket caller = server.Connect();
  caller.Write(kRequest);
  const CallerId id = server.TakeRequest().caller;
  SECTION("before the response") {}
  SECTION("within a stream") {
    server.frontend.SendHead(id, 200, {}, true);
    server.frontend.SendBody(id, "abc");
    caller.ReadUntil("abc");
  }
  SECTION("within a stream while bytes arrive") {
    server.frontend.SendHead(id, 200, {}, true);
    caller.ReadUntil("\r\n\r\n");
  }
  if (reset) {
    caller.Reset();
  } else {
    caller.Close();
  }
  server.frontend.SendBody(id, "more");
  auto disconnected = server.inbox.Take<CallerDisconnected>();
  REQUIRE(disconnected);
  CHECK(disconnected->caller == id);
  // Late calls have no effect.
  server.frontend.SendBody(id, "more");
  server.frontend.Finish(id);
  CHECK_FALSE(server.inbox.Take<CallerDisconnected>(milliseconds(50)));
}

// Guards against an aborted response that looks complete to the caller.
TEST_CASE("frontend closes the connection on Abort", "[frontend]") {
  Server server;
  const TestSocket caller = server.Connect();
  caller.Write(kRequest);
  const CallerId id = server.TakeRequest().caller;
  SECTION("within a stream") {
    server.frontend.SendHead(id, 200, {}, true);
    server.frontend.SendBody(id, "abc");
    caller.ReadUntil("abc");
  }
  SECTION("before the response") {}
  server.frontend.Abort(id);
  CHECK_FALSE(Contains(caller.ReadUntil("0\r\n\r\n"), "0\r\n\r\n"));
  CHECK_FALSE(server.inbox.Take<CallerDisconnected>(milliseconds(50)));
}

// Returns the body of a complete response in chunked encoding.
std::string DecodeChunks(const std::string& response) {
  std::string body;
  std::size_t offset = response.find("\r\n\r\n") + 4;
  while (true) {
    const std::size_t size = std::stoul(response.substr(offset), nullptr, 16);
    offset = response.find("\r\n", offset) + 2;
    if (size == 0) {
      return body;
    }
    body += response.substr(offset, size);
    offset += size + 2;
  }
}

FrontendOptions SmallLimits() {
  FrontendOptions options;
  options.max_header_bytes = 4096;
  options.max_body_bytes = 1000;
  return options;
}

// Guards against input that exceeds a limit, and against rejections without the
// typed error.
TEST_CASE("frontend rejects requests that exceed a limit", "[frontend]") {
  Server server(SmallLimits());
  const TestSocket caller = server.Connect();
  std::string status;
  std::string code;
  SECTION("announced body") {
    caller.Write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1500\r\n\r\n" +
                 std::string(1500, 'x'));
    status = "HTTP/1.1 413";
    code = "\"body_too_large\"";
  }
  SECTION("huge body") {
    caller.Write(
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n");
    status = "HTTP/1.1 413";
    code = "\"body_too_large\"";
  }
  SECTION("chunked body") {
    caller.Write(
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5dc\r\n" +
        std::string(1500, 'x') + "\r\n0\r\n\r\n");
    status = "HTTP/1.1 413";
    code = "\"body_too_large\"";
  }
  SECTION("headers") {
    caller.Write("GET / HTTP/1.1\r\nHost: x\r\nX-Long: " +
                 std::string(5000, 'x') + "\r\n\r\n");
    status = "HTTP/1.1 431";
    code = "\"headers_too_large\"";
  }
  const std::string response = caller.ReadUntil("}}");
  CHECK(Contains(response, status));
  CHECK(Contains(response, code));
  CHECK(Contains(response, "\"not_run\""));
  CHECK(server.log.Count(EventId::kCallerConnectionRejected) == 1);
  CHECK_FALSE(server.inbox.Take<CallerRequest>(milliseconds(20)));
  // Other callers are still served.
  const TestSocket other = server.Connect();
  other.Write(kRequest);
  server.SendShortResponse(server.TakeRequest().caller);
  CHECK(Contains(other.ReadMessage(), "HTTP/1.1 200"));
}

// Guards against a caller that exhausts memory with an endless head or body.
TEST_CASE("frontend closes connections with endless input", "[frontend]") {
  Server server(SmallLimits());
  const TestSocket caller = server.Connect();
  const std::string block(100'000, 'x');
  SECTION("head") {
    caller.Write("GET / HTTP/1.1\r\nHost: x\r\nX-Long: ");
  }
  SECTION("chunked body") {
    caller.Write(
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        "fffffff\r\n");
  }
  bool open = true;
  for (int i = 0; i < 1000 && open; ++i) {
    open = caller.Write(block);
  }
  CHECK_FALSE(open);
  CHECK_FALSE(server.inbox.Take<CallerRequest>(milliseconds(20)));
}

// Guards against slow senders that occupy connections.
TEST_CASE("frontend times out slow senders", "[frontend]") {
  FrontendOptions options;
  options.idle_timeout = milliseconds(300);
  options.receive_timeout = milliseconds(600);
  Server server(options);
  const TestSocket caller = server.Connect();
  std::string response;
  SECTION("no body") {
    caller.Write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nab");
    response = caller.ReadUntil("}}");
  }
  SECTION("no end of the head") {
    caller.Write("POST / HTTP/1.1\r\nHost: x\r\n");
    response = caller.ReadUntil("}}");
  }
  SECTION("single bytes") {
    caller.Write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n\r\n");
    while (response.empty() && caller.Write("x")) {
      response = caller.ReadSome(milliseconds(50));
    }
  }
  CHECK(Contains(response, "HTTP/1.1 408"));
  CHECK(Contains(response, "\"request_timeout\""));
  CHECK_FALSE(server.inbox.Take<CallerRequest>(milliseconds(20)));
}

// Guards against an idle timeout that closes the connection of a caller that
// waits for the core.
TEST_CASE("frontend does not time out waiting callers", "[frontend]") {
  FrontendOptions options;
  options.idle_timeout = milliseconds(100);
  Server server(options);
  const TestSocket caller = server.Connect();
  caller.Write(kRequest);
  const CallerId id = server.TakeRequest().caller;
  std::this_thread::sleep_for(milliseconds(2500));
  server.SendShortResponse(id);
  CHECK(Contains(caller.ReadMessage(), "HTTP/1.1 200"));
}

// Guards against unbounded memory for a caller that does not read.
TEST_CASE("frontend disconnects a slow reader", "[frontend]") {
  FrontendOptions options;
  options.max_buffered_bytes = 100'000;
  Server server(options);
  const TestSocket caller = server.Connect();
  caller.Write(kRequest);
  const CallerId id = server.TakeRequest().caller;
  server.frontend.SendHead(id, 200, {}, true);
  std::optional<CallerDisconnected> disconnected;
  for (int i = 0; i < 3000 && !disconnected; ++i) {
    server.frontend.SendBody(id, std::string(10'000, 'x'));
    disconnected = server.inbox.Take<CallerDisconnected>(milliseconds(0));
    std::this_thread::sleep_for(std::chrono::microseconds(100));
  }
  REQUIRE(disconnected);
  CHECK(disconnected->caller == id);
}

// Guards against requests that get no response under overload.
TEST_CASE("frontend answers 503 when the core's ring is full", "[frontend]") {
  Server server(FrontendOptions(), 1);
  const TestSocket first = server.Connect();
  first.Write(kRequest);
  while (server.inbox.ring().Size() == 0) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  const TestSocket second = server.Connect();
  second.Write(kRequest);
  const std::string response = second.ReadMessage();
  CHECK(Contains(response, "HTTP/1.1 503"));
  CHECK(Contains(response, "\"overloaded\""));
  CHECK(Contains(response, "\"not_run\""));
  CHECK(Contains(response, "Retry-After: 1"));
  server.SendShortResponse(server.TakeRequest().caller);
  CHECK(Contains(first.ReadMessage(), "HTTP/1.1 200"));
}

// Guards against a response with a gap after a command of the core was lost.
TEST_CASE("frontend disconnects callers whose commands are lost",
          "[frontend]") {
  FrontendOptions options;
  options.command_capacity = 4;
  Server server(options);
  const TestSocket caller = server.Connect();
  caller.Write(kRequest);
  const CallerId id = server.TakeRequest().caller;
  server.frontend.SendHead(id, 200, {}, true);
  constexpr int kBodyCount = 5000;
  std::string expected;
  for (int i = 0; i < kBodyCount; ++i) {
    const std::string piece = "<" + std::to_string(i) + ">";
    expected += piece;
    server.frontend.SendBody(id, piece);
  }
  server.frontend.Finish(id);
  std::string response;
  std::string piece;
  while (!(piece = caller.ReadSome(milliseconds(200))).empty()) {
    response += piece;
  }
  const bool complete = Contains(response, "\r\n0\r\n\r\n");
  const bool disconnected =
      server.inbox.Take<CallerDisconnected>(milliseconds(0)).has_value();
  CHECK(complete != disconnected);
  if (complete) {
    CHECK(DecodeChunks(response) == expected);
  }
}

// Guards against an unlimited number of connections.
TEST_CASE("frontend rejects requests above the connection limit",
          "[frontend]") {
  FrontendOptions options;
  options.max_connections = 2;
  Server server(options);
  const TestSocket first = server.Connect();
  const TestSocket second = server.Connect();
  first.Write(kRequest);
  second.Write(kRequest);
  server.TakeRequest();
  server.TakeRequest();
  const TestSocket third = server.Connect();
  third.Write(kRequest);
  const std::string response = third.ReadMessage();
  CHECK(Contains(response, "HTTP/1.1 503"));
  CHECK(Contains(response, "\"too_many_connections\""));
}

// Guards against a graceful shutdown that interrupts responses or accepts new
// requests.
TEST_CASE("frontend completes open responses after StopAccepting",
          "[frontend]") {
  Server server;
  const TestSocket idle = server.Connect();
  idle.Write(kRequest);
  server.SendShortResponse(server.TakeRequest().caller);
  idle.ReadMessage();
  const TestSocket caller = server.Connect();
  caller.Write(kRequest);
  const CallerId id = server.TakeRequest().caller;
  server.frontend.SendHead(id, 200, {}, true);
  server.frontend.SendBody(id, "first");
  caller.ReadUntil("first");
  server.frontend.StopAccepting();
  std::this_thread::sleep_for(milliseconds(50));
  CHECK_THROWS(server.Connect());
  idle.Write(kRequest);
  CHECK(Contains(idle.ReadMessage(), "\"shutting_down\""));
  CHECK(server.log.Count(EventId::kCallerConnectionRejected) == 0);
  std::thread core([&] {
    std::this_thread::sleep_for(milliseconds(100));
    server.frontend.SendBody(id, "second");
    server.frontend.Finish(id);
  });
  server.frontend.Join();
  core.join();
  const std::string rest = caller.ReadUntil("0\r\n\r\n");
  CHECK(Contains(rest, "second"));
  CHECK(Contains(rest, "0\r\n\r\n"));
}

// Guards against a server that stops serving after malformed input.
TEST_CASE("frontend survives malformed input", "[frontend]") {
  Server server;
  SystemRandom random(TestSeed());
  INFO("seed " << random.seed());
  constexpr std::string_view kFragments[] = {"GET / HTTP/1.1\r\n",
                                             "Host: x\r\n",
                                             "\r\n",
                                             "\r",
                                             "Content-Length: -1\r\n",
                                             "Content-Length: 7\r\n",
                                             ":\r\n",
                                             "\0x",
                                             "Transfer-Encoding: chunked\r\n",
                                             "zz\r\n",
                                             "HTTP/9.9\r\n",
                                             "\xff\xfe"};
  for (int i = 0; i < 200; ++i) {
    const TestSocket caller = server.Connect();
    std::string input;
    const std::size_t count = random.Next() % 12;
    for (std::size_t k = 0; k < count; ++k) {
      input += kFragments[random.Next() % std::size(kFragments)];
    }
    caller.Write(input);
  }
  const TestSocket caller = server.Connect();
  caller.Write("GET /valid HTTP/1.1\r\nHost: x\r\n\r\n");
  std::optional<CallerRequest> request;
  do {
    request = server.inbox.Take<CallerRequest>();
    REQUIRE(request);
  } while (request->path != "/valid");
  server.SendShortResponse(request->caller);
  CHECK(Contains(caller.ReadMessage(), "HTTP/1.1 200"));
}

}  // namespace
}  // namespace filbertshift
