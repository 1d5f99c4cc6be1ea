// Tests of endpoints that have asked for no new requests.

#include <catch2/catch.hpp>

#include <set>

#include "src/dispatch/dispatch.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
const EndpointId kFirst("e1");

RoutedEndpoint Endpoint(int number, std::int64_t started_at) {
  RoutedEndpoint record;
  record.endpoint = EndpointId("e" + std::to_string(number));
  record.service = ServiceId("s");
  record.address = "10.0.0." + std::to_string(number) + ":80";
  record.version = VersionId("v1");
  record.started_at = started_at;
  return record;
}

EndpointIncarnation First(std::int64_t started_at) {
  return IncarnationOf(Endpoint(1, started_at));
}

DispatchQuery Query() {
  DispatchQuery query;
  query.service = ServiceId("s");
  return query;
}

// Guards against a leaving endpoint that returns because its record was away.
TEST_CASE("a lapsed registration does not bring a leaving endpoint back",
          "[dispatch][notices]") {
  for (std::int64_t start : {0, 77}) {
    INFO(start);
    EndpointNotices notices(seconds(30));
    notices.OnRecord(Endpoint(1, start), kStart);
    CHECK(notices.OnLeaving(kFirst, First(start)));
    CHECK_FALSE(notices.OnLeaving(kFirst, First(start)));
    notices.OnRecordRemoved(kFirst, kStart + seconds(10));
    notices.OnRecord(Endpoint(1, start), kStart + seconds(14));
    CHECK(notices.IsLeaving(kFirst));
    // A record that does not have its start time for once.
    notices.OnRecord(Endpoint(1, 0), kStart + seconds(15));
    notices.OnRecord(Endpoint(1, start), kStart + seconds(16));
    CHECK(notices.IsLeaving(kFirst));
  }
}

// Guards against an id that is never used again after a first process left.
TEST_CASE("a new incarnation is not leaving", "[dispatch][notices]") {
  EndpointNotices notices(seconds(30));
  SECTION("with another start") {
    notices.OnRecord(Endpoint(1, 77), kStart);
    notices.OnLeaving(kFirst, First(77));
    notices.OnRecord(Endpoint(1, 78), kStart);
    CHECK_FALSE(notices.OnLeaving(kFirst, First(77)));
  }
  SECTION("at another address") {
    notices.OnRecord(Endpoint(1, 0), kStart);
    notices.OnLeaving(kFirst, First(0));
    RoutedEndpoint moved = Endpoint(1, 0);
    moved.address = "10.0.0.9:80";
    notices.OnRecord(moved, kStart);
  }
  SECTION("of unknown start, long after the record was removed") {
    notices.OnRecord(Endpoint(1, 0), kStart);
    notices.OnLeaving(kFirst, First(0));
    notices.OnRecordRemoved(kFirst, kStart);
    notices.OnRecord(Endpoint(1, 0), kStart + seconds(6));
  }
  CHECK_FALSE(notices.IsLeaving(kFirst));
}

TEST_CASE("an endpoint whose record is gone is remembered as leaving",
          "[dispatch][notices]") {
  EndpointNotices notices(seconds(30));
  notices.OnRecord(Endpoint(1, 77), kStart);
  notices.OnRecordRemoved(kFirst, kStart);
  CHECK(notices.OnLeaving(kFirst, First(77)));
  notices.OnRecord(Endpoint(1, 77), kStart + minutes(5));
  CHECK(notices.IsLeaving(kFirst));
}

TEST_CASE("a later refusal does not shorten a pause", "[dispatch][notices]") {
  EndpointNotices notices(seconds(30));
  notices.OnRecord(Endpoint(1, 77), kStart);
  CHECK(notices.OnPause(kFirst, First(77), seconds(4), kStart));
  CHECK_FALSE(
      notices.OnPause(kFirst, First(77), seconds(1), kStart + seconds(1)));
  CHECK(notices.PausedUntil(kFirst, kStart + seconds(3)) ==
        kStart + seconds(4));
  CHECK_FALSE(notices.PausedUntil(kFirst, kStart + seconds(4)).has_value());
}

// Guards against the use of an endpoint that asked for nothing, instead of one
// that is only avoided.
TEST_CASE("a paused or leaving endpoint is no last resort",
          "[dispatch][notices]") {
  EndpointPool pool({1.5, 5}, seconds(30));
  pool.Update(Endpoint(1, 77), kStart);
  pool.Update(Endpoint(2, 77), kStart);
  TimePoint now = kStart + seconds(1);
  pool.OnStart(EndpointId("e2"), {}, now);
  pool.OnEnd(EndpointId("e2"), {}, false, AttemptResult::kBroken, now);
  SECTION("paused") {
    pool.notices().OnPause(kFirst, First(77), seconds(2), now);
    CHECK(pool.Choose(Query(), now).endpoint == EndpointId("e2"));
    pool.notices().OnPause(EndpointId("e2"), IncarnationOf(Endpoint(2, 77)),
                           seconds(1), now);
    DispatchChoice choice = pool.Choose(Query(), now);
    CHECK_FALSE(choice.endpoint.has_value());
    CHECK(choice.reason == NoEndpointReason::kPaused);
    CHECK(choice.free_at == now + seconds(1));
  }
  SECTION("leaving") {
    pool.notices().OnLeaving(kFirst, First(77));
    CHECK(pool.Choose(Query(), now).endpoint == EndpointId("e2"));
    CHECK(pool.CountReady(ServiceId("s"), VersionId("v1"), true) == 1);
    pool.notices().OnLeaving(EndpointId("e2"), IncarnationOf(Endpoint(2, 77)));
    CHECK(pool.Choose(Query(), now).reason == NoEndpointReason::kNoCandidate);
  }
}

// Guards against an endpoint that is avoided for longer than it asked for.
TEST_CASE("a request for a pause says nothing about health",
          "[dispatch][notices]") {
  EndpointPool pool({1.5, 5}, seconds(30));
  pool.Update(Endpoint(1, 77), kStart);
  pool.Update(Endpoint(2, 77), kStart);
  for (int i = 0; i < 50; ++i) {
    pool.OnStart(kFirst, {}, kStart);
    pool.OnEnd(kFirst, {}, true, AttemptResult::kPaused, kStart);
  }
  // The other endpoint has more load.
  pool.OnStart(EndpointId("e2"), {}, kStart);
  CHECK(pool.Choose(Query(), kStart).endpoint == kFirst);
}

TEST_CASE("callers return after a pause, not all at once",
          "[dispatch][notices]") {
  std::set<milliseconds> times;
  for (int i = 0; i < 200; ++i) {
    milliseconds time = SpreadRetryAfter(seconds(3), "r" + std::to_string(i));
    CHECK(time >= seconds(3));
    CHECK(time <= milliseconds(4500));
    CHECK(time == SpreadRetryAfter(seconds(3), "r" + std::to_string(i)));
    times.insert(time);
  }
  CHECK(times.size() > 150);
}

}  // namespace
}  // namespace filbertshift
