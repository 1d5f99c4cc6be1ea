// Tests of the endpoint client against HTTP servers on the loopback interface.

#include <catch2/catch.hpp>

#include <atomic>
#include <condition_variable>
#include <string>
#include <thread>

#include "src/endpoint/endpoint.h"
#include "tests/unit/endpoint/fake_endpoint.h"
#include "tests/unit/support/broken_lines.h"
#include "tests/unit/support/core_inbox.h"
#include "tests/unit/support/test_seed.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

constexpr Incarnation kFirstIncarnation{milliseconds(1'780'000'000'000)};
constexpr Incarnation kSecondIncarnation{milliseconds(1'780'000'100'000)};
constexpr std::size_t kMaxResponseBytes = 100'000;

EndpointId TestedEndpoint() {
  return EndpointId("e1");
}

struct Client {
  explicit Client(std::size_t ring_capacity = 65536) : inbox(ring_capacity) {}

  CoreInbox inbox;
  SystemClock clock;
  EndpointClient client{EndpointClientOptions(), inbox.ring(), clock};

  void Start(const std::string& name,
             const FakeEndpoint& endpoint,
             Incarnation incarnation = kFirstIncarnation,
             std::size_t more_body_bytes = 0) {
    AttemptSpec spec;
    spec.attempt = AttemptId(name);
    spec.endpoint = TestedEndpoint();
    spec.address = endpoint.address();
    spec.method = "POST";
    spec.target = "/v1/chat/completions?x=1";
    spec.headers = {{"Content-Type", "application/json"},
                    {"X-Request-Id", name}};
    spec.body = "{\"n\":\"" + name + "\"}";
    spec.body.append(more_body_bytes, ' ');
    spec.incarnation = incarnation;
    spec.connect_timeout = milliseconds(2000);
    spec.max_response_bytes = kMaxResponseBytes;
    const bool started = client.Start(std::move(spec));
    REQUIRE(started);
  }

  AttemptEnd TakeEnd() {
    auto end = inbox.Take<AttemptEnd>();
    REQUIRE(end);
    return *end;
  }

  std::string TakeBody() {
    std::string body;
    while (auto data = inbox.Take<AttemptData>(milliseconds(0))) {
      body += data->bytes;
    }
    return body;
  }
};

FakeEndpoint::Handler RespondWith(std::string reply, bool keep_open) {
  return [reply = std::move(reply), keep_open](const TestSocket& socket,
                                               const std::string&) {
    return socket.Write(reply) && keep_open;
  };
}

constexpr const char* kOkResponse =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    "Content-Length: 2\r\n\r\n{}";

// Guards against modification of requests in transit, and against messages out
// of order.
TEST_CASE("endpoint client sends a request and reports it in order",
          "[endpoint]") {
  FakeEndpoint endpoint(kFirstIncarnation, RespondWith(kOkResponse, true));
  Client client;
  client.Start("a1", endpoint);
  auto sent = client.inbox.Next();
  REQUIRE(sent);
  CHECK(std::get<AttemptSent>(*sent).attempt == AttemptId("a1"));
  auto head = client.inbox.Next();
  REQUIRE(head);
  CHECK(std::get<AttemptHead>(*head).http_status == 200);
  CHECK(FindHeader(std::get<AttemptHead>(*head).headers, "content-type") ==
        "application/json");
  auto data = client.inbox.Next();
  REQUIRE(data);
  CHECK(std::get<AttemptData>(*data).bytes == "{}");
  CHECK(client.TakeEnd().outcome == AttemptOutcome::kComplete);
  const auto requests = endpoint.requests();
  REQUIRE(requests.size() == 1);
  const std::string& text = requests[0].text;
  CHECK(text.rfind("POST /v1/chat/completions?x=1 HTTP/1.1\r\n", 0) == 0);
  CHECK(text.find("X-Request-Id: a1\r\n") != std::string::npos);
  CHECK(text.find("Content-Length: 10\r\n") != std::string::npos);
  CHECK(text.find("\r\n\r\n{\"n\":\"a1\"}") != std::string::npos);
}

// Guards against a probe for each request even though a verified connection is
// idle.
TEST_CASE("endpoint client reuses a verified connection", "[endpoint]") {
  FakeEndpoint endpoint(kFirstIncarnation, RespondWith(kOkResponse, true));
  Client client;
  for (int i = 0; i < 5; ++i) {
    client.Start("a" + std::to_string(i), endpoint);
    CHECK(client.TakeEnd().outcome == AttemptOutcome::kComplete);
  }
  CHECK(endpoint.probes() == 1);
  for (const RecordedRequest& request : endpoint.requests()) {
    CHECK(request.connection == 0);
    CHECK(request.probed);
  }
}

// Guards against a response that is buffered until its end.
TEST_CASE("endpoint client streams events before the end", "[endpoint]") {
  std::atomic<bool> first_seen{false};
  FakeEndpoint endpoint(
      kFirstIncarnation,
      [&first_seen](const TestSocket& socket, const std::string&) {
        socket.Write(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
            "a\r\ndata: 1\n\nd\r\n");
        while (!first_seen) {
          std::this_thread::sleep_for(milliseconds(1));
        }
        return socket.Write("8\r\nata: 2\n\n\r\n0\r\n\r\n");
      });
  Client client;
  client.Start("a1", endpoint);
  auto first = client.inbox.Take<AttemptData>();
  first_seen = true;
  REQUIRE(first);
  CHECK(first->bytes == "data: 1\n\n");
  auto second = client.inbox.Take<AttemptData>();
  REQUIRE(second);
  CHECK(second->bytes == "data: 2\n\n");
  CHECK(client.TakeEnd().outcome == AttemptOutcome::kComplete);
}

// Guards against requests to an endpoint that restarted since its last request:
// the old connection is closed and a new one reaches another incarnation.
TEST_CASE("endpoint client sends nothing to a new incarnation", "[endpoint]") {
  FakeEndpoint endpoint(kFirstIncarnation, RespondWith(kOkResponse, true));
  Client client;
  client.Start("a1", endpoint);
  CHECK(client.TakeEnd().outcome == AttemptOutcome::kComplete);
  endpoint.Stop();
  auto lost = client.inbox.Take<ConnectionLost>();
  REQUIRE(lost);
  CHECK(lost->endpoint == TestedEndpoint());
  CHECK(lost->incarnation == kFirstIncarnation);
  endpoint.Restart(kSecondIncarnation);
  client.Start("a2", endpoint);
  const AttemptEnd end = client.TakeEnd();
  CHECK(end.outcome == AttemptOutcome::kIncarnationChanged);
  auto probe = client.inbox.Take<ProbeResult>();
  REQUIRE(probe);
  CHECK(probe->incarnation == kSecondIncarnation);
  CHECK(endpoint.requests().size() == 1);
  client.Start("a3", endpoint, kSecondIncarnation);
  CHECK(client.TakeEnd().outcome == AttemptOutcome::kComplete);
  CHECK(endpoint.requests().size() == 2);
}

// Guards against a new connection that is shut down before it is established,
// because another one has just been verified.
TEST_CASE("endpoint client opens many connections at once", "[endpoint]") {
  constexpr int kParallel = 100;
  FakeEndpoint endpoint(kFirstIncarnation,
                        [](const TestSocket& socket, const std::string&) {
                          std::this_thread::sleep_for(milliseconds(20));
                          return socket.Write(kOkResponse);
                        });
  Client client;
  for (int i = 0; i < kParallel; ++i) {
    client.Start("a" + std::to_string(i), endpoint);
    std::this_thread::sleep_for(std::chrono::microseconds(200));
  }
  for (int i = 0; i < kParallel; ++i) {
    const AttemptEnd end = client.TakeEnd();
    INFO(end.attempt.value() << " " << end.detail);
    CHECK(end.outcome == AttemptOutcome::kComplete);
  }
}

// Guards against a restart that is detected only while a request is sent: the
// requests start right after the restart, before the client handles the close
// of its idle connections.
TEST_CASE("endpoint client survives restarts during requests", "[endpoint]") {
  constexpr int kRounds = 30;
  FakeEndpoint endpoint(kFirstIncarnation, RespondWith(kOkResponse, true));
  Client client;
  Incarnation current = kFirstIncarnation;
  for (int i = 0; i < kRounds; ++i) {
    INFO("round " << i);
    client.Start("warm" + std::to_string(i), endpoint, current);
    REQUIRE(client.TakeEnd().outcome == AttemptOutcome::kComplete);
    const std::size_t before = endpoint.requests().size();
    const Incarnation old = current;
    current.start_time += milliseconds(10'000);
    endpoint.Stop();
    endpoint.Restart(current);
    client.Start("old" + std::to_string(i), endpoint, old);
    const AttemptOutcome outcome = client.TakeEnd().outcome;
    // Broken if the request was written to the closed connection.
    CHECK((outcome == AttemptOutcome::kIncarnationChanged ||
           outcome == AttemptOutcome::kBroken));
    CHECK(endpoint.requests().size() == before);
  }
}

// Guards against the automatic retry of libcurl when a reused connection
// breaks: the request must reach the endpoint only once.
TEST_CASE("endpoint client never repeats a sent request", "[endpoint]") {
  std::atomic<bool> drop{false};
  std::atomic<int> waiting{0};
  FakeEndpoint endpoint(kFirstIncarnation,
                        [&](const TestSocket& socket, const std::string&) {
                          if (drop) {
                            return false;
                          }
                          ++waiting;
                          while (waiting < 3) {
                            std::this_thread::sleep_for(milliseconds(1));
                          }
                          return socket.Write(kOkResponse);
                        });
  Client client;
  // Three verified connections, so that a retry would find an idle one.
  for (int i = 0; i < 3; ++i) {
    client.Start("warm" + std::to_string(i), endpoint);
  }
  for (int i = 0; i < 3; ++i) {
    REQUIRE(client.TakeEnd().outcome == AttemptOutcome::kComplete);
  }
  drop = true;
  client.Start("a1", endpoint);
  CHECK(client.TakeEnd().outcome == AttemptOutcome::kBroken);
  auto lost = client.inbox.Take<ConnectionLost>();
  REQUIRE(lost);
  CHECK(lost->incarnation == kFirstIncarnation);
  std::this_thread::sleep_for(milliseconds(100));
  CHECK(endpoint.requests().size() == 4);
}

// Guards against a request on a connection that no probe has verified, while
// connections break at random and the endpoint restarts with new start times.
TEST_CASE("endpoint client writes only to verified connections", "[endpoint]") {
  constexpr int kRounds = 8;
  constexpr int kParallel = 20;
  const std::uint64_t seed = TestSeed();
  INFO("seed " << seed);
  std::atomic<std::uint64_t> count{seed};
  FakeEndpoint endpoint(
      kFirstIncarnation, [&](const TestSocket& socket, const std::string&) {
        const bool keep = SystemRandom(++count).Next() % 4 != 0;
        return socket.Write(kOkResponse) && keep;
      });
  Client client;
  Incarnation current = kFirstIncarnation;
  for (int round = 0; round < kRounds; ++round) {
    for (int i = 0; i < kParallel; ++i) {
      client.Start("a" + std::to_string(round) + "." + std::to_string(i),
                   endpoint, current);
    }
    for (int i = 0; i < kParallel; ++i) {
      client.TakeEnd();
    }
    current.start_time += milliseconds(1000);
    endpoint.Stop();
    endpoint.Restart(current);
  }
  const auto requests = endpoint.requests();
  CHECK(requests.size() >= kRounds);
  for (const RecordedRequest& request : requests) {
    CHECK(request.probed);
  }
}

// Guards against a request on the connection that libcurl opens on its own when
// it finds an idle one closed. A full ring keeps the client from handling the
// close of the idle connection before the request starts.
TEST_CASE("endpoint client rejects a connection opened for a request",
          "[endpoint]") {
  FakeEndpoint endpoint(kFirstIncarnation, RespondWith(kOkResponse, true));
  Client client(1);
  client.Start("warm", endpoint);
  REQUIRE(client.TakeEnd().outcome == AttemptOutcome::kComplete);
  for (int i = 0; i < 2; ++i) {
    client.client.Probe(TestedEndpoint(), endpoint.address(),
                        milliseconds(1000));
    std::this_thread::sleep_for(milliseconds(50));
  }
  endpoint.Stop();
  endpoint.Restart(kSecondIncarnation);
  client.Start("a1", endpoint);
  std::this_thread::sleep_for(milliseconds(50));
  CHECK(client.TakeEnd().outcome == AttemptOutcome::kIncarnationChanged);
  CHECK(client.inbox.Take<ConnectionLost>());
  CHECK(endpoint.requests().size() == 1);
}

struct FaultyResponse {
  const char* name;
  std::string reply;
  bool keep_open;
  AttemptOutcome outcome;
};

// Guards against truncated, malformed or oversized responses that are reported
// as complete.
TEST_CASE("endpoint client classifies faulty responses", "[endpoint]") {
  const auto fault = GENERATE(
      FaultyResponse{"short body",
                     "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", false,
                     AttemptOutcome::kBroken},
      FaultyResponse{"missing last chunk",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "3\r\nabc\r\n",
                     false, AttemptOutcome::kBroken},
      FaultyResponse{"bad chunk size",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "xyz\r\nabc\r\n",
                     true, AttemptOutcome::kBroken},
      FaultyResponse{"body without framing", "HTTP/1.1 200 OK\r\n\r\nabc",
                     false, AttemptOutcome::kBroken},
      FaultyResponse{"no reply", "", false, AttemptOutcome::kBroken},
      FaultyResponse{"head without end", "HTTP/1.1 200 OK\r\nContent-", false,
                     AttemptOutcome::kBroken},
      FaultyResponse{"not HTTP", "\x01\x02 what is this\r\n\r\n", true,
                     AttemptOutcome::kGarbage},
      FaultyResponse{"bad content length",
                     "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nabc", true,
                     AttemptOutcome::kGarbage},
      FaultyResponse{"two lengths",
                     "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n"
                     "Content-Length: 3\r\n\r\nabc",
                     true, AttemptOutcome::kGarbage},
      FaultyResponse{"length with text",
                     "HTTP/1.1 200 OK\r\nContent-Length: 3x\r\n\r\nabc", true,
                     AttemptOutcome::kGarbage},
      FaultyResponse{"length with chunks",
                     "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
                     true, AttemptOutcome::kGarbage},
      FaultyResponse{"chunk without line break",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "3\r\nabcXY0\r\n\r\n",
                     true, AttemptOutcome::kBroken},
      FaultyResponse{"large body",
                     "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" +
                         std::string(200'000, 'x'),
                     true, AttemptOutcome::kTooLarge},
      FaultyResponse{"large head",
                     "HTTP/1.1 200 OK\r\nX-A: " + std::string(90'000, 'x') +
                         "\r\nX-B: " + std::string(90'000, 'x') + "\r\n\r\n",
                     true, AttemptOutcome::kTooLarge});
  INFO(fault.name);
  FakeEndpoint endpoint(kFirstIncarnation,
                        RespondWith(fault.reply, fault.keep_open));
  Client client;
  client.Start("a1", endpoint);
  const AttemptEnd end = client.TakeEnd();
  INFO(end.detail);
  CHECK(AttemptOutcomeName(end.outcome) == AttemptOutcomeName(fault.outcome));
  CHECK(endpoint.requests().size() == 1);
}

std::vector<std::string> BrokenHeads() {
  std::vector<std::string> heads;
  for (const std::string& line : BrokenStatusLines()) {
    heads.push_back(line + "\r\n");
    heads.push_back("HTTP/1.1 100 Continue\r\n\r\n" + line + "\r\n");
  }
  for (const std::string& line : BrokenFieldLines()) {
    heads.push_back("HTTP/1.1 200 OK\r\n" + line + "\r\n");
    heads.push_back("HTTP/1.1 200 OK\r\nX-A: 1\r\n" + line + "\r\nX-B: 2\r\n");
    heads.push_back("HTTP/1.1 103 Early Hints\r\n" + line +
                    "\r\n\r\nHTTP/1.1 200 OK\r\n");
  }
  return heads;
}

bool BeginsLineWithZero(const std::string& head) {
  return head.find(std::string("\n\0", 2)) != std::string::npos;
}

// Guards against a head that is passed on though it is none, and against a
// connection that is used again after it.
TEST_CASE("endpoint client passes on no broken head", "[endpoint]") {
  for (const std::string& head : BrokenHeads()) {
    if (BeginsLineWithZero(head)) {
      continue;  // See the test case below.
    }
    for (const char* framing : {"Content-Length: 2\r\n\r\n{}",
                                "Transfer-Encoding: chunked\r\n\r\n"
                                "2\r\n{}\r\n0\r\n\r\n"}) {
      CAPTURE(head, framing);
      FakeEndpoint endpoint(kFirstIncarnation,
                            RespondWith(head + framing, true));
      Client client;
      for (const char* name : {"a1", "a2"}) {
        client.Start(name, endpoint);
        const AttemptEnd end = client.TakeEnd();
        INFO(end.detail);
        CHECK(end.outcome != AttemptOutcome::kComplete);
        CHECK(end.outcome != AttemptOutcome::kNotSent);
        CHECK_FALSE(client.inbox.Take<AttemptHead>(milliseconds(0)));
        CHECK(client.TakeBody().empty());
      }
      const auto requests = endpoint.requests();
      REQUIRE(requests.size() == 2);
      CHECK(requests[0].connection != requests[1].connection);
    }
  }
}

// Guards against an attempt that goes on after an answer that can no longer be
// a valid one.
TEST_CASE("endpoint client ends at a line that begins with a zero byte",
          "[endpoint]") {
  for (const std::string& head : BrokenHeads()) {
    if (!BeginsLineWithZero(head)) {
      continue;
    }
    INFO(head);
    FakeEndpoint endpoint(
        kFirstIncarnation,
        RespondWith(head + "Content-Length: 2\r\n\r\n{}", true));
    Client client;
    client.Start("a1", endpoint);
    const auto end = client.inbox.Take<AttemptEnd>(milliseconds(1000));
    CHECK(end);
    CHECK_FALSE(client.inbox.Take<AttemptHead>(milliseconds(0)));
  }
}

TEST_CASE("endpoint client completes no response with broken trailers",
          "[endpoint]") {
  for (const std::string& line : BrokenFieldLines()) {
    INFO(line);
    FakeEndpoint endpoint(
        kFirstIncarnation,
        RespondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "2\r\n{}\r\n0\r\n" +
                        line + "\r\n\r\n",
                    true));
    Client client;
    client.Start("a1", endpoint);
    CHECK(client.TakeEnd().outcome != AttemptOutcome::kComplete);
  }
}

// Guards against an instance that takes an endpoint for a sound one by a probe
// that was answered with a broken head.
TEST_CASE("endpoint client believes no probe with a broken head",
          "[endpoint]") {
  for (const char* head :
       {"HTTP/1.1 200 OK\r\nX Y: v\r\n", "HTTP/1.1 200 OK\r\nX : v\r\n",
        "HTTP/1.1 103 X\r\n: v\r\n\r\nHTTP/1.1 200 OK\r\n"}) {
    INFO(head);
    FakeEndpoint endpoint(kFirstIncarnation, RespondWith(kOkResponse, true));
    endpoint.SetProbeReply(std::string(head) + "Content-Length: 37\r\n\r\n" +
                           "process_start_time_seconds 1780000000");
    Client client;
    client.client.Probe(TestedEndpoint(), endpoint.address(),
                        milliseconds(1000));
    auto result = client.inbox.Take<ProbeResult>();
    REQUIRE(result);
    CHECK_FALSE(result->reachable);
  }
}

// Guards against a part of an answer that is reported as a whole one.
TEST_CASE("endpoint client completes no part of an answer to an upload",
          "[endpoint]") {
  constexpr std::size_t kUploadBytes = std::size_t{32} * 1024 * 1024;
  const bool reset = GENERATE(true, false);
  const milliseconds delay(GENERATE(0, 5, 100));
  CAPTURE(reset, delay.count());
  FakeEndpoint endpoint(
      kFirstIncarnation,
      [reset, delay](const TestSocket& socket, const std::string&) {
        socket.Write("HTTP/1.1 200 OK\r\n\r\na part of the body");
        std::this_thread::sleep_for(delay);
        if (reset) {
          socket.Disconnect();
        }
        return false;
      });
  endpoint.RespondBeforeBody();
  Client client;
  client.Start("a1", endpoint, kFirstIncarnation, kUploadBytes);
  CHECK(client.TakeEnd().outcome == AttemptOutcome::kBroken);
}

// Guards against surplus bytes after one response that are treated as the next
// response on the same connection.
TEST_CASE("endpoint client drops a connection with unexpected bytes",
          "[endpoint]") {
  FakeEndpoint endpoint(
      kFirstIncarnation,
      RespondWith(std::string(kOkResponse) +
                      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale",
                  true));
  Client client;
  for (int i = 0; i < 3; ++i) {
    client.Start("a" + std::to_string(i), endpoint);
    CHECK(client.TakeEnd().outcome == AttemptOutcome::kComplete);
    CHECK(client.TakeBody() == "{}");
  }
}

// Guards against a request that is taken as refused, and sent again, because an
// earlier refusal was written once more on its connection.
TEST_CASE("endpoint client ends a connection after a refusal without an id",
          "[endpoint]") {
  const int status = GENERATE(429, 503);
  const std::string refusal = "HTTP/1.1 " + std::to_string(status) +
                              " X\r\nX-Not-Run: true\r\n"
                              "Content-Length: 4\r\n\r\nbusy";
  FakeEndpoint endpoint(kFirstIncarnation, RespondWith(refusal, true));
  Client client;
  for (int i = 0; i < 2; ++i) {
    client.Start("a" + std::to_string(i), endpoint);
    CHECK(client.TakeEnd().outcome == AttemptOutcome::kComplete);
  }
  const auto requests = endpoint.requests();
  REQUIRE(requests.size() == 2);
  CHECK(requests[0].connection != requests[1].connection);
}

TEST_CASE("endpoint client keeps a connection after a refusal with an id",
          "[endpoint]") {
  FakeEndpoint endpoint(
      kFirstIncarnation, [](const TestSocket& socket, const std::string& text) {
        const std::size_t start = text.find("X-Request-Id: ");
        const std::string line =
            text.substr(start, text.find("\r\n", start) + 2 - start);
        return socket.Write("HTTP/1.1 503 X\r\nX-Not-Run: true\r\n" + line +
                            "Content-Length: 0\r\n\r\n");
      });
  Client client;
  for (int i = 0; i < 2; ++i) {
    client.Start("a" + std::to_string(i), endpoint);
    CHECK(client.TakeEnd().outcome == AttemptOutcome::kComplete);
  }
  CHECK(endpoint.requests().at(1).connection == 0);
}

TEST_CASE("endpoint client tells the first attempt of a connection",
          "[endpoint]") {
  FakeEndpoint endpoint(kFirstIncarnation, RespondWith(kOkResponse, true));
  Client client;
  for (bool first : {true, false}) {
    client.Start(first ? "a0" : "a1", endpoint);
    auto head = client.inbox.Take<AttemptHead>();
    REQUIRE(head);
    CHECK(head->own_connection == first);
    CHECK(client.TakeEnd().outcome == AttemptOutcome::kComplete);
  }
  CHECK(endpoint.requests().at(1).connection == 0);
}

// As above, with a copy that arrives while the connection is idle.
TEST_CASE("endpoint client uses no connection with a late copy", "[endpoint]") {
  const std::string copy =
      "HTTP/1.1 503 X\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n";
  std::atomic<bool> copied{false};
  FakeEndpoint endpoint(kFirstIncarnation,
                        [&](const TestSocket& socket, const std::string&) {
                          socket.Write(kOkResponse);
                          std::this_thread::sleep_for(milliseconds(5));
                          socket.Write(copy);
                          copied = true;
                          return true;
                        });
  Client client;
  for (int i = 0; i < 5; ++i) {
    copied = false;
    client.Start("a" + std::to_string(i), endpoint);
    CHECK(client.TakeEnd().outcome == AttemptOutcome::kComplete);
    CHECK(client.TakeBody() == "{}");
    while (!copied) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }
}

// Guards against bytes that never end and that are not part of a body: the
// attempt would read them until its caller gives up.
TEST_CASE("endpoint client breaks off a response without end", "[endpoint]") {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string filler(1000, 'x');
  const std::pair<std::string, std::string> responses[] = {
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"", "HTTP/1.1 103 Early Hints\r\nLink: " + filler + "\r\n\r\n"},
      {"HTTP/1.1 200 ", filler},
      {"HTTP/1.1 200 OK\r\n", "X-Field: " + filler + "\r\n"},
      {"HTTP/1.1 200 OK\r\nX-Field: ", filler},
      {chunked + "1;", filler},
      {chunked + "1\r\na\r\n0\r\n", "X-Trailer: " + filler + "\r\n"},
      {chunked, "3e8\r\n" + filler + "\r\n"},
      {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
       "Transfer-Encoding: chunked\r\n\r\n",
       "3e8\r\n" + filler + "\r\n"},
      {"HTTP/1.1 200 OK\r\n\r\n", filler},
  };
  for (const auto& [start, part] : responses) {
    INFO(start << part.substr(0, 40));
    std::atomic<std::size_t> written{0};
    constexpr std::size_t kLimit = std::size_t{64} * 1024 * 1024;
    FakeEndpoint endpoint(kFirstIncarnation,
                          [&, first = start, rest = part](
                              const TestSocket& socket, const std::string&) {
                            bool open = socket.Write(first);
                            while (open && written < kLimit) {
                              open = socket.Write(rest);
                              written += rest.size();
                            }
                            return false;
                          });
    Client client;
    client.Start("a1", endpoint);
    const AttemptEnd end = client.TakeEnd();
    CHECK(end.outcome != AttemptOutcome::kComplete);
    CHECK(written < kLimit);
  }
}

// Guards against an outcome that contradicts whether the request was sent: for
// an unreachable endpoint it must be kNotSent, without an AttemptSent message.
TEST_CASE("endpoint client reports an unreachable endpoint as not sent",
          "[endpoint]") {
  FakeEndpoint endpoint(kFirstIncarnation, RespondWith(kOkResponse, true));
  endpoint.Stop();
  Client client;
  client.Start("a1", endpoint);
  CHECK(client.TakeEnd().outcome == AttemptOutcome::kNotSent);
  CHECK_FALSE(client.inbox.Take<AttemptSent>(milliseconds(0)));
}

// Guards against header injection.
TEST_CASE("endpoint client rejects headers with line breaks", "[endpoint]") {
  FakeEndpoint endpoint(kFirstIncarnation, RespondWith(kOkResponse, true));
  Client client;
  client.Start("a\r\nX-Evil: 1", endpoint);
  CHECK(client.TakeEnd().outcome == AttemptOutcome::kNotSent);
  CHECK(endpoint.requests().empty());
}

// Guards against an attempt that continues after its cancellation.
TEST_CASE("endpoint client cancels an attempt", "[endpoint]") {
  FakeEndpoint endpoint(
      kFirstIncarnation, [](const TestSocket& socket, const std::string&) {
        socket.Write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab");
        // Waits until the client closes the connection.
        return !socket.ReadSome().empty();
      });
  Client client;
  client.Start("a1", endpoint);
  REQUIRE(client.inbox.Take<AttemptData>());
  client.client.Cancel(AttemptId("a1"));
  CHECK(client.TakeEnd().outcome == AttemptOutcome::kCancelled);
  // A second cancellation has no effect, and no more bytes are delivered.
  client.client.Cancel(AttemptId("a1"));
  CHECK_FALSE(client.inbox.Take<AttemptEnd>(milliseconds(50)));
  CHECK_FALSE(client.inbox.Take<AttemptData>(milliseconds(0)));
}

// Guards against a wrong uptime, which would increase the load on the endpoint
// too early.
TEST_CASE("endpoint client reads start time, uptime and load", "[endpoint]") {
  FakeEndpoint endpoint(kFirstIncarnation, RespondWith(kOkResponse, true));
  Client client;
  client.client.Probe(TestedEndpoint(), endpoint.address(), milliseconds(1000));
  auto probe = client.inbox.Take<ProbeResult>();
  REQUIRE(probe);
  CHECK(probe->reachable);
  CHECK(probe->incarnation == kFirstIncarnation);
  CHECK(probe->uptime == milliseconds(5000));
  CHECK(probe->running == 3);
  CHECK(probe->waiting == 2);
  CHECK(probe->round_trip.count() > 0);
  // The connection of the probe is reused for the next request.
  client.Start("a1", endpoint);
  CHECK(client.TakeEnd().outcome == AttemptOutcome::kComplete);
  CHECK(endpoint.probes() == 1);
}

// Guards against a probe that never ends, and against a faulty response that is
// reported as a reachable endpoint.
TEST_CASE("endpoint client limits and validates probes", "[endpoint]") {
  FakeEndpoint endpoint(kFirstIncarnation, RespondWith(kOkResponse, true));
  Client client;
  SECTION("silent endpoint") {
    endpoint.SetProbeReply("HTTP/1.1 200 OK\r\n");
  }
  SECTION("error status") {
    endpoint.SetProbeReply("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  }
  SECTION("garbage") {
    endpoint.SetProbeReply("garbage\r\n\r\n");
  }
  SECTION("closed port") {
    endpoint.Stop();
  }
  const auto start = std::chrono::steady_clock::now();
  client.client.Probe(TestedEndpoint(), endpoint.address(), milliseconds(200));
  auto probe = client.inbox.Take<ProbeResult>();
  REQUIRE(probe);
  CHECK_FALSE(probe->reachable);
  CHECK(std::chrono::steady_clock::now() - start < milliseconds(1000));
}

// Guards against an address that makes the client resolve a host name or
// connect to another target, and against a probe without a timeout.
TEST_CASE("endpoint client rejects addresses that are not IP and port",
          "[endpoint]") {
  const std::string address =
      GENERATE("", "localhost:80", "127.0.0.1", "127.0.0.1:99999",
               "user@127.0.0.1:80", "127.0.0.1:80/x");
  Client client;
  client.client.Probe(TestedEndpoint(), address, milliseconds(0));
  auto probe = client.inbox.Take<ProbeResult>();
  REQUIRE(probe);
  CHECK_FALSE(probe->reachable);
  AttemptSpec spec;
  spec.attempt = AttemptId("a1");
  spec.address = address;
  spec.method = "GET";
  spec.target = "/";
  spec.incarnation = kFirstIncarnation;
  const bool started = client.client.Start(std::move(spec));
  REQUIRE(started);
  CHECK(client.TakeEnd().outcome == AttemptOutcome::kNotSent);
}

// Guards against open connections to an endpoint that has been removed.
TEST_CASE("endpoint client closes idle connections on Forget", "[endpoint]") {
  FakeEndpoint endpoint(kFirstIncarnation, RespondWith(kOkResponse, true));
  Client client;
  client.Start("a1", endpoint);
  client.TakeEnd();
  client.client.Forget(TestedEndpoint());
  client.Start("a2", endpoint);
  CHECK(client.TakeEnd().outcome == AttemptOutcome::kComplete);
  CHECK(endpoint.probes() == 2);
  CHECK_FALSE(client.inbox.Take<ConnectionLost>(milliseconds(50)));
}

// Guards against messages that are lost or reordered because the core is slow.
TEST_CASE("endpoint client waits for room in the core's ring", "[endpoint]") {
  constexpr int kEvents = 500;
  std::string body;
  for (int i = 0; i < kEvents; ++i) {
    body += "data: " + std::to_string(i) + "\n\n";
  }
  FakeEndpoint endpoint(
      kFirstIncarnation, [&body](const TestSocket& socket, const std::string&) {
        std::string head =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            "Content-Length: " +
            std::to_string(body.size()) + "\r\n\r\n";
        socket.Write(head);
        for (std::size_t at = 0; at < body.size(); at += 16) {
          socket.Write(body.substr(at, 16));
        }
        return true;
      });
  CoreInbox inbox(2);
  SystemClock clock;
  EndpointClient client(EndpointClientOptions(), inbox.ring(), clock);
  AttemptSpec spec;
  spec.attempt = AttemptId("a1");
  spec.endpoint = TestedEndpoint();
  spec.address = endpoint.address();
  spec.method = "GET";
  spec.target = "/";
  spec.incarnation = kFirstIncarnation;
  spec.max_response_bytes = kMaxResponseBytes;
  const bool started = client.Start(std::move(spec));
  REQUIRE(started);
  std::this_thread::sleep_for(milliseconds(100));
  std::string received;
  std::optional<AttemptEnd> end;
  while (!end) {
    auto message = inbox.Next();
    REQUIRE(message);
    if (auto* data = std::get_if<AttemptData>(&*message)) {
      received += data->bytes;
    } else if (auto* last = std::get_if<AttemptEnd>(&*message)) {
      end = *last;
    }
  }
  CHECK(end->outcome == AttemptOutcome::kComplete);
  CHECK(received == body);
}

}  // namespace
}  // namespace filbertshift
