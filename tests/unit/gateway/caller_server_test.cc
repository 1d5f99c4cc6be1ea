// Tests of connections with callers: limits, idle time and how they end.

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <utility>
#include <vector>

#include "tests/unit/gateway/recording_handler.h"
#include "tests/unit/support/fake_transport.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kGet = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

std::string Post(std::size_t body_bytes) {
  return fmt::format(
             "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n",
             body_bytes) +
         std::string(body_bytes, 'b');
}

HttpResponseHead Ok() {
  return {200, "OK", {}};
}

class ServerFixture {
 public:
  ServerFixture() : server(&transport, &handler) { server.SetLimits(limits); }

  ConnectionId Connect() { return transport.Accept(&server); }
  void SetIdleTimeout(milliseconds timeout) {
    limits.idle_timeout = timeout;
    server.SetLimits(limits);
  }

  FakeTransport transport;
  RecordingHandler handler;
  CallerServer server;
  CallerLimits limits;
};

using Closed = std::vector<std::pair<CallerCloseReason, std::size_t>>;

TEST_CASE("the end of a caller's connection is reported", "[gateway]") {
  ServerFixture f;
  SECTION("idle") {
    f.Connect();
    f.transport.Advance(f.limits.idle_timeout);
    CHECK(f.handler.closed == Closed{{CallerCloseReason::kIdle, 0}});
  }
  SECTION("closed by the caller within a request") {
    ConnectionId caller = f.Connect();
    f.transport.Receive(caller, kGet.substr(0, 20));
    f.transport.End(caller, ConnectionEnd::kClosed);
    CHECK(f.handler.closed == Closed{{CallerCloseReason::kCallerClosed, 20}});
  }
  SECTION("rejected") {
    f.transport.Receive(f.Connect(), "no request\r\n\r\n");
    CHECK(f.handler.rejected == std::vector<int>{400});
    REQUIRE(f.handler.closed.size() == 1);
    CHECK(f.handler.closed[0].first == CallerCloseReason::kRejected);
  }
  SECTION("at a planned stop") {
    f.Connect();
    f.transport.Advance(milliseconds(600));
    f.server.CloseIdle();
    CHECK(f.handler.closed == Closed{{CallerCloseReason::kShutdown, 0}});
  }
  SECTION("after the last response") {
    f.server.BeginClosing();
    ConnectionId caller = f.Connect();
    f.transport.Receive(caller, kGet);
    f.server.Respond(caller, Ok(), "ok");
    CHECK(f.handler.closed == Closed{{CallerCloseReason::kAnnounced, 0}});
  }
  SECTION("a response that is broken off") {
    ConnectionId caller = f.Connect();
    f.transport.Receive(caller, kGet);
    f.server.AbortResponse(caller, CallerCloseReason::kSlowCaller);
    CHECK(f.handler.closed == Closed{{CallerCloseReason::kSlowCaller, 0}});
  }
}

// Guards against closing a connection whose next request is in the socket.
TEST_CASE("a request that crosses the idle timeout is answered", "[gateway]") {
  ServerFixture f;
  ConnectionId caller = f.Connect();
  f.transport.Arrive(caller, kGet);
  f.transport.Advance(f.limits.idle_timeout);
  CHECK(f.transport.IsOpen(caller));
  REQUIRE(f.handler.requests.size() == 1);
  f.server.Respond(caller, Ok(), "ok");
  CHECK(Contains(f.transport.TakeSent(caller), "200 OK"));
  f.transport.Advance(f.limits.idle_timeout);
  CHECK(f.transport.At(caller).closed);
}

// Guards against closing a connection whose next request is in the socket.
TEST_CASE("a request that crosses a planned stop is answered", "[gateway]") {
  ServerFixture f;
  ConnectionId caller = f.Connect();
  f.transport.Advance(milliseconds(600));
  f.transport.Arrive(caller, kGet);
  f.server.BeginClosing();
  f.server.CloseIdle();
  CHECK(f.transport.IsOpen(caller));
  CHECK(f.handler.requests.size() == 1);
}

// Guards against a 408 for a request that has arrived in a busy moment.
TEST_CASE("the rest of a request is read before it times out", "[gateway]") {
  ServerFixture f;
  ConnectionId caller = f.Connect();
  f.transport.Receive(caller, kGet.substr(0, 10));
  f.transport.Arrive(caller, kGet.substr(10));
  f.transport.Advance(f.limits.head_timeout);
  CHECK(f.handler.rejected.empty());
  CHECK(f.handler.requests.size() == 1);
}

// Guards against closing a connection that a caller may still reuse under the
// limits of a new configuration.
TEST_CASE("a raised idle timeout applies to idle connections", "[gateway]") {
  ServerFixture f;
  f.SetIdleTimeout(milliseconds(1000));
  ConnectionId caller = f.Connect();
  f.transport.Advance(milliseconds(900));
  f.SetIdleTimeout(milliseconds(10000));
  f.transport.Advance(milliseconds(8000));
  CHECK(f.transport.IsOpen(caller));
  f.transport.Receive(caller, kGet);
  REQUIRE(f.handler.requests.size() == 1);
  f.server.Respond(caller, Ok(), "ok");
  f.SetIdleTimeout(milliseconds(1000));
  f.transport.Advance(milliseconds(10000));
  CHECK(f.transport.At(caller).closed);
}

// Guards against a 408 under a limit that is no longer in force.
TEST_CASE("a raised time for the head applies at once", "[gateway]") {
  ServerFixture f;
  ConnectionId caller = f.Connect();
  f.transport.Receive(caller, kGet.substr(0, 10));
  f.limits.head_timeout *= 3;
  f.server.SetLimits(f.limits);
  f.transport.Advance(f.limits.head_timeout / 2);
  f.transport.Receive(caller, kGet.substr(10));
  CHECK(f.handler.requests.size() == 1);
}

// Guards against a 413 or 431 under the limits of an earlier configuration.
TEST_CASE("raised size limits apply to open connections", "[gateway]") {
  ServerFixture f;
  ConnectionId caller = f.Connect();
  f.transport.Receive(caller, kGet);
  f.server.Respond(caller, Ok(), "ok");
  f.limits.max_body_bytes *= 2;
  f.limits.max_head_bytes *= 2;
  f.server.SetLimits(f.limits);
  f.transport.Receive(caller,
                      "GET /x HTTP/1.1\r\nHost: h\r\nX-Long: " +
                          std::string(f.limits.max_head_bytes * 3 / 4, 'v') +
                          "\r\n\r\n");
  f.server.Respond(caller, Ok(), "ok");
  f.transport.Receive(caller, Post(f.limits.max_body_bytes * 3 / 4));
  CHECK(f.handler.rejected.empty());
  CHECK(f.handler.requests.size() == 3);
}

// Guards against breaking off a request that kept to the limit when it began.
TEST_CASE("lowered size limits apply from the next request", "[gateway]") {
  ServerFixture f;
  ConnectionId caller = f.Connect();
  std::string request = Post(f.limits.max_body_bytes);
  f.transport.Receive(caller, request.substr(0, 1000));
  f.limits.max_body_bytes /= 2;
  f.server.SetLimits(f.limits);
  f.transport.Receive(caller, request.substr(1000));
  REQUIRE(f.handler.requests.size() == 1);
  f.server.Respond(caller, Ok(), "ok");
  f.transport.Receive(caller, request);
  CHECK(f.handler.rejected == std::vector<int>{413});
}

// Guards against a running request that is lost because the caller sends more
// than is buffered, or than a new configuration allows.
TEST_CASE("a running request survives pipelined bytes", "[gateway]") {
  ServerFixture f;
  ConnectionId caller = f.Connect();
  f.transport.Receive(caller, kGet);
  std::string second = Post(f.limits.max_body_bytes);
  f.transport.Receive(caller, second.substr(0, second.size() / 2));
  SECTION("within the limit that was in force when they began") {
    f.limits.max_body_bytes = 1000;
    f.server.SetLimits(f.limits);
    f.transport.Receive(caller, second.substr(second.size() / 2));
    f.server.Respond(caller, Ok(), "one");
    REQUIRE(f.handler.requests.size() == 2);
    f.server.Respond(caller, Ok(), "two");
    CHECK(f.handler.rejected.empty());
    CHECK(f.transport.IsOpen(caller));
  }
  SECTION("beyond what is buffered") {
    f.transport.Receive(caller, second.substr(second.size() / 2));
    f.transport.Receive(caller, second);
    f.transport.Receive(caller, kGet);
    f.server.Respond(caller, Ok(), "one");
    REQUIRE(f.handler.requests.size() == 2);
    f.server.Respond(caller, Ok(), "two");
    CHECK(f.handler.requests.size() == 2);
    CHECK(f.handler.rejected == std::vector<int>{503});
    std::string sent = f.transport.TakeSent(caller);
    CHECK(Contains(sent, "one"));
    CHECK(Contains(sent, "two"));
    CHECK(Contains(sent, "503"));
  }
  CHECK(f.handler.disconnected.empty());
}

// Guards against work for a caller that has left behind unread bytes.
TEST_CASE("a caller that sends too much is still seen to leave", "[gateway]") {
  ServerFixture f;
  ConnectionId caller = f.Connect();
  f.transport.Receive(caller, kGet);
  for (int i = 0; i < 3; ++i) {
    f.transport.Receive(caller, Post(f.limits.max_body_bytes));
  }
  f.transport.End(caller, ConnectionEnd::kClosed);
  CHECK(f.handler.disconnected ==
        std::vector<ConnectionEnd>{ConnectionEnd::kClosed});
}

// Guards against a 408 for a large body within the time for the head.
TEST_CASE("a body may arrive for longer than a head", "[gateway]") {
  ServerFixture f;
  ConnectionId caller = f.Connect();
  std::string request = Post(100000);
  f.transport.Receive(caller, request.substr(0, 1000));
  for (std::size_t at = 1000; at < request.size(); at += 1000) {
    f.transport.Advance(f.limits.head_timeout / 2);
    f.transport.Receive(caller, request.substr(at, 1000));
  }
  CHECK(f.handler.rejected.empty());
  CHECK(f.handler.requests.size() == 1);
}

TEST_CASE("a body that stops arriving is rejected", "[gateway]") {
  ServerFixture f;
  ConnectionId caller = f.Connect();
  f.transport.Receive(caller, Post(100000).substr(0, 1000));
  for (milliseconds waited{0};
       waited <= f.limits.head_timeout + f.limits.idle_timeout;
       waited += milliseconds(1000)) {
    f.transport.Receive(caller, "b");
    f.transport.Advance(milliseconds(1000));
  }
  CHECK(f.handler.rejected == std::vector<int>{408});
  CHECK(f.transport.At(caller).closed);
}

TEST_CASE("a head that does not arrive in time is rejected", "[gateway]") {
  ServerFixture f;
  ConnectionId caller = f.Connect();
  f.transport.Receive(caller, kGet.substr(0, 10));
  f.transport.Advance(f.limits.head_timeout - milliseconds(1));
  CHECK(f.handler.rejected.empty());
  f.transport.Advance(milliseconds(1));
  CHECK(f.handler.rejected == std::vector<int>{408});
}

// Guards against chunk sizes in the middle of the body of an HTTP/1.0 caller.
TEST_CASE("a stream to an HTTP/1.0 caller ends with its connection",
          "[gateway]") {
  ServerFixture f;
  ConnectionId caller = f.Connect();
  f.transport.Receive(
      caller, "GET /x HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n");
  f.server.BeginStream(caller, Ok());
  f.server.SendStream(caller, "one");
  f.server.SendStream(caller, "two");
  f.server.EndStream(caller);
  std::string sent = f.transport.TakeSent(caller);
  CHECK_FALSE(Contains(sent, "chunked"));
  CHECK(sent.substr(sent.find("\r\n\r\n") + 4) == "onetwo");
  CHECK(f.transport.At(caller).closed);
}

}  // namespace
}  // namespace filbertshift
