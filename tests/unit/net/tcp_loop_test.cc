// Tests of the transport over real sockets.

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <optional>
#include <thread>

#include "src/net/tcp_loop.h"
#include "tests/unit/support/loopback.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

class Recorder : public ConnectionListener {
 public:
  void OnConnected(ConnectionId) override { connected = true; }
  void OnData(ConnectionId, std::string_view bytes) override {
    data.append(bytes);
  }
  void OnEnd(ConnectionId, ConnectionEnd how) override { end = how; }
  bool connected = false;
  std::string data;
  std::optional<ConnectionEnd> end;
};

void RunFor(TcpLoop* loop, milliseconds time) {
  loop->After(time, [loop] { loop->Stop(); });
  loop->Run();
}

// Guards against an exception on the thread that runs the whole process.
TEST_CASE("a malformed address is a failed connection", "[net]") {
  TcpLoop loop(milliseconds(1000));
  const std::string addresses[] = {"",
                                   "x",
                                   ":",
                                   "127.0.0.1",
                                   "127.0.0.1:",
                                   "127.0.0.1:0",
                                   "127.0.0.1:65536",
                                   "127.0.0.1:99999999999999999999",
                                   "127.0.0.1:-1",
                                   "127.0.0.1:1x",
                                   "host.example:80",
                                   "[127.0.0.1]:80",
                                   std::string("127.0.0.1\0:80", 13),
                                   std::string(100000, '1') + ":80"};
  std::vector<Recorder> recorders(std::size(addresses));
  for (std::size_t i = 0; i < recorders.size(); ++i) {
    loop.Connect(addresses[i], milliseconds(500), &recorders[i]);
  }
  RunFor(&loop, milliseconds(20));
  for (std::size_t i = 0; i < recorders.size(); ++i) {
    INFO(addresses[i].substr(0, 50));
    CHECK(recorders[i].end == ConnectionEnd::kConnectFailed);
  }
  CHECK(loop.connection_count() == 0);
}

TEST_CASE("an IPv6 address has brackets", "[net]") {
  class Acceptor : public AcceptListener {
   public:
    void OnAccepted(ConnectionId) override {}
    void OnData(ConnectionId, std::string_view) override {}
    void OnEnd(ConnectionId, ConnectionEnd) override {}
  };
  int port = 0;
  {
    TestSocket unused = ListenOnLoopback();
    port = LocalPortOf(unused);
  }
  TcpLoop loop(milliseconds(1000));
  Acceptor acceptor;
  Recorder recorder;
  const std::string address = fmt::format("[::1]:{}", port);
  loop.Listen(address, &acceptor);
  loop.Connect(address, milliseconds(500), &recorder);
  RunFor(&loop, milliseconds(50));
  CHECK(recorder.connected);
}

// Guards against a timer that is due at once because its time overflows.
TEST_CASE("a timer of any duration is not due early", "[net]") {
  TcpLoop loop(milliseconds(1000));
  bool early = false;
  loop.After(milliseconds::max(), [&early] { early = true; });
  RunFor(&loop, milliseconds(20));
  CHECK_FALSE(early);
}

TEST_CASE("bytes and ends that wait in the kernel are seen", "[net]") {
  TestSocket server = ListenOnLoopback();
  TcpLoop loop(milliseconds(1000));
  Recorder recorder;
  ConnectionId id =
      loop.Connect(fmt::format("127.0.0.1:{}", LocalPortOf(server)),
                   milliseconds(500), &recorder);
  CHECK_FALSE(loop.HasUnreadData(id));
  RunFor(&loop, milliseconds(20));
  TestSocket peer = AcceptFrom(server, milliseconds(500));
  REQUIRE(recorder.connected);
  CHECK_FALSE(loop.HasUnreadData(id));
  REQUIRE(peer.Write("x"));
  CHECK(loop.HasUnreadData(id));
  RunFor(&loop, milliseconds(20));
  CHECK(recorder.data == "x");
  CHECK_FALSE(loop.HasUnreadData(id));
  peer.Close();
  CHECK(loop.HasUnreadData(id));
  RunFor(&loop, milliseconds(20));
  CHECK(recorder.end == ConnectionEnd::kClosed);
  CHECK_FALSE(loop.HasUnreadData(id));
}

// Guards against a sound endpoint that is cut because it pauses reading an
// upload.
TEST_CASE("a peer that pauses reading gets the whole upload", "[net]") {
  constexpr std::size_t kUploadBytes = std::size_t{16} * 1024 * 1024;
  TestSocket server = ListenOnLoopback();
  TcpLoop loop(milliseconds(1000));
  Recorder recorder;
  ConnectionId id =
      loop.Connect(fmt::format("127.0.0.1:{}", LocalPortOf(server)),
                   milliseconds(500), &recorder);
  RunFor(&loop, milliseconds(20));
  TestSocket peer = AcceptFrom(server, milliseconds(500));
  REQUIRE(recorder.connected);
  loop.Send(id, std::string(kUploadBytes, 'u'));
  RunFor(&loop, milliseconds(3000));
  CHECK(loop.UnsentBytes(id) > 0);
  std::size_t received = 0;
  std::thread reader([&] {
    while (received < kUploadBytes) {
      std::size_t size = peer.ReadSome(milliseconds(1000)).size();
      if (size == 0) {
        break;
      }
      received += size;
    }
  });
  RunFor(&loop, milliseconds(1500));
  reader.join();
  CHECK(received == kUploadBytes);
  CHECK_FALSE(recorder.end.has_value());
}

}  // namespace
}  // namespace filbertshift
