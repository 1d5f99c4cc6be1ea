// Tests of answers that end early: within their head, or as a stream whose next
// endpoint answers with something else. None may look complete.

#include <catch2/catch.hpp>

#include "tests/unit/gateway/forwarder_fixture.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;
using Arrival = ForwarderFixture::Arrival;

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

class Outcome : public CallListener {
 public:
  HeadDecision OnHead(CallId, const HttpResponseHead&) override {
    return HeadDecision::kAccept;
  }
  void OnBody(CallId, std::string_view) override {}
  void OnComplete(CallId) override { complete = true; }
  void OnFailed(CallId, CallFailure, std::string_view) override {
    failed = true;
  }
  bool complete = false;
  bool failed = false;
};

const std::string kHead =
    "HTTP/1.1 200 OK\r\nFilbertshift-Attempt-Id: r1\r\n"
    "Filbertshift-Response-Seal: s\r\n";

// Guards against an answer of an endpoint, the store or another instance that
// is closed at any byte and taken for a whole one.
TEST_CASE("an answer cut at any byte is a failed call", "[gateway]") {
  std::string answer = GENERATE(
      as<std::string>(), kHead + "Content-Length: 4\r\n\r\nbody",
      kHead + "Content-Length: 0\r\n\r\n",
      kHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
      kHead + "\r\n");
  for (std::size_t bytes = 0; bytes < answer.size(); ++bytes) {
    INFO(answer.substr(0, bytes));
    FakeTransport transport;
    HttpClient client(&transport, milliseconds(100));
    Outcome outcome;
    client.Start("10.0.0.1:80", "GET / HTTP/1.1\r\n\r\n", milliseconds(0),
                 &outcome);
    transport.Advance(milliseconds(2));
    ConnectionId connection = transport.OpenTo("10.0.0.1:80").front();
    transport.Receive(connection, answer.substr(0, bytes));
    transport.End(connection, ConnectionEnd::kClosed);
    CHECK(outcome.failed);
    CHECK_FALSE(outcome.complete);
  }
}

// Guards against a success that is passed on for an answer cut in its head.
TEST_CASE("an answer cut in its head is no success for the caller",
          "[gateway]") {
  std::string answer = ForwarderFixture::WholeResponse(200, "r1", "body");
  for (std::size_t bytes = 0; bytes < answer.size(); ++bytes) {
    INFO(answer.substr(0, bytes));
    ForwarderFixture f(1);
    ConnectionId caller = f.Request("POST", "/once/x", "r1", "", "b");
    Arrival arrival = f.NextArrival();
    f.Respond(arrival, answer.substr(0, bytes));
    f.transport.End(arrival.connection, ConnectionEnd::kClosed);
    f.transport.Advance(milliseconds(200));
    std::string response = f.transport.TakeSent(caller);
    CHECK(Contains(response, "HTTP/1.1 502"));
    CHECK_FALSE(Contains(response, "200 OK"));
  }
}

// A stream of which the first event has been delivered and whose endpoint is
// lost.
struct BrokenStream {
  BrokenStream() : f(3) {
    caller = f.Request("POST", "/stream/x", "r1", "", "b");
    Arrival first = f.NextArrival();
    f.Respond(first,
              ForwarderFixture::StreamHead("r1") + ForwarderFixture::Event(1));
    REQUIRE(Contains(f.transport.TakeSent(caller), "data: d1"));
    f.transport.End(first.connection, ConnectionEnd::kReset);
    second = f.NextArrival();
    REQUIRE(Contains(second.text, "Last-Event-Id: 1"));
  }
  ForwarderFixture f;
  ConnectionId caller{};
  Arrival second;
};

// Guards against the text of an error between the events of a stream.
TEST_CASE("an error answer to a resumed stream stays out of it", "[gateway]") {
  int status = GENERATE(500, 503, 404, 429);
  INFO(status);
  BrokenStream s;
  s.f.Respond(s.second,
              ForwarderFixture::WholeResponse(status, "r1", "error text\n\n"));
  s.f.transport.Advance(milliseconds(3000));
  std::string rest = s.f.transport.TakeSent(s.caller);
  CHECK_FALSE(Contains(rest, "error text"));
  CHECK_FALSE(Contains(rest, std::string(kLastChunk)));
}

// Guards against a plain answer that is taken for the rest of a stream.
TEST_CASE("an answer that is no stream does not resume one", "[gateway]") {
  std::string type =
      GENERATE(as<std::string>(), "", "Content-Type: text/plain\r\n",
               "Content-Type: application/json\r\n");
  INFO(type);
  BrokenStream s;
  s.f.Respond(s.second, ForwarderFixture::WholeResponse(
                            200, "r1", "error text\n\n", type));
  std::string rest = s.f.transport.TakeSent(s.caller);
  CHECK_FALSE(Contains(rest, "error text"));
  CHECK_FALSE(Contains(rest, std::string(kLastChunk)));
  // Another endpoint goes on with the stream.
  Arrival third = s.f.NextArrival();
  REQUIRE(Contains(third.text, "Last-Event-Id: 1"));
  s.f.Respond(third, ForwarderFixture::StreamHead("r1") +
                         ForwarderFixture::Event(2) + std::string(kLastChunk));
  rest = s.f.transport.TakeSent(s.caller);
  CHECK(Contains(rest, "data: d2"));
  CHECK(Contains(rest, std::string(kLastChunk)));
}

}  // namespace
}  // namespace filbertshift
