// Tests of endpoint state and endpoint selection in EndpointRegistry.

#include <catch2/catch.hpp>

#include <algorithm>

#include "tests/unit/routing/routing_fixture.h"

namespace filbertshift {
namespace {

using namespace routing_test;  // NOLINT

constexpr EndpointLimits kLimits{8, 2, Millis(10000)};
constexpr Millis kWarm{60000};

// A registry of an instance with the only seat, unless the options name
// another.
struct Fixture {
  explicit Fixture(int endpoints, EndpointRegistryOptions options)
      : records(MakeEndpoints(endpoints)), registry(options, log) {
    configuration = MakeConfiguration({0}, kLimits);
    registry.ApplyConfiguration(configuration, At(now));
    registry.ApplyInstanceList(records, At(now));
  }
  explicit Fixture(int endpoints) : Fixture(endpoints, OptionsOfSeat(0)) {}

  bool Probe(int endpoint, Millis uptime, Millis start_time = Millis(1)) {
    return registry.OnProbe(
        MakeProbe(records[endpoint].endpoint, start_time, uptime), At(now));
  }
  void ProbeAll(Millis uptime) {
    for (std::size_t i = 0; i < records.size(); ++i) {
      Probe(static_cast<int>(i), uptime);
    }
  }
  EndpointView View(int endpoint) {
    for (const EndpointView& view : registry.Views(At(now))) {
      if (view.record.endpoint == records[endpoint].endpoint) {
        return view;
      }
    }
    throw std::out_of_range("no such endpoint");
  }
  // Starts an attempt and returns its endpoint; empty if none was free.
  EndpointId Start(const EndpointQuery& query) {
    const auto choice = registry.Choose(query, At(now));
    if (!choice) {
      return EndpointId();
    }
    last_attempt = AttemptId(fmt::format("attempt-{}", ++attempts));
    registry.Reserve(choice->endpoint, last_attempt,
                     Fingerprint(static_cast<std::uint64_t>(attempts)), query,
                     At(now));
    return choice->endpoint;
  }
  // Starts attempts until no endpoint is free and returns their number.
  int Fill() {
    int started = 0;
    while (!Start(MakeQuery()).empty()) {
      ++started;
    }
    return started;
  }
  std::size_t DueProbes() {
    return registry.DueProbes(At(now), Millis(1000)).size();
  }
  bool Logged(EventId event) const {
    return std::count(log.events.begin(), log.events.end(), event) > 0;
  }

  Millis now{0};
  std::vector<EndpointRecord> records;
  RecordingLog log;
  Configuration configuration;
  EndpointRegistry registry;
  int attempts = 0;
  AttemptId last_attempt;
};

// Guards against full load on an endpoint that was never probed, has restarted
// or whose uptime is no longer verified (I5).
TEST_CASE("only a verified uptime gives more than the cold share",
          "[routing]") {
  Fixture f(1);
  CHECK(f.View(0).share == 2);
  CHECK(f.registry.Choose(MakeQuery(), At(f.now))->incarnation ==
        Incarnation());
  CHECK_FALSE(f.Probe(0, Millis(5000)));
  CHECK(f.View(0).share == 5);
  f.now += Millis(5000);
  // The uptime is not extrapolated.
  CHECK(f.View(0).share == 5);
  f.now += Millis(1);
  CHECK(f.View(0).share == 2);
  CHECK_FALSE(f.Probe(0, kWarm));
  CHECK(f.View(0).share == 8);
  CHECK(f.registry.Choose(MakeQuery(), At(f.now))->incarnation.start_time ==
        Millis(1));
  f.registry.OnConnectionLost(f.records[0].endpoint);
  CHECK(f.View(0).share == 2);
  CHECK(f.DueProbes() == 1);
  f.Probe(0, kWarm);
  CHECK(f.View(0).share == 8);
  CHECK(f.Probe(0, Millis(0), Millis(2)));
  CHECK(f.View(0).share == 2);
  CHECK(f.Logged(EventId::kEndpointRestarted));
}

// Guards against a probe result that arrives after a suspicion or connection
// loss but was produced before it.
TEST_CASE("a probe counts only if it was sent afterwards", "[routing]") {
  Fixture f(1);
  CHECK(f.DueProbes() == 1);
  f.registry.Suspect(f.records[0].endpoint, "test");
  f.Probe(0, kWarm);
  CHECK(f.View(0).suspected);
  CHECK(f.Start(MakeQuery()).empty());
  CHECK(f.DueProbes() == 1);
  f.Probe(0, kWarm);
  CHECK_FALSE(f.View(0).suspected);
  CHECK(f.View(0).share == 8);
  f.now += Millis(1000);
  CHECK(f.DueProbes() == 1);
  f.registry.OnConnectionLost(f.records[0].endpoint);
  f.Probe(0, kWarm);
  CHECK(f.View(0).share == 2);
}

// Guards against probing an endpoint too often or never again.
TEST_CASE("one probe at a time, at the interval", "[routing]") {
  Fixture f(1);
  CHECK(f.DueProbes() == 1);
  f.now += Millis(3000);
  CHECK(f.DueProbes() == 0);
  // The probe is resent because its result was lost.
  f.now += Millis(2000);
  CHECK(f.DueProbes() == 1);
  ProbeResult failed;
  failed.endpoint = f.records[0].endpoint;
  f.registry.OnProbe(failed, At(f.now));
  CHECK(f.View(0).suspected);
  CHECK(f.registry.HasCandidate(MakeQuery()));
  f.now += Millis(999);
  CHECK(f.DueProbes() == 0);
  f.now += Millis(1);
  CHECK(f.DueProbes() == 1);
}

// Guards against probes and attempts on endpoints of other seats.
TEST_CASE("a seat without a share does not use the endpoint", "[routing]") {
  Fixture f(1, OptionsOfSeat(7));
  CHECK(f.DueProbes() == 0);
  CHECK(f.Start(MakeQuery()).empty());
  CHECK_FALSE(f.registry.HasCandidate(MakeQuery()));
}

// Guards against new attempts on leaving endpoints, in drained data centres and
// for withdrawn or removed versions (I2, I6, I10).
TEST_CASE("drained and withdrawn endpoints get no new attempts", "[routing]") {
  Fixture f(1);
  f.ProbeAll(kWarm);
  SECTION("leaving endpoint") {
    f.records[0].leaving = true;
    f.registry.ApplyInstanceList(f.records, At(f.now));
    CHECK(f.View(0).draining);
  }
  SECTION("drained data centre") {
    f.configuration.data_centres[0].drained = true;
    f.registry.ApplyConfiguration(f.configuration, At(f.now));
    CHECK(f.View(0).draining);
  }
  SECTION("withdrawn version") {
    f.configuration.models[0].versions[0].withdrawn = true;
    f.registry.ApplyConfiguration(f.configuration, At(f.now));
  }
  SECTION("removed version") {
    f.configuration.models[0].versions.erase(
        f.configuration.models[0].versions.begin());
    f.registry.ApplyConfiguration(f.configuration, At(f.now));
  }
  CHECK(f.Start(MakeQuery()).empty());
  CHECK_FALSE(f.registry.HasCandidate(MakeQuery()));
}

// Guards against full load on a data centre immediately after it returns.
TEST_CASE("a returning data centre warms up again", "[routing]") {
  Fixture f(1);
  f.ProbeAll(kWarm);
  f.configuration.data_centres[0].drained = true;
  f.registry.ApplyConfiguration(f.configuration, At(f.now));
  f.configuration.data_centres[0].drained = false;
  f.registry.ApplyConfiguration(f.configuration, At(f.now));
  CHECK(f.View(0).share == 2);
  f.Probe(0, kWarm + Millis(1000));
  CHECK(f.View(0).share == 2);
  f.Probe(0, kWarm + Millis(6000));
  CHECK(f.View(0).share == 5);
}

// Guards against removing an endpoint with attempts in flight, and against new
// attempts on an endpoint that is no longer listed.
TEST_CASE("an unlisted endpoint drains before it is removed", "[routing]") {
  Fixture f(2);
  f.ProbeAll(kWarm);
  const EndpointId busy = f.Start(MakeQuery());
  const auto change = f.registry.ApplyInstanceList({}, At(f.now));
  CHECK(change.removed.size() == 1);
  CHECK(f.registry.Views(At(f.now)).size() == 1);
  CHECK(f.Start(MakeQuery()).empty());
  CHECK(f.registry.InFlight(busy).size() == 1);
  f.registry.Release(f.last_attempt);
  const auto last = f.registry.ApplyInstanceList({}, At(f.now));
  CHECK(last.removed == std::vector<EndpointId>{busy});
  CHECK(f.registry.ApplyInstanceList(f.records, At(f.now)).added.size() == 2);
}

// Guards against attempts beyond the share, even if the endpoint was chosen
// before the share shrank, and against freed capacity that is never reused.
TEST_CASE("every policy uses all shares and no more", "[routing]") {
  EndpointRegistryOptions options = OptionsOfSeat(0);
  options.policy =
      GENERATE(ChoicePolicy::kCostAware, ChoicePolicy::kLeastOutstanding,
               ChoicePolicy::kRoundRobin);
  Fixture f(20, options);
  f.ProbeAll(kWarm);
  CHECK(f.Fill() == 160);
  f.registry.Release(f.last_attempt);
  CHECK(f.Fill() == 1);
  CHECK(f.registry.invariant_violations() == 0);
  CHECK_THROWS_AS(f.registry.Reserve(f.records[0].endpoint, AttemptId("extra"),
                                     Fingerprint(1), MakeQuery(), At(f.now)),
                  std::logic_error);
  CHECK(f.registry.invariant_violations() == 1);
  CHECK(f.Logged(EventId::kInvariantViolated));
}

// Guards against a share that stays at the old, smaller value after a change.
TEST_CASE("the new share is free after the transition", "[routing]") {
  Fixture f(1);
  f.ProbeAll(kWarm);
  f.configuration.models[0].versions[0].limits.max_concurrency = 12;
  f.registry.ApplyConfiguration(f.configuration, At(f.now));
  CHECK(f.Fill() == 8);
  f.now += Millis(12999);
  f.ProbeAll(kWarm);
  CHECK(f.Fill() == 0);
  f.now += Millis(1);
  CHECK(f.Fill() == 4);
}

// Guards against retries on an endpoint on which the request has failed.
TEST_CASE("excluded endpoints are not chosen", "[routing]") {
  Fixture f(3);
  f.ProbeAll(kWarm);
  EndpointQuery query = MakeQuery();
  query.excluded = {f.records[0].endpoint, f.records[2].endpoint};
  CHECK(f.Start(query) == f.records[1].endpoint);
  query.excluded.insert(f.records[1].endpoint);
  CHECK(f.Start(query).empty());
  CHECK_FALSE(f.registry.HasCandidate(query));
}

// Guards against two concurrent suspects on one endpoint, from the same or
// different instances.
TEST_CASE("suspects run one at a time for each endpoint", "[routing]") {
  EndpointQuery suspect = MakeQuery();
  suspect.suspect = true;
  std::set<EndpointId> used;
  for (int seat = 0; seat < 4; ++seat) {
    Fixture f(20, OptionsOfSeat(seat));
    f.configuration = MakeConfiguration({0, 1, 2, 3}, kLimits);
    f.registry.ApplyConfiguration(f.configuration, At(f.now));
    f.now += Millis(13000);
    f.ProbeAll(kWarm);
    for (EndpointId started = f.Start(suspect); !started.empty();
         started = f.Start(suspect)) {
      CHECK(used.insert(started).second);
    }
    f.registry.Release(f.last_attempt);
    CHECK_FALSE(f.Start(suspect).empty());
  }
  CHECK(used.size() == 20);
}

// Guards against sending requests to the endpoint of a suspect while another
// endpoint is free.
TEST_CASE("other requests avoid the endpoint of a suspect", "[routing]") {
  Fixture f(2);
  f.ProbeAll(kWarm);
  EndpointQuery suspect = MakeQuery();
  suspect.suspect = true;
  const EndpointId taken = f.Start(suspect);
  for (int i = 0; i < 8; ++i) {
    CHECK(f.Start(MakeQuery()) != taken);
  }
  CHECK(f.Start(MakeQuery()) == taken);
}

// Guards against calls of a service that reach another service or an engine.
TEST_CASE("plain services are chosen by service", "[routing]") {
  Fixture f(3);
  f.configuration.services.resize(2);
  for (int i = 0; i < 2; ++i) {
    const ServiceId service(fmt::format("service-{}", i));
    f.configuration.services[i].service = service;
    f.configuration.services[i].limits = {1, 1, Millis(0)};
    f.records[i].kind = EndpointKind::kPlainService;
    f.records[i].service = service;
  }
  f.registry.ApplyConfiguration(f.configuration, At(f.now));
  f.registry.ApplyInstanceList(f.records, At(f.now));
  f.now += Millis(13000);
  f.ProbeAll(kWarm);
  EndpointQuery query;
  query.kind = EndpointKind::kPlainService;
  query.service = ServiceId("service-1");
  CHECK(f.Start(query) == f.records[1].endpoint);
  CHECK(f.Start(query).empty());
  query.service = ServiceId("service-2");
  CHECK_FALSE(f.registry.HasCandidate(query));
  CHECK(f.Start(MakeQuery()) == f.records[2].endpoint);
}

// Guards against ignoring the load of other instances, and against counting own
// requests twice because reports lag.
TEST_CASE("reported load of others counts besides own requests", "[routing]") {
  Fixture f(2);
  f.ProbeAll(kWarm);
  CHECK(f.Fill() == 16);
  f.registry.DueProbes(At(f.now), Millis(1000));
  // Endpoint 0 runs 8 requests of this instance; endpoint 1 runs 8 of this and
  // 4 of other instances.
  for (int i = 0; i < 2; ++i) {
    ProbeResult probe = MakeProbe(f.records[i].endpoint, Millis(1), kWarm);
    probe.running = i == 0 ? 8 : 12;
    f.registry.OnProbe(probe, At(f.now));
  }
  for (int i = 1; i <= 16; ++i) {
    f.registry.Release(AttemptId(fmt::format("attempt-{}", i)));
  }
  for (int i = 0; i < 4; ++i) {
    CHECK(f.Start(MakeQuery()) == f.records[0].endpoint);
  }
}

// Guards against spreading a prefix over all endpoints, and against a popular
// prefix that overloads one of them.
TEST_CASE("a prefix prefers one endpoint within bounds", "[routing]") {
  Fixture f(20);
  f.ProbeAll(kWarm);
  EndpointQuery query = MakeQuery();
  query.prefix_hash = 4711;
  query.prompt_tokens = 1000;
  const EndpointId preferred = f.Start(query);
  int at_preferred = 0;
  for (int i = 0; i < 20; ++i) {
    f.registry.OnFirstToken(f.last_attempt);
    f.registry.Release(f.last_attempt);
    at_preferred += f.Start(query) == preferred ? 1 : 0;
  }
  CHECK(at_preferred == 20);
  std::set<EndpointId> used;
  for (int i = 0; i < 20; ++i) {
    used.insert(f.Start(query));
  }
  CHECK(used.size() > 5);
}

// Guards against using remote endpoints while local ones are equally loaded.
TEST_CASE("the own data centre is preferred", "[routing]") {
  Fixture f(2);
  f.records[0].data_centre = DataCentreId("b");
  f.registry.ApplyInstanceList(f.records, At(f.now));
  f.ProbeAll(kWarm);
  CHECK(f.Start(MakeQuery()) == f.records[1].endpoint);
  CHECK(f.Start(MakeQuery()) == f.records[0].endpoint);
}

// Guards against a round robin that skips endpoints.
TEST_CASE("round robin visits endpoints in turn", "[routing]") {
  EndpointRegistryOptions options = OptionsOfSeat(0);
  options.policy = ChoicePolicy::kRoundRobin;
  Fixture f(5, options);
  f.ProbeAll(kWarm);
  std::set<EndpointId> used;
  for (int i = 0; i < 5; ++i) {
    used.insert(f.Start(MakeQuery()));
  }
  CHECK(used.size() == 5);
}

}  // namespace
}  // namespace filbertshift
