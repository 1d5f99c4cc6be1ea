// Tests of the counts, shares and events of what leaves the data centre.

#include <catch2/catch.hpp>

#include "src/gateway/remote_traffic.h"
#include "tests/unit/gateway/forwarder_fixture.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Guards against traffic between data centres that operators cannot see.
TEST_CASE("what leaves a data centre is counted by destination and reason",
          "[gateway]") {
  DetailLog log;
  GatewayMetrics metrics;
  RemoteTraffic traffic(&log, &metrics);
  traffic.Report({}, kStart);
  traffic.OnSend(DataCentreId("b"), RemoteReason::kOverflow, 100);
  traffic.OnSend(DataCentreId("b"), RemoteReason::kOverflow, 50);
  traffic.OnSend(DataCentreId("c"), RemoteReason::kNoLocalEndpoint, 7);
  traffic.OnResponse(DataCentreId("b"), 900);
  traffic.Report({{ServiceId("s"), DataCentreId("b"), 0.25, false}},
                 kStart + milliseconds(10000));
  std::string text = metrics.Serialize();
  CHECK(Contains(text,
                 "filbertshift_remote_requests_total{destination=\"b\","
                 "reason=\"overflow\"} 2"));
  CHECK(Contains(text,
                 "filbertshift_remote_requests_total{destination=\"c\","
                 "reason=\"no_local_endpoint\"} 1"));
  CHECK(Contains(text,
                 "filbertshift_remote_bytes_total{destination=\"b\","
                 "part=\"request\"} 150"));
  CHECK(Contains(text,
                 "filbertshift_remote_bytes_total{destination=\"b\","
                 "part=\"response\"} 900"));
  CHECK(Contains(text, "destination=\"b\",service=\"s\"} 0.25"));
  const std::vector<std::string>& events =
      log.details[EventId::kRequestsLeftDataCentre];
  REQUIRE(events.size() == 2);
  CHECK(events[0] ==
        "destination=b reason=overflow requests=2 request_bytes=150 "
        "response_bytes=900 share=0.25");
  // A flow that has ended must not look as if it went on.
  traffic.Report({}, kStart + milliseconds(10100));
  CHECK(Contains(metrics.Serialize(), "destination=\"b\",service=\"s\"} 0\n"));
}

// Guards against a log that is filled by one lasting condition.
TEST_CASE("events on what leaves a data centre are bounded", "[gateway]") {
  DetailLog log;
  GatewayMetrics metrics;
  RemoteTraffic traffic(&log, &metrics);
  for (int ms = 0; ms < 60000; ms += 100) {
    traffic.OnSend(DataCentreId("b"), RemoteReason::kOverflow, 100);
    traffic.Report({{ServiceId("s"), DataCentreId("b"), 0.25, true},
                    {ServiceId("t"), DataCentreId("b"), 0.25, true}},
                   kStart + milliseconds(ms));
  }
  CHECK(log.counts[EventId::kRequestsLeftDataCentre] <= 6);
  CHECK(log.counts[EventId::kOverflowBothWays] >= 1);
  CHECK(log.counts[EventId::kOverflowBothWays] <= 6);
}

}  // namespace
}  // namespace filbertshift
