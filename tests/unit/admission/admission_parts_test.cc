// Tests of the parts of admission control, and of single decisions.

#include <catch2/catch.hpp>

#include <set>

#include "src/admission/admission.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart = TimePoint(std::chrono::hours(1));

// Guards against sending to an endpoint that has just rejected a request, and
// against a pause that grows with every request in transit.
TEST_CASE("an endpoint that rejects is full for a while", "[admission]") {
  FullEndpointTracker full;
  EndpointId endpoint("e1");
  CHECK_FALSE(full.IsFull(endpoint, kStart));
  full.OnRejected(endpoint, kStart);
  full.OnRejected(endpoint, kStart + milliseconds(5));
  CHECK(full.IsFull(endpoint, kStart + milliseconds(59)));
  CHECK_FALSE(full.IsFull(endpoint, kStart + milliseconds(60)));
  TimePoint now = kStart + milliseconds(60);
  milliseconds pauses[] = {milliseconds(120), milliseconds(240),
                           milliseconds(480), milliseconds(500),
                           milliseconds(500)};
  for (milliseconds pause : pauses) {
    full.OnRejected(endpoint, now);
    CHECK(full.FullUntil(endpoint) == now + pause);
    now += pause;
  }
  full.OnAnswer(endpoint, now + milliseconds(1));
  full.OnRejected(endpoint, now + milliseconds(2));
  CHECK(full.FullUntil(endpoint) == now + milliseconds(62));
}

// Guards against an answer to an older request that hides a rejection.
TEST_CASE("an answer to an earlier request proves no room", "[admission]") {
  FullEndpointTracker full;
  full.OnRejected(EndpointId("e1"), kStart);
  full.OnAnswer(EndpointId("e1"), kStart - milliseconds(1));
  CHECK(full.IsFull(EndpointId("e1"), kStart + milliseconds(10)));
}

// Guards against callers that are told to return together, too late for their
// deadline, or before more urgent ones.
TEST_CASE("Retry-After is bounded, spread and ordered", "[admission]") {
  RetryAfterPlanner planner;
  RetryAfterPlanner::Refusal refusal;
  refusal.time_left = milliseconds(1500);
  refusal.admitted_per_second = 40;
  refusal.priority = 1;
  std::set<milliseconds> times;
  for (std::uint64_t i = 1; i <= 30; ++i) {
    refusal.hash = i * 0x9e3779b97f4a7c15ULL;
    milliseconds time = planner.Plan(refusal, kStart);
    CHECK(time >= milliseconds(100));
    CHECK(time <= milliseconds(450));
    times.insert(time);
  }
  CHECK(times.size() > 20);
  CHECK(planner.backlog(kStart) == 30);
  refusal.hash = std::uint64_t{1} << 63;
  milliseconds less_urgent = planner.Plan(refusal, kStart);
  refusal.priority = 0;
  CHECK(planner.Plan(refusal, kStart) < less_urgent);
  CHECK(planner.backlog(kStart + milliseconds(450)) == 0);
  refusal.time_left = milliseconds(200);
  CHECK(planner.Plan(refusal, kStart) <= milliseconds(60));
}

// Guards against an account with few requests that is never admitted, and one
// with many that takes the part of all others.
TEST_CASE("accounts keep their usual part", "[admission]") {
  AccountShares shares;
  int light_sent = 0;
  int heavy_sent = 0;
  int light = 0;
  int heavy = 0;
  TimePoint now = kStart;
  for (int i = 0; i < 5000; ++i) {
    now += milliseconds(25);
    // From the middle on, the heavy account sends nearly eight times its usual
    // rate of 5 requests a second.
    bool is_heavy = i >= 2500 ? i % 8 != 0 : i % 8 == 4;
    if (!is_heavy && i % 8 != 0) {
      continue;
    }
    AccountId account(is_heavy ? "heavy" : "light");
    shares.OnArrival(account, 1, static_cast<std::uint64_t>(i), now);
    bool sent = shares.Take(account, 1, i < 2500 ? 1 : 0.5, now);
    if (i >= 3200 && i < 4200) {
      (is_heavy ? heavy : light) += 1;
      (is_heavy ? heavy_sent : light_sent) += sent ? 1 : 0;
    }
  }
  CHECK(light_sent >= 0.85 * light);
  CHECK(heavy_sent >= 0.3 * heavy);
  CHECK(light_sent + heavy_sent == Approx(0.5 * (light + heavy)).epsilon(0.1));
}

// Guards against memory that grows with the number of accounts.
TEST_CASE("many accounts share the entries", "[admission]") {
  AccountShares shares;
  int sent = 0;
  for (int i = 0; i < 20000; ++i) {
    AccountId account("a" + std::to_string(i));
    TimePoint now = kStart + milliseconds(i);
    shares.OnArrival(account, 1, static_cast<std::uint64_t>(i) * 7919, now);
    sent += shares.Take(account, 1, 0.5, now) ? 1 : 0;
  }
  CHECK(sent == Approx(10000).epsilon(0.1));
}

// A service with one endpoint and what an instance is told of the others.
struct Service {
  explicit Service(int instances = 34, int slots = 6) {
    state.instances = instances;
    state.endpoints.push_back({EndpointId("e1"), slots, 0});
    state.current = true;
    admission.SetState(state, now);
  }

  AdmissionRequest Request(const std::string& key, int priority = 1) {
    AdmissionRequest request;
    request.key = RequestId(key);
    request.hash = std::hash<std::string>()(key);
    request.account = AccountId("museum");
    request.priority = priority;
    request.arrived_at = now;
    request.objective = milliseconds(150);
    request.deadline = now + milliseconds(1500);
    return request;
  }

  AdmissionDecision Decide(const std::string& key, int priority = 1) {
    admission.SetState(state, now);
    return admission.Decide(Request(key, priority), now);
  }

  // The fleet receives twice what it can serve, and its slots are taken.
  void Overload() {
    for (int i = 0; i < 60; ++i) {
      now += milliseconds(50);
      state.others = {400, 200, 200, 200 * 60, 0};
      state.endpoints[0].in_flight = 12;
      if (Decide("o" + std::to_string(i)).verdict == AdmissionVerdict::kSend) {
        admission.OnAnswer(EndpointId("e1"), now - milliseconds(30), now);
      } else {
        admission.Remove(RequestId("o" + std::to_string(i)));
      }
    }
  }

  TimePoint now = kStart;
  ServiceState state;
  ServiceAdmission admission;
};

// Guards against admission control where one instance decides alone or there is
// a slot for each instance.
TEST_CASE("everything is sent with slots for all instances", "[admission]") {
  for (auto [instances, slots] : {std::pair(1, 6), std::pair(6, 6)}) {
    Service service(instances, slots);
    service.Overload();
    CHECK_FALSE(service.admission.active());
    for (int i = 0; i < 50; ++i) {
      service.admission.OnRejected(EndpointId("e1"), service.now);
      CHECK(service.Decide("r" + std::to_string(i)).verdict ==
            AdmissionVerdict::kSend);
    }
  }
}

// Guards against a request that is held back and never heard of again.
TEST_CASE("a request is sent, waits or is refused at once", "[admission]") {
  Service service;
  service.Overload();
  REQUIRE(service.admission.shedding());
  int sent = 0;
  int refused = 0;
  for (int i = 0; i < 200; ++i) {
    service.now += milliseconds(50);
    AdmissionDecision decision = service.Decide("r" + std::to_string(i));
    sent += decision.verdict == AdmissionVerdict::kSend ? 1 : 0;
    if (decision.verdict == AdmissionVerdict::kRefuse) {
      ++refused;
      CHECK(decision.retry_after >= milliseconds(100));
      CHECK(decision.retry_after <= milliseconds(450));
      CHECK(decision.wait + decision.response > milliseconds(100));
    }
    for (const AdmissionRelease& release :
         service.admission.Release(service.now)) {
      bool is_sent = release.decision.verdict == AdmissionVerdict::kSend;
      (is_sent ? sent : refused) += 1;
    }
    CHECK(service.admission.waiting() < 10);
  }
  service.now += milliseconds(200);
  refused += static_cast<int>(service.admission.Release(service.now).size());
  CHECK(service.admission.waiting() == 0);
  CHECK(sent + refused == 200);
  CHECK(sent >= 60);
  CHECK(refused >= 60);
}

// Guards against sending what a suspended instance should have sent earlier.
TEST_CASE("expired waiting requests are refused, not sent", "[admission]") {
  Service service;
  service.admission.OnRejected(EndpointId("e1"), service.now);
  REQUIRE(service.Decide("r1").verdict == AdmissionVerdict::kWait);
  service.now += std::chrono::seconds(2);
  std::vector<AdmissionRelease> released =
      service.admission.Release(service.now);
  REQUIRE(released.size() == 1);
  CHECK(released[0].decision.verdict == AdmissionVerdict::kRefuse);
  CHECK(service.admission.waiting() == 0);
}

// Guards against a wait for an endpoint that is full for longer than the
// objective allows, and against an urgent request behind a less urgent one.
TEST_CASE("requests wait for a full endpoint in their order", "[admission]") {
  Service service;
  service.admission.OnRejected(EndpointId("e1"), service.now);
  CHECK(service.Decide("r1", 2).verdict == AdmissionVerdict::kWait);
  CHECK(service.Decide("r2", 1).verdict == AdmissionVerdict::kWait);
  CHECK(service.Decide("r3", 2).verdict == AdmissionVerdict::kWait);
  CHECK(service.admission.Release(service.now + milliseconds(59)).empty());
  CHECK(service.admission.Remove(RequestId("r1")));
  CHECK_FALSE(service.admission.Remove(RequestId("r1")));
  service.now += milliseconds(60);
  std::vector<AdmissionRelease> released =
      service.admission.Release(service.now);
  REQUIRE(released.size() == 2);
  CHECK(released[0].key == RequestId("r2"));
  CHECK(released[1].key == RequestId("r3"));
  for (int i = 0; i < 3; ++i) {
    service.admission.OnRejected(EndpointId("e1"), service.now);
    service.now =
        service.admission.full_endpoints().FullUntil(EndpointId("e1"));
  }
  service.admission.OnRejected(EndpointId("e1"), service.now);
  AdmissionDecision decision = service.Decide("r4");
  CHECK(decision.verdict == AdmissionVerdict::kRefuse);
  CHECK(decision.reason == AdmissionReason::kEndpointsFull);
}

// Guards against a limit that stays in force after the overload.
TEST_CASE("shedding ends when slots are free", "[admission]") {
  Service service;
  service.Overload();
  REQUIRE(service.admission.shedding());
  service.state.others = {100, 100, 100, 100 * 31, 0};
  service.state.endpoints[0].in_flight = 2;
  for (int i = 0; i < 10; ++i) {
    service.now += milliseconds(100);
    service.admission.SetState(service.state, service.now);
  }
  CHECK_FALSE(service.admission.shedding());
  CHECK(service.Decide("r1").verdict == AdmissionVerdict::kSend);
}

// Guards against an unbounded list of accounts in logs and metrics.
TEST_CASE("accounts are counted in bounded memory", "[admission]") {
  TopAccounts accounts;
  for (int i = 0; i < 1000; ++i) {
    accounts.Add(AccountId("a" + std::to_string(i)));
    accounts.Add(AccountId("a1"));
  }
  CHECK(accounts.total() == 2000);
  CHECK(accounts.Top(2000).size() == TopAccounts::kMaxAccounts);
  CHECK(accounts.Top(1).front().first == AccountId("a1"));
  CHECK(accounts.Top(1).front().second == 1001);
}

}  // namespace
}  // namespace filbertshift
