// Tests the run state that errors state.

#include <catch2/catch.hpp>

#include "tests/unit/core/core_fixture.h"

namespace filbertshift {
namespace {

Fingerprint FingerprintOfDraft() {
  CoreFixture fixture;
  fixture.Chat("draft", false);
  AttemptSpec attempt = fixture.LastAttempt();
  fixture.Sent(attempt);
  fixture.Crash(attempt);
  for (const PeerMessage& message : fixture.peers.sent) {
    if (const auto* suspect = std::get_if<PeerSuspect>(&message)) {
      return suspect->fingerprint;
    }
  }
  FAIL("no suspect was broadcast");
  return Fingerprint();
}

// Guards against a caller that takes a call that was never sent for done.
TEST_CASE("a request that is blocked before it was sent is reported as not run",
          "[core]") {
  Fingerprint fingerprint = FingerprintOfDraft();
  CoreFixture fixture;
  CallerId caller = fixture.Chat("draft", false);
  AttemptSpec attempt = fixture.LastAttempt();
  fixture.core.Handle(PeerReceived{
      InstanceId("entry-1"),
      PeerSuspect{fingerprint, {EndpointId("e7"), EndpointId("e8")}}});
  fixture.End(attempt, AttemptOutcome::kNotSent);
  REQUIRE(fixture.ErrorField(caller, "code") == "request_crashes_endpoints");
  CHECK(fixture.ErrorField(caller, "run") == "not_run");
}

// Guards against a request that is reported as not run although the endpoint
// thread sent it before it read the cancellation.
TEST_CASE("a repeatable request that may be sent at the deadline is unknown",
          "[core]") {
  CoreFixture fixture;
  CallerId caller = fixture.Chat("draft", false, {{"X-Deadline-Ms", "1000"}});
  AttemptSpec attempt = fixture.LastAttempt();
  fixture.Advance(std::chrono::milliseconds(1100));
  fixture.Sent(attempt);
  fixture.End(attempt, AttemptOutcome::kCancelled);
  fixture.Advance(std::chrono::seconds(1));
  REQUIRE(fixture.Record(caller).finished);
  CHECK(fixture.ErrorField(caller, "run") == "unknown");
}

}  // namespace
}  // namespace filbertshift
