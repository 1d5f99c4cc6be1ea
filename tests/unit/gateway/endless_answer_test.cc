// Tests of endpoints in trouble: bytes without end, a byte now and then, and
// copies of answers on a connection that is in use again.

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include "tests/unit/gateway/forwarder_fixture.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;
using Arrival = ForwarderFixture::Arrival;

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string ChunkedHead(const std::string& id) {
  return fmt::format(
      "HTTP/1.1 200 OK\r\nFilbertshift-Attempt-Id: {}\r\n"
      "Filbertshift-Response-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n",
      id);
}

// Sends `part` again and again. Returns the bytes that were accepted before the
// connection was closed; `limit` if it was not.
std::size_t SendWithoutEnd(ForwarderFixture* f,
                           const Arrival& arrival,
                           const std::string& part,
                           std::size_t limit) {
  std::size_t sent = 0;
  while (sent < limit && f->transport.IsOpen(arrival.connection)) {
    f->Respond(arrival, part);
    sent += part.size();
  }
  return sent;
}

// Guards against an answer that an endpoint never finishes: the instance would
// read until the deadline, and its memory would grow with the bytes.
TEST_CASE("a head, trailer or chunk line without end breaks off", "[gateway]") {
  constexpr std::size_t kLimit = std::size_t{4} * 1024 * 1024;
  constexpr std::size_t kBound = std::size_t{256} * 1024;
  const std::pair<std::string, std::string> answers[] = {
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"", "HTTP/1.1 103 Early Hints\r\nLink: " + std::string(500, 'x') +
               "\r\n\r\n"},
      {"HTTP/1.1 200 ", std::string(1000, 'r')},
      {"HTTP/1.1 200 OK\r\n", "X-Field: " + std::string(500, 'v') + "\r\n"},
      {"HTTP/1.1 200 OK\r\nX-Field: ", std::string(1000, 'v')},
      {ChunkedHead("r1") + "1;", std::string(1000, 'e')},
      {ChunkedHead("r1") + "1\r\na\r\n0\r\n",
       "X-Trailer: " + std::string(500, 't') + "\r\n"},
  };
  for (const auto& [start, part] : answers) {
    INFO(start << part.substr(0, 40));
    ForwarderFixture f;
    ConnectionId caller = f.Request("POST", "/once/x", "r1", "", "b");
    Arrival arrival = f.NextArrival();
    f.Respond(arrival, start);
    CHECK(SendWithoutEnd(&f, arrival, part, kLimit) < kBound);
    CHECK(f.transport.At(arrival.connection).aborted);
    std::string response = f.transport.TakeSent(caller);
    CHECK(Contains(response, "HTTP/1.1 502"));
    CHECK(Contains(response, "\"unknown\""));
  }
}

// Guards against an instance that runs out of memory: 25 endless answers of
// 16 MB each exceeded it.
TEST_CASE("endless answers leave room for sound ones", "[gateway]") {
  constexpr int kEndless = 200;
  constexpr std::size_t kBudget = ForwarderLimits().max_buffered_bytes;
  ForwarderFixture f(4);
  std::vector<Arrival> endless;
  for (int i = 0; i < kEndless; ++i) {
    f.Request("POST", "/once/x", fmt::format("r{}", i), "", "b");
    endless.push_back(f.NextArrival());
    f.Respond(endless.back(), ChunkedHead(fmt::format("r{}", i)));
  }
  ConnectionId caller = f.Request("POST", "/once/x", "sound", "", "b");
  Arrival sound = f.NextArrival();
  std::string body(std::size_t{8} * 1024 * 1024, 's');
  std::string answer = ForwarderFixture::WholeResponse(200, "sound", body, "");
  f.Respond(sound, answer.substr(0, answer.size() - 1));
  std::string chunk = SerializeChunk(std::string(std::size_t{64} * 1024, 'x'));
  std::size_t most = 0;
  for (int round = 0; round < 10; ++round) {
    for (const Arrival& arrival : endless) {
      f.Respond(arrival, chunk);
      most = std::max(most, f.forwarder.buffered_bytes());
    }
  }
  CHECK(most <= kBudget);
  CHECK(most > kBudget / 2);
  f.Respond(sound, answer.substr(answer.size() - 1));
  CHECK(Contains(f.transport.TakeSent(caller), "HTTP/1.1 200"));
  f.transport.Advance(milliseconds(900));
  CHECK(f.forwarder.in_progress() == 0);
  CHECK(f.forwarder.buffered_bytes() == 0);
  for (const Arrival& arrival : endless) {
    CHECK_FALSE(f.transport.IsOpen(arrival.connection));
  }
}

// Guards against a request that ends without an answer when the body of its
// failure is dropped to make room while it waits for another endpoint.
TEST_CASE("a waiting request whose failure is dropped is answered",
          "[gateway]") {
  constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;
  ForwarderFixture f;
  ConnectionId waiting = f.Request("POST", "/safe/x", "a", "", "b");
  Arrival failed = f.NextArrival();
  ConnectionId sound = f.Request("POST", "/once/x", "b", "", "b");
  Arrival long_answer = f.NextArrival();
  f.forwarder.OnEndpointRemoved(EndpointId("e1"));
  f.forwarder.OnEndpointRemoved(EndpointId("e2"));
  f.Respond(failed, ForwarderFixture::WholeResponse(
                        500, "a", std::string(40 * kMegabyte, 'f')));
  std::string answer = ForwarderFixture::WholeResponse(
      200, "b", std::string(30 * kMegabyte, 's'));
  f.Respond(long_answer, answer.substr(0, answer.size() - 1));
  f.transport.Advance(milliseconds(100));
  CHECK(Contains(f.transport.TakeSent(waiting), "HTTP/1.1 502"));
  f.Respond(long_answer, answer.substr(answer.size() - 1));
  CHECK(Contains(f.transport.TakeSent(sound), "HTTP/1.1 200"));
}

TEST_CASE("an event without end breaks off its stream", "[gateway]") {
  ForwarderFixture f;
  ConnectionId caller = f.Request("POST", "/stream/x", "r1", "", "b");
  Arrival first = f.NextArrival();
  f.Respond(first, ForwarderFixture::StreamHead("r1"));
  f.Respond(first, ForwarderFixture::Event(1));
  constexpr std::size_t kLimit = std::size_t{8} * 1024 * 1024;
  std::string part = SerializeChunk("data: " + std::string(10000, 'x') + "\n");
  CHECK(SendWithoutEnd(&f, first, part, kLimit) <
        2 * ForwarderLimits().max_event_bytes);
  Arrival second = f.NextArrival();
  CHECK(Contains(second.text, "Last-Event-Id: 1\r\n"));
  f.Respond(second, ForwarderFixture::StreamHead("r1"));
  f.Respond(second, ForwarderFixture::Event(2) + std::string(kLastChunk));
  std::string response = f.transport.TakeSent(caller);
  CHECK_FALSE(Contains(response, "xxx"));
  CHECK(Contains(response, "data: d2"));
}

// Guards against a limit on the bytes of a stream: one that is sound may be as
// long as its caller waits.
TEST_CASE("a long sound stream is not cut", "[gateway]") {
  ForwarderFixture f;
  ConnectionId caller = f.Request("POST", "/stream/x", "r1", "", "b");
  Arrival arrival = f.NextArrival();
  f.Respond(arrival, ForwarderFixture::StreamHead("r1"));
  std::string content(100000, 'c');
  std::size_t delivered = 0;
  for (int i = 1; i <= 300; ++i) {
    f.Respond(arrival,
              SerializeChunk(fmt::format("id: {}\ndata: {}\n\n", i, content)));
    delivered += f.transport.TakeSent(caller).size();
  }
  f.Respond(arrival, std::string(kLastChunk));
  CHECK(delivered > 300 * content.size());
  CHECK(f.transport.TakeSent(caller) == kLastChunk);
  CHECK(f.NothingArrives(milliseconds(100)));
}

// Guards against stalled streams that last until their deadline because bytes
// arrive now and then, without an event that advances them.
TEST_CASE("a stream that only seems to advance is moved", "[gateway]") {
  std::string part = GENERATE(as<std::string>(), "x", ": still there\n\n");
  INFO(part);
  ForwarderFixture f;
  f.Request("POST", "/stream/x", "r1", "", "b");
  Arrival first = f.NextArrival();
  f.Respond(first, ForwarderFixture::StreamHead("r1"));
  f.Respond(first, ForwarderFixture::Event(1));
  for (int i = 0; i < 16 && f.transport.IsOpen(first.connection); ++i) {
    f.Respond(first, SerializeChunk(part));
    f.transport.Advance(milliseconds(200));
  }
  CHECK_FALSE(f.transport.IsOpen(first.connection));
  CHECK(Contains(f.NextArrival().text, "Last-Event-Id: 1\r\n"));
}

// Guards against cutting streams that are slow and sound: each event is late,
// and it comes.
TEST_CASE("a slow sound stream stays where it is", "[gateway]") {
  ForwarderFixture f;
  ConnectionId caller = f.Request("POST", "/stream/x", "r1", "", "b");
  Arrival arrival = f.NextArrival();
  f.Respond(arrival, ForwarderFixture::StreamHead("r1"));
  for (int i = 1; i <= 6; ++i) {
    // The endpoint sends events of other streams meanwhile.
    f.forwarder.pool().OnActivity(EndpointId(arrival.endpoint),
                                  f.transport.Now());
    CHECK(f.NothingArrives(milliseconds(800)));
    f.forwarder.pool().OnActivity(EndpointId(arrival.endpoint),
                                  f.transport.Now());
    CHECK(f.NothingArrives(milliseconds(800)));
    f.Respond(arrival, ForwarderFixture::Event(i));
  }
  f.Respond(arrival, std::string(kLastChunk));
  CHECK(Contains(f.transport.TakeSent(caller), "data: d6"));
}

// Guards against a whole answer that arrives byte by byte until its deadline,
// although another endpoint could give it.
TEST_CASE("an answer of a byte now and then is asked for elsewhere",
          "[gateway]") {
  ForwarderFixture f;
  ConnectionId caller = f.Request("GET", "/safe/x", "r1");
  Arrival first = f.NextArrival();
  f.Respond(first, ChunkedHead("r1"));
  for (int i = 0; i < 8 && f.transport.IsOpen(first.connection); ++i) {
    f.Respond(first, SerializeChunk("x"));
    f.transport.Advance(milliseconds(50));
  }
  CHECK_FALSE(f.transport.IsOpen(first.connection));
  f.Respond(f.NextArrival(),
            ForwarderFixture::WholeResponse(200, "r1", "good"));
  CHECK(Contains(f.transport.TakeSent(caller), "good"));
}

// Guards against a request that is sent twice, or whose caller is told that it
// has not run, because a second copy of an earlier refusal arrived on the same
// connection: refusals do not name their request.
TEST_CASE("a second copy of a refusal reaches no other request", "[gateway]") {
  ForwarderFixture f(1);
  const std::string refusal =
      "HTTP/1.1 503 Busy\r\nFilbertshift-Not-Executed: 1\r\n"
      "Content-Length: 0\r\n\r\n";
  ConnectionId refused = f.Request("POST", "/once/x", "r1", "", "b");
  Arrival first = f.NextArrival();
  // Refused as often as the request may be sent.
  for (Arrival arrival = first; arrival.connection != ConnectionId{};
       arrival = f.NextArrival()) {
    f.Respond(arrival, refusal);
  }
  CHECK(Contains(f.transport.TakeSent(refused), "HTTP/1.1 503"));
  f.transport.Advance(milliseconds(500));
  ConnectionId caller = f.Request("POST", "/once/x", "r2", "", "b");
  Arrival second = f.NextArrival();
  // The copy can only arrive on the connection of the refusal.
  f.transport.Receive(first.connection, refusal);
  CHECK(f.transport.TakeSent(caller).empty());
  CHECK(f.NothingArrives(milliseconds(50)));
  f.Respond(second, ForwarderFixture::WholeResponse(200, "r2", "mine"));
  CHECK(Contains(f.transport.TakeSent(caller), "mine"));
}

// Guards against delivering an answer that does not say to which request it
// belongs.
TEST_CASE("an answer without a request id is not delivered", "[gateway]") {
  ForwarderFixture f;
  int status = GENERATE(200, 500);
  ConnectionId caller = f.Request("POST", "/once/x", "r1", "", "b");
  Arrival arrival = f.NextArrival();
  f.Respond(arrival,
            fmt::format("HTTP/1.1 {} X\r\nFilbertshift-Response-Seal: s\r\n"
                        "Content-Length: 7\r\n\r\nforeign",
                        status));
  std::string response = f.transport.TakeSent(caller);
  CHECK(Contains(response, "HTTP/1.1 502"));
  CHECK_FALSE(Contains(response, "foreign"));
  CHECK_FALSE(f.transport.IsOpen(arrival.connection));
}

}  // namespace
}  // namespace filbertshift
