// Tests of endpoints that write an earlier refusal once more on a connection
// that is in use again: a request that may have run is never reported as not
// run, and never sent twice.

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <cstdint>
#include <set>

#include "src/net/tcp_loop.h"
#include "tests/unit/gateway/forwarder_fixture.h"
#include "tests/unit/support/loopback.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;
using Arrival = ForwarderFixture::Arrival;

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// A refusal; without an id if `id` is empty.
std::string Refusal(int status,
                    const std::string& id,
                    const std::string& body = "") {
  return fmt::format(
      "HTTP/1.1 {} X\r\n{}{}Content-Length: {}\r\n\r\n{}", status,
      id.empty() ? "" : "Filbertshift-Attempt-Id: " + id + "\r\n",
      status == 421 ? "Filbertshift-Instance-Id: e9\r\n"
                    : "Filbertshift-Not-Executed: 1\r\n",
      body.size(), body);
}

// A fixture with one endpoint whose connection has served request "r0".
struct KeptConnection {
  KeptConnection() : f(1) {
    ConnectionId earlier = f.Request("POST", "/once/x", "r0", "", "b");
    Arrival arrival = f.NextArrival();
    kept = arrival.connection;
    f.Respond(arrival, ForwarderFixture::WholeResponse(200, "r0", "zero"));
    REQUIRE(Contains(f.transport.TakeSent(earlier), "zero"));
    REQUIRE(f.transport.IsOpen(kept));
  }
  // Sends a request that may run once on the kept connection.
  Arrival Send(const std::string& method, const std::string& target) {
    caller = f.Request(method, target, "r1", "", method == "GET" ? "" : "b");
    Arrival arrival = f.NextArrival();
    CHECK(arrival.connection == kept);
    return arrival;
  }
  ForwarderFixture f;
  ConnectionId kept{};
  ConnectionId caller{};
};

// Guards against a caller that is told "not run" for a request that runs, and
// against a second run elsewhere.
TEST_CASE("a refusal without an id on a used connection promises nothing",
          "[gateway]") {
  int status = GENERATE(503, 429, 421, 400);
  std::string body = GENERATE(as<std::string>(), "", "busy");
  bool split = GENERATE(false, true);
  INFO(status << " '" << body << "' " << split);
  KeptConnection k;
  Arrival arrival = k.Send("POST", "/once/x");
  std::string copy = Refusal(status, "", body);
  if (split) {
    for (char c : copy) {
      k.f.Respond(arrival, std::string(1, c));
    }
  } else {
    k.f.Respond(arrival, copy);
  }
  std::string response = k.f.transport.TakeSent(k.caller);
  CHECK(Contains(response, "HTTP/1.1 502"));
  CHECK(Contains(response, "\"unknown\""));
  CHECK_FALSE(Contains(response, "Retry-After"));
  CHECK(k.f.NothingArrives(milliseconds(100)));
  CHECK_FALSE(k.f.transport.IsOpen(k.kept));
}

// Guards against losing refusals: a request that was not run goes elsewhere.
TEST_CASE("a refusal with the request's id counts on each connection",
          "[gateway]") {
  int status = GENERATE(503, 429, 421, 400);
  INFO(status);
  KeptConnection k;
  Arrival arrival = k.Send("POST", "/once/x");
  k.f.PutEndpoint(2);
  k.f.Respond(arrival, Refusal(status, "r1"));
  Arrival second = k.f.NextArrival();
  CHECK(second.endpoint == "e2");
  CHECK(Contains(second.text, "Filbertshift-Attempt-Id: r1"));
  k.f.Respond(second, ForwarderFixture::WholeResponse(200, "r1", "mine"));
  CHECK(Contains(k.f.transport.TakeSent(k.caller), "mine"));
}

TEST_CASE("a refusal without an id on a fresh connection counts", "[gateway]") {
  int status = GENERATE(503, 429, 421, 400);
  INFO(status);
  ForwarderFixture f(2);
  ConnectionId caller = f.Request("POST", "/once/x", "r1", "", "b");
  Arrival first = f.NextArrival();
  f.Respond(first, Refusal(status, ""));
  CHECK_FALSE(f.transport.IsOpen(first.connection));
  Arrival second = f.NextArrival();
  CHECK(second.endpoint != first.endpoint);
  f.Respond(second, ForwarderFixture::WholeResponse(200, "r1", "mine"));
  CHECK(Contains(f.transport.TakeSent(caller), "mine"));
}

// Guards against trusting a connection that carries responses to others.
TEST_CASE("a refusal without an id after a foreign one promises nothing",
          "[gateway]") {
  ForwarderFixture f(2);
  ConnectionId caller = f.Request("POST", "/once/x", "r1", "", "b");
  Arrival first = f.NextArrival();
  f.Respond(first, Refusal(503, "r0") + Refusal(503, ""));
  CHECK(Contains(f.transport.TakeSent(caller), "HTTP/1.1 502"));
  CHECK(f.NothingArrives(milliseconds(100)));
}

// Guards against the copy of a refusal that names its request.
TEST_CASE("a copy of a refusal of another request is skipped", "[gateway]") {
  int status = GENERATE(503, 429, 421, 400);
  std::string body = GENERATE(as<std::string>(), "", "busy");
  bool same_read = GENERATE(false, true);
  INFO(status << " '" << body << "' " << same_read);
  KeptConnection k;
  Arrival arrival = k.Send("POST", "/once/x");
  std::string copy = Refusal(status, "r0", body);
  std::string answer = ForwarderFixture::WholeResponse(200, "r1", "mine");
  if (same_read) {
    k.f.Respond(arrival, copy + answer);
  } else {
    k.f.Respond(arrival, copy.substr(0, 30));
    k.f.Respond(arrival, copy.substr(30));
    CHECK(k.f.transport.TakeSent(k.caller).empty());
    k.f.Respond(arrival, answer.substr(0, 5));
    k.f.Respond(arrival, answer.substr(5));
  }
  CHECK(Contains(k.f.transport.TakeSent(k.caller), "mine"));
  CHECK(k.f.NothingArrives(milliseconds(50)));
}

// A refusal with the seal of another request is a refusal like each other.
TEST_CASE("the seal of a copied refusal changes nothing", "[gateway]") {
  KeptConnection k;
  Arrival arrival = k.Send("POST", "/once/x");
  k.f.Respond(arrival,
              "HTTP/1.1 503 X\r\nFilbertshift-Not-Executed: 1\r\n"
              "Filbertshift-Response-Seal: seal-r0\r\n"
              "Content-Length: 0\r\n\r\n");
  CHECK(Contains(k.f.transport.TakeSent(k.caller), "HTTP/1.1 502"));
  CHECK(k.f.NothingArrives(milliseconds(50)));
}

// A request that may be repeated goes on elsewhere in either case.
TEST_CASE("an idempotent request goes on after a copied refusal", "[gateway]") {
  KeptConnection k;
  Arrival arrival = k.Send("GET", "/safe/x");
  k.f.Respond(arrival, Refusal(503, ""));
  Arrival second = k.f.NextArrival();
  k.f.Respond(second, ForwarderFixture::WholeResponse(200, "r1", "mine"));
  CHECK(Contains(k.f.transport.TakeSent(k.caller), "mine"));
}

// Guards against a copy behind the answer that is due, in the same read or in
// one of its own.
TEST_CASE("a copy behind the answer reaches no later request", "[gateway]") {
  bool same_read = GENERATE(false, true);
  std::string id = GENERATE(as<std::string>(), "", "r0", "r1");
  INFO(same_read << " '" << id << "'");
  KeptConnection k;
  Arrival arrival = k.Send("POST", "/once/x");
  std::string answer = ForwarderFixture::WholeResponse(200, "r1", "mine");
  if (same_read) {
    k.f.Respond(arrival, answer + Refusal(503, id));
  } else {
    k.f.Respond(arrival, answer);
    k.f.Respond(arrival, Refusal(503, id));
  }
  std::string response = k.f.transport.TakeSent(k.caller);
  CHECK(Contains(response, "mine"));
  CHECK_FALSE(Contains(response, "503"));
  CHECK_FALSE(k.f.transport.IsOpen(k.kept));
  ConnectionId caller = k.f.Request("POST", "/once/x", "r2", "", "b");
  Arrival next = k.f.NextArrival();
  CHECK(next.connection != k.kept);
  k.f.Respond(next, ForwarderFixture::WholeResponse(200, "r2", "two"));
  CHECK(Contains(k.f.transport.TakeSent(caller), "two"));
}

// Guards against a copy inside a chunked answer.
TEST_CASE("a copy inside an answer breaks it off", "[gateway]") {
  KeptConnection k;
  Arrival arrival = k.Send("POST", "/once/x");
  k.f.Respond(arrival,
              "HTTP/1.1 200 OK\r\nFilbertshift-Attempt-Id: r1\r\n"
              "Filbertshift-Response-Seal: s\r\n"
              "Transfer-Encoding: chunked\r\n\r\n" +
                  SerializeChunk("first"));
  k.f.Respond(arrival, Refusal(503, "r0"));
  std::string response = k.f.transport.TakeSent(k.caller);
  CHECK(Contains(response, "HTTP/1.1 502"));
  CHECK(Contains(response, "\"unknown\""));
  CHECK(k.f.NothingArrives(milliseconds(50)));
}

// Guards against a second run, and against "not run" for a request that runs:
// the late copy of a request's own refusal arrives after its repeat was sent.
TEST_CASE("a copy of a request's own refusal does not answer its repeat",
          "[gateway]") {
  int status = GENERATE(503, 429, 421, 400);
  INFO(status);
  ForwarderFixture f(1);
  // May run once, and waits for a while until the endpoint has room again.
  ConnectionId caller = f.Request("POST", "/sized-once/x", "r1", "", "b");
  Arrival first = f.NextArrival();
  f.Respond(first, Refusal(status, "r1"));
  Arrival repeat = f.NextArrival();
  CHECK(Contains(repeat.text, "Filbertshift-Attempt-Id: r1"));
  CHECK(repeat.connection != first.connection);
  f.Respond(first, Refusal(status, "r1"));
  CHECK(f.transport.TakeSent(caller).empty());
  CHECK(f.NothingArrives(milliseconds(100)));
  f.Respond(repeat,
            ForwarderFixture::StreamHead("r1") + ForwarderFixture::Event(1));
  CHECK(Contains(f.transport.TakeSent(caller), "data: d1"));
}

// Guards against the same for a failure, whose copy would be taken for the
// result of the second run.
TEST_CASE("a copy of a request's own failure does not answer its repeat",
          "[gateway]") {
  ForwarderFixture f(1);
  ConnectionId caller = f.Request("GET", "/safe/x", "r1");
  Arrival first = f.NextArrival();
  std::string failure = ForwarderFixture::WholeResponse(500, "r1", "failed");
  f.Respond(first, failure);
  Arrival repeat = f.NextArrival();
  CHECK(repeat.connection != first.connection);
  f.Respond(first, failure);
  CHECK(f.transport.TakeSent(caller).empty());
  f.Respond(repeat, ForwarderFixture::WholeResponse(200, "r1", "mine"));
  CHECK(Contains(f.transport.TakeSent(caller), "mine"));
}

// Guards against the same after a caller's own repeat under one id.
TEST_CASE("a caller's repeat under the same id gets a connection of its own",
          "[gateway]") {
  KeptConnection k;
  k.f.Respond(k.Send("POST", "/once/x"),
              ForwarderFixture::WholeResponse(200, "r1", "one"));
  ConnectionId again = k.f.Request("POST", "/once/x", "r1", "", "b");
  Arrival repeat = k.f.NextArrival();
  CHECK(repeat.connection != k.kept);
  k.f.Respond(repeat, ForwarderFixture::WholeResponse(200, "r1", "two"));
  CHECK(Contains(k.f.transport.TakeSent(again), "two"));
  // Other requests still use the connection.
  CHECK(k.f.transport.IsOpen(k.kept));
}

// Guards against memory that grows with the age of a connection.
TEST_CASE("a connection ends after a bounded number of requests", "[gateway]") {
  ForwarderFixture f(1);
  constexpr int kMaxRequests = 1024;
  std::set<std::uint64_t> connections;
  for (int i = 0; i <= kMaxRequests; ++i) {
    std::string id = fmt::format("r{}", i);
    f.Request("POST", "/once/x", id, "", "b");
    Arrival arrival = f.NextArrival();
    connections.insert(static_cast<std::uint64_t>(arrival.connection));
    f.Respond(arrival, ForwarderFixture::WholeResponse(200, id, "mine"));
  }
  CHECK(connections.size() == 2);
}

// Guards against sending a request on a connection on which bytes have arrived
// that have not been read yet.
TEST_CASE("a connection with unread bytes is not used again", "[gateway]") {
  KeptConnection k;
  k.f.transport.Arrive(k.kept, Refusal(503, ""));
  ConnectionId caller = k.f.Request("POST", "/once/x", "r1", "", "b");
  Arrival arrival = k.f.NextArrival();
  CHECK(arrival.connection != k.kept);
  k.f.transport.ReadArrived(k.kept);
  CHECK(k.f.transport.TakeSent(caller).empty());
  k.f.Respond(arrival, ForwarderFixture::WholeResponse(200, "r1", "mine"));
  CHECK(Contains(k.f.transport.TakeSent(caller), "mine"));
}

class Collector : public CallListener {
 public:
  HeadDecision OnHead(CallId, const HttpResponseHead& head) override {
    status = head.status;
    return HeadDecision::kAccept;
  }
  void OnBody(CallId, std::string_view) override {}
  void OnComplete(CallId) override { done = true; }
  void OnFailed(CallId, CallFailure, std::string_view) override { done = true; }
  int status = 0;
  bool done = false;
};

void RunUntilDone(TcpLoop* loop, const Collector& collector) {
  TimePoint end = loop->Now() + milliseconds(3000);
  std::function<void()> check = [&] {
    if (collector.done || loop->Now() > end) {
      loop->Stop();
    } else {
      loop->After(milliseconds(1), check);
    }
  };
  check();
  loop->Run();
}

// As above, with a copy in the buffer of a real socket and a client that has
// not polled it.
TEST_CASE("a copy in the socket's buffer is seen before the next request",
          "[gateway]") {
  const std::string copy =
      GENERATE(as<std::string>(), Refusal(503, ""), Refusal(503, "r0"), "x");
  TestSocket server = ListenOnLoopback();
  const std::string address = fmt::format("127.0.0.1:{}", LocalPortOf(server));
  TcpLoop loop(milliseconds(1000));
  HttpClient client(&loop, milliseconds(500));
  const std::string message = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  Collector first;
  client.Start(address, message, milliseconds(1000), &first);
  loop.After(milliseconds(20), [&loop] { loop.Stop(); });
  loop.Run();
  TestSocket kept = AcceptFrom(server, milliseconds(1000));
  kept.ReadMessage();
  REQUIRE(kept.Write(answer));
  RunUntilDone(&loop, first);
  REQUIRE(first.status == 200);

  REQUIRE(kept.Write(copy));
  Collector second;
  client.Start(address, message, milliseconds(1000), &second);
  loop.After(milliseconds(20), [&loop] { loop.Stop(); });
  loop.Run();
  CHECK(kept.ReadSome(milliseconds(100)).empty());
  TestSocket fresh = AcceptFrom(server, milliseconds(1000));
  REQUIRE(fresh.descriptor() >= 0);
  fresh.ReadMessage();
  REQUIRE(fresh.Write(answer));
  RunUntilDone(&loop, second);
  CHECK(second.status == 200);
  CHECK(client.connections_opened() == 2);
}

}  // namespace
}  // namespace filbertshift
