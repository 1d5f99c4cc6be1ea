// Tests of the choice by the load of all instances: what it excludes, when it
// applies, and that it refuses nothing that could be served.

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <set>

#include "src/dispatch/dispatch.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr TimePoint kNow = kStart + milliseconds(100);

RoutedEndpoint Endpoint(const std::string& data_centre,
                        int number,
                        int slots = 6) {
  RoutedEndpoint record;
  record.endpoint = EndpointId(fmt::format("{}{}", data_centre, number));
  record.service = ServiceId("s");
  record.address = fmt::format("{}.{}:80", data_centre, number);
  record.data_centre = DataCentreId(data_centre);
  record.version = VersionId("v1");
  record.slots = slots;
  return record;
}

DispatchQuery Query(std::uint64_t number = 1) {
  DispatchQuery query;
  query.service = ServiceId("s");
  query.request_hash = number * 0x9e3779b97f4a7c15;
  query.affinity = query.request_hash;
  query.local_data_centre = DataCentreId("a");
  return query;
}

// A pool of 34 instances with `counts[i]` endpoints in data centre a, b, ...
struct Fixture {
  explicit Fixture(const std::vector<int>& counts, int slots = 6) {
    pool.SetPlacement({true, 0, DataCentreId("a")});
    pool.SetLoadTable(&table);
    pool.SetInstanceCount(34);
    std::string centre = "a";
    for (int count : counts) {
      for (int number = 1; number <= count; ++number) {
        pool.Update(Endpoint(centre, number, slots), kStart);
      }
      ++centre[0];
    }
    Report({});
  }
  void Report(const std::map<std::string, ReportedEndpointLoad>& loads,
              TimePoint now = kNow) {
    LoadReport report;
    for (const auto& [endpoint, load] : loads) {
      report.endpoints[EndpointKey(EndpointId(endpoint))] = load;
    }
    table.SetOthers(report, milliseconds(0), now);
  }
  std::string Centre(const DispatchChoice& choice) const {
    return choice.endpoint.has_value()
               ? pool.Find(*choice.endpoint)->data_centre.value()
               : "";
  }
  // Numbers of requests by endpoint, without effect on the load.
  std::map<std::string, int> Spread(int requests, TimePoint now = kNow) {
    std::map<std::string, int> used;
    for (int i = 1; i <= requests; ++i) {
      DispatchChoice choice =
          pool.Choose(Query(static_cast<std::uint64_t>(i)), now);
      ++used[choice.endpoint.has_value() ? choice.endpoint->value() : ""];
    }
    return used;
  }
  EndpointLoadTable table;
  EndpointPool pool{{1.5, 5}};
};

ReportedEndpointLoad InFlight(double requests) {
  ReportedEndpointLoad load;
  load.in_flight = requests;
  return load;
}

// Guards against sends to other data centres with no need, and against an
// uneven use of equal endpoints.
TEST_CASE("requests stay in their data centre", "[dispatch]") {
  Fixture f({3, 3});
  std::map<std::string, int> used = f.Spread(300);
  REQUIRE(used.size() == 3);
  for (const auto& entry : used) {
    CHECK(entry.first[0] == 'a');
    CHECK(entry.second > 60);
  }
}

// Guards against sends to an endpoint that is full with the requests of others.
TEST_CASE("the load of the other instances counts", "[dispatch]") {
  Fixture f({3, 3});
  f.Report({{"a1", InFlight(20)}, {"a2", InFlight(20)}});
  std::map<std::string, int> used = f.Spread(200);
  CHECK(used["a3"] == 200);
}

// Guards against a difference from earlier releases where placement does not
// apply: no setting, no reports, old reports, many slots, subset of endpoints.
TEST_CASE("without its conditions the choice is that of before", "[dispatch]") {
  auto choices = [](Fixture* f, TimePoint now, int max_endpoints) {
    std::vector<std::string> result;
    for (std::uint64_t i = 1; i <= 100; ++i) {
      DispatchQuery query = Query(i);
      query.max_endpoints = max_endpoints;
      result.push_back(f->pool.Choose(query, now).endpoint->value());
    }
    return result;
  };
  std::map<std::string, ReportedEndpointLoad> load = {{"a1", InFlight(50)},
                                                      {"b1", InFlight(3)}};
  Fixture off({3, 3});
  off.pool.SetPlacement({false, 0, DataCentreId("a")});
  off.Report(load);
  std::vector<std::string> before = choices(&off, kNow, 0);
  Fixture unknown({3, 3});
  unknown.pool.SetLoadTable(nullptr);
  CHECK(choices(&unknown, kNow, 0) == before);
  Fixture old({3, 3});
  old.Report(load);
  CHECK(choices(&old, kNow + milliseconds(1001), 0) == before);
  CHECK(choices(&old, kNow, 0) != before);
  Fixture many({3, 3}, 68);
  many.Report(load);
  CHECK(choices(&many, kNow, 0) == before);
  Fixture subset({3, 3});
  subset.Report(load);
  CHECK(choices(&subset, kNow, 2) == choices(&off, kNow, 2));
}

// Guards against candidates that the earlier choice excluded.
TEST_CASE("placement excludes what was excluded", "[dispatch]") {
  Fixture f({8});
  RoutedEndpoint draining = Endpoint("a", 1);
  draining.state = EndpointState::kDraining;
  f.pool.Update(draining, kStart);
  RoutedEndpoint other = Endpoint("a", 2);
  other.version = VersionId("v2");
  f.pool.Update(other, kStart);
  RoutedEndpoint no_model = Endpoint("a", 3);
  no_model.models = {ModelId("other")};
  f.pool.Update(no_model, kStart);
  f.pool.notices().OnPause(EndpointId("a4"), IncarnationOf(Endpoint("a", 4)),
                           milliseconds(5000), kStart);
  f.pool.notices().OnLeaving(EndpointId("a5"), IncarnationOf(Endpoint("a", 5)));
  f.pool.OnStart(EndpointId("a6"), {}, kStart);
  f.pool.OnEnd(EndpointId("a6"), {}, false, AttemptResult::kBroken, kNow);
  for (std::uint64_t i = 1; i <= 200; ++i) {
    DispatchQuery query = Query(i);
    query.model = ModelId("m");
    query.excluded = {EndpointId("a7")};
    query.allows_version = [](const VersionId& version) {
      return version == VersionId("v1");
    };
    CHECK(f.pool.Choose(query, kNow).endpoint == EndpointId("a8"));
  }
}

// Guards against refusing what a single endpoint among many could serve, here
// or in another data centre.
TEST_CASE("the last usable endpoint is found", "[dispatch]") {
  for (const char* last : {"a77", "b99"}) {
    INFO(last);
    Fixture f({100, 100});
    for (const char* centre : {"a", "b"}) {
      for (int number = 1; number <= 100; ++number) {
        RoutedEndpoint record = Endpoint(centre, number);
        if (record.endpoint != EndpointId(last)) {
          record.version = VersionId("v2");
          f.pool.Update(record, kStart);
        }
      }
    }
    for (std::uint64_t i = 1; i <= 50; ++i) {
      DispatchQuery query = Query(i);
      query.allows_version = [](const VersionId& version) {
        return version == VersionId("v1");
      };
      CHECK(f.pool.Choose(query, kNow).endpoint == EndpointId(last));
    }
  }
}

// Guards against requests that wait for evacuated or full local endpoints.
TEST_CASE("without usable local endpoints others serve", "[dispatch]") {
  Fixture f({3, 3, 3});
  for (int number = 1; number <= 3; ++number) {
    EndpointId id(fmt::format("a{}", number));
    f.pool.OnStart(id, {}, kStart);
    f.pool.OnEnd(id, {}, false, AttemptResult::kRefused, kNow);
  }
  std::map<std::string, int> used;
  for (std::uint64_t i = 1; i <= 300; ++i) {
    DispatchChoice choice = f.pool.Choose(Query(i), kNow);
    CHECK(choice.remote != RemoteReason::kLocal);
    ++used[f.Centre(choice)];
  }
  // Both have the same room.
  CHECK(used["a"] == 0);
  CHECK(used["b"] > 100);
  CHECK(used["c"] > 100);
}

// Guards against a data centre whose endpoints are all removed from the index,
// or that moves, while requests arrive.
TEST_CASE("the index follows the records", "[dispatch]") {
  Fixture f({2, 1});
  f.pool.Remove(EndpointId("a1"), kNow);
  CHECK(f.Spread(50)["a2"] == 50);
  RoutedEndpoint moved = Endpoint("a", 2);
  moved.data_centre = DataCentreId("b");
  f.pool.Update(moved, kNow);
  std::map<std::string, int> used = f.Spread(50);
  CHECK(used["a2"] + used["b1"] == 50);
  CHECK(used["a2"] > 0);
  f.pool.Remove(EndpointId("a2"), kNow);
  f.pool.Remove(EndpointId("b1"), kNow);
  CHECK_FALSE(f.pool.Choose(Query(), kNow).endpoint.has_value());
}

// Guards against a cold endpoint that gets more than its bound because few
// others are looked at.
TEST_CASE("cold limits hold with placement", "[dispatch]") {
  Fixture f({1});
  FleetConfiguration configuration;
  ServiceSettings service;
  service.service = ServiceId("s");
  service.cold_start = milliseconds(3000);
  service.cold_requests_per_second = 18;
  configuration.services[service.service] = service;
  f.pool.SetConfiguration(
      std::make_shared<const FleetConfiguration>(configuration));
  f.pool.SetInstanceCount(4);
  f.pool.SetColdAllowed(true);
  RoutedEndpoint cold = Endpoint("a", 1);
  cold.cold_remaining = milliseconds(3000);
  f.pool.Update(cold, kStart);
  int sent = 0;
  for (std::uint64_t i = 1; i <= 100; ++i) {
    DispatchChoice choice = f.pool.Choose(Query(i), kNow);
    if (choice.endpoint.has_value()) {
      ++sent;
      f.pool.OnStart(*choice.endpoint, {}, kNow);
    } else {
      CHECK(choice.reason == NoEndpointReason::kColdLimit);
    }
  }
  CHECK(sent >= 1);
  CHECK(sent * 4 <= 18 * 1.5 + 5);
}

// Guards against the pace of a process that no longer runs.
TEST_CASE("a restart clears the pace that others report", "[dispatch]") {
  Fixture f({2});
  ReportedEndpointLoad slow;
  slow.pace_sum = 60;
  slow.pace_count = 20;
  ReportedEndpointLoad busy = InFlight(1);
  f.Report({{"a1", slow}, {"a2", busy}});
  CHECK(f.Spread(50)["a2"] == 50);
  RoutedEndpoint restarted = Endpoint("a", 1);
  restarted.started_at = 7;
  f.pool.Update(restarted, kNow);
  CHECK(f.Spread(50)["a1"] == 50);
}

// Guards against leaving the data centre where the prompt is cached here, the
// price of the bytes is high, or the path is long.
TEST_CASE("a request leaves only if that pays", "[dispatch]") {
  struct Case {
    double price;
    milliseconds connect;
    bool leaves;
  };
  for (Case c :
       {Case{0, milliseconds(1), true}, Case{1000000, milliseconds(1), false},
        Case{0, milliseconds(60000), false}}) {
    INFO(c.price << " " << c.connect.count());
    Fixture f({4, 4});
    f.pool.SetPlacement({true, c.price, DataCentreId("a")});
    f.pool.OnConnected(EndpointId("a1"), milliseconds(1));
    f.pool.OnConnected(EndpointId("b1"), c.connect);
    int remote = 0;
    TimePoint now = kNow;
    for (int step = 0; step < 20; ++step) {
      now += milliseconds(300);
      std::map<std::string, ReportedEndpointLoad> loads;
      for (int number = 1; number <= 4; ++number) {
        ReportedEndpointLoad full = InFlight(6);
        full.waiting_tokens = 20000;
        loads[fmt::format("a{}", number)] = full;
      }
      f.Report(loads, now);
      for (std::uint64_t i = 1; i <= 50; ++i) {
        DispatchQuery query = Query(i);
        query.bytes = 20000;
        query.work = {4000, 3000, 1};
        DispatchChoice choice = f.pool.Choose(query, now);
        remote += choice.remote == RemoteReason::kOverflow ? 1 : 0;
      }
    }
    CHECK((remote > 0) == c.leaves);
  }
}

// Guards against a flow that neither the log nor the metrics can show.
TEST_CASE("the shares of the plan are reported", "[dispatch]") {
  Fixture f({2, 2});
  TimePoint now = kNow;
  for (int step = 0; step < 5; ++step) {
    now += milliseconds(300);
    f.Report({{"a1", InFlight(12)}, {"a2", InFlight(12)}}, now);
    f.pool.Choose(Query(), now);
  }
  std::vector<OverflowState> states = f.pool.Overflows(now);
  REQUIRE(states.size() == 1);
  CHECK(states[0].service == ServiceId("s"));
  CHECK(states[0].destination == DataCentreId("b"));
  CHECK(states[0].share > 0.2);
  CHECK_FALSE(states[0].both_ways);
  CHECK(f.pool.Overflows(now + milliseconds(1100)).empty());
}

// Guards against prompts that move when an endpoint joins or leaves that does
// not serve them, and against an uneven ring.
TEST_CASE("a ring changes only where endpoints change", "[dispatch]") {
  EndpointRing ring;
  for (int number = 1; number <= 20; ++number) {
    ring.Add(EndpointId(fmt::format("e{}", number)));
  }
  auto first = [&](std::uint64_t i) {
    EndpointId found;
    ring.Visit(i * 0x9e3779b97f4a7c15, 1, [&](const EndpointId& id) {
      found = id;
      return false;
    });
    return found;
  };
  std::map<EndpointId, int> used;
  std::vector<EndpointId> before;
  for (std::uint64_t i = 0; i < 4000; ++i) {
    before.push_back(first(i));
    ++used[before.back()];
  }
  CHECK(used.size() == 20);
  for (const auto& entry : used) {
    // Twice the even share would be the load of an endpoint in need of help.
    CHECK(entry.second < 400);
  }
  ring.Remove(EndpointId("e7"));
  for (std::uint64_t i = 0; i < 4000; ++i) {
    if (before[i] != EndpointId("e7")) {
      CHECK(first(i) == before[i]);
    }
  }
  std::set<EndpointId> visited;
  ring.Visit(5, 100,
             [&](const EndpointId& id) { return visited.insert(id).second; });
  CHECK(visited.size() == 19);
}

}  // namespace
}  // namespace filbertshift
