// Tests of the request life cycle; the test acts as callers and endpoints.

#include <catch2/catch.hpp>

#include "tests/unit/gateway/forwarder_fixture.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

bool Has(const std::string& text, const std::string& part) {
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
  CHECK(Has(arrival.text, "POST /once/a%20b?q=%41 HTTP/1.1\r\n"));
  CHECK(Has(arrival.text, "Filbertshift-Tenant: museum\r\n"));
  CHECK(Has(arrival.text,
            "Filbertshift-Expect-Instance: " + arrival.endpoint + "\r\n"));
  CHECK(Has(arrival.text, "X-End: 2\r\n"));
  CHECK(Has(arrival.text, "\r\n\r\npayload"));
  CHECK_FALSE(Has(arrival.text, "forged"));
  CHECK_FALSE(Has(arrival.text, "Retain"));
  CHECK_FALSE(Has(arrival.text, "X-Hop"));
  CHECK_FALSE(Has(arrival.text, "Bearer"));
}

// Guards against running a non-idempotent request twice.
TEST_CASE("a request that may have run once is not repeated", "[gateway]") {
  ForwarderFixture f;
  ConnectionId caller = f.Request("POST", "/once/x", "r1", "", "b");
  f.transport.End(f.NextArrival().connection, ConnectionEnd::kReset);
  std::string answer = f.transport.TakeSent(caller);
  CHECK(Has(answer, "HTTP/1.1 502"));
  CHECK(Has(answer, "\"unknown\""));
  CHECK(f.NothingArrives(milliseconds(1000)));
}

// Guards against failing a request that no endpoint has run.
TEST_CASE("a refused request goes to another endpoint", "[gateway]") {
  ForwarderFixture f;
  ConnectionId caller = f.Request("POST", "/once/x", "r1", "", "b");
  ForwarderFixture::Arrival first = f.NextArrival();
  f.Answer(first,
           "HTTP/1.1 503 Busy\r\nFilbertshift-Not-Executed: 1\r\n"
           "Content-Length: 0\r\n\r\n");
  ForwarderFixture::Arrival second = f.NextArrival();
  CHECK(second.endpoint != first.endpoint);
  f.Answer(second, ForwarderFixture::Whole(200, "r1", "done"));
  std::string answer = f.transport.TakeSent(caller);
  CHECK(Has(answer, "HTTP/1.1 200"));
  CHECK(Has(answer, "Filbertshift-Response-Seal: seal-r1\r\n"));
  CHECK(Has(answer, "\r\n\r\ndone"));
}

// Guards against another status than 503 (not run) for a request that reached
// no endpoint.
TEST_CASE("503 is given only if nothing may have run", "[gateway]") {
  ForwarderFixture f(1);
  f.transport.SetDown("10.0.0.1:80");
  ConnectionId unsent = f.Request("POST", "/once/x", "r1", "", "b");
  f.transport.Advance(milliseconds(900));
  CHECK(Has(f.transport.TakeSent(unsent), "HTTP/1.1 503"));
}

// Guards against reporting an endpoint's error response as the router's own.
TEST_CASE("an endpoint's failure keeps its status and seal", "[gateway]") {
  ForwarderFixture f;
  ConnectionId caller = f.Request("POST", "/once/x", "r1", "", "b");
  f.Answer(f.NextArrival(), ForwarderFixture::Whole(500, "r1", "oops"));
  std::string answer = f.transport.TakeSent(caller);
  CHECK(Has(answer, "HTTP/1.1 500"));
  CHECK(Has(answer, "Filbertshift-Response-Seal: seal-r1\r\n"));
}

TEST_CASE("an idempotent request that failed runs elsewhere", "[gateway]") {
  ForwarderFixture f;
  ConnectionId caller = f.Request("GET", "/safe/x", "r1");
  ForwarderFixture::Arrival first = f.NextArrival();
  f.Answer(first, ForwarderFixture::Whole(500, "r1", "oops"));
  ForwarderFixture::Arrival second = f.NextArrival();
  CHECK(second.endpoint != first.endpoint);
  f.Answer(second, ForwarderFixture::Whole(200, "r1", "good"));
  CHECK(Has(f.transport.TakeSent(caller), "good"));
}

// Guards against delivering a response that was not sealed by the endpoint, or
// that was malformed or encoded in transit.
TEST_CASE("an answer without seal is not delivered", "[gateway]") {
  const char* answers[] = {
      "HTTP/1.1 200 OK\r\nFilbertshift-Attempt-Id: r1\r\n"
      "Content-Length: 3\r\n\r\nbad",
      "HTTP/1.1 200 OK\r\nFilbertshift-Attempt-Id: r1\r\n"
      "Filbertshift-Response-Seal: s\r\nContent-Encoding: gzip\r\n"
      "Content-Length: 3\r\n\r\nbad",
      "garbage that is no answer bad\r\n\r\n"};
  for (const char* text : answers) {
    INFO(text);
    ForwarderFixture f;
    ConnectionId caller = f.Request("POST", "/once/x", "r1", "", "b");
    f.Answer(f.NextArrival(), text);
    std::string answer = f.transport.TakeSent(caller);
    CHECK(Has(answer, "HTTP/1.1 502"));
    CHECK_FALSE(Has(answer, "bad"));
  }
}

// Guards against delivering a response to another request on a reused
// connection.
TEST_CASE("an answer of another request is skipped", "[gateway]") {
  ForwarderFixture f;
  ConnectionId caller = f.Request("POST", "/once/x", "r2", "", "b");
  ForwarderFixture::Arrival arrival = f.NextArrival();
  f.Answer(arrival, ForwarderFixture::Whole(200, "r1", "late"));
  CHECK(f.transport.TakeSent(caller).empty());
  f.Answer(arrival, ForwarderFixture::Whole(200, "r2", "mine"));
  std::string answer = f.transport.TakeSent(caller);
  CHECK(Has(answer, "mine"));
  CHECK_FALSE(Has(answer, "late"));
}

// Guards against lost, duplicated or truncated events when a stream resumes at
// another endpoint.
TEST_CASE("a broken stream goes on within its answer", "[gateway]") {
  ForwarderFixture f;
  ConnectionId caller = f.Request("POST", "/stream/x", "r1", "", "b");
  ForwarderFixture::Arrival first = f.NextArrival();
  f.Answer(first, ForwarderFixture::StreamHead("r1"));
  f.Answer(first, ForwarderFixture::Event(1));
  f.Answer(first, ForwarderFixture::Event(2));
  f.Answer(first, SerializeChunk("id: 3\nda"));
  f.transport.End(first.connection, ConnectionEnd::kReset);
  ForwarderFixture::Arrival second = f.NextArrival();
  CHECK(second.endpoint != first.endpoint);
  CHECK(Has(second.text, "Last-Event-Id: 2\r\n"));
  f.Answer(second, ForwarderFixture::StreamHead("r1"));
  f.Answer(second, ForwarderFixture::Event(2));
  f.Answer(second, ForwarderFixture::Event(3));
  f.Answer(second, std::string(kLastChunk));
  std::string answer = f.transport.TakeSent(caller);
  CHECK(answer.find("HTTP/1.1 200") == answer.rfind("HTTP/1.1 200"));
  CHECK(answer.find("id: 2") == answer.rfind("id: 2"));
  CHECK(answer.find("id: 3") == answer.rfind("id: 3"));
  CHECK(Has(answer, "data: d3"));
  CHECK(answer.substr(answer.size() - kLastChunk.size()) == kLastChunk);
}

// Guards against an interrupted stream that the caller takes for complete.
TEST_CASE("a stream that cannot go on is broken off", "[gateway]") {
  ForwarderFixture f(1);
  ConnectionId caller = f.Request("POST", "/stream/x", "r1", "", "b");
  ForwarderFixture::Arrival arrival = f.NextArrival();
  f.Answer(arrival, ForwarderFixture::StreamHead("r1"));
  f.Answer(arrival, ForwarderFixture::Event(1));
  f.transport.SetDown("10.0.0.1:80");
  f.transport.End(arrival.connection, ConnectionEnd::kReset);
  f.transport.Advance(milliseconds(20000));
  CHECK(f.transport.At(caller).aborted);
  CHECK_FALSE(Has(f.transport.At(caller).sent, std::string(kLastChunk)));
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
  CHECK(Has(f.transport.TakeSent(caller), "HTTP/1.1 504"));
  CHECK(f.transport.At(arrival.connection).aborted);
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
  f.Answer(arrival, ForwarderFixture::StreamHead("r1"));
  f.Answer(arrival, ForwarderFixture::Event(1));
  CHECK(f.NothingArrives(milliseconds(800)));
  f.Answer(arrival, ForwarderFixture::Event(2));
  CHECK(f.NothingArrives(milliseconds(800)));
}

// Guards against waiting for an endpoint that has stopped sending.
TEST_CASE("a stream of a silent endpoint is moved", "[gateway]") {
  ForwarderFixture f;
  f.Request("POST", "/stream/x", "r1", "", "b");
  ForwarderFixture::Arrival first = f.NextArrival();
  f.Answer(first, ForwarderFixture::StreamHead("r1"));
  f.Answer(first, ForwarderFixture::Event(1));
  f.transport.Advance(milliseconds(1000));
  ForwarderFixture::Arrival second = f.NextArrival();
  CHECK(Has(second.text, "Last-Event-Id: 1\r\n"));
  CHECK(f.transport.At(first.connection).aborted);
}

// Guards against a 404 or 401 for routes and keys that only a newer
// configuration has: a stale configuration gives 503.
TEST_CASE("an old view refuses instead of denying", "[gateway]") {
  ForwarderFixture f;
  CHECK(Has(f.transport.TakeSent(f.Request("GET", "/none/x", "r1")),
            "HTTP/1.1 404"));
  f.transport.Advance(milliseconds(5000));
  CHECK(Has(f.transport.TakeSent(f.Request("GET", "/none/x", "r2")),
            "HTTP/1.1 503"));
}

// Guards against accepting requests that cannot finish before the process is
// killed.
TEST_CASE("late requests of a leaving instance are refused", "[gateway]") {
  ForwarderFixture f;
  f.forwarder.RefuseNewRequests();
  std::string answer =
      f.transport.TakeSent(f.Request("POST", "/stream/x", "r1", "", "b"));
  CHECK(Has(answer, "HTTP/1.1 503"));
  CHECK(Has(answer, "Retry-After"));
  CHECK(f.NothingArrives(milliseconds(100)));
}

}  // namespace
}  // namespace filbertshift
