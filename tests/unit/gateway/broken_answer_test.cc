// Tests of endpoints, stores and instances in trouble whose answers are no
// HTTP: a status that does not exist, or a line of the head or of the trailers
// that is no field. None may look like an answer.

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include "tests/unit/gateway/forwarder_fixture.h"
#include "tests/unit/support/broken_lines.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;
using Arrival = ForwarderFixture::Arrival;

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Marks the place of a broken line in an answer.
constexpr char kLineMark[] = "X-Mark: here\r\n";

std::string Place(std::string answer, const std::string& line) {
  return answer.replace(answer.find(kLineMark), sizeof(kLineMark) - 1,
                        line + "\r\n");
}

const std::string kStart =
    "HTTP/1.1 200 OK\r\nFilbertshift-Attempt-Id: r1\r\n"
    "Filbertshift-Response-Seal: s\r\n";

// Answers that are whole without the marked line.
const std::vector<std::string>& MarkedAnswers() {
  static const std::vector<std::string> kAnswers = {
      "HTTP/1.1 200 OK\r\n" + std::string(kLineMark) +
          "Filbertshift-Attempt-Id: r1\r\nFilbertshift-Response-Seal: s\r\n"
          "Content-Length: 4\r\n\r\nbody",
      kStart + kLineMark + "Content-Length: 4\r\n\r\nbody",
      kStart + "Content-Length: 4\r\n" + kLineMark + "\r\nbody",
      kStart + kLineMark + "Transfer-Encoding: chunked\r\n\r\n" +
          "4\r\nbody\r\n0\r\n\r\n",
      kStart + kLineMark + "\r\nbody",
      "HTTP/1.1 103 Early Hints\r\nLink: a\r\n" + std::string(kLineMark) +
          "\r\n" + kStart + "Content-Length: 4\r\n\r\nbody",
      "HTTP/1.1 100 Continue\r\n" + std::string(kLineMark) + "\r\n" + kStart +
          "\r\nbody"};
  return kAnswers;
}

std::vector<std::string> BrokenAnswers() {
  std::vector<std::string> answers;
  for (const std::string& line : BrokenStatusLines()) {
    std::string fields =
        "\r\nFilbertshift-Attempt-Id: r1\r\nFilbertshift-Response-Seal: s\r\n";
    answers.push_back(line + fields + "Content-Length: 4\r\n\r\nbody");
    answers.push_back(line + fields + "\r\nbody");
    answers.push_back("HTTP/1.1 100 Continue\r\n\r\n" + line + fields +
                      "Content-Length: 4\r\n\r\nbody");
  }
  for (const std::string& line : BrokenFieldLines()) {
    for (const std::string& answer : MarkedAnswers()) {
      answers.push_back(Place(answer, line));
    }
  }
  return answers;
}

class Outcome : public CallListener {
 public:
  HeadDecision OnHead(CallId, const HttpResponseHead&) override {
    return HeadDecision::kAccept;
  }
  void OnBody(CallId, std::string_view) override {}
  void OnComplete(CallId) override { complete = true; }
  void OnFailed(CallId, CallFailure reason, std::string_view text) override {
    failure = reason;
    detail = text;
  }
  bool complete = false;
  std::optional<CallFailure> failure;
  std::string detail;
};

// Result of a call that is answered with `answer` in pieces of `step` bytes,
// and whose connection is then closed.
struct Answered {
  Answered(const std::string& answer, std::size_t step)
      : client(&transport, milliseconds(100)) {
    client.Start("10.0.0.1:80", "GET / HTTP/1.1\r\n\r\n", milliseconds(1000),
                 &outcome);
    transport.Advance(milliseconds(2));
    ConnectionId connection = transport.OpenTo("10.0.0.1:80").front();
    for (std::size_t i = 0; i < answer.size(); i += step) {
      transport.Receive(connection, answer.substr(i, step));
    }
    kept = transport.IsOpen(connection);
    transport.End(connection, ConnectionEnd::kClosed);
  }
  FakeTransport transport;
  HttpClient client;
  Outcome outcome;
  bool kept = false;
};

// Guards against an answer of an endpoint, the store or another instance that
// is taken for one though its head is none.
TEST_CASE("an answer with a broken head is a failed call", "[gateway]") {
  for (const std::string& answer : BrokenAnswers()) {
    for (std::size_t step : {answer.size(), std::size_t{1}}) {
      CAPTURE(answer, step);
      Answered answered(answer, step);
      CHECK_FALSE(answered.outcome.complete);
      CHECK(answered.outcome.failure == CallFailure::kBroken);
    }
  }
}

// Guards against a check that takes sound answers for broken ones.
TEST_CASE("a sound answer with unusual fields is complete", "[gateway]") {
  for (const std::string& line :
       {std::string("X-Mark: here"), std::string("x!#$%&'*+-.^_`|~9:v"),
        std::string("X:"), std::string("X: \t"), std::string("X:\tv\t"),
        std::string("X: caf\xc3\xa9 \xe9"), std::string("X: a: b, \"c d\""),
        std::string("X: HTTP/1.1 000")}) {
    for (const std::string& answer : MarkedAnswers()) {
      for (std::size_t step : {answer.size(), std::size_t{1}}) {
        CAPTURE(line, answer, step);
        CHECK(Answered(Place(answer, line), step).outcome.complete);
      }
    }
  }
  for (const char* status :
       {"HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.1 599 X",
        "HTTP/1.1 418 I'm a \xc3\xa9 \t teapot", "\r\nHTTP/1.1 200 OK"}) {
    INFO(status);
    CHECK(Answered(std::string(status) + "\r\nContent-Length: 2\r\n\r\nok", 1)
              .outcome.complete);
  }
  CHECK(
      Answered("HTTP/1.1 200 OK\nContent-Length: 2\n\nok", 1).outcome.complete);
}

// Guards against a line of the trailers that is dropped unread. The body has
// arrived by then, but what ends it is no part of an answer.
TEST_CASE("an answer with broken trailers is a failed call", "[gateway]") {
  std::string start =
      kStart + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n";
  CHECK(Answered(start + "X-Sum: 1\r\n\r\n", 1).outcome.complete);
  for (const std::string& line : BrokenFieldLines()) {
    std::string answer = start + line + "\r\n\r\n";
    for (std::size_t step : {answer.size(), std::size_t{1}}) {
      CAPTURE(answer, step);
      Answered answered(answer, step);
      CHECK_FALSE(answered.outcome.complete);
      CHECK_FALSE(answered.kept);
    }
  }
}

// Guards against a success for the caller, or a second run.
TEST_CASE("a caller gets no broken answer", "[gateway]") {
  for (const std::string& answer : BrokenAnswers()) {
    INFO(answer);
    ForwarderFixture f;
    ConnectionId caller = f.Request("POST", "/once/x", "r1", "", "b");
    Arrival arrival = f.NextArrival();
    f.Respond(arrival, answer);
    f.transport.End(arrival.connection, ConnectionEnd::kClosed);
    CHECK(f.NothingArrives(milliseconds(300)));
    std::string response = f.transport.TakeSent(caller);
    CHECK(response.substr(0, 13) == "HTTP/1.1 502 ");
    CHECK(Contains(response, "\"unknown\""));
    CHECK_FALSE(Contains(response, "Filbertshift-Response-Seal"));
  }
}

TEST_CASE("a request that may run again does so after a broken answer",
          "[gateway]") {
  std::string broken =
      GENERATE(as<std::string>(), "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
               "HTTP/1.1 200 OK\r\nX Y: v\r\nContent-Length: 0\r\n\r\n");
  ForwarderFixture f;
  ConnectionId caller = f.Request("POST", "/safe/x", "r1", "", "b");
  Arrival first = f.NextArrival();
  f.Respond(first, broken);
  CHECK(f.transport.At(first.connection).aborted);
  Arrival second = f.NextArrival();
  REQUIRE_FALSE(second.endpoint.empty());
  CHECK(second.endpoint != first.endpoint);
  f.Respond(second, ForwarderFixture::WholeResponse(200, "r1", "sound"));
  std::string response = f.transport.TakeSent(caller);
  CHECK(Contains(response, "HTTP/1.1 200"));
  CHECK(Contains(response, "\r\n\r\nsound"));
}

// Guards against a stream that goes on with the events of a broken answer.
TEST_CASE("a stream is not resumed with a broken answer", "[gateway]") {
  ForwarderFixture f(3);
  ConnectionId caller = f.Request("POST", "/stream/x", "r1", "", "b");
  Arrival first = f.NextArrival();
  f.Respond(first,
            ForwarderFixture::StreamHead("r1") + ForwarderFixture::Event(1));
  f.transport.End(first.connection, ConnectionEnd::kReset);
  Arrival second = f.NextArrival();
  f.Respond(second, ForwarderFixture::StreamHead("r1", "\rX: v\r\n") +
                        ForwarderFixture::Event(2) + std::string(kLastChunk));
  Arrival third = f.NextArrival();
  REQUIRE(Contains(third.text, "Last-Event-Id: 1"));
  f.Respond(third, ForwarderFixture::StreamHead("r1") +
                       ForwarderFixture::Event(2) + std::string(kLastChunk));
  std::string response = f.transport.TakeSent(caller);
  CHECK(Contains(response, "data: d2"));
  CHECK(Contains(response, std::string(kLastChunk)));
}

}  // namespace
}  // namespace filbertshift
