// Tests jobs: their charges, and their submission during a shutdown.

#include <catch2/catch.hpp>

#include "tests/unit/core/core_fixture.h"

namespace filbertshift {
namespace {

// Guards against a charge for a run that is charged when the job is done by
// another claim.
TEST_CASE("a run whose lease was lost is not charged", "[core]") {
  CoreFixture fixture;
  CallerId caller = fixture.Chat("draft", false, {{"Prefer", "respond-async"}});
  REQUIRE(fixture.Record(caller).http_status == 202);
  fixture.Advance(std::chrono::seconds(5));
  AttemptSpec first = fixture.LastAttempt();
  fixture.Stream(first, {"one "});
  fixture.client.down = true;
  for (int i = 0; i < 30 && fixture.endpoints.cancelled.empty(); ++i) {
    fixture.Advance(std::chrono::milliseconds(500));
    fixture.Stream(first, {"two "});
  }
  REQUIRE(fixture.endpoints.cancelled.size() == 1);
  REQUIRE(fixture.endpoints.cancelled.front() == first.attempt);
  fixture.End(first, AttemptOutcome::kCancelled);
  fixture.client.down = false;
  for (int i = 0; i < 60 && fixture.endpoints.started.size() == 1; ++i) {
    fixture.Advance(std::chrono::milliseconds(500));
  }
  AttemptSpec second = fixture.LastAttempt();
  REQUIRE(second.attempt != first.attempt);
  fixture.Stream(second, {"one ", "two"});
  fixture.EndStream(second);
  fixture.Advance(std::chrono::seconds(5));
  // The charge of a job is part of its row.
  auto row = fixture.store.rows.lower_bound("job/");
  REQUIRE(row != fixture.store.rows.end());
  CHECK(row->second.value.find("\"charge\"") != std::string::npos);
  CHECK(fixture.store.Count("charges/") == 0);
}

// Guards against a caller that gets no answer although its job is stored and
// runs.
TEST_CASE("a shutdown waits for the answer to a job submission", "[core]") {
  CoreFixture fixture;
  CallerRequest request;
  request.caller = CallerId{100};
  request.received = fixture.clock.now;
  request.method = "POST";
  request.path = "/v1/chat/completions";
  request.headers = {{"Authorization", "Bearer key"},
                     {"Prefer", "respond-async"}};
  request.body =
      R"({"model":"small","messages":[{"role":"user","content":"draft"}]})";
  fixture.core.Handle(std::move(request));
  fixture.core.Handle(ShutdownRequested());
  fixture.core.Tick();
  REQUIRE_FALSE(fixture.Record(CallerId{100}).finished);
  CHECK_FALSE(fixture.core.IsDrained());
  fixture.Advance(std::chrono::seconds(1));
  CHECK(fixture.Record(CallerId{100}).http_status == 202);
  CHECK(fixture.core.IsDrained());
}

// Guards against an accepted job that fails for good because charges of other
// requests wait: its own charge is part of its row.
TEST_CASE("a job does not fail while the charge buffer is full", "[core]") {
  CoreFixture fixture;
  PeerChargeReplica replica;
  replica.batch = "charges/entry-1-1/1";
  for (int i = 0; i < 10000; ++i) {
    Charge charge;
    charge.id = std::to_string(i);
    replica.charges.push_back(ChargeToJson(charge));
  }
  fixture.core.Handle(PeerReceived{InstanceId("entry-1"), std::move(replica)});
  CallerId caller = fixture.Chat("draft", false, {{"Prefer", "respond-async"}});
  REQUIRE(fixture.Record(caller).http_status == 202);
  fixture.Advance(std::chrono::seconds(5));
  auto row = fixture.store.rows.lower_bound("job/");
  REQUIRE(row != fixture.store.rows.end());
  CHECK(row->second.value.find("\"failed\"") == std::string::npos);
}

}  // namespace
}  // namespace filbertshift
