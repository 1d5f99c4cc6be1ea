// Tests of connections during a planned stop.

#include <catch2/catch.hpp>

#include "tests/unit/gateway/forwarder_fixture.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

constexpr char kRequest[] =
    "POST /once/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\n"
    "Filbertshift-Attempt-Id: r1\r\nContent-Length: 1\r\n\r\nb";

// Guards against cutting off a request that is on its way on a connection that
// was accepted just before idle connections are closed.
TEST_CASE("a new connection gets an answer to its first request", "[gateway]") {
  ForwarderFixture f;
  f.server.BeginClosing();
  ConnectionId caller = f.transport.Accept(&f.server);
  f.transport.Advance(milliseconds(10));
  CHECK(f.server.AwaitsFirstRequest());
  f.server.CloseIdle();
  REQUIRE(f.transport.IsOpen(caller));
  f.transport.Receive(caller, kRequest);
  CHECK_FALSE(f.server.AwaitsFirstRequest());
  f.server.CloseIdle();
  f.Respond(f.NextArrival(), ForwarderFixture::WholeResponse(200, "r1", "ok"));
  std::string response = f.transport.TakeSent(caller);
  CHECK(response.find("HTTP/1.1 200") != std::string::npos);
  CHECK(response.find("Connection: close") != std::string::npos);
  CHECK(f.transport.At(caller).closed);
}

// Guards against a stop that waits for connections nobody uses.
TEST_CASE("a connection without a request is closed in the end", "[gateway]") {
  ForwarderFixture f;
  ConnectionId unused = f.transport.Accept(&f.server);
  ConnectionId half_read = f.transport.Accept(&f.server);
  f.transport.Receive(half_read, "POST /once/x HT");
  f.transport.Advance(milliseconds(600));
  CHECK_FALSE(f.server.AwaitsFirstRequest());
  f.server.CloseIdle();
  CHECK(f.transport.At(unused).closed);
  CHECK(f.transport.IsOpen(half_read));
}

// Guards against an exit that cuts off an answer that is still being sent.
TEST_CASE("a stop waits for answers in delivery, within its time",
          "[gateway]") {
  GatewaySettings settings;
  settings.instance = InstanceId("i1");
  settings.store_address = "10.0.0.1:80";
  settings.shutdown_s = 8;
  FakeTransport transport;
  NullEventLog log;
  GatewayMetrics metrics;
  HeaderCodec headers;
  DocumentDecoder documents;
  RowProtocol rows(settings.store_address);
  Gateway gateway(settings, {headers, documents, rows}, &transport, &log,
                  &metrics, 1);
  gateway.Start();
  bool stopped = false;
  gateway.BeginShutdown([&stopped] { stopped = true; });
  transport.SetClosingCount(1);
  transport.Advance(milliseconds(5000));
  CHECK_FALSE(stopped);
  SECTION("they are delivered") {
    transport.SetClosingCount(0);
    transport.Advance(milliseconds(200));
    CHECK(stopped);
  }
  SECTION("they are not read") {
    transport.Advance(milliseconds(2600));
    CHECK(stopped);
  }
}

}  // namespace
}  // namespace filbertshift
