// Tests of endpoint selection and of the limits that hold across all instances.

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

#include "src/dispatch/dispatch.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

std::shared_ptr<const FleetConfiguration> ColdService() {
  FleetConfiguration configuration;
  ServiceSettings service;
  service.service = ServiceId("s");
  service.cold_start = milliseconds(3000);
  service.cold_requests_per_second = 18;
  configuration.services[service.service] = service;
  return std::make_shared<const FleetConfiguration>(configuration);
}

RoutedEndpoint Endpoint(int number, const std::string& data_centre = "a") {
  RoutedEndpoint record;
  record.endpoint = EndpointId("e" + std::to_string(number));
  record.service = ServiceId("s");
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

// Guards against overloading a cold endpoint with the sum of all instances'
// requests while an instance joins that does not know the instance count yet.
TEST_CASE("cold endpoints get at most their bound", "[dispatch]") {
  ColdLimits limits{1.5, 5};
  for (int instances : {1, 4, 7, 32}) {
    INFO(instances);
    std::vector<EndpointPool> pools;
    for (int i = 0; i < instances; ++i) {
      pools.emplace_back(limits);
      pools.back().SetConfiguration(ColdService());
      pools.back().SetInstanceCount(instances);
      pools.back().SetColdAllowed(true);
      RoutedEndpoint cold = Endpoint(1);
      cold.cold_remaining = milliseconds(3000);
      pools.back().Update(cold, kStart);
    }
    EndpointPool joining(limits);
    joining.SetConfiguration(ColdService());
    RoutedEndpoint cold = Endpoint(1);
    cold.cold_remaining = milliseconds(3000);
    joining.Update(cold, kStart);
    pools.push_back(joining);
    std::vector<TimePoint> sends;
    for (int ms = 0; ms < 3000; ms += 2) {
      TimePoint now = kStart + milliseconds(ms);
      for (EndpointPool& pool : pools) {
        if (pool.Choose(Query(), now).endpoint.has_value()) {
          pool.OnStart(EndpointId("e1"), {}, now);
          sends.push_back(now);
        }
      }
    }
    for (std::size_t first = 0, last = 0; last < sends.size(); ++last) {
      while (sends[last] - sends[first] >= milliseconds(1000)) {
        ++first;
      }
      REQUIRE(last - first + 1 <= 18 * 1.5 + 5);
    }
  }
}

// Guards against full load on an endpoint that may have restarted before its
// record shows it.
TEST_CASE("an endpoint that broke off counts as cold", "[dispatch]") {
  EndpointPool pool({1.5, 5});
  pool.SetConfiguration(ColdService());
  pool.Update(Endpoint(1), kStart);
  pool.OnStart(EndpointId("e1"), {}, kStart);
  pool.OnEnd(EndpointId("e1"), {}, false, AttemptResult::kBroken, kStart);
  DispatchChoice choice = pool.Choose(Query(), kStart + milliseconds(1000));
  CHECK_FALSE(choice.endpoint.has_value());
  CHECK(choice.reason == NoEndpointReason::kColdLimit);
  CHECK(pool.Choose(Query(), kStart + milliseconds(3100)).endpoint.has_value());
}

// Guards against cache misses because each instance sends the same prompt
// prefix to a different endpoint.
TEST_CASE("instances agree on the endpoint of a shared prompt", "[dispatch]") {
  std::vector<EndpointPool> pools(3, EndpointPool({1.5, 5}));
  std::mt19937 random(1);
  for (EndpointPool& pool : pools) {
    std::vector<int> numbers = {1, 2, 3, 4, 5, 6, 7, 8};
    std::shuffle(numbers.begin(), numbers.end(), random);
    for (int number : numbers) {
      pool.Update(Endpoint(number), kStart);
    }
  }
  std::map<EndpointId, int> used;
  for (std::uint64_t affinity = 1; affinity <= 400; ++affinity) {
    DispatchQuery query = Query();
    query.affinity = affinity * 0x9e3779b97f4a7c15;
    query.work = {12000, 5000, 1};
    EndpointId first = *pools[0].Choose(query, kStart).endpoint;
    CHECK(*pools[1].Choose(query, kStart).endpoint == first);
    CHECK(*pools[2].Choose(query, kStart).endpoint == first);
    ++used[first];
  }
  CHECK(used.size() == 8);
}

// Guards against many instances that all send their requests to the same one of
// several free endpoints, since each knows only of its own.
TEST_CASE("instances spread requests over free endpoints", "[dispatch]") {
  constexpr int kInstances = 118;
  constexpr int kEndpoints = 3;
  constexpr int kRequests = 20;
  std::map<EndpointId, int> used;
  std::uint64_t request = 0;
  for (int i = 0; i < kInstances; ++i) {
    EndpointPool pool({1.5, 5});
    pool.SetInstanceCount(kInstances);
    for (int number = 1; number <= kEndpoints; ++number) {
      pool.Update(Endpoint(number), kStart);
    }
    for (int r = 0; r < kRequests; ++r) {
      DispatchQuery query = Query();
      query.affinity = ++request * 0x9e3779b97f4a7c15;
      ++used[*pool.Choose(query, kStart).endpoint];
    }
  }
  REQUIRE(used.size() == kEndpoints);
  for (const auto& entry : used) {
    CHECK(entry.second > kInstances * kRequests / kEndpoints * 8 / 10);
  }
}

// Guards against a first share of a rollout that all instances send to the same
// endpoint of the candidate: it is overloaded, and a sound version counts as
// slow and is sent back.
TEST_CASE("a subset of endpoints is used evenly", "[dispatch]") {
  constexpr int kInstances = 118;
  constexpr int kSubset = 12;
  constexpr int kRequests = 20;
  std::map<EndpointId, int> used;
  std::uint64_t prompt = 0;
  for (int i = 0; i < kInstances; ++i) {
    EndpointPool pool({1.5, 5});
    pool.SetInstanceCount(kInstances);
    for (int number = 1; number <= 100; ++number) {
      pool.Update(Endpoint(number), kStart);
    }
    for (int r = 0; r < kRequests; ++r) {
      DispatchQuery query = Query();
      query.max_endpoints = kSubset;
      query.affinity = ++prompt * 0x9e3779b97f4a7c15;
      query.work = {12000, 5000, 1};
      ++used[*pool.Choose(query, kStart).endpoint];
    }
  }
  CHECK(used.size() == kSubset);
  for (const auto& entry : used) {
    CHECK(entry.second < 2 * kInstances * kRequests / kSubset);
  }
}

// Guards against a frequent prompt prefix that overloads one endpoint.
TEST_CASE("load bounds the pull of a shared prompt", "[dispatch]") {
  EndpointPool pool({1.5, 5});
  for (int number = 1; number <= 6; ++number) {
    pool.Update(Endpoint(number), kStart);
  }
  std::map<EndpointId, int> used;
  for (int i = 0; i < 60; ++i) {
    DispatchQuery query = Query();
    query.affinity = 77;
    query.work = {12000, 5000, 1};
    EndpointId endpoint = *pool.Choose(query, kStart).endpoint;
    pool.OnStart(endpoint, query.work, kStart);
    ++used[endpoint];
  }
  for (const auto& entry : used) {
    CHECK(entry.second <= 20);
  }
  CHECK(used.size() == 6);
}

TEST_CASE("draining, evacuated and other versions get nothing", "[dispatch]") {
  EndpointPool pool({1.5, 5});
  RoutedEndpoint draining = Endpoint(1);
  draining.state = EndpointState::kDraining;
  pool.Update(draining, kStart);
  pool.Update(Endpoint(2, "b"), kStart);
  RoutedEndpoint other = Endpoint(3);
  other.version = VersionId("v2");
  pool.Update(other, kStart);
  pool.SetEvacuated(
      [](const DataCentreId& id) { return id == DataCentreId("b"); });
  DispatchQuery query = Query();
  query.allows_version = [](const VersionId& version) {
    return version == VersionId("v1");
  };
  DispatchChoice choice = pool.Choose(query, kStart);
  CHECK_FALSE(choice.endpoint.has_value());
  CHECK(choice.reason == NoEndpointReason::kNoCandidate);
}

// Guards against an endpoint that keeps receiving requests because its record
// says ready although its responses fail.
TEST_CASE("a failing endpoint is left alone", "[dispatch]") {
  EndpointPool pool({1.5, 5});
  for (int number = 1; number <= 4; ++number) {
    pool.Update(Endpoint(number), kStart);
  }
  std::map<EndpointId, int> used;
  TimePoint now = kStart;
  for (int i = 0; i < 400; ++i) {
    now += milliseconds(10);
    EndpointId endpoint = *pool.Choose(Query(), now).endpoint;
    ++used[endpoint];
    pool.OnStart(endpoint, {}, now);
    bool failed = endpoint == EndpointId("e1");
    pool.OnEnd(endpoint, {}, true,
               failed ? AttemptResult::kFailed : AttemptResult::kAnswered, now);
  }
  CHECK(used[EndpointId("e1")] < 40);
}

// Guards against a connection timeout for each request when a data centre is
// partitioned off.
TEST_CASE("an unreachable data centre is only probed", "[dispatch]") {
  EndpointPool pool({1.5, 5});
  for (int number = 1; number <= 3; ++number) {
    pool.Update(Endpoint(number, "a"), kStart);
    pool.Update(Endpoint(number + 3, "b"), kStart);
  }
  int to_b = 0;
  TimePoint now = kStart;
  for (int i = 0; i < 500; ++i) {
    now += milliseconds(10);
    EndpointId endpoint = *pool.Choose(Query(), now).endpoint;
    pool.OnStart(endpoint, {}, now);
    bool cut = pool.Find(endpoint)->data_centre == DataCentreId("b");
    to_b += cut ? 1 : 0;
    pool.OnEnd(endpoint, {}, !cut,
               cut ? AttemptResult::kUnreachable : AttemptResult::kAnswered,
               now);
  }
  CHECK(to_b <= 15);
}

// Ticks of a loop that runs without delay from `start` to `end`.
ObservedTime ObservedUntil(TimePoint start, TimePoint end) {
  constexpr milliseconds kTick{50};
  ObservedTime observed(start, kTick);
  for (TimePoint now = start; now < end;) {
    now = std::min(now + kTick, end);
    observed.OnTick(now);
  }
  return observed;
}

// Guards against moving streams that only pause while the endpoint processes a
// long prompt.
TEST_CASE("silence of an endpoint takes most of the allowed pause",
          "[dispatch]") {
  EndpointPool pool({1.5, 5});
  pool.Update(Endpoint(1), kStart);
  pool.OnStart(EndpointId("e1"), {}, kStart);
  pool.OnFirstByte(EndpointId("e1"), {}, milliseconds(50), kStart);
  SilenceQuery query;
  query.streamed = true;
  query.head_seen = true;
  query.gap_objective = milliseconds(1000);
  query.reachability = Reachability::kGone;
  for (int silent_ms : {850, 950}) {
    INFO(silent_ms);
    EndpointSilence silence =
        pool.SilenceOf(EndpointId("e1"), milliseconds(1000),
                       ObservedUntil(kStart, kStart + milliseconds(silent_ms)));
    CHECK(silence.endpoint == milliseconds(silent_ms));
    CHECK_FALSE(silence.data_centre_stalled);
    query.endpoint = silence.endpoint;
    CHECK((DecideOnSilence(query).leave == SilenceReason::kGone) ==
          (silent_ms == 950));
  }
}

TEST_CASE("silence of a whole data centre is found earlier", "[dispatch]") {
  EndpointPool pool({1.5, 5});
  TimePoint now = kStart;
  for (int number = 1; number <= 4; ++number) {
    EndpointId id = Endpoint(number).endpoint;
    pool.Update(Endpoint(number), now);
    pool.OnStart(id, {}, now);
    pool.OnFirstByte(id, {}, milliseconds(50), now);
  }
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(10);
    pool.OnActivity(Endpoint(1 + i % 4).endpoint, now);
  }
  auto is_stalled = [&](const ObservedTime& observed) {
    return pool.SilenceOf(EndpointId("e1"), milliseconds(1500), observed)
        .data_centre_stalled;
  };
  CHECK_FALSE(is_stalled(ObservedUntil(kStart, now + milliseconds(250))));
  CHECK(is_stalled(ObservedUntil(kStart, now + milliseconds(350))));
  // This instance stood still and has not read its sockets since.
  ObservedTime stalled = ObservedUntil(kStart, now);
  stalled.OnTick(now + milliseconds(350));
  CHECK_FALSE(is_stalled(stalled));
}

// Guards against treating a sound endpoint that paused as one that restarted:
// the requests that left it made it cold, and each doubled the time for which
// it was avoided.
TEST_CASE("an endpoint that was silent is avoided briefly and not cold",
          "[dispatch]") {
  EndpointPool pool({1.5, 5});
  pool.SetConfiguration(ColdService());
  pool.SetColdAllowed(true);
  pool.Update(Endpoint(1), kStart);
  pool.Update(Endpoint(2), kStart);
  EndpointId silent("e1");
  for (int i = 0; i < 20; ++i) {
    pool.OnStart(silent, {}, kStart);
  }
  for (int i = 0; i < 20; ++i) {
    pool.OnEnd(silent, {}, false, AttemptResult::kSilent,
               kStart + milliseconds(10 * i));
  }
  DispatchQuery query = Query();
  query.excluded = {EndpointId("e2")};
  CHECK(pool.Choose(query, kStart + milliseconds(200)).avoided);
  TimePoint later = kStart + milliseconds(300);
  int served = 0;
  for (int i = 0; i < 100; ++i) {
    DispatchChoice choice = pool.Choose(query, later);
    if (choice.endpoint.has_value() && !choice.avoided) {
      ++served;
      pool.OnStart(silent, {}, later);
    }
  }
  CHECK(served == 100);
  // Its host does not answer: it may have restarted.
  pool.OnHostGone(silent, later);
  CHECK_FALSE(pool.Choose(query, later).endpoint.has_value());
}

// The platform limits repeats over all instances in any 10 s window.
TEST_CASE("repeats of all instances stay under the bound", "[dispatch]") {
  for (unsigned seed = 1; seed <= 40; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    int instances = 1 + static_cast<int>(random() % 7);
    std::vector<RepeatBudget> budgets(
        static_cast<std::size_t>(instances),
        RepeatBudget({0.9, milliseconds(10000), 58}));
    std::vector<std::pair<TimePoint, bool>> events;
    TimePoint now = kStart;
    for (int i = 0; i < 20000; ++i) {
      now += milliseconds(1 + random() % 3);
      RepeatBudget& budget = budgets[random() % budgets.size()];
      budget.SetInstanceCount(instances);
      if (random() % 4 == 0) {
        budget.OnRequest(ServiceId("s"), now);
        events.emplace_back(now, false);
      } else if (budget.AllowsRepeat(ServiceId("s"), now)) {
        budget.OnRepeat(ServiceId("s"), now);
        events.emplace_back(now, true);
      }
    }
    std::size_t first = 0;
    double requests = 0;
    double repeats = 0;
    for (const auto& [time, repeat] : events) {
      (repeat ? repeats : requests) += 1;
      while (time - events[first].first > milliseconds(10000)) {
        (events[first].second ? repeats : requests) -= 1;
        ++first;
      }
      REQUIRE(repeats <= 0.9 * requests + 58);
    }
  }
}

// Guards against an endpoint that gets no requests any more, because the times
// of the process before its restart count against it.
TEST_CASE("an endpoint that was slow is used after a restart", "[dispatch]") {
  EndpointPool pool(ColdLimits{});
  TimePoint now = kStart;
  auto record = [](int number, std::int64_t started_at) {
    RoutedEndpoint endpoint;
    endpoint.endpoint = EndpointId("e" + std::to_string(number));
    endpoint.service = ServiceId("s");
    endpoint.address = "10.0.0." + std::to_string(number) + ":80";
    endpoint.started_at = started_at;
    return endpoint;
  };
  WorkEstimate work;
  for (int i = 1; i <= 3; ++i) {
    EndpointId endpoint("e" + std::to_string(i));
    pool.Update(record(i, 1), now);
    pool.OnStart(endpoint, work, now);
    pool.OnFirstByte(endpoint, work, milliseconds(i == 1 ? 400 : 2), now);
    pool.OnEnd(endpoint, work, true, AttemptResult::kAnswered, now);
  }
  auto first_is_chosen = [&] {
    for (std::uint64_t i = 1; i <= 50; ++i) {
      DispatchQuery query;
      query.service = ServiceId("s");
      query.affinity = i;
      if (pool.Choose(query, now).endpoint == EndpointId("e1")) {
        return true;
      }
    }
    return false;
  };
  CHECK_FALSE(first_is_chosen());
  pool.Update(record(1, 2), now);
  CHECK(first_is_chosen());
}

}  // namespace
}  // namespace filbertshift
