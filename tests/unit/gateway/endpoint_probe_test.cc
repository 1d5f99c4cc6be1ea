// Tests of probes by connection only, on a fake transport and on real sockets.

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <memory>
#include <optional>

#include "src/gateway/endpoint_probe.h"
#include "tests/unit/support/fake_transport.h"
#include "tests/unit/support/loopback.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;
using Result = EndpointProbe::Result;

// Probes once on a loop of real sockets.
std::optional<Result> ProbeOnLoopback(int port) {
  TcpLoop loop(milliseconds(1000));
  EndpointProbe probe(&loop);
  std::optional<Result> result;
  probe.Probe(fmt::format("127.0.0.1:{}", port), milliseconds(2000),
              [&](Result value) {
                result = value;
                loop.Stop();
              });
  loop.After(milliseconds(5000), [&] { loop.Stop(); });
  loop.Run();
  return result;
}

// Guards against taking a process that pauses for a host that is gone.
TEST_CASE("a probe is accepted while the process does not accept",
          "[gateway]") {
  TestSocket listener = ListenOnLoopback();
  CHECK(ProbeOnLoopback(LocalPortOf(listener)) == Result::kAccepted);
  // The probe closed its connection and sent nothing.
  TestSocket accepted = AcceptFrom(listener, milliseconds(1000));
  REQUIRE(accepted.descriptor() >= 0);
  CHECK(accepted.ReadSome(milliseconds(1000)).empty());
}

// Guards against taking a process that has ended for a host that is gone.
TEST_CASE("a probe of a port that nothing listens on is refused", "[gateway]") {
  TestSocket listener = ListenOnLoopback();
  int port = LocalPortOf(listener);
  listener.Close();
  CHECK(ProbeOnLoopback(port) == Result::kRefused);
}

TEST_CASE("a probe without a reply ends at its timeout", "[gateway]") {
  FakeTransport transport;
  EndpointProbe probe(&transport);
  transport.SetDown("10.0.0.1:80");
  std::optional<Result> result;
  probe.Probe("10.0.0.1:80", milliseconds(250),
              [&](Result value) { result = value; });
  transport.Advance(milliseconds(249));
  CHECK_FALSE(result.has_value());
  transport.Advance(milliseconds(1));
  CHECK(result == Result::kUnanswered);
  CHECK(probe.in_progress() == 0);
}

TEST_CASE("a probe sends nothing and leaves no connection", "[gateway]") {
  FakeTransport transport;
  EndpointProbe probe(&transport);
  std::optional<Result> result;
  probe.Probe("10.0.0.1:80", milliseconds(250),
              [&](Result value) { result = value; });
  ConnectionId connection = transport.OpenTo("10.0.0.1:80").front();
  transport.Advance(milliseconds(1));
  CHECK(result == Result::kAccepted);
  CHECK(transport.At(connection).sent.empty());
  CHECK(transport.OpenTo("10.0.0.1:80").empty());
}

// Guards against a result that arrives after its receiver has gone.
TEST_CASE("a probe that is destroyed reports nothing", "[gateway]") {
  FakeTransport transport;
  auto probe = std::make_unique<EndpointProbe>(&transport);
  bool reported = false;
  probe->Probe("10.0.0.1:80", milliseconds(250),
               [&](Result) { reported = true; });
  probe.reset();
  transport.Advance(milliseconds(500));
  CHECK_FALSE(reported);
  CHECK(transport.OpenTo("10.0.0.1:80").empty());
}

}  // namespace
}  // namespace filbertshift
