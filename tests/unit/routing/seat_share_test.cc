// Tests of the split of endpoint limits between seats.

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <numeric>
#include <set>

#include "tests/unit/routing/routing_fixture.h"

namespace filbertshift {
namespace {

using namespace routing_test;  // NOLINT

EndpointLimits RandomLimits(std::mt19937_64& random) {
  EndpointLimits limits;
  limits.max_concurrency = Pick(random, 1, 40);
  limits.cold_start_concurrency = Pick(random, 1, limits.max_concurrency);
  limits.warm_up = Millis(Pick(random, 0, 60000));
  return limits;
}

std::vector<int> RandomSeats(std::mt19937_64& random) {
  std::set<int> seats;
  const int count = Pick(random, 1, 12);
  for (int i = 0; i < count; ++i) {
    seats.insert(Pick(random, 0, 20));
  }
  return {seats.begin(), seats.end()};
}

// Guards against shares that exceed the limit or leave part of it unused, and
// against a larger share at an instance that assumes a lower limit.
TEST_CASE("shares of all seats add up to the limit", "[routing]") {
  std::mt19937_64 random(TestSeed("shares of all seats"));
  for (int round = 0; round < 2000; ++round) {
    const EndpointId endpoint(fmt::format("e{}", round));
    const std::vector<int> seats = RandomSeats(random);
    const int count = Pick(random, 1, 6);
    const std::vector<int> ranked = SeatsOfEndpoint(endpoint, seats, count);
    REQUIRE(std::set<int>(ranked.begin(), ranked.end()).size() ==
            ranked.size());
    const int limit = Pick(random, 0, 50);
    int sum = 0;
    for (int seat : seats) {
      sum += SeatShare(limit, ranked, seat);
      REQUIRE(SeatShare(limit, ranked, seat) <=
              SeatShare(limit + 1, ranked, seat));
      const int rank = SeatRank(endpoint, seats, count, seat);
      REQUIRE(SeatShare(limit, ranked, seat) ==
              ShareOfRank(limit, static_cast<int>(ranked.size()), rank));
    }
    REQUIRE(sum == limit);
  }
}

// Guards against an uneven distribution of endpoints over seats, and against a
// new seat that moves endpoints between the others.
TEST_CASE("a new seat moves only the endpoints that it takes over",
          "[routing]") {
  const std::vector<int> before = {0, 1, 2, 3, 4, 5, 6, 7};
  std::vector<int> after = before;
  after.push_back(8);
  std::map<int, int> endpoints_by_seat;
  for (int i = 0; i < 3000; ++i) {
    const EndpointId endpoint(fmt::format("endpoint-{}", i));
    const std::vector<int> old_seats = SeatsOfEndpoint(endpoint, before, 4);
    const std::vector<int> new_seats = SeatsOfEndpoint(endpoint, after, 4);
    std::size_t kept = 0;
    for (int seat : old_seats) {
      kept += std::count(new_seats.begin(), new_seats.end(), seat);
    }
    const std::size_t joined =
        std::count(new_seats.begin(), new_seats.end(), 8);
    REQUIRE(kept == 4 - joined);
    for (int seat : new_seats) {
      ++endpoints_by_seat[seat];
    }
  }
  // Expected: 3000 * 4 / 9 = 1333; 165 is about six standard deviations.
  for (const auto& [seat, count] : endpoints_by_seat) {
    CHECK(std::abs(count - 1333) < 165);
  }
}

// Guards against a warm-up that starts or ends at the wrong limit.
TEST_CASE("the limit grows from cold to full", "[routing]") {
  const EndpointLimits limits{10, 2, Millis(8000)};
  CHECK(LimitAtUptime(limits, Millis(-5)) == 2);
  CHECK(LimitAtUptime(limits, Millis(0)) == 2);
  CHECK(LimitAtUptime(limits, Millis(999)) == 2);
  CHECK(LimitAtUptime(limits, Millis(4000)) == 6);
  CHECK(LimitAtUptime(limits, Millis(7999)) == 9);
  CHECK(LimitAtUptime(limits, Millis(8000)) == 10);
  CHECK(LimitAtUptime(limits, std::chrono::hours(10000)) == 10);
}

// Simulates one endpoint and one registry for each seat; configurations reach
// the instances at different times.
class ShareSimulation {
 public:
  explicit ShareSimulation(std::uint64_t seed) : random_(seed) {
    Commit();
    for (int seat = 0; seat <= 20; ++seat) {
      instances_.emplace_back();
      Restart(seat);
    }
  }

  void Step() {
    now_ += Millis(Pick(random_, 0, 1500));
    if (Pick(random_, 0, 9) == 0) {
      Commit();
    }
    if (Pick(random_, 0, 19) == 0) {
      endpoint_start_ = now_;
    }
    for (std::size_t seat = 0; seat < instances_.size(); ++seat) {
      StepInstance(static_cast<int>(seat));
    }
  }

  // Sum of the usable shares of all instances.
  int SumOfShares() const {
    int sum = 0;
    for (const Instance& instance : instances_) {
      sum += UsableShare(instance);
    }
    return sum;
  }

  // Limit by the oldest configuration in force at any instance.
  int Limit() const {
    std::size_t oldest = configurations_.size() - 1;
    for (const Instance& instance : instances_) {
      oldest = std::min(oldest, instance.revision);
    }
    const Configuration& configuration = configurations_[oldest].first;
    return LimitAtUptime(configuration.models[0].versions[0].limits,
                         now_ - endpoint_start_);
  }

 private:
  struct Instance {
    std::unique_ptr<EndpointRegistry> registry;
    std::size_t revision = 0;
  };

  // Commits may follow each other within a second, so that several changes
  // propagate concurrently.
  void Commit() {
    auto configuration =
        MakeConfiguration(RandomSeats(random_), RandomLimits(random_));
    configuration.seats_per_endpoint = Pick(random_, 1, 6);
    configurations_.push_back({configuration, now_});
  }

  void Restart(int seat) {
    Instance& instance = instances_[seat];
    instance.registry =
        std::make_unique<EndpointRegistry>(OptionsOfSeat(seat), log_);
    instance.revision = configurations_.size() - 1;
    instance.registry->ApplyConfiguration(configurations_.back().first,
                                          At(now_),
                                          now_ - configurations_.back().second);
    instance.registry->ApplyInstanceList({MakeEndpoint(0)}, At(now_));
  }

  void StepInstance(int seat) {
    Instance& instance = instances_[seat];
    EndpointRegistry& registry = *instance.registry;
    ReceiveRevisions(&instance);
    switch (Pick(random_, 0, 60)) {
      case 0:
        return Restart(seat);
      case 1:
        return registry.OnConnectionLost(MakeEndpoint(0).endpoint);
      case 2:
        registry.ApplyInstanceList({}, At(now_));
        registry.ApplyInstanceList({MakeEndpoint(0)}, At(now_));
        return;
      default:
        break;
    }
    if (Pick(random_, 0, 2) == 0) {
      registry.OnProbe(
          MakeProbe(MakeEndpoint(0).endpoint, endpoint_start_ + Millis(1),
                    now_ - endpoint_start_),
          At(now_));
    }
  }

  // Each revision reaches an instance within 13 s, in order or with skipped
  // ones.
  void ReceiveRevisions(Instance* instance) {
    const std::size_t last = configurations_.size() - 1;
    std::size_t next = instance->revision;
    while (next < last &&
           now_ - configurations_[next + 1].second >= Millis(13000)) {
      ++next;
    }
    if (Pick(random_, 0, 3) == 0) {
      next = last;
    }
    if (next > instance->revision + 1 && Pick(random_, 0, 1) == 0) {
      const auto& [configuration, committed] = configurations_[next];
      instance->registry->ApplyConfiguration(configuration, At(now_),
                                             now_ - committed);
      instance->revision = next;
    }
    while (instance->revision < next) {
      ++instance->revision;
      instance->registry->ApplyConfiguration(
          configurations_[instance->revision].first, At(now_));
    }
  }

  // An instance that has verified an earlier incarnation cannot send requests:
  // the adapter refuses to use its connections.
  int UsableShare(const Instance& instance) const {
    const std::vector<EndpointView> views = instance.registry->Views(At(now_));
    const bool earlier = views[0].verified && views[0].incarnation.start_time !=
                                                  endpoint_start_ + Millis(1);
    return earlier ? 0 : views[0].share;
  }

  std::mt19937_64 random_;
  RecordingLog log_;
  Millis now_{100000};
  Millis endpoint_start_{0};
  std::vector<std::pair<Configuration, Millis>> configurations_;
  std::vector<Instance> instances_;
};

// Guards against exceeding the limit of an endpoint (I5) while instances have
// different configurations and uptimes, restart or lose connections.
TEST_CASE("shares never exceed the limit during changes", "[routing]") {
  const std::uint64_t seed = TestSeed("shares during changes");
  int used = 0;
  for (std::uint64_t run = 0; run < 30; ++run) {
    ShareSimulation simulation(seed * 1000 + run);
    for (int step = 0; step < 150; ++step) {
      simulation.Step();
      INFO("seed " << seed << " run " << run << " step " << step);
      REQUIRE(simulation.SumOfShares() <= simulation.Limit());
      used += simulation.SumOfShares() > 0 ? 1 : 0;
    }
  }
  // Ensures that the shares are not always 0.
  CHECK(used > 100);
}

}  // namespace
}  // namespace filbertshift
