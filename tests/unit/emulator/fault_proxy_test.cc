// Tests of the fault-injecting proxy over the loopback interface.

#include <catch2/catch.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <string>

#include "emulator/proxy/proxy.h"
#include "tests/unit/emulator/test_socket.h"

namespace filbertshift::emulator {
namespace {

using std::chrono::milliseconds;

// Sufficient for loopback on a heavily loaded machine.
constexpr milliseconds kArrivalTimeout{5000};
// Time within which data would arrive if it were not frozen.
constexpr milliseconds kQuietPeriod{100};

// The server behind the proxy, implemented by the test.
class Target {
 public:
  Target() : listener_(BindTcpSocket(&address_)) { listen(listener_, 16); }
  ~Target() { close(listener_); }
  Target(const Target&) = delete;
  Target& operator=(const Target&) = delete;

  const ListenAddress& address() const { return address_; }

  // Waits for the next connection. Returns -1 on timeout.
  int Accept() const {
    const auto deadline = std::chrono::steady_clock::now() + kArrivalTimeout;
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

// Guards against a freeze that closes connections, or forwards or loses data.
TEST_CASE("a frozen connection stays open and resumes without loss",
          "[emulator][proxy]") {
  Fixture fixture;
  TestSocket client(TestSocket::Connect(fixture.proxy.address()));
  TestSocket server(fixture.target.Accept());
  client.Send("a");
  REQUIRE(server.Receive(1, kArrivalTimeout) == "a");

  ProxyFaults faults;
  faults.freeze_to_client = true;
  faults.freeze_to_target = true;
  fixture.proxy.SetFaults(faults);
  client.Send("b");
  server.Send("c");
  CHECK(server.Receive(1, kQuietPeriod).empty());
  CHECK(client.Receive(1, kQuietPeriod).empty());
  CHECK_FALSE(client.ClosedWithin(kQuietPeriod));

  fixture.proxy.SetFaults(ProxyFaults());
  CHECK(server.Receive(1, kArrivalTimeout) == "b");
  CHECK(client.Receive(1, kArrivalTimeout) == "c");
}

// Guards against a one-way freeze that affects both directions.
TEST_CASE("a one-way freeze does not affect the other direction",
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
  CHECK(server.Receive(1, to_client ? kArrivalTimeout : kQuietPeriod) ==
        (to_client ? "a" : ""));
  CHECK(client.Receive(1, to_client ? kQuietPeriod : kArrivalTimeout) ==
        (to_client ? "" : "b"));
}

// Guards against a cut that leaves connections open or accepts new ones, and
// against losing the port during the cut.
TEST_CASE("a cut resets connections and refuses new ones",
          "[emulator][proxy]") {
  Fixture fixture;
  TestSocket client(TestSocket::Connect(fixture.proxy.address()));
  TestSocket server(fixture.target.Accept());
  ProxyFaults faults;
  faults.cut = true;
  fixture.proxy.SetFaults(faults);
  CHECK(client.ClosedWithin(kArrivalTimeout));
  CHECK(server.ClosedWithin(kArrivalTimeout));
  TestSocket refused(TestSocket::Connect(fixture.proxy.address()));
  CHECK_FALSE(refused.connected());
  fixture.proxy.SetFaults(ProxyFaults());
  TestSocket accepted(TestSocket::Connect(fixture.proxy.address()));
  CHECK(accepted.connected());
}

// Guards against dropping the request along with the reply.
TEST_CASE("a dropped reply follows a forwarded request", "[emulator][proxy]") {
  Fixture fixture;
  ProxyFaults faults;
  faults.drop_replies = 1;
  fixture.proxy.SetFaults(faults);
  TestSocket client(TestSocket::Connect(fixture.proxy.address()));
  TestSocket server(fixture.target.Accept());
  client.Send("request");
  REQUIRE(server.Receive(7, kArrivalTimeout) == "request");
  server.Send("reply");
  CHECK(client.Receive(5, kArrivalTimeout).empty());
  CHECK(client.ClosedWithin(kArrivalTimeout));

  TestSocket second_client(TestSocket::Connect(fixture.proxy.address()));
  TestSocket second_server(fixture.target.Accept());
  second_server.Send("reply");
  CHECK(second_client.Receive(5, kArrivalTimeout) == "reply");
}

// Guards against a half-open fault that the client can detect.
TEST_CASE("a half-open connection is silent until the fault is cleared",
          "[emulator][proxy]") {
  Fixture fixture;
  TestSocket client(TestSocket::Connect(fixture.proxy.address()));
  TestSocket server(fixture.target.Accept());
  ProxyFaults faults;
  faults.half_open = true;
  fixture.proxy.SetFaults(faults);
  CHECK(server.ClosedWithin(kArrivalTimeout));
  client.Send("a");
  CHECK_FALSE(client.ClosedWithin(kQuietPeriod));
  fixture.proxy.SetFaults(ProxyFaults());
  CHECK(client.ClosedWithin(kArrivalTimeout));
}

// Guards against a delay that reorders data or has no effect.
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
  CHECK(server.Receive(2, kArrivalTimeout) == "ab");
  CHECK(std::chrono::steady_clock::now() - start >= milliseconds(80));
}

}  // namespace
}  // namespace filbertshift::emulator
