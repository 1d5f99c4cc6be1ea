// Tests of the decision when a request leaves a silent endpoint, and of the
// measure of silence that it is based on.

#include <catch2/catch.hpp>

#include "src/dispatch/dispatch.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr milliseconds kTick{50};

SilenceQuery RunningStream() {
  SilenceQuery query;
  query.streamed = true;
  query.head_seen = true;
  query.objective = milliseconds(2000);
  query.gap_objective = milliseconds(1000);
  return query;
}

SilenceReason ReasonToLeave(SilenceQuery query,
                            milliseconds silence,
                            Reachability reachability) {
  query.response = silence;
  query.endpoint = silence;
  query.reachability = reachability;
  return DecideOnSilence(query).leave;
}

// Guards against a stream that waits for a host that is gone.
TEST_CASE("a host that is gone is left within the allowed pause",
          "[dispatch]") {
  SilenceQuery query = RunningStream();
  CHECK(ReasonToLeave(query, milliseconds(850), Reachability::kGone) ==
        SilenceReason::kNone);
  CHECK(ReasonToLeave(query, milliseconds(950), Reachability::kGone) ==
        SilenceReason::kGone);
  query.data_centre_stalled = true;
  CHECK(ReasonToLeave(query, milliseconds(350), Reachability::kGone) ==
        SilenceReason::kGone);
}

// Guards against leaving a sound endpoint that sends nothing for a second or
// so, whatever pause the route allows, and against waiting for a hung one until
// the caller leaves.
TEST_CASE(
    "a reachable endpoint is lost between a sound silence and the "
    "callers' wait",
    "[dispatch]") {
  for (int gap : {100, 250, 500, 1000, 1500, 4000}) {
    for (int objective : {200, 500, 1000, 2000, 8000}) {
      INFO(gap << " " << objective);
      SilenceQuery query = RunningStream();
      query.gap_objective = milliseconds(gap);
      query.objective = milliseconds(objective);
      milliseconds caller_wait(std::max({2000, 4 * objective, 8 * gap}));
      for (Reachability reachability :
           {Reachability::kReachable, Reachability::kUnknown}) {
        CHECK(ReasonToLeave(query, milliseconds(1300), reachability) ==
              SilenceReason::kNone);
        CHECK(ReasonToLeave(query, caller_wait * 4 / 5, reachability) ==
              SilenceReason::kLost);
      }
      query.data_centre_stalled = true;
      CHECK(ReasonToLeave(query, milliseconds(1300),
                          Reachability::kReachable) == SilenceReason::kNone);
    }
  }
}

// Guards against a stream that does not advance while its endpoint serves
// others.
TEST_CASE("a stream of an active endpoint is left after a long pause",
          "[dispatch]") {
  SilenceQuery query = RunningStream();
  query.response = milliseconds(2400);
  CHECK(DecideOnSilence(query).leave == SilenceReason::kNone);
  query.response = milliseconds(2600);
  CHECK(DecideOnSilence(query).leave == SilenceReason::kPaused);
  query.head_seen = false;
  CHECK(DecideOnSilence(query).leave == SilenceReason::kNone);
}

// Guards against probes of endpoints whose pauses are usual.
TEST_CASE("a probe follows a silence of half of the allowed pause",
          "[dispatch]") {
  SilenceQuery query = RunningStream();
  query.endpoint = milliseconds(500);
  CHECK_FALSE(DecideOnSilence(query).probe);
  query.endpoint = milliseconds(650);
  CHECK(DecideOnSilence(query).probe);
  query.endpoint = milliseconds(100);
  query.data_centre_stalled = true;
  CHECK(DecideOnSilence(query).probe);
}

TEST_CASE("a whole answer is asked for elsewhere before its objective",
          "[dispatch]") {
  SilenceQuery query;
  query.objective = milliseconds(300);
  query.response = milliseconds(200);
  CHECK(DecideOnSilence(query).leave == SilenceReason::kNone);
  query.response = milliseconds(220);
  CHECK(DecideOnSilence(query).leave == SilenceReason::kSlow);
  CHECK_FALSE(DecideOnSilence(query).probe);
}

// Guards against a result of an earlier silence that decides on this one.
TEST_CASE("a probe counts for the silence in which it started", "[dispatch]") {
  EndpointReachability table;
  EndpointId endpoint("e1");
  CHECK(table.IsProbeDue(endpoint, kStart, kStart + milliseconds(600)));
  table.OnProbeStarted(endpoint, kStart + milliseconds(600));
  CHECK_FALSE(table.IsProbeDue(endpoint, kStart, kStart + milliseconds(1700)));
  CHECK(table.Of(endpoint, kStart) == Reachability::kUnknown);
  table.OnProbeEnded(endpoint, Reachability::kGone);
  CHECK(table.Of(endpoint, kStart) == Reachability::kGone);
  TimePoint next = kStart + milliseconds(700);
  CHECK(table.Of(endpoint, next) == Reachability::kUnknown);
  CHECK(table.IsProbeDue(endpoint, next, next + milliseconds(600)));
  CHECK_FALSE(table.IsProbeDue(endpoint, kStart, kStart + milliseconds(1500)));
  CHECK(table.IsProbeDue(endpoint, kStart, kStart + milliseconds(1600)));
}

TEST_CASE("a probe without a result is repeated", "[dispatch]") {
  EndpointReachability table;
  EndpointId endpoint("e1");
  table.OnProbeStarted(endpoint, kStart + milliseconds(600));
  table.OnProbeEnded(endpoint, Reachability::kUnknown);
  CHECK(table.IsProbeDue(endpoint, kStart, kStart + milliseconds(700)));
}

// Guards against taking a stall of this instance for silence of its endpoints.
TEST_CASE("silence leaves out time in which nothing was read", "[dispatch]") {
  ObservedTime observed(kStart, kTick);
  TimePoint now = kStart;
  for (int i = 0; i < 10; ++i) {
    now += kTick;
    observed.OnTick(now);
  }
  CHECK(observed.Since(kStart) == milliseconds(500));
  now += milliseconds(3000);
  observed.OnTick(now);
  CHECK(observed.delay() == milliseconds(2950));
  CHECK(observed.Since(kStart) == milliseconds(500));
  now += kTick;
  observed.OnTick(now);
  CHECK(observed.delay() == milliseconds(0));
  CHECK(observed.Since(kStart) == milliseconds(600));
  CHECK(observed.Since(kStart + milliseconds(2000)) == kTick);
  CHECK(observed.Since(now + kTick) == milliseconds(0));
}

// Guards against a probe that counts as unanswered because its reply is unread.
TEST_CASE("time after the latest tick counts until the next is late",
          "[dispatch]") {
  ObservedTime observed(kStart, kTick);
  CHECK(observed.Between(kStart, kStart + milliseconds(80)) ==
        milliseconds(80));
  CHECK(observed.Between(kStart, kStart + milliseconds(3000)) == kTick);
}

// Guards against an instance without enough processor time that never finds a
// silent endpoint.
TEST_CASE("an overloaded instance finds silence later, not never",
          "[dispatch]") {
  ObservedTime observed(kStart, kTick);
  TimePoint now = kStart;
  int ticks = 0;
  while (observed.Since(kStart) < milliseconds(900) && ticks < 100) {
    now += milliseconds(300);
    observed.OnTick(now);
    ++ticks;
  }
  CHECK(ticks < 25);
}

}  // namespace
}  // namespace filbertshift
