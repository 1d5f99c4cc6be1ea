// Tests of endpoints that send nothing for a while: sound ones that pause, and
// ones that are gone.

#include <catch2/catch.hpp>

#include "tests/unit/gateway/forwarder_fixture.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;
using Arrival = ForwarderFixture::Arrival;

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Starts a stream and delivers its first event.
Arrival StartStream(ForwarderFixture* f,
                    const std::string& id,
                    ConnectionId* caller) {
  *caller = f->Request("POST", "/stream/x", id, "", "b");
  Arrival arrival = f->NextArrival();
  f->Respond(arrival, ForwarderFixture::StreamHead(id));
  f->Respond(arrival, ForwarderFixture::Event(1));
  return arrival;
}

// Guards against a log that does not tell a silent endpoint from a late check.
TEST_CASE("a move for silence is logged with what decided it", "[gateway]") {
  ForwarderFixture f;
  ConnectionId caller{};
  Arrival first = StartStream(&f, "r1", &caller);
  f.transport.SetDown("10.0.0.1:80");
  f.transport.SetDown("10.0.0.2:80");
  f.transport.Advance(milliseconds(1000));
  const std::vector<std::string>& moves =
      f.log.details[EventId::kAttemptMoved];
  REQUIRE(moves.size() == 1);
  CHECK(Contains(moves[0], "reason=silent last_event=1 "));
  CHECK(Contains(moves[0], "endpoint_silent_ms=9"));
  CHECK(Contains(moves[0], "endpoint_requests=1 "));
  CHECK(Contains(moves[0], "sweep_delay_ms=0 "));
  CHECK(Contains(moves[0], "repeats_left="));
}

// Guards against an answer that the instance broke off without a count.
TEST_CASE("an answer that is broken off is counted by its cause", "[gateway]") {
  ForwarderFixture f(1);
  ConnectionId caller{};
  Arrival first = StartStream(&f, "r1", &caller);
  f.transport.SetDown("10.0.0.1:80");
  f.transport.End(first.connection, ConnectionEnd::kReset);
  f.transport.Advance(milliseconds(20000));
  CHECK(f.transport.At(caller).aborted);
  CHECK(Contains(f.metrics.Serialize(),
                 "filbertshift_answers_broken_off_total{reason=\"attempts\"} 1"));
  const std::vector<std::string>& ends =
      f.log.details[EventId::kExchangeFinished];
  REQUIRE(ends.size() == 1);
  CHECK(Contains(ends[0], "outcome=broken_off "));
  CHECK(Contains(ends[0], " end=attempts"));
}

}  // namespace
}  // namespace filbertshift
