#include <catch2/catch.hpp>

#include <fmt/format.h>

#include "src/handover/handover.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxHead = 16384;

HandoverRequest Sample() {
  HandoverRequest request;
  request.method = "POST";
  request.target = "/a%20b?q=%41";
  request.headers = {{"Host", "h"}, {"X-A", "1"}, {"x-a", "2"}};
  request.time_left = milliseconds(1234);
  request.sends = 2;
  request.runs = 1;
  request.max_runs = 3;
  request.configuration = 17;
  request.last_event_id = "5";
  request.body = std::string("\0\r\nbody\n\0", 9);
  return request;
}

TEST_CASE("a request arrives as it was handed over", "[handover]") {
  HandoverRequest request = Sample();
  if (GENERATE(false, true)) {
    request.last_event_id.reset();
    request.body.clear();
  }
  HandoverRequest read = DecodeHandover(EncodeHandover(request), kMaxHead);
  CHECK(read.method == request.method);
  CHECK(read.target == request.target);
  CHECK(read.headers == request.headers);
  CHECK(read.time_left == request.time_left);
  CHECK(read.sends == request.sends);
  CHECK(read.runs == request.runs);
  CHECK(read.max_runs == request.max_runs);
  CHECK(read.configuration == request.configuration);
  CHECK(read.last_event_id == request.last_event_id);
  CHECK(read.body == request.body);
}

TEST_CASE("a malformed hand-over is rejected", "[handover]") {
  std::string message = EncodeHandover(Sample());
  std::size_t head = message.find('\n') + 1;
  for (const std::string& bad :
       {std::string(), std::string("\n"), std::string("5"), std::string("x\n"),
        std::string("-1\nabc"), std::string("999999999\nabc"),
        std::string("3\n\xc1\xc1\xc1"), std::string("1\n\x90"),
        std::string("1\n\x01"), message.substr(0, head + 10),
        fmt::format("{}\n{}", 5, message.substr(head))}) {
    CAPTURE(bad);
    CHECK_THROWS_AS(DecodeHandover(bad, kMaxHead), FindingsError);
  }
  HandoverRequest request = Sample();
  SECTION("a header value with a line break") {
    request.headers[0].second = "h\r\nX-Evil: 1";
  }
  SECTION("a header name with a colon") {
    request.headers[0].first = "a: b";
  }
  SECTION("a target of two words") {
    request.target = "/a HTTP/1.1";
  }
  SECTION("no method") {
    request.method.clear();
  }
  SECTION("an event id with a line break") {
    request.last_event_id = "1\n2";
  }
  SECTION("no run granted") {
    request.max_runs = 0;
  }
  SECTION("a head that is too long") {
    request.headers[0].second =
        std::string(kMaxHead + kMaxHandoverOverhead, 'x');
  }
  CHECK_THROWS_AS(DecodeHandover(EncodeHandover(request), kMaxHead),
                  FindingsError);
}

TEST_CASE("only a named refusal says that a request has not run",
          "[handover]") {
  CHECK(DecodeHandoverRun(EncodeHandoverRun(true, "stranded")) ==
        HandoverRun::kTryAnother);
  CHECK(DecodeHandoverRun(EncodeHandoverRun(true, "no_room")) ==
        HandoverRun::kNotRun);
  CHECK(DecodeHandoverRun(EncodeHandoverRun(false, "stranded")) ==
        HandoverRun::kMayHaveRun);
  CHECK(DecodeHandoverRun("") == HandoverRun::kMayHaveRun);
  CHECK(DecodeHandoverRun("not-run") == HandoverRun::kMayHaveRun);
}

}  // namespace
}  // namespace filbertshift
