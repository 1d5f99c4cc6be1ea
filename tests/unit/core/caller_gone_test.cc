// Tests calls with an idempotency key whose caller has disconnected.

#include <catch2/catch.hpp>

#include "tests/unit/core/core_fixture.h"

namespace filbertshift {
namespace {

// Guards against a second execution because the key of a call that could still
// be sent was released at the deadline.
TEST_CASE("a call without a caller keeps its key while it may be sent",
          "[core]") {
  CoreFixture fixture;
  CallerId caller = fixture.Post("/invoices", "k1", "{}");
  AttemptSpec attempt = fixture.LastAttempt();
  std::size_t attempts = fixture.endpoints.started.size();
  fixture.core.Handle(CallerDisconnected{caller});
  fixture.Advance(std::chrono::seconds(31));
  // The endpoint thread sent the call before it read the cancellation.
  fixture.Sent(attempt);
  fixture.End(attempt, AttemptOutcome::kCancelled);
  fixture.Post("/invoices", "k1", "{}");
  fixture.Advance(std::chrono::seconds(1));
  CHECK(fixture.endpoints.started.size() == attempts);
}

// Guards against a key that is blocked forever although its call was done: the
// caller that stays connected gets the answer with its next try.
TEST_CASE("a call is recorded after the deadline of a caller that has gone",
          "[core]") {
  bool gone = GENERATE(false, true);
  INFO("caller gone: " << gone);
  CoreFixture fixture;
  CallerId caller = fixture.Post("/invoices", "k1", "{}");
  AttemptSpec attempt = fixture.LastAttempt();
  fixture.Sent(attempt);
  if (gone) {
    fixture.core.Handle(CallerDisconnected{caller});
  }
  fixture.Advance(std::chrono::seconds(31));
  fixture.Head(attempt, 201, {{"Content-Type", "application/json"}});
  fixture.core.Handle(AttemptData{attempt.attempt, "{\"number\":7}"});
  fixture.End(attempt, AttemptOutcome::kComplete);
  CallerId again = fixture.Post("/invoices", "k1", "{}");
  fixture.Advance(std::chrono::seconds(31));
  CHECK(fixture.Record(again).http_status == 201);
  CHECK(fixture.Record(again).body == "{\"number\":7}");
}

}  // namespace
}  // namespace filbertshift
