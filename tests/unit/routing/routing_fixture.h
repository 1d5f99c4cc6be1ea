// Test data and helpers for the tests of the routing library.

#ifndef TESTS_UNIT_ROUTING_ROUTING_FIXTURE_H_
#define TESTS_UNIT_ROUTING_ROUTING_FIXTURE_H_

#include <fmt/core.h>

#include <chrono>
#include <cstdlib>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "src/routing/routing.h"

namespace filbertshift::routing_test {

using Millis = std::chrono::milliseconds;

// Prints and returns the random seed; FILBERTSHIFT_TEST_SEED overrides it.
inline std::uint64_t TestSeed(const std::string& test) {
  const char* given = std::getenv("FILBERTSHIFT_TEST_SEED");
  const std::uint64_t seed =
      given != nullptr ? std::strtoull(given, nullptr, 10) : 1;
  fmt::print("seed of {}: {}\n", test, seed);
  return seed;
}

// Returns a uniformly distributed integer in [low, high].
inline int Pick(std::mt19937_64& random, int low, int high) {
  return std::uniform_int_distribution<>(low, high)(random);
}

class RecordingLog : public EventLog {
 public:
  using EventLog::Write;
  void Write(EventId event, const EventContext&, std::string) override {
    events.push_back(event);
  }
  std::vector<EventId> events;
};

inline TimePoint At(Millis time) {
  return TimePoint() + std::chrono::hours(1) + time;
}

inline Configuration MakeConfiguration(std::vector<int> seats,
                                       EndpointLimits limits) {
  Configuration configuration;
  Model model;
  model.model = ModelId("drafts");
  for (const char* name : {"v1", "v2"}) {
    ModelVersion version;
    version.version = VersionId(name);
    version.limits = limits;
    model.versions.push_back(version);
  }
  configuration.models = {model};
  for (const char* name : {"a", "b"}) {
    DataCentre data_centre;
    data_centre.data_centre = DataCentreId(name);
    configuration.data_centres.push_back(data_centre);
  }
  configuration.data_centres[0].seats = std::move(seats);
  return configuration;
}

inline EndpointRecord MakeEndpoint(int number, const std::string& dc = "a") {
  EndpointRecord record;
  record.endpoint = EndpointId(fmt::format("endpoint-{}", number));
  record.address = fmt::format("127.0.0.1:{}", 20000 + number);
  record.data_centre = DataCentreId(dc);
  record.model = ModelId("drafts");
  record.version = VersionId("v1");
  return record;
}

inline std::vector<EndpointRecord> MakeEndpoints(int count) {
  std::vector<EndpointRecord> records;
  for (int i = 0; i < count; ++i) {
    records.push_back(MakeEndpoint(i));
  }
  return records;
}

inline ProbeResult MakeProbe(const EndpointId& endpoint,
                             Millis start_time,
                             Millis uptime) {
  ProbeResult probe;
  probe.endpoint = endpoint;
  probe.reachable = true;
  probe.incarnation.start_time = start_time;
  probe.uptime = uptime;
  return probe;
}

inline EndpointQuery MakeQuery() {
  EndpointQuery query;
  query.model = ModelId("drafts");
  query.version = VersionId("v1");
  return query;
}

inline EndpointRegistryOptions OptionsOfSeat(int seat) {
  EndpointRegistryOptions options;
  options.own_data_centre = DataCentreId("a");
  options.seat = seat;
  return options;
}

}  // namespace filbertshift::routing_test

#endif  // TESTS_UNIT_ROUTING_ROUTING_FIXTURE_H_
