// Tests of the peer mesh over the loopback interface.

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <thread>

#include "src/peer/message_queue.h"
#include "src/peer/peer.h"
#include "src/peer/peer_codec.h"
#include "tests/unit/support/core_inbox.h"
#include "tests/unit/support/loopback.h"
#include "tests/unit/support/recording_event_log.h"
#include "tests/unit/support/test_seed.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

struct Instance {
  explicit Instance(const std::string& name,
                    const std::string& address = "127.0.0.1:0",
                    std::size_t ring_capacity = 65536)
      : id(name),
        inbox(ring_capacity),
        random(0),
        mesh(Options(name, address), inbox.ring(), clock, random, log) {}

  static PeerMeshOptions Options(const std::string& name,
                                 const std::string& address) {
    PeerMeshOptions options;
    options.instance = InstanceId(name);
    options.listen_address = address;
    options.max_message_bytes = 1U << 20U;
    options.ping_interval = milliseconds(200);
    options.read_timeout = milliseconds(1000);
    options.min_reconnect_delay = milliseconds(20);
    options.max_reconnect_delay = milliseconds(100);
    return options;
  }

  PeerAddress Address() const { return PeerAddress{id, mesh.BoundAddress()}; }

  int Port() const {
    const std::string address = mesh.BoundAddress();
    return std::stoi(address.substr(address.rfind(':') + 1));
  }

  InstanceId id;
  CoreInbox inbox;
  SystemClock clock;
  SystemRandom random;
  RecordingEventLog log;
  PeerMesh mesh;
};

std::string TakeBatch(Instance* instance) {
  auto received = instance->inbox.Take<PeerReceived>();
  REQUIRE(received);
  return std::get<PeerChargeStored>(received->message).batch;
}

// Guards against messages that are lost, reordered or attributed to the wrong
// sender.
TEST_CASE("peer mesh transfers messages in both directions", "[peer]") {
  Instance a("a");
  Instance b("b");
  const std::vector<PeerAddress> all = {a.Address(), b.Address()};
  a.mesh.SetPeers(all);
  b.mesh.SetPeers(all);
  CHECK(a.inbox.Take<PeerUp>()->instance == b.id);
  CHECK(b.inbox.Take<PeerUp>()->instance == a.id);
  constexpr int kMessages = 2000;
  for (int i = 0; i < kMessages; ++i) {
    a.mesh.Send(b.id, PeerChargeStored{std::to_string(i)});
  }
  for (int i = 0; i < kMessages; ++i) {
    REQUIRE(TakeBatch(&b) == std::to_string(i));
  }
  b.mesh.Broadcast(PeerSuspectCleared{static_cast<Fingerprint>(7)});
  auto received = a.inbox.Take<PeerReceived>();
  REQUIRE(received);
  CHECK(received->from == b.id);
  CHECK(std::holds_alternative<PeerSuspectCleared>(received->message));
  // Larger than the HTTP/2 flow control window.
  const std::string large(900'000, 'x');
  a.mesh.Send(b.id, PeerChargeStored{large});
  CHECK(TakeBatch(&b) == large);
}

// Guards against a peer that is not reconnected after a restart.
TEST_CASE("peer mesh reconnects to a restarted peer", "[peer]") {
  Instance a("a");
  auto b = std::make_unique<Instance>("b");
  const PeerAddress address = b->Address();
  a.mesh.SetPeers({address});
  REQUIRE(a.inbox.Take<PeerUp>());
  b.reset();
  auto down = a.inbox.Take<PeerDown>();
  REQUIRE(down);
  CHECK(down->instance == InstanceId("b"));
  std::this_thread::sleep_for(milliseconds(200));
  b = std::make_unique<Instance>("b", address.address);
  REQUIRE(a.inbox.Take<PeerUp>());
  a.mesh.Send(b->id, PeerChargeStored{"again"});
  CHECK(TakeBatch(b.get()) == "again");
}

// Guards against a connection to an instance that is no longer in the list.
TEST_CASE("peer mesh closes connections to removed peers", "[peer]") {
  Instance a("a");
  Instance b("b");
  a.mesh.SetPeers({b.Address()});
  REQUIRE(a.inbox.Take<PeerUp>());
  a.mesh.SetPeers({});
  CHECK(a.inbox.Take<PeerDown>());
  CHECK_FALSE(a.inbox.Take<PeerUp>(milliseconds(200)));
}

// Returns an empty HTTP/2 SETTINGS frame.
std::string SettingsFrame() {
  return std::string("\0\0\0\4\0\0\0\0\0", 9);
}

// Guards against a half-open connection that is treated as live.
TEST_CASE("peer mesh detects a silent peer", "[peer]") {
  const TestSocket listener = ListenOnLoopback();
  Instance a("a");
  a.mesh.SetPeers({PeerAddress{
      InstanceId("b"), "127.0.0.1:" + std::to_string(LocalPortOf(listener))}});
  const TestSocket silent = AcceptFrom(listener, milliseconds(5000));
  REQUIRE(silent.descriptor() >= 0);
  silent.Write(SettingsFrame());
  REQUIRE(a.inbox.Take<PeerUp>());
  const auto start = std::chrono::steady_clock::now();
  REQUIRE(a.inbox.Take<PeerDown>());
  CHECK(std::chrono::steady_clock::now() - start < milliseconds(4000));
  // The mesh reconnects.
  CHECK(AcceptFrom(listener, milliseconds(5000)).descriptor() >= 0);
}

// Guards against a timeout that closes idle but healthy connections.
TEST_CASE("peer mesh keeps idle connections open", "[peer]") {
  Instance a("a");
  Instance b("b");
  a.mesh.SetPeers({b.Address()});
  REQUIRE(a.inbox.Take<PeerUp>());
  CHECK_FALSE(a.inbox.Take<PeerDown>(milliseconds(2500)));
}

std::string MakeFrame(char type,
                      char flags,
                      char stream,
                      const std::string& body) {
  std::string frame(9, '\0');
  frame[0] = static_cast<char>(body.size() >> 16U);
  frame[1] = static_cast<char>(body.size() >> 8U);
  frame[2] = static_cast<char>(body.size());
  frame[3] = type;
  frame[4] = flags;
  frame[8] = stream;
  return frame + body;
}

// Returns the bytes that open an HTTP/2 stream and send `data` on it.
std::string EncodeStream(const std::string& data) {
  // POST, http, path "/" and authority "x", encoded with HPACK.
  const std::string headers("\x83\x86\x84\x41\x01x", 6);
  return "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + SettingsFrame() +
         MakeFrame(1, 4, 1, headers) + MakeFrame(0, 0, 1, data);
}

// Reads until the other side closes the connection; returns false if it does
// not.
bool WaitForClose(const TestSocket& socket) {
  const auto deadline = std::chrono::steady_clock::now() + milliseconds(5000);
  while (std::chrono::steady_clock::now() < deadline) {
    const auto start = std::chrono::steady_clock::now();
    const bool empty = socket.ReadSome(milliseconds(300)).empty();
    if (empty && std::chrono::steady_clock::now() - start < milliseconds(250)) {
      return true;
    }
  }
  return false;
}

// Guards against a crash or a hang on invalid input, and against a rejection
// that is not logged.
TEST_CASE("peer mesh rejects invalid messages", "[peer]") {
  Instance a("a");
  const std::string hello = EncodePeerFrame(PeerHello{InstanceId("evil")});
  std::string input;
  SECTION("not HTTP/2") {
    input = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  }
  SECTION("not msgpack") {
    input = EncodeStream(hello + std::string("\0\0\0\2\xc1\xc1", 6));
  }
  SECTION("unknown type") {
    input = EncodeStream(hello + std::string("\0\0\0\2\x91\x7f", 6));
  }
  SECTION("oversized") {
    input = EncodeStream(hello + std::string("\x7f\0\0\0", 4));
  }
  SECTION("no sender") {
    input = EncodeStream(EncodePeerFrame(PeerMessage(PeerChargeStored{"x"})));
  }
  const TestSocket client = ConnectToLoopback(a.Port());
  client.Write(input);
  CHECK(WaitForClose(client));
  CHECK(a.log.Count(EventId::kPeerMessageRejected) == 1);
  CHECK_FALSE(a.inbox.Take<PeerReceived>(milliseconds(0)));
  // Other peers are still served.
  Instance b("b");
  b.mesh.SetPeers({a.Address()});
  REQUIRE(b.inbox.Take<PeerUp>());
  b.mesh.Send(a.id, PeerChargeStored{"valid"});
  CHECK(TakeBatch(&a) == "valid");
}

// Guards against a crash on random input in HTTP/2, the framing or msgpack.
TEST_CASE("peer mesh survives random input", "[peer]") {
  Instance a("a");
  SystemRandom random(TestSeed());
  INFO("seed " << random.seed());
  const std::string hello = EncodePeerFrame(PeerHello{InstanceId("evil")});
  for (int round = 0; round < 300; ++round) {
    std::string data(random.Next() % 200, '\0');
    for (char& byte : data) {
      byte = static_cast<char>(random.Next());
    }
    std::string input = EncodeStream(hello + data);
    if (round % 2 == 0) {
      input[random.Next() % input.size()] = static_cast<char>(random.Next());
    }
    const TestSocket client = ConnectToLoopback(a.Port());
    client.Write(input);
  }
  Instance b("b");
  b.mesh.SetPeers({a.Address()});
  REQUIRE(b.inbox.Take<PeerUp>());
  b.mesh.Send(a.id, PeerChargeStored{"valid"});
  std::optional<PeerReceived> received;
  do {
    received = a.inbox.Take<PeerReceived>();
    REQUIRE(received);
  } while (received->from != b.id);
}

// Guards against messages that are lost because the core is slow.
TEST_CASE("peer mesh waits for room in the core's ring", "[peer]") {
  Instance a("a");
  Instance b("b", "127.0.0.1:0", 2);
  a.mesh.SetPeers({b.Address()});
  REQUIRE(a.inbox.Take<PeerUp>());
  constexpr int kMessages = 100;
  for (int i = 0; i < kMessages; ++i) {
    a.mesh.Send(b.id, PeerChargeStored{std::to_string(i)});
  }
  std::this_thread::sleep_for(milliseconds(100));
  for (int i = 0; i < kMessages; ++i) {
    REQUIRE(TakeBatch(&b) == std::to_string(i));
  }
}

// Guards against an unlimited queue, and against heartbeats that displace
// charges.
TEST_CASE("message queue drops the oldest heartbeat when full", "[peer]") {
  MessageQueue queue(3, 1000);
  CHECK(queue.Push("h1", true));
  CHECK(queue.Push("c1", false));
  CHECK(queue.Push("h2", true));
  CHECK(queue.Push("c2", false));
  CHECK(queue.Push("h3", true));
  CHECK(queue.Push("c3", false));
  CHECK_FALSE(queue.Push("h4", true));
  CHECK_FALSE(queue.Push("c4", false));
  CHECK(queue.size() == 3);
  std::string read(100, '\0');
  read.resize(queue.Read(reinterpret_cast<std::uint8_t*>(read.data()), 100));
  CHECK(read == "c1c2c3");
  MessageQueue bytes(100, 10);
  CHECK(bytes.Push("123456", true));
  std::uint8_t first = 0;
  CHECK(bytes.Read(&first, 1) == 1);
  // A message that has been partly read cannot be dropped.
  CHECK_FALSE(bytes.Push("123456", false));
}

}  // namespace
}  // namespace filbertshift
