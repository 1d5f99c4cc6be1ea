// Tests of connections with callers over real sockets on the loopback
// interface, where the behaviour of the kernel matters.

#include <catch2/catch.hpp>

#include <fmt/format.h>
#include <sys/socket.h>

#include <functional>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

#include "tests/unit/gateway/recording_handler.h"
#include "tests/unit/support/loopback.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;
constexpr std::string_view kGet = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr std::string_view kLastGet =
    "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

// A caller whose kernel buffers little of an answer.
TestSocket ConnectWithSmallBuffer(int port) {
  TestSocket caller = ConnectToLoopback(port);
  int size = 16 * 1024;
  setsockopt(caller.descriptor(), SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
  return caller;
}

std::size_t BodySize(const std::string& response) {
  std::size_t head_end = response.find("\r\n\r\n");
  return head_end == std::string::npos ? 0 : response.size() - head_end - 4;
}

// Responds to every request with a body of `body_bytes`.
class RespondingHandler : public RecordingHandler {
 public:
  void OnRequest(ConnectionId caller,
                 HttpRequestHead head,
                 std::string body) override {
    RecordingHandler::OnRequest(caller, std::move(head), std::move(body));
    server->Respond(caller, {200, "OK", {}}, std::string(body_bytes, 'a'));
  }

  CallerServer* server = nullptr;
  std::size_t body_bytes = 2;
};

// A CallerServer whose event loop runs on a thread of its own.
class SocketServer {
 public:
  explicit SocketServer(CallerLimits limits = CallerLimits(),
                        milliseconds silence_timeout = milliseconds(2000))
      : loop_(silence_timeout), server_(&loop_, &handler_) {
    handler_.server = &server_;
    server_.SetLimits(limits);
    {
      TestSocket listener = ListenOnLoopback();
      port_ = LocalPortOf(listener);
    }
    loop_.Listen(fmt::format("127.0.0.1:{}", port_), &server_);
    RunActions();
    thread_ = std::thread([this] { loop_.Run(); });
  }
  ~SocketServer() {
    loop_.Stop();
    thread_.join();
  }

  int port() const { return port_; }
  // For the test's thread only before the first connection.
  RespondingHandler& handler() { return handler_; }
  CallerServer& server() { return server_; }
  TcpLoop& loop() { return loop_; }
  // Runs `action` on the thread of the event loop.
  void Post(std::function<void()> action) {
    std::lock_guard<std::mutex> lock(mutex_);
    actions_.push_back(std::move(action));
  }
  void Do(const std::function<void()>& action) {
    std::promise<void> done;
    Post([&] {
      action();
      done.set_value();
    });
    done.get_future().wait();
  }

 private:
  void RunActions() {
    std::vector<std::function<void()>> actions;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      actions.swap(actions_);
    }
    for (const std::function<void()>& action : actions) {
      action();
    }
    loop_.After(milliseconds(1), [this] { RunActions(); });
  }

  std::mutex mutex_;
  std::vector<std::function<void()>> actions_;
  TcpLoop loop_;
  RespondingHandler handler_;
  CallerServer server_;
  int port_ = 0;
  std::thread thread_;
};

// Guards against an idle timer that ends a connection whose next request has
// arrived while the event loop was busy.
TEST_CASE("a request that arrives in a busy moment is answered", "[net]") {
  CallerLimits limits;
  limits.idle_timeout = milliseconds(300);
  SocketServer server(limits);
  TestSocket caller = ConnectToLoopback(server.port());
  REQUIRE(caller.Write(kGet));
  REQUIRE_FALSE(caller.ReadMessage().empty());
  // The second of two busy moments begins after the idle timer has expired, and
  // before it runs.
  server.Post([&server] {
    server.loop().After(milliseconds(1),
                        [] { std::this_thread::sleep_for(milliseconds(400)); });
    std::this_thread::sleep_for(milliseconds(400));
  });
  std::this_thread::sleep_for(milliseconds(600));
  REQUIRE(caller.Write(kGet));
  CHECK(caller.ReadMessage().find("200 OK") != std::string::npos);
}

// Guards against a rejection that a caller does not read, because the kernel
// resets a connection that is closed with unread bytes.
TEST_CASE("a caller that is still sending reads its rejection", "[net]") {
  SocketServer server;
  TestSocket caller = ConnectToLoopback(server.port());
  REQUIRE(
      caller.Write("POST /x HTTP/1.1\r\nHost: h\r\n"
                   "Content-Length: 8388608\r\n\r\n"));
  bool sent = true;
  for (int i = 0; i < 8 && sent; ++i) {
    std::this_thread::sleep_for(milliseconds(20));
    sent = caller.Write(std::string(kMegabyte, 'b'));
  }
  CHECK(sent);
  std::string response = caller.ReadMessage();
  CHECK(response.find("413") != std::string::npos);
}

// Guards against an answer that ends early because bytes arrive behind its
// request.
TEST_CASE("a last answer is whole though more bytes arrive", "[net]") {
  SocketServer server;
  server.handler().body_bytes = kMegabyte;
  TestSocket caller = ConnectWithSmallBuffer(server.port());
  REQUIRE(caller.Write(kLastGet));
  std::string response = caller.ReadSome();
  std::this_thread::sleep_for(milliseconds(50));
  REQUIRE(caller.Write(kGet));
  for (std::string part = caller.ReadSome(); !part.empty();
       part = caller.ReadSome()) {
    response += part;
  }
  CHECK(BodySize(response) == kMegabyte);
}

// Guards against an answer that is dropped when its caller sends no more.
TEST_CASE("an answer in delivery outlives a half-closed caller", "[net]") {
  SocketServer server;
  server.handler().body_bytes = 16 * kMegabyte;
  TestSocket caller = ConnectWithSmallBuffer(server.port());
  REQUIRE(caller.Write(kGet));
  std::string response = caller.ReadSome();
  shutdown(caller.descriptor(), SHUT_WR);
  std::this_thread::sleep_for(milliseconds(50));
  for (std::string part = caller.ReadSome(); !part.empty();
       part = caller.ReadSome()) {
    response += part;
  }
  CHECK(BodySize(response) == 16 * kMegabyte);
}

// Guards against a sound caller that is cut because it pauses reading.
TEST_CASE("a caller that pauses reading gets its whole answer", "[net]") {
  SocketServer server(CallerLimits(), milliseconds(1000));
  server.handler().body_bytes = 4 * kMegabyte;
  TestSocket caller = ConnectWithSmallBuffer(server.port());
  REQUIRE(caller.Write(kGet));
  std::this_thread::sleep_for(milliseconds(3000));
  std::string response;
  while (BodySize(response) < 4 * kMegabyte) {
    std::string part = caller.ReadSome();
    if (part.empty()) {
      break;
    }
    response += part;
  }
  CHECK(BodySize(response) == 4 * kMegabyte);
}

}  // namespace
}  // namespace filbertshift
