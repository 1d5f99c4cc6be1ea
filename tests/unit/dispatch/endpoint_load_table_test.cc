// Tests of the load that other instances report.

#include <catch2/catch.hpp>

#include "src/dispatch/dispatch.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
const EndpointId kFirst("e1");
const ServiceId kService("s");

LoadReport ReportOf(double in_flight, double arrivals) {
  LoadReport report;
  report.endpoints[EndpointKey(kFirst)].in_flight = in_flight;
  report.services[kService].arrivals = arrivals;
  return report;
}

// Guards against decisions on the load of instances that are gone or cut off.
TEST_CASE("a load table that is not renewed becomes unknown",
          "[dispatch][load]") {
  EndpointLoadTable table;
  CHECK_FALSE(table.OthersAt(EndpointKey(kFirst), kStart).has_value());
  CHECK_FALSE(table.AgeAt(kStart).has_value());
  table.SetOthers(ReportOf(3, 10), milliseconds(400), kStart);
  CHECK(table.AgeAt(kStart) == milliseconds(400));
  REQUIRE(table.OthersAt(EndpointKey(kFirst), kStart).has_value());
  CHECK(table.OthersAt(EndpointKey(kFirst), kStart)->in_flight == 3);
  CHECK(table.OthersOf(kService, kStart)->arrivals == 10);
  TimePoint latest = kStart - milliseconds(400) + kMaxLoadAge;
  CHECK(table.IsCurrent(latest));
  CHECK_FALSE(table.IsCurrent(latest + milliseconds(1)));
  CHECK_FALSE(table.OthersAt(EndpointKey(kFirst), latest + milliseconds(1)));
  CHECK_FALSE(table.OthersOf(kService, latest + milliseconds(1)));
}

// Guards against an idle endpoint that counts as unknown.
TEST_CASE("an endpoint that no report mentions has no load",
          "[dispatch][load]") {
  EndpointLoadTable table;
  table.SetOthers(ReportOf(3, 10), milliseconds(0), kStart);
  auto load = table.OthersAt(EndpointKey(EndpointId("e2")), kStart);
  REQUIRE(load.has_value());
  CHECK(load->in_flight == 0);
}

// Guards against reports that replace each other instead of adding up.
TEST_CASE("reports of several instances add up", "[dispatch][load]") {
  LoadReport sum = ReportOf(3, 10);
  sum.Add(ReportOf(2, 5));
  LoadReport other;
  other.endpoints[EndpointKey(EndpointId("e2"))].waiting_tokens = 700;
  sum.Add(other);
  CHECK(sum.endpoints[EndpointKey(kFirst)].in_flight == 5);
  CHECK(sum.services[kService].arrivals == 15);
  CHECK(sum.endpoints[EndpointKey(EndpointId("e2"))].waiting_tokens == 700);
}

}  // namespace
}  // namespace filbertshift
