// Tests of the fault-injecting proxy over loopback.

#include <catch2/catch.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <string>

#include "emulator/proxy/proxy.h"
#include "tests/unit/emulator/test_socket.h"

namespace filbertshift::emulator {
namespace {

using std::chrono::milliseconds;

// Long enough for loopback on a busy machine.
constexpr milliseconds kArrival{5000};
// Time in which frozen bytes would have arrived.
constexpr milliseconds kSilence{100};

// The target that the test plays itself.
class Target {
 public:
  Target() : listener_(BindTcpSocket(&address_)) { listen(listener_, 16); }
  ~Target() { close(listener_); }
  Target(const Target&) = delete;
  Target& operator=(const Target&) = delete;

  const ListenAddress& address() const { return address_; }

  // Waits for the next connection.
  int Accept() const {
    const auto deadline = std::chrono::steady_clock::now() + kArrival;
    while (std::chrono::steady_clock::now() < deadline) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        return fd;
      }
      usleep(1000);
    }
    return -1;
  }

 private:
  ListenAddress address_{"127.0.0.1", 0};
  int listener_;
};

struct Fixture {
  Target target;
  FaultProxy proxy{{"127.0.0.1", 0}, target.address()};
};

// Guards against a freeze that closes connections, lets bytes through or loses
// them.
TEST_CASE("a frozen connection stays open and later goes on",
          "[emulator][proxy]") {
  Fixture fixture;
  TestSocket client(TestSocket::Connect(fixture.proxy.address()));
  TestSocket server(fixture.target.Accept());
  client.Send("a");
  REQUIRE(server.Receive(1, kArrival) == "a");

  ProxyFaults faults;
  faults.freeze_to_client = true;
  faults.freeze_to_target = true;
  fixture.proxy.SetFaults(faults);
  client.Send("b");
  server.Send("c");
  CHECK(server.Receive(1, kSilence).empty());
  CHECK(client.Receive(1, kSilence).empty());
  CHECK_FALSE(client.ClosedWithin(kSilence));

  fixture.proxy.SetFaults(ProxyFaults());
  CHECK(server.Receive(1, kArrival) == "b");
  CHECK(client.Receive(1, kArrival) == "c");
}

// Guards against a one-way freeze that stops both directions.
TEST_CASE("a one-way freeze lets the other direction through",
          "[emulator][proxy]") {
  Fixture fixture;
  TestSocket client(TestSocket::Connect(fixture.proxy.address()));
  TestSocket server(fixture.target.Accept());
  const bool to_client = GENERATE(true, false);
  ProxyFaults faults;
  faults.freeze_to_client = to_client;
  faults.freeze_to_target = !to_client;
  fixture.proxy.SetFaults(faults);
  client.Send("a");
  server.Send("b");
  CHECK(server.Receive(1, to_client ? kArrival : kSilence) ==
        (to_client ? "a" : ""));
  CHECK(client.Receive(1, to_client ? kSilence : kArrival) ==
        (to_client ? "" : "b"));
}

// Guards against a cut that leaves connections open or still accepts new ones,
// and against a proxy that loses its port meanwhile.
TEST_CASE("a cut resets connections and refuses new ones",
          "[emulator][proxy]") {
  Fixture fixture;
  TestSocket client(TestSocket::Connect(fixture.proxy.address()));
  TestSocket server(fixture.target.Accept());
  ProxyFaults faults;
  faults.cut = true;
  fixture.proxy.SetFaults(faults);
  CHECK(client.ClosedWithin(kArrival));
  CHECK(server.ClosedWithin(kArrival));
  TestSocket refused(TestSocket::Connect(fixture.proxy.address()));
  CHECK_FALSE(refused.connected());
  fixture.proxy.SetFaults(ProxyFaults());
  TestSocket accepted(TestSocket::Connect(fixture.proxy.address()));
  CHECK(accepted.connected());
}

// Guards against a lost reply whose request was lost as well.
TEST_CASE("a dropped reply follows a forwarded request", "[emulator][proxy]") {
  Fixture fixture;
  ProxyFaults faults;
  faults.drop_replies = 1;
  fixture.proxy.SetFaults(faults);
  TestSocket client(TestSocket::Connect(fixture.proxy.address()));
  TestSocket server(fixture.target.Accept());
  client.Send("request");
  REQUIRE(server.Receive(7, kArrival) == "request");
  server.Send("reply");
  CHECK(client.Receive(5, kArrival).empty());
  CHECK(client.ClosedWithin(kArrival));

  TestSocket second_client(TestSocket::Connect(fixture.proxy.address()));
  TestSocket second_server(fixture.target.Accept());
  second_server.Send("reply");
  CHECK(second_client.Receive(5, kArrival) == "reply");
}

// Guards against a half-open connection that tells the client of the loss.
TEST_CASE("a half-open connection is silent, then reset", "[emulator][proxy]") {
  Fixture fixture;
  TestSocket client(TestSocket::Connect(fixture.proxy.address()));
  TestSocket server(fixture.target.Accept());
  ProxyFaults faults;
  faults.half_open = true;
  fixture.proxy.SetFaults(faults);
  CHECK(server.ClosedWithin(kArrival));
  client.Send("a");
  CHECK_FALSE(client.ClosedWithin(kSilence));
  fixture.proxy.SetFaults(ProxyFaults());
  CHECK(client.ClosedWithin(kArrival));
}

// Guards against a delay that reorders bytes or does not apply.
TEST_CASE("delayed bytes arrive late and in order", "[emulator][proxy]") {
  Fixture fixture;
  ProxyFaults faults;
  faults.delay = milliseconds(80);
  fixture.proxy.SetFaults(faults);
  TestSocket client(TestSocket::Connect(fixture.proxy.address()));
  TestSocket server(fixture.target.Accept());
  const auto start = std::chrono::steady_clock::now();
  client.Send("a");
  client.Send("b");
  CHECK(server.Receive(2, kArrival) == "ab");
  CHECK(std::chrono::steady_clock::now() - start >= milliseconds(80));
}

}  // namespace
}  // namespace filbertshift::emulator
