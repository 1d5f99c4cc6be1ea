// Tests of the request life cycle; the test acts as callers and endpoints.

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include "tests/unit/gateway/forwarder_fixture.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Guards against changes to the target, body or header fields in forwarding,
// and against callers that set fields reserved for the router.
TEST_CASE("a request reaches its endpoint unchanged", "[gateway]") {
  ForwarderFixture f;
  f.Request("POST", "/once/a%20b?q=%41", "r1",
            "Filbertshift-Tenant: forged\r\nFilbertshift-Retain: x\r\n"
            "Connection: X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n"
            "Filbertshift-Deadline-Ms: 700\r\n",
            "payload");
  ForwarderFixture::Arrival arrival = f.NextArrival();
  CHECK(Contains(arrival.text, "POST /once/a%20b?q=%41 HTTP/1.1\r\n"));
  CHECK(Contains(arrival.text, "Filbertshift-Tenant: museum\r\n"));
  CHECK(Contains(arrival.text,
                 "Filbertshift-Expect-Instance: " + arrival.endpoint + "\r\n"));
  CHECK(Contains(arrival.text, "X-End: 2\r\n"));
  CHECK(Contains(arrival.text, "\r\n\r\npayload"));
  CHECK_FALSE(Contains(arrival.text, "forged"));
  CHECK_FALSE(Contains(arrival.text, "Retain"));
  CHECK_FALSE(Contains(arrival.text, "X-Hop"));
  CHECK_FALSE(Contains(arrival.text, "Bearer"));
}

// Guards against running a non-idempotent request twice.
TEST_CASE("a request that may have run once is not repeated", "[gateway]") {
  ForwarderFixture f;
  ConnectionId caller = f.Request("POST", "/once/x", "r1", "", "b");
  f.transport.End(f.NextArrival().connection, ConnectionEnd::kReset);
  std::string response = f.transport.TakeSent(caller);
  CHECK(Contains(response, "HTTP/1.1 502"));
  CHECK(Contains(response, "\"unknown\""));
  CHECK(f.NothingArrives(milliseconds(1000)));
}

// Guards against failing a request that no endpoint has run.
TEST_CASE("a refused request goes to another endpoint", "[gateway]") {
  ForwarderFixture f;
  ConnectionId caller = f.Request("POST", "/once/x", "r1", "", "b");
  ForwarderFixture::Arrival first = f.NextArrival();
  f.Respond(first,
            "HTTP/1.1 503 Busy\r\nFilbertshift-Not-Executed: 1\r\n"
            "Content-Length: 0\r\n\r\n");
  ForwarderFixture::Arrival second = f.NextArrival();
  CHECK(second.endpoint != first.endpoint);
  f.Respond(second, ForwarderFixture::WholeResponse(200, "r1", "done"));
  std::string response = f.transport.TakeSent(caller);
  CHECK(Contains(response, "HTTP/1.1 200"));
  CHECK(Contains(response, "Filbertshift-Response-Seal: seal-r1\r\n"));
  CHECK(Contains(response, "\r\n\r\ndone"));
}

// Guards against one request that is sent again and again to full endpoints and
// uses up the repeats of all.
TEST_CASE("a request that all endpoints rejected is not sent again",
          "[gateway]") {
  ForwarderFixture f;
  ConnectionId caller = f.Request("POST", "/once/x", "r1", "", "b");
  for (int i = 0; i < 2; ++i) {
    f.Respond(f.NextArrival(),
              "HTTP/1.1 503 Busy\r\nFilbertshift-Not-Executed: 1\r\n"
              "Filbertshift-Attempt-Id: r1\r\nContent-Length: 0\r\n\r\n");
  }
  CHECK(f.NothingArrives(milliseconds(400)));
  std::string response = f.transport.TakeSent(caller);
  CHECK(Contains(response, "HTTP/1.1 503"));
  CHECK(Contains(response, "Retry-After"));
  CHECK(Contains(response, "\"not_run\""));
  // Other requests still find out whether there is room again.
  f.Request("POST", "/once/x", "r2", "", "b");
  CHECK(Contains(f.NextArrival().text, "POST /once/x"));
}

// Guards against requests and repeats that are spent on an endpoint whose
// address another process has taken over.
TEST_CASE("an endpoint that was replaced is avoided until its record changes",
          "[gateway]") {
  ForwarderFixture f;
  f.Request("POST", "/once/x", "r1", "", "b");
  ForwarderFixture::Arrival first = f.NextArrival();
  f.Respond(first,
            "HTTP/1.1 421 X\r\nFilbertshift-Instance-Id: e9\r\n"
            "Filbertshift-Attempt-Id: r1\r\nContent-Length: 0\r\n\r\n");
  std::string other = f.NextArrival().endpoint;
  CHECK(other != first.endpoint);
  f.transport.Advance(milliseconds(500));
  for (int i = 0; i < 8; ++i) {
    f.Request("POST", "/once/x", fmt::format("q{}", i), "", "b");
    CHECK(f.NextArrival().endpoint == other);
  }
  f.RestartEndpoint(first.endpoint == "e1" ? 1 : 2);
  bool used_again = false;
  for (int i = 0; i < 8; ++i) {
    f.Request("POST", "/once/x", fmt::format("p{}", i), "", "b");
    used_again = used_again || f.NextArrival().endpoint == first.endpoint;
  }
  CHECK(used_again);
}

// Guards against another status than 503 (not run) for a request that reached
// no endpoint.
TEST_CASE("503 is given only if nothing may have run", "[gateway]") {
  ForwarderFixture f(1);
  f.transport.SetDown("10.0.0.1:80");
  ConnectionId unsent = f.Request("POST", "/once/x", "r1", "", "b");
  f.transport.Advance(milliseconds(900));
  CHECK(Contains(f.transport.TakeSent(unsent), "HTTP/1.1 503"));
}

// Guards against reporting an endpoint's error response as the router's own.
TEST_CASE("an endpoint's failure keeps its status and seal", "[gateway]") {
  ForwarderFixture f;
  ConnectionId caller = f.Request("POST", "/once/x", "r1", "", "b");
  f.Respond(f.NextArrival(),
            ForwarderFixture::WholeResponse(500, "r1", "oops"));
  std::string response = f.transport.TakeSent(caller);
  CHECK(Contains(response, "HTTP/1.1 500"));
  CHECK(Contains(response, "Filbertshift-Response-Seal: seal-r1\r\n"));
}

TEST_CASE("an idempotent request that failed runs elsewhere", "[gateway]") {
  ForwarderFixture f;
  ConnectionId caller = f.Request("GET", "/safe/x", "r1");
  ForwarderFixture::Arrival first = f.NextArrival();
  f.Respond(first, ForwarderFixture::WholeResponse(500, "r1", "oops"));
  ForwarderFixture::Arrival second = f.NextArrival();
  CHECK(second.endpoint != first.endpoint);
  f.Respond(second, ForwarderFixture::WholeResponse(200, "r1", "good"));
  CHECK(Contains(f.transport.TakeSent(caller), "good"));
}

// Guards against delivering a response that was not sealed by the endpoint, or
// that was malformed or encoded in transit.
TEST_CASE("an answer without seal is not delivered", "[gateway]") {
  const char* responses[] = {
      "HTTP/1.1 200 OK\r\nFilbertshift-Attempt-Id: r1\r\n"
      "Content-Length: 3\r\n\r\nbad",
      "HTTP/1.1 200 OK\r\nFilbertshift-Attempt-Id: r1\r\n"
      "Filbertshift-Response-Seal: s\r\nContent-Encoding: gzip\r\n"
      "Content-Length: 3\r\n\r\nbad",
      "garbage that is no answer bad\r\n\r\n"};
  for (const char* text : responses) {
    INFO(text);
    ForwarderFixture f;
    ConnectionId caller = f.Request("POST", "/once/x", "r1", "", "b");
    f.Respond(f.NextArrival(), text);
    std::string response = f.transport.TakeSent(caller);
    CHECK(Contains(response, "HTTP/1.1 502"));
    CHECK_FALSE(Contains(response, "bad"));
  }
}

// Guards against delivering a response to another request on a reused
// connection.
TEST_CASE("an answer of another request is skipped", "[gateway]") {
  ForwarderFixture f;
  ConnectionId caller = f.Request("POST", "/once/x", "r2", "", "b");
  ForwarderFixture::Arrival arrival = f.NextArrival();
  f.Respond(arrival, ForwarderFixture::WholeResponse(200, "r1", "late"));
  CHECK(f.transport.TakeSent(caller).empty());
  f.Respond(arrival, ForwarderFixture::WholeResponse(200, "r2", "mine"));
  std::string response = f.transport.TakeSent(caller);
  CHECK(Contains(response, "mine"));
  CHECK_FALSE(Contains(response, "late"));
}

// Guards against lost, duplicated or truncated events when a stream resumes at
// another endpoint.
TEST_CASE("a broken stream goes on within its answer", "[gateway]") {
  ForwarderFixture f;
  ConnectionId caller = f.Request("POST", "/stream/x", "r1", "", "b");
  ForwarderFixture::Arrival first = f.NextArrival();
  f.Respond(first, ForwarderFixture::StreamHead("r1"));
  f.Respond(first, ForwarderFixture::Event(1));
  f.Respond(first, ForwarderFixture::Event(2));
  f.Respond(first, SerializeChunk("id: 3\nda"));
  f.transport.End(first.connection, ConnectionEnd::kReset);
  ForwarderFixture::Arrival second = f.NextArrival();
  CHECK(second.endpoint != first.endpoint);
  CHECK(Contains(second.text, "Last-Event-Id: 2\r\n"));
  f.Respond(second, ForwarderFixture::StreamHead("r1"));
  f.Respond(second, ForwarderFixture::Event(2));
  f.Respond(second, ForwarderFixture::Event(3));
  f.Respond(second, std::string(kLastChunk));
  std::string response = f.transport.TakeSent(caller);
  CHECK(response.find("HTTP/1.1 200") == response.rfind("HTTP/1.1 200"));
  CHECK(response.find("id: 2") == response.rfind("id: 2"));
  CHECK(response.find("id: 3") == response.rfind("id: 3"));
  CHECK(Contains(response, "data: d3"));
  CHECK(response.substr(response.size() - kLastChunk.size()) == kLastChunk);
}

// Guards against an interrupted stream that the caller takes for complete.
TEST_CASE("a stream that cannot go on is broken off", "[gateway]") {
  ForwarderFixture f(1);
  ConnectionId caller = f.Request("POST", "/stream/x", "r1", "", "b");
  ForwarderFixture::Arrival arrival = f.NextArrival();
  f.Respond(arrival, ForwarderFixture::StreamHead("r1"));
  f.Respond(arrival, ForwarderFixture::Event(1));
  f.transport.SetDown("10.0.0.1:80");
  f.transport.End(arrival.connection, ConnectionEnd::kReset);
  f.transport.Advance(milliseconds(20000));
  CHECK(f.transport.At(caller).aborted);
  CHECK_FALSE(Contains(f.transport.At(caller).sent, std::string(kLastChunk)));
}

// Guards against running requests for a caller that has disconnected.
TEST_CASE("the attempt of a caller that leaves is cancelled", "[gateway]") {
  ForwarderFixture f;
  ConnectionId caller = f.Request("GET", "/safe/x", "r1");
  ForwarderFixture::Arrival arrival = f.NextArrival();
  f.transport.End(caller, ConnectionEnd::kClosed);
  CHECK(f.transport.At(arrival.connection).aborted);
  CHECK(f.forwarder.in_progress() == 0);
  CHECK(f.NothingArrives(milliseconds(1000)));
}

// Guards against holding a request beyond its route's timeout.
TEST_CASE("a request without an answer ends at its deadline", "[gateway]") {
  ForwarderFixture f;
  ConnectionId caller = f.Request("POST", "/once/x", "r1", "", "b");
  ForwarderFixture::Arrival arrival = f.NextArrival();
  f.transport.Advance(milliseconds(850));
  CHECK(Contains(f.transport.TakeSent(caller), "HTTP/1.1 504"));
  CHECK(f.transport.At(arrival.connection).aborted);
}

// Guards against an instance that sends all requests without a prompt to the
// same one of several free endpoints.
TEST_CASE("requests without a prompt are spread", "[gateway]") {
  ForwarderFixture f(3);
  std::map<std::string, int> used;
  for (int i = 0; i < 90; ++i) {
    std::string id = "spread" + std::to_string(i);
    f.Request("POST", "/once/x", id, "", "b");
    ForwarderFixture::Arrival arrival = f.NextArrival();
    ++used[arrival.endpoint];
    f.Respond(arrival, ForwarderFixture::WholeResponse(200, id, "done"));
  }
  for (const char* endpoint : {"e1", "e2", "e3"}) {
    CHECK(used[endpoint] >= 15);
  }
}

// Guards against charging the repeat budget for attempts that could not
// connect: during a partition they exhausted it, and streams could not be
// resumed.
TEST_CASE("connections that fail cost no repeats", "[gateway]") {
  ForwarderFixture f(1);
  f.transport.SetDown("10.0.0.1:80");
  for (int i = 0; i < 400; ++i) {
    f.Request("GET", "/safe/x", "r" + std::to_string(i));
  }
  f.transport.Advance(milliseconds(500));
  CHECK(f.forwarder.HasRoomForRepeat(ServiceId("s")));
}

// Guards against moving streams that only pause: each move adds load to an
// already loaded service (1,719 moves on one day).
TEST_CASE("a stream that pauses stays where it is", "[gateway]") {
  ForwarderFixture f;
  f.Request("POST", "/stream/x", "r1", "", "b");
  ForwarderFixture::Arrival arrival = f.NextArrival();
  f.Respond(arrival, ForwarderFixture::StreamHead("r1"));
  f.Respond(arrival, ForwarderFixture::Event(1));
  CHECK(f.NothingArrives(milliseconds(800)));
  f.Respond(arrival, ForwarderFixture::Event(2));
  CHECK(f.NothingArrives(milliseconds(800)));
}

// Guards against waiting for an endpoint whose host is gone.
TEST_CASE("a stream of a silent endpoint is moved", "[gateway]") {
  ForwarderFixture f;
  f.Request("POST", "/stream/x", "r1", "", "b");
  ForwarderFixture::Arrival first = f.NextArrival();
  f.Respond(first, ForwarderFixture::StreamHead("r1"));
  f.Respond(first, ForwarderFixture::Event(1));
  f.transport.SetDown(f.AddressOf(first.endpoint));
  f.transport.Advance(milliseconds(1000));
  ForwarderFixture::Arrival second = f.NextArrival();
  CHECK(Contains(second.text, "Last-Event-Id: 1\r\n"));
  CHECK(f.transport.At(first.connection).aborted);
}

// Guards against a 404 or 401 for routes and keys that only a newer
// configuration has: a stale configuration gives 503.
TEST_CASE("an old view refuses instead of denying", "[gateway]") {
  ForwarderFixture f;
  CHECK(Contains(f.transport.TakeSent(f.Request("GET", "/none/x", "r1")),
                 "HTTP/1.1 404"));
  f.transport.Advance(milliseconds(5000));
  CHECK(Contains(f.transport.TakeSent(f.Request("GET", "/none/x", "r2")),
                 "HTTP/1.1 503"));
}

// Guards against accepting requests that cannot finish before the process is
// killed.
TEST_CASE("late requests of a leaving instance are refused", "[gateway]") {
  ForwarderFixture f;
  f.forwarder.RefuseNewRequests();
  std::string response =
      f.transport.TakeSent(f.Request("POST", "/stream/x", "r1", "", "b"));
  CHECK(Contains(response, "HTTP/1.1 503"));
  CHECK(Contains(response, "Retry-After"));
  CHECK(f.NothingArrives(milliseconds(100)));
}

TEST_CASE("ended connections of callers are counted by reason", "[gateway]") {
  ForwarderFixture f;
  f.transport.Accept(&f.server);
  f.transport.Advance(CallerLimits().idle_timeout);
  CHECK(Contains(
      f.metrics.Serialize(),
      "filbertshift_caller_connections_closed_total{reason=\"idle\"} 1"));
}

}  // namespace
}  // namespace filbertshift
