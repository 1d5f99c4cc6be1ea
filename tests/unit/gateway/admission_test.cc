// Tests of admission control in the forwarder; the test acts as callers,
// endpoints and other instances.

#include <catch2/catch.hpp>

#include <set>
#include <string>

#include "tests/unit/gateway/forwarder_fixture.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;
using Arrival = ForwarderFixture::Arrival;

constexpr char kRejection[] =
    "HTTP/1.1 503 Busy\r\nFilbertshift-Not-Executed: 1\r\n"
    "Content-Length: 0\r\n\r\n";
constexpr int kManyInstances = 34;

ForwarderLimits WithAdmission() {
  ForwarderLimits limits = ForwarderFixture::Limits();
  limits.admission = true;
  return limits;
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

double RetryAfterOf(const std::string& response) {
  std::size_t start = response.find("Retry-After: ");
  return start == std::string::npos ? -1
                                    : std::stod(response.substr(start + 13));
}

struct AdmissionFixture : ForwarderFixture {
  explicit AdmissionFixture(int endpoints = 2, int instances = kManyInstances)
      : ForwarderFixture(endpoints, WithAdmission()) {
    forwarder.SetInstanceCount(instances);
  }

  // Sends a request that the endpoints reject one after the other.
  ConnectionId RequestRejectedBy(int endpoints, const std::string& id) {
    ConnectionId caller = Request("POST", "/once/x", id, "", "b");
    for (int i = 0; i < endpoints; ++i) {
      Arrival arrival = NextArrival();
      REQUIRE_FALSE(arrival.endpoint.empty());
      Respond(arrival, kRejection);
      transport.Advance(milliseconds(2));
    }
    return caller;
  }
};

// Guards against a request that is sent from endpoint to endpoint while all are
// full, and against a wait that ends without an answer.
TEST_CASE("a request rejected by two endpoints waits for room", "[gateway]") {
  AdmissionFixture f(3);
  ConnectionId caller = f.RequestRejectedBy(2, "r1");
  // The third endpoint is not full, so the request goes there after its wait.
  Arrival third = f.NextArrival();
  REQUIRE_FALSE(third.endpoint.empty());
  f.Respond(third, ForwarderFixture::WholeResponse(200, "r1", "done"));
  CHECK(Contains(f.transport.TakeSent(caller), "\r\n\r\ndone"));
  CHECK(f.log.counts[EventId::kAdmissionRefused] == 0);
}

// Guards against a retry to an endpoint that is known to be full.
TEST_CASE("a full endpoint gets nothing until it may have room", "[gateway]") {
  AdmissionFixture f(1);
  ConnectionId caller = f.RequestRejectedBy(1, "r1");
  CHECK(f.NothingArrives(milliseconds(50)));
  ConnectionId second = f.Request("POST", "/once/x", "r2", "", "b");
  Arrival first = f.NextArrival();
  Arrival next = f.NextArrival();
  REQUIRE_FALSE(next.endpoint.empty());
  CHECK(first.text.find("r1") != std::string::npos);
  CHECK(next.text.find("r2") != std::string::npos);
  f.Respond(first, ForwarderFixture::WholeResponse(200, "r1", "done"));
  f.Respond(next, ForwarderFixture::WholeResponse(200, "r2", "also"));
  CHECK(Contains(f.transport.TakeSent(caller), "done"));
  CHECK(Contains(f.transport.TakeSent(second), "also"));
}

// Guards against a refusal of a request that may have run, one that is sent
// later after all, and one that tells all callers to return together.
TEST_CASE("a refusal is truthful and says when to return", "[gateway]") {
  AdmissionFixture f(1);
  // Full for 60, 120 and 240 ms, which is too long: the objective is 300 ms.
  ConnectionId rejected = f.RequestRejectedBy(3, "r0");
  CHECK(Contains(f.transport.TakeSent(rejected), "HTTP/1.1 503"));
  std::vector<double> times;
  for (int i = 1; i <= 4; ++i) {
    ConnectionId caller =
        f.Request("POST", "/once/x", "r" + std::to_string(i), "", "b");
    std::string response = f.transport.TakeSent(caller);
    CHECK(Contains(response, "HTTP/1.1 503"));
    CHECK(Contains(response, "\"no_room\""));
    CHECK(Contains(response, "not_run"));
    times.push_back(RetryAfterOf(response));
    // 30% of the 800 ms that are left.
    CHECK(times.back() >= 0.1);
    CHECK(times.back() <= 0.24);
  }
  CHECK(times[0] != times[1]);
  CHECK(f.NothingArrives(milliseconds(900)));
  CHECK(f.log.counts[EventId::kAdmissionRefused] == 5);
  const std::string& line = f.log.details[EventId::kAdmissionRefused].back();
  CHECK(Contains(line, "route=once account=museum reason=endpoints_full"));
  CHECK(Contains(line, "table_age_ms=-1"));
  CHECK(line.size() < 400);
  CHECK(Contains(f.metrics.Serialize(),
                 "filbertshift_admission_refusals_total{reason=\"endpoints_"
                 "full\",route=\"once\"}"));
}

// Guards against an answer "not run" for a repeatable request that ran before
// an endpoint rejected it.
TEST_CASE("a request that ran is not refused as not run", "[gateway]") {
  AdmissionFixture f(3);
  ConnectionId caller = f.Request("GET", "/safe/x", "r1");
  f.transport.End(f.NextArrival().connection, ConnectionEnd::kReset);
  for (int i = 0; i < 2; ++i) {
    Arrival arrival = f.NextArrival();
    if (!arrival.endpoint.empty()) {
      f.Respond(arrival, kRejection);
    }
  }
  f.transport.Advance(milliseconds(900));
  std::string response = f.transport.TakeSent(caller);
  CHECK_FALSE(Contains(response, "HTTP/1.1 503"));
  CHECK_FALSE(Contains(response, "not_run"));
  CHECK(f.log.counts[EventId::kInvariantViolated] == 0);
}

// Guards against sending a request whose caller has left the queue, and against
// a queue entry that outlives its request.
TEST_CASE("a caller that leaves is removed from the queue", "[gateway]") {
  AdmissionFixture f(1);
  f.RequestRejectedBy(1, "r0");
  ConnectionId caller = f.Request("POST", "/once/x", "r1", "", "b");
  CHECK(f.forwarder.waiting_for_admission() == 2);
  f.transport.End(caller, ConnectionEnd::kReset);
  CHECK(f.forwarder.waiting_for_admission() == 1);
  Arrival first = f.NextArrival();
  CHECK(first.text.find("r0") != std::string::npos);
  CHECK(f.NothingArrives(milliseconds(300)));
  f.Respond(first, ForwarderFixture::WholeResponse(200, "r0", "done"));
  CHECK(f.forwarder.in_progress() == 0);
}

// Guards against a queue that delays the planned stop, and against requests
// sent after it.
TEST_CASE("waiting requests are refused at a stop", "[gateway]") {
  AdmissionFixture f(1);
  f.RequestRejectedBy(1, "r0");
  ConnectionId caller = f.Request("POST", "/once/x", "r1", "", "b");
  CHECK(f.transport.TakeSent(caller).empty());
  f.forwarder.RefuseNewRequests();
  f.transport.Advance(milliseconds(15));
  std::string response = f.transport.TakeSent(caller);
  CHECK(Contains(response, "HTTP/1.1 503"));
  CHECK(Contains(response, "\"shutting_down\""));
  CHECK(Contains(response, "Retry-After: 0.4"));
  CHECK(f.NothingArrives(milliseconds(300)));
}

// Guards against a wait until the caller's deadline.
TEST_CASE("a waiting request is refused in time", "[gateway]") {
  AdmissionFixture f(1);
  f.RequestRejectedBy(1, "r0");
  ConnectionId caller = f.Request("POST", "/once/x", "r1",
                                  "Filbertshift-Deadline-Ms: 40\r\n", "b");
  f.transport.Advance(milliseconds(60));
  CHECK(Contains(f.transport.TakeSent(caller), "HTTP/1.1 503"));
}

// Guards against changed behaviour where admission control is off, or where an
// instance has a slot at each endpoint: rejected requests go on as before.
TEST_CASE("without admission control nothing waits", "[gateway]") {
  ForwarderLimits limits = ForwarderFixture::Limits();
  limits.admission = GENERATE(true, false);
  ForwarderFixture f(2, limits);
  f.forwarder.SetInstanceCount(limits.admission ? 8 : kManyInstances);
  ConnectionId caller = f.Request("POST", "/once/x", "r1", "", "b");
  TimePoint start = f.transport.Now();
  std::set<std::string> endpoints;
  for (int i = 0; i < 2; ++i) {
    Arrival arrival = f.NextArrival();
    endpoints.insert(arrival.endpoint);
    f.Respond(arrival, kRejection);
  }
  CHECK(endpoints == std::set<std::string>{"e1", "e2"});
  CHECK(f.transport.Now() - start < milliseconds(20));
  // It waits for an eighth of the objective, and is then refused.
  CHECK(f.NothingArrives(milliseconds(100)));
  std::string response = f.transport.TakeSent(caller);
  CHECK(Contains(response, "HTTP/1.1 503"));
  CHECK(Contains(response, "Retry-After: 0.4"));
  CHECK_FALSE(Contains(response, "no_room"));
  CHECK(f.log.counts[EventId::kAdmissionRefused] == 0);
}

// Guards against streams and requests with a prompt in the queue.
TEST_CASE("streams are not subject to admission control", "[gateway]") {
  AdmissionFixture f(1);
  f.RequestRejectedBy(1, "r0");
  f.Request("POST", "/stream/x", "r1", "", "b");
  CHECK(f.NextArrival().text.find("r1") != std::string::npos);
}

// Guards against a fleet in overload that sends everything, and against lines
// without the figures that the decision is based on.
TEST_CASE("an overload that others report is shed", "[gateway]") {
  AdmissionFixture f(2);
  int sent = 0;
  int refused = 0;
  for (int i = 0; i < 150; ++i) {
    LoadReport report;
    report.services[ServiceId("s")] = {500, 260, 260, 260 * 100, 20};
    for (const char* endpoint : {"e1", "e2"}) {
      report.endpoints[EndpointKey(EndpointId(endpoint))].in_flight = 12;
    }
    f.forwarder.load_table().SetOthers(std::move(report), milliseconds(300),
                                       f.transport.Now());
    std::string id = "r" + std::to_string(i);
    ConnectionId caller = f.Request("POST", "/once/x", id, "", "b");
    f.transport.Advance(milliseconds(20));
    std::string response = f.transport.TakeSent(caller);
    if (Contains(response, "\"no_room\"")) {
      ++refused;
      continue;
    }
    Arrival arrival = f.NextArrival();
    if (!arrival.endpoint.empty()) {
      ++sent;
      std::size_t at = arrival.text.find("Attempt-Id: ") + 12;
      std::string served =
          arrival.text.substr(at, arrival.text.find('\r', at) - at);
      f.Respond(arrival, ForwarderFixture::WholeResponse(200, served, "ok"));
    }
  }
  CAPTURE(sent, refused);
  CHECK(sent >= 20);
  CHECK(refused >= 20);
  REQUIRE(f.log.counts[EventId::kSheddingStarted] >= 1);
  const std::string& line = f.log.details[EventId::kSheddingStarted].front();
  CHECK(Contains(line, "service=s admitted=0."));
  CHECK(Contains(line, "slots=8 "));
  f.forwarder.load_table().SetOthers({}, milliseconds(0), f.transport.Now());
  f.transport.Advance(milliseconds(900));
  REQUIRE(f.log.counts[EventId::kSheddingEnded] >= 1);
  CHECK(Contains(f.log.details[EventId::kSheddingEnded].back(),
                 "accounts=museum:"));
}

}  // namespace
}  // namespace filbertshift
