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

}  // namespace
}  // namespace filbertshift
