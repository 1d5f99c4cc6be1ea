// Tests of answers without a length to uploads that are still being written,
// over real sockets: a reset or an early end must not look like the end of the
// answer.

#include <catch2/catch.hpp>

#include <fmt/format.h>
#include <sys/socket.h>

#include <functional>
#include <optional>
#include <thread>

#include "src/gateway/http_client.h"
#include "tests/unit/gateway/forwarder_fixture.h"
#include "tests/unit/support/loopback.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kUploadBytes = std::size_t{32} * 1024 * 1024;
const std::string kHead = "HTTP/1.1 200 OK\r\n";
const std::string kPart = "a part of the body";

// How an endpoint ends the connection after it has sent a part of its answer.
enum class EndOfPart {
  // By a reset, also of what it has not read.
  kReset,
  // By closing a socket that holds unread bytes.
  kCloseUnread,
  // By an orderly end of its side and a reset.
  kFinishAndReset,
  // By an orderly end of its side; it reads no more.
  kFinish,
};

class Outcome : public CallListener {
 public:
  explicit Outcome(TcpLoop* loop) : loop_(loop) {}
  HeadDecision OnHead(CallId, const HttpResponseHead&) override {
    return HeadDecision::kAccept;
  }
  void OnBody(CallId, std::string_view data) override { body.append(data); }
  void OnComplete(CallId) override {
    complete = true;
    loop_->Stop();
  }
  void OnFailed(CallId, CallFailure reason, std::string_view) override {
    failure = reason;
    loop_->Stop();
  }
  std::string body;
  bool complete = false;
  std::optional<CallFailure> failure;

 private:
  TcpLoop* const loop_;
};

// Accepts one connection and serves it.
class Endpoint {
 public:
  explicit Endpoint(std::function<void(TestSocket*)> serve)
      : listener_(ListenOnLoopback()),
        thread_([this, serve = std::move(serve)] {
          TestSocket peer = AcceptFrom(listener_, milliseconds(2000));
          serve(&peer);
        }) {}
  ~Endpoint() { thread_.join(); }
  std::string address() const {
    return fmt::format("127.0.0.1:{}", LocalPortOf(listener_));
  }

 private:
  TestSocket listener_;
  std::thread thread_;
};

// Answers as soon as the head of the request is there.
void AnswerEarly(TestSocket* peer,
                 const std::string& answer,
                 EndOfPart end,
                 milliseconds delay) {
  peer->ReadUntil("\r\n\r\n");
  peer->Write(answer);
  std::this_thread::sleep_for(delay);
  switch (end) {
    case EndOfPart::kReset:
      peer->Reset();
      break;
    case EndOfPart::kCloseUnread:
      peer->Close();
      break;
    case EndOfPart::kFinishAndReset:
      shutdown(peer->descriptor(), SHUT_WR);
      peer->Reset();
      break;
    case EndOfPart::kFinish:
      shutdown(peer->descriptor(), SHUT_WR);
      peer->ReadUntil("no such bytes", milliseconds(50));
      break;
  }
}

// Uploads to the endpoint and waits for the outcome.
void Upload(const Endpoint& endpoint,
            bool shared,
            TcpLoop* loop,
            Outcome* outcome) {
  HttpClient client(loop, milliseconds(1000));
  std::string head = fmt::format(
      "POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", kUploadBytes);
  HttpCall call;
  call.address = endpoint.address();
  std::string body(kUploadBytes, 'u');
  if (shared) {
    call.message = std::move(head);
    call.body = std::make_shared<const std::string>(std::move(body));
  } else {
    call.message = head + body;
  }
  client.Start(std::move(call), outcome);
  loop->After(milliseconds(3000), [loop] { loop->Stop(); });
  loop->Run();
}

// Guards against a part of an answer that the caller gets as a whole one.
TEST_CASE("a part of an answer to an unfinished upload is no answer",
          "[gateway]") {
  auto end = GENERATE(EndOfPart::kReset, EndOfPart::kCloseUnread,
                      EndOfPart::kFinishAndReset, EndOfPart::kFinish);
  bool shared = GENERATE(true, false);
  milliseconds delay(GENERATE(0, 5, 100));
  constexpr int kPlays = 5;
  for (int play = 0; play < kPlays; ++play) {
    CAPTURE(static_cast<int>(end), shared, delay.count(), play);
    Endpoint endpoint([&](TestSocket* peer) {
      AnswerEarly(peer, kHead + "\r\n" + kPart, end, delay);
    });
    TcpLoop loop(milliseconds(1000));
    Outcome outcome(&loop);
    Upload(endpoint, shared, &loop, &outcome);
    CHECK_FALSE(outcome.complete);
    CHECK(outcome.failure == CallFailure::kBroken);
  }
}

// Guards against the loss of an answer that is whole by its own length: its
// endpoint needs no more of the upload.
TEST_CASE("a whole answer to an unfinished upload is complete", "[gateway]") {
  auto end = GENERATE(EndOfPart::kReset, EndOfPart::kCloseUnread,
                      EndOfPart::kFinishAndReset, EndOfPart::kFinish);
  std::string framed = GENERATE(
      as<std::string>(), "Content-Length: 18\r\n\r\n" + kPart,
      "Transfer-Encoding: chunked\r\n\r\n12\r\n" + kPart + "\r\n0\r\n\r\n");
  milliseconds delay(GENERATE(0, 100));
  CAPTURE(static_cast<int>(end), framed, delay.count());
  Endpoint endpoint(
      [&](TestSocket* peer) { AnswerEarly(peer, kHead + framed, end, delay); });
  TcpLoop loop(milliseconds(1000));
  Outcome outcome(&loop);
  Upload(endpoint, true, &loop, &outcome);
  CHECK(outcome.complete);
  CHECK(outcome.body == kPart);
}

// Guards against a rule that fails every answer without a length.
TEST_CASE("an answer without a length to a whole upload ends in order",
          "[gateway]") {
  Endpoint endpoint([](TestSocket* peer) {
    peer->ReadMessage();
    peer->Write(kHead + "\r\n" + kPart);
  });
  TcpLoop loop(milliseconds(1000));
  Outcome outcome(&loop);
  Upload(endpoint, true, &loop, &outcome);
  CHECK(outcome.complete);
  CHECK(outcome.body == kPart);
}

// Guards against a success for the caller, a promise that its request has not
// run, or a second run.
TEST_CASE("a caller gets no part of an answer to its upload", "[gateway]") {
  auto end = GENERATE(ConnectionEnd::kReset, ConnectionEnd::kClosed);
  CAPTURE(ConnectionEndName(end));
  ForwarderFixture f;
  for (const char* endpoint : {"e1", "e2"}) {
    f.transport.SetSlowAddress(f.AddressOf(endpoint));
  }
  ConnectionId caller =
      f.Request("POST", "/once/x", "r1", "", std::string(100000, 'u'));
  ConnectionId connection{};
  for (const char* endpoint : {"e1", "e2"}) {
    for (ConnectionId open : f.transport.OpenTo(f.AddressOf(endpoint))) {
      connection = open;
    }
  }
  REQUIRE(f.transport.TakeSent(connection, 1000).size() == 1000);
  f.transport.Receive(connection, kHead +
                                      "Filbertshift-Attempt-Id: r1\r\n"
                                      "Filbertshift-Response-Seal: s\r\n\r\n" +
                                      kPart);
  f.transport.End(connection, end);
  CHECK(f.NothingArrives(milliseconds(300)));
  std::string response = f.transport.TakeSent(caller);
  CHECK(response.substr(0, 13) == "HTTP/1.1 502 ");
  CHECK(response.find("\"unknown\"") != std::string::npos);
  CHECK(response.find(kPart) == std::string::npos);
}

}  // namespace
}  // namespace filbertshift
