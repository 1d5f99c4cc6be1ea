// Tests of the soak's checker: it reports each kind of violation, and none for
// a correct run.

#include <catch2/catch.hpp>

#include "tests/soak/soak_record.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kNow{std::chrono::hours(1)};

SoakRequest Request(SoakKind kind) {
  SoakRequest request;
  request.kind = kind;
  request.started_at = kNow;
  return request;
}

SoakRequest PlainRequest() {
  SoakRequest request = Request(SoakKind::kNonIdempotent);
  request.plain = true;
  request.instance = "i1";
  request.deadline = milliseconds(1000);
  return request;
}

SoakRequest RequestWithKeyInForce(const std::string& instance) {
  SoakRequest request = Request(SoakKind::kIdempotent);
  request.instance = instance;
  request.key_in_force = true;
  return request;
}

std::string WholeStream(const std::string& id) {
  std::string stream;
  for (int i = 1; i <= kSoakEventCount; ++i) {
    stream += SoakEvent(id, i);
  }
  return stream;
}

TEST_CASE("a sound run breaks no promise of the soak", "[soak]") {
  SoakRecord record;
  record.SetFaultFree(true, kNow);
  record.OnSent("a", Request(SoakKind::kNonIdempotent));
  record.OnExecution("a", "", kNow);
  record.OnResponse("a", 200, true, SoakResponseBody("a"));
  record.OnSent("b", Request(SoakKind::kStream));
  record.OnExecution("b", "", kNow);
  record.OnExecution("b", "", kNow);
  record.OnResponse("b", 200, true, WholeStream("b"));
  record.OnSent("c", Request(SoakKind::kIdempotent));
  record.OnResponse("c", 503, false, "");
  record.CheckRefusedRequests();
  CHECK(record.violations().empty());
  CHECK(record.fault_free_requests() == 3);
  CHECK(record.fault_free_served() == 2);
}

TEST_CASE("an instance that started in a drill may go by the copy", "[soak]") {
  SoakRecord record;
  record.ExcuseCopiedState("i1", kNow + milliseconds(1));
  SoakRequest revoked = Request(SoakKind::kIdempotent);
  revoked.instance = "i1";
  revoked.key_revoked = true;
  record.OnSent("k", revoked);
  record.OnExecutionAfterLeaving("k", "e1");
  record.OnResponse("k", 200, true, SoakResponseBody("k"));
  record.OnSent("l", RequestWithKeyInForce("i1"));
  record.OnResponse("l", 401, false, "");
  CHECK(record.violations().empty());
}

TEST_CASE("the soak finds each broken promise", "[soak]") {
  SoakRecord record;
  record.OnSent("a", Request(SoakKind::kNonIdempotent));
  SECTION("a second run") {
    record.OnExecution("a", "", kNow);
    record.OnExecution("a", "", kNow);
  }
  SECTION("a refused request that has run") {
    record.OnResponse("a", 503, false, "");
    record.OnExecution("a", "", kNow);
  }
  SECTION("a second run of a stream that may not be resumed") {
    record.OnSent("t", Request(SoakKind::kStreamOnce));
    record.OnExecution("t", "", kNow);
    record.OnExecution("t", "", kNow);
  }
  SECTION("a sealed refusal of a request that has run") {
    record.OnExecution("a", "", kNow);
    record.OnResponse("a", 503, true, "");
  }
  SECTION("an endpoint that works on beside the next one") {
    record.OnSent("s", Request(SoakKind::kStream));
    record.OnExecution("s", "", kNow, "e0");
    record.OnExecution("s", "", kNow, "e1");
    record.OnExecutionEnded("s", "e0",
                            kNow + kSoakMaxOverlap + milliseconds(1));
  }
  SECTION("a success without a seal") {
    record.OnResponse("a", 200, false, SoakResponseBody("a"));
  }
  SECTION("a part of an answer") {
    record.OnResponse("a", 200, true, "answer of");
  }
  SECTION("another request's answer") {
    record.OnResponse("a", 200, true, SoakResponseBody("b"));
  }
  SECTION("a run that nobody asked for") {
    record.OnExecution("z", "", kNow);
  }
  SECTION("a changed request") {
    record.OnExecution("a", "target /x", kNow);
  }
  SECTION("a stream without its end") {
    record.OnSent("s", Request(SoakKind::kStream));
    record.OnResponse("s", 200, true, SoakEvent("s", 1));
  }
  SECTION("a stream with an event twice") {
    record.OnSent("s", Request(SoakKind::kStream));
    record.OnResponse("s", 200, true, SoakEvent("s", 1) + WholeStream("s"));
  }
  SECTION("a withdrawn key") {
    SoakRequest request = Request(SoakKind::kIdempotent);
    request.key_revoked = true;
    record.OnSent("k", request);
    record.OnResponse("k", 200, true, SoakResponseBody("k"));
  }
  SECTION("a key in force that is denied") {
    record.OnSent("k", RequestWithKeyInForce("i1"));
    record.OnResponse("k", 401, false, "");
  }
  SECTION("a run at an endpoint that has left") {
    record.OnExecutionAfterLeaving("a", "e1");
  }
  SECTION("the older copy at an instance that knew better") {
    record.ExcuseCopiedState("i2", kNow + milliseconds(1));
    record.OnSent("k", RequestWithKeyInForce("i1"));
    record.OnResponse("k", 401, false, "");
  }
  SECTION("the older copy after the drill has settled") {
    record.ExcuseCopiedState("i1", kNow);
    record.OnSent("k", RequestWithKeyInForce("i1"));
    record.OnResponse("k", 401, false, "");
  }
  SECTION("a request to an endpoint that said it leaves") {
    record.OnLeavingAnswered("a", {"e1", 1});
    record.OnLeavingPassedOn("a", kNow);
    SoakRequest request = Request(SoakKind::kIdempotent);
    request.started_at += kSoakDrainTime + std::chrono::milliseconds(1);
    record.OnSent("l", request);
    record.OnArrival("l", {"e1", 1}, request.started_at);
  }
  SECTION("a third request to an endpoint that asked for none") {
    constexpr std::chrono::seconds kPause(2);
    record.OnPauseAsked("a", {"e1", 1}, kPause, kNow);
    for (int i = 0; i < 3; ++i) {
      record.OnArrival("a", {"e1", 1}, kNow + kSoakPauseSlack);
    }
    record.OnArrival("a", {"e1", 1}, kNow + kPause);
  }
  SECTION("a request that gets no answer by its deadline") {
    record.OnGivenUp("a", kNow);
  }
  SECTION("a plain request that runs after its deadline") {
    SoakRequest request = PlainRequest();
    record.OnSent("p", request);
    record.OnExecution(
        "p", "",
        kNow + request.deadline + kSoakDeadlineSlack + milliseconds(1));
  }
  SECTION("a refusal while an endpoint has free slots") {
    record.SetFaultFree(true, kNow);
    record.OnSlots("p0", false, kNow);
    record.OnSlots("p1", true, kNow);
    record.OnSent("p", PlainRequest());
    record.OnResponse("p", 503, false, "");
  }
  record.CheckRefusedRequests();
  CHECK(record.violations().size() == 1);
}

// Guards against violations that a sound router cannot avoid.
TEST_CASE("a refusal may follow a moment without free slots", "[soak]") {
  SoakRecord record;
  record.OnSlots("p0", true, kNow - milliseconds(10));
  record.OnSlots("p1", false, kNow);
  record.OnSent("p", PlainRequest());
  SECTION("at its endpoint") {
    record.SetFaultFree(true, kNow);
    record.OnSlots("p0", false, kNow + milliseconds(1));
    record.OnSlots("p0", true, kNow + milliseconds(2));
    record.OnResponse("p", 503, false, "");
  }
  SECTION("after a rejection, without retry budget") {
    record.SetFaultFree(true, kNow);
    record.OnRejected("p");
    record.OnResponse("p", 503, false, "");
  }
  SECTION("in a fault") {
    record.OnResponse("p", 503, false, "");
  }
  SECTION("of an instance that is restarted") {
    record.ExcuseNotices("i1", kNow + milliseconds(5000));
    record.OnGivenUp("p", kNow + milliseconds(4700));
  }
  CHECK(record.violations().empty());
}

TEST_CASE("notices bind neither others nor restarted instances", "[soak]") {
  constexpr std::chrono::seconds kPause(2);
  SoakRecord record;
  SoakRequest request = Request(SoakKind::kIdempotent);
  request.instance = "i1";
  record.OnSent("a", request);
  request.started_at += std::chrono::seconds(1) + kSoakDrainTime;
  record.OnSent("b", request);
  request.instance = "i2";
  record.OnSent("c", request);
  record.OnLeavingAnswered("a", {"e1", 1});
  record.OnLeavingPassedOn("a", kNow);
  record.OnPauseAsked("a", {"e1", 1}, kPause, kNow);
  TimePoint later = kNow + std::chrono::seconds(1);
  for (int i = 0; i < 5; ++i) {
    record.OnArrival("b", {"e1", 2}, later);
    record.OnArrival("b", {"e2", 1}, later);
    record.OnArrival("c", {"e1", 1}, later);
  }
  record.ExcuseNotices("i1", later);
  for (int i = 0; i < 5; ++i) {
    record.OnArrival("b", {"e1", 1}, later);
  }
  CHECK(record.violations().empty());
}

}  // namespace
}  // namespace filbertshift
