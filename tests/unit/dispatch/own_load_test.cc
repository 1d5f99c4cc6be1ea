// Tests of the meters of an instance's own load.

#include <catch2/catch.hpp>

#include "src/dispatch/dispatch.h"

namespace filbertshift {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
const ServiceId kService("s");
const EndpointId kEndpoint("e1");
const ModelId kModel("m");

RoutedEndpoint RecordOf(const EndpointId& endpoint, std::int64_t started_at) {
  RoutedEndpoint record;
  record.endpoint = endpoint;
  record.service = kService;
  record.address = "10.0.0.1:1";
  record.started_at = started_at;
  return record;
}

// Guards against counts that never leave the window, or leave it early.
TEST_CASE("traffic is reported for one second", "[dispatch][load]") {
  ServiceTrafficMeter meter;
  meter.OnArrival(kService, kStart);
  meter.OnArrival(kService, kStart);
  meter.OnAdmitted(kService, kStart);
  meter.OnAnswer(kService, milliseconds(30), kStart);
  meter.OnRejection(kService, kStart);
  auto export_at = [&](milliseconds time) {
    LoadReport report;
    meter.Export(kStart + time, &report);
    return report;
  };
  // The current slice is not complete.
  CHECK(export_at(milliseconds(50)).services[kService].arrivals == 0);
  for (int ms : {100, 500, 1000}) {
    INFO(ms);
    LoadReport report = export_at(milliseconds(ms));
    const ReportedServiceLoad& load = report.services[kService];
    CHECK(load.arrivals == 2);
    CHECK(load.admitted == 1);
    CHECK(load.answers == 1);
    CHECK(load.answer_ms == 30);
    CHECK(load.rejections == 1);
  }
  CHECK(export_at(milliseconds(1100)).services.empty());
}

// Guards against a rate that depends on when it is read.
TEST_CASE("a steady rate is reported as it is", "[dispatch][load]") {
  ServiceTrafficMeter meter;
  for (int ms = 0; ms < 5000; ms += 20) {
    meter.OnArrival(kService, kStart + milliseconds(ms));
    if (ms >= 1100) {
      LoadReport report;
      meter.Export(kStart + milliseconds(ms), &report);
      REQUIRE(report.services[kService].arrivals == 50);
    }
  }
}

// Guards against memory that grows with the services that ever had requests.
TEST_CASE("a service without traffic is forgotten", "[dispatch][load]") {
  ServiceTrafficMeter meter;
  meter.OnArrival(kService, kStart);
  LoadReport report;
  meter.Export(kStart + seconds(10), &report);
  CHECK(report.services.empty());
}

class PaceFixture {
 public:
  PaceFixture() { record_ = RecordOf(kEndpoint, 5); }
  // Streams of another endpoint, which make the mean.
  void LearnMean(microseconds pause, int streams = 8) {
    for (int i = 0; i < streams; ++i) {
      meter_.OnStream(EndpointId("other"), {"10.0.0.2:1", 5}, kService, kModel,
                      pause, kStart);
    }
  }
  void Stream(microseconds pause, TimePoint now) {
    meter_.OnStream(kEndpoint, IncarnationOf(record_), kService, kModel, pause,
                    now);
  }
  ReportedEndpointLoad Export(TimePoint now) {
    LoadReport report;
    meter_.Export(
        now,
        [this](const EndpointId& endpoint) {
          return endpoint == kEndpoint ? &record_ : nullptr;
        },
        &report);
    return report.endpoints[EndpointKey(kEndpoint)];
  }
  RoutedEndpoint record_;
  PaceMeter meter_;
};

// Guards against a pace that is measured against too few streams.
TEST_CASE("pace is relative to the usual pause of the model",
          "[dispatch][load]") {
  PaceFixture f;
  f.LearnMean(microseconds(20000), 7);
  f.Stream(microseconds(20000), kStart);
  CHECK(f.Export(kStart).pace_count == 0);
  f.Stream(microseconds(40000), kStart);
  ReportedEndpointLoad load = f.Export(kStart);
  CHECK(load.pace_count == Approx(1));
  CHECK(load.pace_sum == Approx(2));
}

// Guards against an endpoint that counts as slow long after it was.
TEST_CASE("pace samples decay with a half-life of four seconds",
          "[dispatch][load]") {
  PaceFixture f;
  f.LearnMean(microseconds(20000));
  f.Stream(microseconds(40000), kStart);
  ReportedEndpointLoad load = f.Export(kStart + seconds(4));
  CHECK(load.pace_count == Approx(0.5));
  CHECK(load.pace_sum == Approx(1));
  CHECK(f.Export(kStart + seconds(60)).pace_count == 0);
}

// Guards against one stalled stream that makes an endpoint look unusable.
TEST_CASE("one sample is bounded", "[dispatch][load]") {
  PaceFixture f;
  f.LearnMean(microseconds(20000));
  f.Stream(seconds(60), kStart);
  CHECK(f.Export(kStart).pace_sum == Approx(10));
}

// Guards against a restarted endpoint that inherits the pace of its
// predecessor.
TEST_CASE("a restart clears the pace", "[dispatch][load]") {
  PaceFixture f;
  f.LearnMean(microseconds(20000));
  f.Stream(microseconds(40000), kStart);
  f.record_.started_at = 6;
  SECTION("known from the record") {
    CHECK(f.Export(kStart).pace_count == 0);
  }
  SECTION("known from the next stream") {
    f.Stream(microseconds(20000), kStart);
    CHECK(f.Export(kStart).pace_count == Approx(1));
  }
}

// Guards against memory that callers can make grow with names of models.
TEST_CASE("the number of models with a mean is bounded", "[dispatch][load]") {
  PaceFixture f;
  for (int i = 0; i < 300; ++i) {
    f.meter_.OnStream(kEndpoint, IncarnationOf(f.record_), kService,
                      ModelId(std::to_string(i)), milliseconds(20), kStart);
  }
  f.LearnMean(milliseconds(20));
  f.Stream(milliseconds(20), kStart);
  CHECK(f.Export(kStart).pace_count == 0);
}

// Guards against reports of requests that have ended, and of idle endpoints.
TEST_CASE("the pool exports its requests in progress", "[dispatch][load]") {
  EndpointPool pool({1, 0});
  pool.Update(RecordOf(kEndpoint, 5), kStart);
  pool.Update(RecordOf(EndpointId("idle"), 5), kStart);
  WorkEstimate work;
  work.prompt_tokens = 100;
  work.model_weight = 0.5;
  pool.OnStart(kEndpoint, work, kStart);
  pool.OnStart(kEndpoint, work, kStart);
  pool.OnFirstByte(kEndpoint, work, milliseconds(10), kStart);
  LoadReport report;
  pool.ExportLoad(&report);
  REQUIRE(report.endpoints.size() == 1);
  const ReportedEndpointLoad& load = report.endpoints[EndpointKey(kEndpoint)];
  CHECK(load.in_flight == 2);
  CHECK(load.running == 0.5);
  CHECK(load.waiting_tokens == 50);
  pool.OnEnd(kEndpoint, work, true, AttemptResult::kAnswered, kStart);
  pool.OnEnd(kEndpoint, work, false, AttemptResult::kCancelled, kStart);
  LoadReport after;
  pool.ExportLoad(&after);
  CHECK(after.endpoints.empty());
}

}  // namespace
}  // namespace filbertshift
