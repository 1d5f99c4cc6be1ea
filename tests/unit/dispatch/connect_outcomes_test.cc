// Tests of when failing connects are reported.

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include "src/dispatch/connect_outcomes.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

RoutedEndpoint Endpoint(int number,
                        const std::string& service = "s",
                        const std::string& data_centre = "a") {
  RoutedEndpoint endpoint;
  endpoint.endpoint = EndpointId(fmt::format("e{}", number));
  endpoint.address = fmt::format("10.0.0.{}:1", number);
  endpoint.service = ServiceId(service);
  endpoint.data_centre = DataCentreId(data_centre);
  return endpoint;
}

TEST_CASE("connects that fail at several endpoints are reported once",
          "[dispatch]") {
  TimePoint start{std::chrono::hours(1)};
  ConnectOutcomes outcomes;
  outcomes.OnSucceeded(start);
  outcomes.OnBytes(start + milliseconds(10));
  TimePoint now = start + milliseconds(300);
  outcomes.OnFailed(Endpoint(1), now);
  outcomes.OnFailed(Endpoint(1), now);
  outcomes.OnFailed(Endpoint(2, "t"), now);
  REQUIRE_FALSE(outcomes.TakeReport(21, now).has_value());

  now += milliseconds(100);
  outcomes.OnFailed(Endpoint(3, "s", "b"), now);
  std::optional<ConnectReport> report = outcomes.TakeReport(21, now);
  REQUIRE(report.has_value());
  REQUIRE(report->failing);
  REQUIRE(report->failures.failures == 4);
  REQUIRE(report->failures.endpoints == 3);
  REQUIRE(report->failures.hosts == 3);
  REQUIRE(report->failures.services == 2);
  REQUIRE(report->failures.data_centres == 2);
  REQUIRE(report->failures.since_first == milliseconds(100));
  REQUIRE(report->failures.latest_success == milliseconds(400));
  REQUIRE(report->failures.latest_bytes == milliseconds(390));

  outcomes.OnFailed(Endpoint(4), now + milliseconds(5000));
  REQUIRE_FALSE(outcomes.TakeReport(21, now + milliseconds(5000)).has_value());
}

TEST_CASE("the end of failing connects is reported with their number",
          "[dispatch]") {
  TimePoint now{std::chrono::hours(1)};
  ConnectOutcomes outcomes;
  for (int i = 1; i <= 3; ++i) {
    outcomes.OnFailed(Endpoint(i), now);
  }
  REQUIRE(outcomes.TakeReport(21, now).has_value());
  now += milliseconds(2000);
  outcomes.OnSucceeded(now);
  outcomes.OnFailed(Endpoint(9), now);

  std::optional<ConnectReport> report = outcomes.TakeReport(21, now);
  REQUIRE(report.has_value());
  REQUIRE_FALSE(report->failing);
  REQUIRE(report->failures.failures == 3);
  REQUIRE(report->failures.since_first == milliseconds(2000));
  REQUIRE_FALSE(report->failures.latest_success.has_value());
  REQUIRE(outcomes.Failures(now).failures == 1);
  REQUIRE_FALSE(outcomes.TakeReport(21, now).has_value());
}

TEST_CASE("failing connects are not reported while others succeed",
          "[dispatch]") {
  TimePoint now{std::chrono::hours(1)};
  ConnectOutcomes outcomes;
  for (int i = 1; i <= 20; ++i) {
    outcomes.OnFailed(Endpoint(i), now);
    if (i % 2 == 0) {
      outcomes.OnSucceeded(now);
    }
    REQUIRE_FALSE(outcomes.TakeReport(21, now).has_value());
    now += milliseconds(50);
  }
}

TEST_CASE(
    "failing connects that come and go are reported at most once a second",
    "[dispatch]") {
  TimePoint now{std::chrono::hours(1)};
  ConnectOutcomes outcomes;
  int starts = 0;
  int ends = 0;
  for (int step = 0; step < 1000; ++step) {
    for (int i = 1; i <= 3; ++i) {
      outcomes.OnFailed(Endpoint(i), now);
    }
    while (std::optional<ConnectReport> report = outcomes.TakeReport(21, now)) {
      ++(report->failing ? starts : ends);
    }
    outcomes.OnSucceeded(now);
    now += milliseconds(10);
  }
  REQUIRE(starts == 10);
  REQUIRE(ends == 9 + 1);
}

TEST_CASE("failing connects to all of a few endpoints are reported",
          "[dispatch]") {
  TimePoint now{std::chrono::hours(1)};
  ConnectOutcomes outcomes;
  REQUIRE_FALSE(outcomes.TakeReport(0, now).has_value());
  outcomes.OnFailed(Endpoint(1), now);
  REQUIRE_FALSE(outcomes.TakeReport(2, now).has_value());
  outcomes.OnFailed(Endpoint(2), now);
  REQUIRE(outcomes.TakeReport(2, now).has_value());
}

}  // namespace
}  // namespace filbertshift
