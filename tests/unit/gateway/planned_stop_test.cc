// Tests of connections during a planned stop.

#include <catch2/catch.hpp>

#include "tests/unit/gateway/forwarder_fixture.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;
using Arrival = ForwarderFixture::Arrival;

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

// Guards against an exit that cuts off a handed over answer on a connection
// that stays open.
TEST_CASE("a stop waits for answers to peers in delivery, within its time",
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
  ConnectionId peer = transport.Accept(gateway.peer_listener());
  transport.SetSlow(peer);
  transport.Receive(peer, "GET /none HTTP/1.1\r\nHost: i1\r\n\r\n");
  REQUIRE(transport.UnsentBytes(peer) > 0);
  bool stopped = false;
  gateway.BeginShutdown([&stopped] { stopped = true; });
  transport.Advance(milliseconds(5000));
  CHECK_FALSE(stopped);
  SECTION("they are delivered") {
    transport.TakeSent(peer);
    transport.Advance(milliseconds(200));
    CHECK(stopped);
  }
  SECTION("they are not read") {
    transport.Advance(milliseconds(2600));
    CHECK(stopped);
  }
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Guards against steps out of order, and against a grace period that is shorter
// than the usual steps.
TEST_CASE("the steps of a stop fit into its time", "[gateway]") {
  for (int grace : {500, 1000, 2000, 3000, 5000, 8000, 30000}) {
    INFO(grace);
    ShutdownSchedule schedule = MakeShutdownSchedule(milliseconds(grace));
    CHECK(schedule.close_idle.count() > 0);
    CHECK(schedule.close_idle < schedule.refuse);
    CHECK(schedule.refuse <= schedule.end_requests / 2);
    CHECK(schedule.earliest_exit <= schedule.end_requests);
    CHECK(schedule.end_requests < schedule.exit);
    CHECK(schedule.exit < milliseconds(grace));
  }
}

// Guards against a request that may run once and is cut at the end of a stop.
TEST_CASE("a request that cannot be answered before a stop is refused",
          "[gateway]") {
  ForwarderFixture f;
  f.forwarder.SetStopTime(f.transport.Now() + milliseconds(700));
  ConnectionId late = f.Request("POST", "/once/x", "r1", "", "b");
  std::string response = f.transport.TakeSent(late);
  CHECK(Contains(response, "HTTP/1.1 503"));
  CHECK(Contains(response, "\"not_run\""));
  CHECK(f.NothingArrives(milliseconds(20)));
  ConnectionId early = f.Request("POST", "/once/x", "r2",
                                 "Filbertshift-Deadline-Ms: 500\r\n", "b");
  f.Respond(f.NextArrival(), ForwarderFixture::WholeResponse(200, "r2", "ok"));
  CHECK(Contains(f.transport.TakeSent(early), "HTTP/1.1 200"));
}

// Guards against a request that waits for an endpoint and is sent late in a
// stop.
TEST_CASE("a waiting request is refused once a stop refuses", "[gateway]") {
  ForwarderFixture f(0);
  ConnectionId caller = f.Request("POST", "/stream/x", "r1", "", "b");
  f.forwarder.SetStopTime(f.transport.Now() + milliseconds(5000));
  CHECK(f.transport.TakeSent(caller).empty());
  f.forwarder.RefuseNewRequests();
  f.transport.Advance(milliseconds(30));
  std::string response = f.transport.TakeSent(caller);
  CHECK(Contains(response, "HTTP/1.1 503"));
  CHECK(Contains(response, "\"shutting_down\""));
  CHECK(Contains(response, "\"not_run\""));
}

// Guards against dropping an answer for a run that would not end in time.
TEST_CASE("an answer of low confidence is kept shortly before a stop",
          "[gateway]") {
  ForwarderFixture f;
  ConnectionId caller =
      f.Request("POST", "/sized/x", "r1", "Filbertshift-Model: *\r\n", "b");
  Arrival arrival = f.NextArrival();
  f.forwarder.SetStopTime(f.transport.Now() + milliseconds(1500));
  f.Respond(arrival, ForwarderFixture::StreamHead(
                         "r1", "Filbertshift-Confidence: 30\r\n") +
                         ForwarderFixture::Event(1) + std::string(kLastChunk));
  CHECK(Contains(f.transport.TakeSent(caller), "data: d1"));
}

// Guards against an exit that closes connections without an answer.
TEST_CASE("requests in progress are answered at the end of a stop",
          "[gateway]") {
  ForwarderFixture f;
  ConnectionId once = f.Request("POST", "/once/x", "r1", "", "b");
  f.NextArrival();
  ConnectionId stream = f.Request("POST", "/stream/x", "r2", "", "b");
  Arrival begun = f.NextArrival();
  f.Respond(begun,
            ForwarderFixture::StreamHead("r2") + ForwarderFixture::Event(1));
  f.server.BeginClosing();
  f.forwarder.EndRequests();
  std::string response = f.transport.TakeSent(once);
  CHECK(Contains(response, "HTTP/1.1 502"));
  CHECK(Contains(response, "\"unknown\""));
  // The caller sees that its stream is incomplete.
  CHECK_FALSE(Contains(f.transport.TakeSent(stream), std::string(kLastChunk)));
  CHECK(f.transport.At(stream).aborted);
  CHECK(f.forwarder.in_progress() == 0);
}

// Guards against a stream without a length or chunks that ends as if it were
// complete.
TEST_CASE("a stop resets the stream of an HTTP/1.0 caller", "[gateway]") {
  ForwarderFixture f;
  ConnectionId caller = f.transport.Accept(&f.server);
  f.transport.Receive(caller,
                      "POST /stream/x HTTP/1.0\r\nHost: h.example\r\n"
                      "Authorization: Bearer k1\r\n"
                      "Filbertshift-Attempt-Id: r1\r\n"
                      "Content-Length: 1\r\n\r\nb");
  f.Respond(f.NextArrival(),
            ForwarderFixture::StreamHead("r1") + ForwarderFixture::Event(1));
  CHECK(Contains(f.transport.TakeSent(caller), "data: d1"));
  f.forwarder.EndRequests();
  CHECK(f.transport.At(caller).aborted);
}

}  // namespace
}  // namespace filbertshift
