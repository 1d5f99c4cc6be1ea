// Tests of data centres of which two hosts were found gone.

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include "src/dispatch/dispatch.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

RoutedEndpoint Endpoint(const std::string& data_centre,
                        int number,
                        const std::string& address) {
  RoutedEndpoint record;
  record.endpoint = EndpointId(fmt::format("{}{}", data_centre, number));
  record.service = ServiceId("s");
  record.address = address;
  record.data_centre = DataCentreId(data_centre);
  record.version = VersionId("v1");
  record.slots = 48;
  return record;
}

DispatchQuery Query() {
  DispatchQuery query;
  query.service = ServiceId("s");
  query.local_data_centre = DataCentreId("a");
  return query;
}

// A query of a request that has left an endpoint.
DispatchQuery MovedQuery(const std::string& from) {
  DispatchQuery query = Query();
  query.excluded = {EndpointId(from)};
  query.may_probe = false;
  return query;
}

// Data centre a with two busy endpoints, b with three idle ones, of which the
// first two are on the hosts given.
struct Fixture {
  explicit Fixture(const std::string& first_host = "10.1.0.1",
                   const std::string& second_host = "10.1.0.2") {
    pool.Update(Endpoint("a", 1, "10.0.0.1:80"), kStart);
    pool.Update(Endpoint("a", 2, "10.0.0.2:80"), kStart);
    pool.Update(Endpoint("b", 1, first_host + ":80"), kStart);
    pool.Update(Endpoint("b", 2, second_host + ":81"), kStart);
    pool.Update(Endpoint("b", 3, "10.1.0.3:80"), kStart);
    for (int i = 0; i < 20; ++i) {
      pool.OnStart(EndpointId(fmt::format("a{}", 1 + i % 2)), {}, kStart);
    }
    pool.OnStart(EndpointId("b1"), {}, kStart);
    pool.OnStart(EndpointId("b2"), {}, kStart);
  }
  std::string Centre(const DispatchChoice& choice) const {
    return choice.endpoint.has_value()
               ? pool.Find(*choice.endpoint)->data_centre.value()
               : "";
  }
  EndpointPool pool{{1.5, 5}};
};

// Guards against the loss of a connection timeout and of a repeat for each
// stream that leaves a lost host for another host of the same lost data centre.
TEST_CASE("a stream does not move within a lost data centre", "[dispatch]") {
  TimePoint now = kStart + milliseconds(1000);
  for (bool by_probe : {true, false}) {
    INFO(by_probe);
    Fixture f;
    for (const char* lost : {"b1", "b2"}) {
      if (by_probe) {
        f.pool.OnHostGone(EndpointId(lost), now);
      } else {
        f.pool.OnEnd(EndpointId(lost), {}, false, AttemptResult::kUnreachable,
                     now);
      }
    }
    DispatchChoice choice = f.pool.Choose(MovedQuery("b1"), now);
    CHECK(f.Centre(choice) == "a");
    CHECK_FALSE(choice.avoided);
    // Its state does not expire.
    now += milliseconds(60000);
    CHECK(f.Centre(f.pool.Choose(MovedQuery("b1"), now)) == "a");
  }
}

// Guards against an effect of a single lost host, however many endpoints it
// runs and however often it is found gone, on the other hosts.
TEST_CASE("one lost host does not discredit its data centre", "[dispatch]") {
  TimePoint now = kStart + milliseconds(1000);
  Fixture f("10.1.0.1", "10.1.0.1");
  for (int i = 0; i < 5; ++i) {
    f.pool.OnHostGone(EndpointId("b1"), now);
    f.pool.OnHostGone(EndpointId("b2"), now);
  }
  f.pool.OnEnd(EndpointId("b1"), {}, false, AttemptResult::kUnreachable, now);
  f.pool.OnEnd(EndpointId("b2"), {}, false, AttemptResult::kUnreachable, now);
  DispatchChoice choice = f.pool.Choose(MovedQuery("b1"), now);
  CHECK(choice.endpoint == EndpointId("b3"));
  CHECK_FALSE(choice.avoided);
}

// Guards against a data centre that stays avoided although it can be reached,
// and against counting hosts that were lost before it was last heard of.
TEST_CASE("a byte from a data centre ends its avoidance", "[dispatch]") {
  TimePoint now = kStart + milliseconds(1000);
  Fixture f;
  f.pool.OnHostGone(EndpointId("b1"), now);
  f.pool.OnActivity(EndpointId("b3"), now);
  f.pool.OnHostGone(EndpointId("b2"), now);
  CHECK(f.Centre(f.pool.Choose(MovedQuery("b1"), now)) == "b");
  f.pool.OnHostGone(EndpointId("b1"), now);
  CHECK(f.Centre(f.pool.Choose(MovedQuery("b1"), now)) == "a");
  f.pool.OnActivity(EndpointId("b3"), now);
  CHECK(f.Centre(f.pool.Choose(MovedQuery("b1"), now)) == "b");
}

// Guards against a lost data centre that is never tried again, and against one
// that costs more than a request each half second.
TEST_CASE("a lost data centre is probed twice a second", "[dispatch]") {
  Fixture f;
  TimePoint now = kStart + milliseconds(1000);
  f.pool.OnHostGone(EndpointId("b1"), now);
  f.pool.OnHostGone(EndpointId("b2"), now);
  std::map<bool, int> sent;
  for (int ms = 0; ms < 10000; ms += 10) {
    now += milliseconds(10);
    // Requests that run at most once are the probe only if no others come.
    DispatchQuery query = Query();
    query.may_probe = ms < 5000;
    EndpointId endpoint = *f.pool.Choose(query, now).endpoint;
    if (f.pool.Find(endpoint)->data_centre == DataCentreId("b")) {
      ++sent[query.may_probe];
      f.pool.OnStart(endpoint, {}, now);
      f.pool.OnEnd(endpoint, {}, false, AttemptResult::kUnreachable, now);
    }
  }
  CHECK(sent[true] >= 8);
  CHECK(sent[true] <= 11);
  CHECK(sent[false] >= 1);
  CHECK(sent[false] <= 3);
}

// Guards against refusing what only the lost data centre may be able to serve,
// and against preferring it to an endpoint that has just refused a request.
TEST_CASE("a lost data centre is the last resort", "[dispatch]") {
  TimePoint now = kStart + milliseconds(1000);
  Fixture f;
  f.pool.OnHostGone(EndpointId("b1"), now);
  f.pool.OnHostGone(EndpointId("b2"), now);
  for (const char* full : {"a1", "a2"}) {
    f.pool.OnEnd(EndpointId(full), {}, false, AttemptResult::kRefused, now);
  }
  DispatchChoice choice = f.pool.Choose(MovedQuery("b1"), now);
  CHECK(f.Centre(choice) == "a");
  CHECK(choice.avoided);
  DispatchQuery only_b = MovedQuery("b1");
  only_b.excluded.insert(only_b.excluded.end(),
                         {EndpointId("a1"), EndpointId("a2")});
  choice = f.pool.Choose(only_b, now);
  CHECK(f.Centre(choice) == "b");
  CHECK(choice.avoided);
}

}  // namespace
}  // namespace filbertshift
