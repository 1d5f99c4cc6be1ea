// Tests of the transport over real sockets.

#include <catch2/catch.hpp>

#include <fmt/format.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>
#include <optional>
#include <thread>
#include <vector>

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

const std::string kLargeUpload(std::size_t{16} * 1024 * 1024, 'u');

// A connection from the loop to a peer that has read nothing.
struct Upload {
  explicit Upload(TcpLoop* loop)
      : server(ListenOnLoopback()),
        id(loop->Connect(fmt::format("127.0.0.1:{}", LocalPortOf(server)),
                         milliseconds(500),
                         &recorder)) {
    RunFor(loop, milliseconds(20));
    peer = AcceptFrom(server, milliseconds(500));
    REQUIRE(recorder.connected);
  }
  TestSocket server;
  Recorder recorder;
  ConnectionId id;
  TestSocket peer;
};

// Reads to the end of the connection. Returns whether it was reset.
bool EndsWithReset(const TestSocket& peer) {
  char buffer[4096];
  ssize_t size = 0;
  do {
    size = recv(peer.descriptor(), buffer, sizeof(buffer), 0);
  } while (size > 0);
  return size < 0 && errno == ECONNRESET;
}

// Guards against a peer that takes what it has received for the whole, or goes
// on with a request that was cancelled.
TEST_CASE("an aborted connection is reset", "[net]") {
  bool half_sent = GENERATE(false, true);
  INFO(half_sent);
  TcpLoop loop(milliseconds(1000));
  Upload upload(&loop);
  loop.Send(upload.id, half_sent ? kLargeUpload : "request");
  RunFor(&loop, milliseconds(20));
  CHECK((loop.UnsentBytes(upload.id) > 0) == half_sent);
  loop.Abort(upload.id);
  RunFor(&loop, milliseconds(20));
  CHECK(EndsWithReset(upload.peer));
}

TEST_CASE("a connection with unsent bytes is reset when its loop ends",
          "[net]") {
  std::optional<TcpLoop> loop(std::in_place, milliseconds(1000));
  Upload upload(&*loop);
  loop->Send(upload.id, kLargeUpload);
  loop.reset();
  CHECK(EndsWithReset(upload.peer));
}

// How the loop meets the reset of a peer to which it is sending.
enum class Meeting {
  // The next write fails before anything is read.
  kSend,
  kSendShared,
  // Reading and writing become possible in the same moment.
  kBoth,
};

// Guards against a reset that is taken for an orderly end: the socket tells its
// error once, to the write, and reads as closed afterwards.
TEST_CASE("a reset in the middle of an upload is a reset", "[net]") {
  Meeting meeting =
      GENERATE(Meeting::kSend, Meeting::kSendShared, Meeting::kBoth);
  bool part_read_before = GENERATE(false, true);
  INFO(static_cast<int>(meeting) << " " << part_read_before);
  TcpLoop loop(milliseconds(1000));
  Upload upload(&loop);
  if (meeting == Meeting::kBoth) {
    loop.Send(upload.id, kLargeUpload);
    RunFor(&loop, milliseconds(20));
    REQUIRE(loop.UnsentBytes(upload.id) > 0);
  }
  REQUIRE(upload.peer.Write("part"));
  if (part_read_before) {
    RunFor(&loop, milliseconds(20));
    REQUIRE(upload.recorder.data == "part");
  }
  upload.peer.Reset();
  if (meeting == Meeting::kSend) {
    loop.Send(upload.id, "more");
  } else if (meeting == Meeting::kSendShared) {
    loop.SendShared(upload.id, std::make_shared<const std::string>("more"));
  }
  RunFor(&loop, milliseconds(20));
  CHECK(upload.recorder.end == ConnectionEnd::kReset);
  CHECK(upload.recorder.data == "part");
  CHECK(loop.connection_count() == 0);
}

// As above for a connection that was accepted, which a timer writes to.
TEST_CASE("a caller that resets in the middle of an answer has reset",
          "[net]") {
  class Server : public AcceptListener {
   public:
    void OnAccepted(ConnectionId id) override { accepted = id; }
    void OnData(ConnectionId, std::string_view bytes) override {
      data.append(bytes);
    }
    void OnEnd(ConnectionId, ConnectionEnd how) override { end = how; }
    ConnectionId accepted{};
    std::string data;
    std::optional<ConnectionEnd> end;
  };
  int port = 0;
  {
    TestSocket unused = ListenOnLoopback();
    port = LocalPortOf(unused);
  }
  TcpLoop loop(milliseconds(1000));
  Server server;
  loop.Listen(fmt::format("127.0.0.1:{}", port), &server);
  TestSocket peer = ConnectToLoopback(port);
  REQUIRE(peer.Write("request"));
  RunFor(&loop, milliseconds(20));
  REQUIRE(server.data == "request");
  peer.Reset();
  loop.After(milliseconds(0), [&] { loop.Send(server.accepted, "event"); });
  RunFor(&loop, milliseconds(20));
  CHECK(server.end == ConnectionEnd::kReset);
}

// Guards against memory that the kernel holds for a peer that does not read,
// and that no limit of the process counts: buffers for sending grow to
// megabytes.
TEST_CASE("the kernel holds little for a peer that does not read", "[net]") {
  constexpr int kMaxKernelBytes = 192 * 1024;
  TcpLoop loop(milliseconds(1000));
  Upload upload(&loop);
  loop.Send(upload.id, kLargeUpload);
  RunFor(&loop, milliseconds(200));
  // What the peer has in its own buffer is none of ours.
  int received = 0;
  REQUIRE(ioctl(upload.peer.descriptor(), FIONREAD, &received) == 0);
  std::size_t passed_on = kLargeUpload.size() - loop.UnsentBytes(upload.id);
  CHECK(passed_on <= static_cast<std::size_t>(received) + kMaxKernelBytes);
}

// Guards against a limit that counts only what is left of a large piece, while
// the piece is held whole.
TEST_CASE("a piece that a peer has nearly read counts whole", "[net]") {
  class Server : public AcceptListener {
   public:
    void OnAccepted(ConnectionId id) override { ids.push_back(id); }
    void OnData(ConnectionId, std::string_view) override {}
    void OnEnd(ConnectionId, ConnectionEnd how) override { end = how; }
    std::vector<ConnectionId> ids;
    std::optional<ConnectionEnd> end;
  };
  int port = 0;
  {
    TestSocket unused = ListenOnLoopback();
    port = LocalPortOf(unused);
  }
  TcpLoop loop(milliseconds(1000));
  loop.SetSendLimit(kLargeUpload.size() * 3 / 2);
  Server server;
  loop.Listen(fmt::format("127.0.0.1:{}", port), &server);
  TestSocket peers[] = {ConnectToLoopback(port), ConnectToLoopback(port)};
  RunFor(&loop, milliseconds(20));
  REQUIRE(server.ids.size() == 2);
  loop.SendShared(server.ids[0],
                  std::make_shared<const std::string>(kLargeUpload));
  // Leaves more than the kernel takes.
  std::size_t left = kLargeUpload.size();
  while (left > kLargeUpload.size() / 2) {
    RunFor(&loop, milliseconds(1));
    left -= peers[0].ReadSome(milliseconds(10)).size();
  }
  REQUIRE(loop.UnsentBytes(server.ids[0]) > 0);
  loop.SendShared(server.ids[1],
                  std::make_shared<const std::string>(kLargeUpload));
  RunFor(&loop, milliseconds(20));
  CHECK(server.end == ConnectionEnd::kReset);
  CHECK(loop.connection_count() == 1);
}

// Guards against memory that the kernel holds for a process that is too busy to
// read: receive buffers grow to megabytes for each connection.
TEST_CASE("a connection receives no more than its buffer ahead", "[net]") {
  constexpr std::size_t kBuffer = std::size_t{8} * 1024;
  constexpr std::size_t kMostWritten = 6 * kBuffer;
  bool accepted = GENERATE(true, false);
  INFO(accepted);
  class Acceptor : public AcceptListener {
   public:
    void OnAccepted(ConnectionId) override {}
    void OnData(ConnectionId, std::string_view) override {}
    void OnEnd(ConnectionId, ConnectionEnd) override {}
  };
  TestSocket listener = ListenOnLoopback();
  TcpLoop loop(milliseconds(1000));
  loop.SetReceiveBuffer(kBuffer);
  Acceptor acceptor;
  Recorder recorder;
  TestSocket peer;
  if (accepted) {
    int port = LocalPortOf(listener);
    listener.Close();
    loop.Listen(fmt::format("127.0.0.1:{}", port), &acceptor);
    peer = ConnectToLoopback(port);
  } else {
    loop.Connect(fmt::format("127.0.0.1:{}", LocalPortOf(listener)),
                 milliseconds(500), &recorder);
  }
  RunFor(&loop, milliseconds(20));
  if (!accepted) {
    peer = AcceptFrom(listener, milliseconds(500));
  }
  // Nothing is read from here on.
  int size = 4096;
  setsockopt(peer.descriptor(), SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
  std::size_t written = 0;
  std::string data(1024, 'd');
  for (int i = 0; i < 100; ++i) {
    ssize_t sent =
        send(peer.descriptor(), data.data(), data.size(), MSG_DONTWAIT);
    written += sent > 0 ? static_cast<std::size_t>(sent) : 0;
    std::this_thread::sleep_for(milliseconds(1));
  }
  CHECK(written > 0);
  CHECK(written <= kMostWritten);
}

}  // namespace
}  // namespace filbertshift
