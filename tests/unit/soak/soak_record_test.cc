// The soak's own checks: each promise, broken once, is found.

#include <catch2/catch.hpp>

#include "tests/soak/soak_record.h"

namespace filbertshift {
namespace {

constexpr TimePoint kNow{std::chrono::hours(1)};

SoakRequest Request(SoakKind kind) {
  SoakRequest request;
  request.kind = kind;
  request.begun_at = kNow;
  return request;
}

std::string WholeStream(const std::string& id) {
  std::string whole;
  for (int i = 1; i <= kSoakEvents; ++i) {
    whole += SoakEvent(id, i);
  }
  return whole;
}

TEST_CASE("a sound run breaks no promise of the soak", "[soak]") {
  SoakRecord record;
  record.SetCalm(true, kNow);
  record.Begin("a", Request(SoakKind::kOnce));
  record.OnRun("a", "", kNow);
  record.OnAnswer("a", 200, true, SoakAnswer("a"));
  record.Begin("b", Request(SoakKind::kStream));
  record.OnRun("b", "", kNow);
  record.OnRun("b", "", kNow);
  record.OnAnswer("b", 200, true, WholeStream("b"));
  record.Begin("c", Request(SoakKind::kRepeatable));
  record.OnAnswer("c", 503, false, "");
  record.CheckAtEnd();
  CHECK(record.violations().empty());
  CHECK(record.calm_requests() == 3);
  CHECK(record.calm_served() == 2);
}

TEST_CASE("the soak finds each broken promise", "[soak]") {
  SoakRecord record;
  record.Begin("a", Request(SoakKind::kOnce));
  SECTION("a second run") {
    record.OnRun("a", "", kNow);
    record.OnRun("a", "", kNow);
  }
  SECTION("a refused request that has run") {
    record.OnAnswer("a", 503, false, "");
    record.OnRun("a", "", kNow);
  }
  SECTION("a success without a seal") {
    record.OnAnswer("a", 200, false, SoakAnswer("a"));
  }
  SECTION("a part of an answer") {
    record.OnAnswer("a", 200, true, "answer of");
  }
  SECTION("another request's answer") {
    record.OnAnswer("a", 200, true, SoakAnswer("b"));
  }
  SECTION("a run that nobody asked for") {
    record.OnRun("z", "", kNow);
  }
  SECTION("a changed request") {
    record.OnRun("a", "target /x", kNow);
  }
  SECTION("a stream without its end") {
    record.Begin("s", Request(SoakKind::kStream));
    record.OnAnswer("s", 200, true, SoakEvent("s", 1));
  }
  SECTION("a stream with an event twice") {
    record.Begin("s", Request(SoakKind::kStream));
    record.OnAnswer("s", 200, true, SoakEvent("s", 1) + WholeStream("s"));
  }
  SECTION("a withdrawn key") {
    SoakRequest request = Request(SoakKind::kRepeatable);
    request.must_be_denied = true;
    record.Begin("k", request);
    record.OnAnswer("k", 200, true, SoakAnswer("k"));
  }
  record.CheckAtEnd();
  CHECK(record.violations().size() == 1);
}

}  // namespace
}  // namespace filbertshift
