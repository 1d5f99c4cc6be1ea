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

// Ten megabytes, of which large requests leave a quarter.
class MemoryFixture : public ServerFixture {
 public:
  MemoryFixture() : memory(std::size_t{10} * 1024 * 1024) {
    server.SetRequestMemory(&memory);
  }
  // Fills the memory with requests in progress of a megabyte each.
  void Fill() {
    for (int i = 0; i < 20 && handler.rejected.empty(); ++i) {
      running.push_back(Connect());
      transport.Receive(running.back(), Post(1000000));
    }
    CHECK(handler.rejected == std::vector<int>{503});
    running.pop_back();
    handler.rejected.clear();
  }

  RequestMemory memory;
  std::vector<ConnectionId> running;
};

std::string PostHead(std::size_t body_bytes, std::string_view more = "") {
  return fmt::format(
      "POST /x HTTP/1.1\r\nHost: h\r\n{}Content-Length: {}\r\n\r\n", more,
      body_bytes);
}

// Guards against a process that is killed for the memory of request bodies.
TEST_CASE("a request without memory is refused before its body is read",
          "[gateway]") {
  MemoryFixture f;
  f.Fill();
  CHECK(f.running.size() == 7);
  ConnectionId caller = f.Connect();
  f.transport.Receive(caller, PostHead(1000000));
  std::string response = f.transport.TakeSent(caller);
  CHECK(Contains(response, "HTTP/1.1 503"));
  CHECK(Contains(response, "Retry-After: "));
  CHECK(Contains(response, "\"not_run\""));
  CHECK(f.handler.requests.size() == 7);
  CHECK(f.memory.total() <= f.memory.max_bytes());
  // The rest of the body is discarded, and the connection serves on.
  std::size_t held = f.memory.total();
  for (int i = 0; i < 10; ++i) {
    f.transport.Receive(caller, std::string(100000, 'b'));
    CHECK(f.memory.total() < held + 20000);
  }
  CHECK(f.transport.TakeSent(caller).empty());
  f.transport.Receive(caller, kGet);
  CHECK(f.handler.requests.size() == 8);
  f.server.Respond(caller, Ok(), "ok");
  CHECK(Contains(f.transport.TakeSent(caller), "200 OK"));
}

TEST_CASE("memory returns with the response or the caller's end", "[gateway]") {
  MemoryFixture f;
  f.Fill();
  f.server.Respond(f.running[0], Ok(), "ok");
  f.transport.End(f.running[1], ConnectionEnd::kReset);
  f.server.AbortResponse(f.running[2], CallerCloseReason::kBrokenOff);
  for (int i = 0; i < 3; ++i) {
    f.transport.Receive(f.Connect(), Post(1000000));
  }
  CHECK(f.handler.rejected.empty());
  CHECK(f.handler.requests.size() == 10);
}

// Guards against a body that is sent in vain.
TEST_CASE("a caller that asks before sending its body is refused at once",
          "[gateway]") {
  MemoryFixture f;
  f.Fill();
  ConnectionId caller = f.Connect();
  f.transport.Receive(caller, PostHead(1000000, "Expect: 100-continue\r\n"));
  std::string response = f.transport.TakeSent(caller);
  CHECK(Contains(response, "HTTP/1.1 503"));
  CHECK_FALSE(Contains(response, "100 Continue"));
  CHECK(Contains(response, "Connection: close"));
  CHECK_FALSE(f.transport.IsOpen(caller));
}

// Guards against bodies of unknown length.
TEST_CASE("a chunked body is refused where the memory ends", "[gateway]") {
  MemoryFixture f;
  f.Fill();
  ConnectionId caller = f.Connect();
  f.transport.Receive(caller,
                      "POST /x HTTP/1.1\r\nHost: h\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n");
  CHECK(f.transport.TakeSent(caller).empty());
  std::string response;
  for (int i = 0; i < 40; ++i) {
    f.transport.Receive(caller, SerializeChunk(std::string(50000, 'c')));
    CHECK(f.memory.total() <= f.memory.max_bytes());
    response += f.transport.TakeSent(caller);
  }
  f.transport.Receive(caller, kLastChunk);
  response += f.transport.TakeSent(caller);
  CHECK(Contains(response, "HTTP/1.1 503"));
  CHECK(response.find("HTTP/1.1") == response.rfind("HTTP/1.1"));
  CHECK(f.handler.requests.size() == 7);
  CHECK(f.transport.IsOpen(caller));
  f.transport.Receive(caller, kGet);
  INFO(f.transport.TakeSent(caller));
  CHECK(f.handler.requests.size() == 8);
}

// Guards against memory of bytes that wait behind a request.
TEST_CASE("pipelined bytes count as memory", "[gateway]") {
  MemoryFixture f;
  std::vector<ConnectionId> callers;
  for (int i = 0; i < 20; ++i) {
    callers.push_back(f.Connect());
    f.transport.Receive(callers.back(), kGet);
    for (int part = 0; part < 10; ++part) {
      f.transport.Receive(callers.back(), Post(100000));
    }
    CHECK(f.memory.total() <= f.memory.max_bytes());
  }
  CHECK(f.handler.requests.size() == 20);
  // Requests that found no room are refused; the first ones are answered.
  for (ConnectionId caller : callers) {
    f.server.Respond(caller, Ok(), "ok");
    CHECK(Contains(f.transport.TakeSent(caller), "200 OK"));
  }
}

// Guards against many small requests that are refused beside large ones.
TEST_CASE("small requests are served while large ones are refused",
          "[gateway]") {
  MemoryFixture f;
  f.Fill();
  for (int i = 0; i < 10; ++i) {
    f.transport.Receive(f.Connect(), Post(72000));
  }
  CHECK(f.handler.rejected.empty());
  CHECK(f.handler.requests.size() == 17);
}

// Guards against a second response to a refused request.
TEST_CASE("a refused body that turns out malformed is not answered twice",
          "[gateway]") {
  MemoryFixture f;
  f.Fill();
  ConnectionId caller = f.Connect();
  f.transport.Receive(caller,
                      "POST /x HTTP/1.1\r\nHost: h\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 40; ++i) {
    f.transport.Receive(caller, SerializeChunk(std::string(50000, 'c')));
  }
  CHECK(Contains(f.transport.TakeSent(caller), "HTTP/1.1 503"));
  f.transport.Receive(caller, "no chunk\r\n");
  CHECK(f.transport.TakeSent(caller).empty());
  CHECK_FALSE(f.transport.IsOpen(caller));
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
