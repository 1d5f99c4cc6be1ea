// Tests of the event splitter and of the parser of endpoint metrics.

#include <catch2/catch.hpp>

#include <string>

#include "src/common/common.h"
#include "src/endpoint/metrics_text.h"
#include "src/http1/event_splitter.h"
#include "tests/unit/support/test_seed.h"

namespace filbertshift {
namespace {

// Guards against a split within an event, for every line ending of the format.
TEST_CASE("event splitter splits only at event boundaries", "[endpoint]") {
  const std::string line_end = GENERATE("\n", "\r\n", "\r");
  const std::string event = "data: a" + line_end + "data: b" + line_end;
  const std::string text = event + line_end + event + line_end + "data: c";
  for (std::size_t step = 1; step < text.size(); ++step) {
    EventSplitter splitter;
    std::string joined;
    for (std::size_t at = 0; at < text.size(); at += step) {
      const std::string piece =
          splitter.Add(std::string_view(text).substr(at, step));
      joined += piece;
      // A piece ends with an empty line. The LF of its CR LF may follow later.
      const bool ends_event = piece.empty() || joined == event + line_end ||
                              joined == event + line_end + event + line_end ||
                              (line_end == "\r\n" && piece.back() == '\r');
      INFO("step " << step << " piece " << piece);
      CHECK(ends_event);
    }
    joined += splitter.TakeRest();
    CHECK(joined == text);
  }
}

// Guards against bytes that are lost or added, however the stream is divided.
TEST_CASE("event splitter keeps every byte", "[endpoint]") {
  SystemRandom random(TestSeed());
  INFO("seed " << random.seed());
  constexpr std::string_view kAlphabet = "a\n\r";
  for (int round = 0; round < 500; ++round) {
    EventSplitter splitter;
    std::string text;
    std::string joined;
    for (int i = 0; i < 20; ++i) {
      std::string piece(random.Next() % 6, ' ');
      for (char& byte : piece) {
        byte = kAlphabet[random.Next() % kAlphabet.size()];
      }
      text += piece;
      joined += splitter.Add(piece);
      REQUIRE(text.compare(0, joined.size(), joined) == 0);
    }
    REQUIRE(joined + splitter.TakeRest() == text);
  }
}

// Guards against a start time that is missed or misread.
TEST_CASE("metrics parser finds start time and load", "[endpoint]") {
  const EndpointMetrics metrics = ParseEndpointMetrics(
      "# HELP process_start_time_seconds x\n"
      "process_start_time_seconds 1.780000000125e+09 1780000005125\n"
      "engine:num_requests_running{model=\"a b} c\"} 3\n"
      "engine:num_requests_running{model=\"d\"} 4\r\n"
      "engine:num_requests_waiting 2");
  CHECK(metrics.start_time.count() == 1'780'000'000'125);
  CHECK(metrics.sample_time.count() == 1'780'000'005'125);
  CHECK(metrics.running == 7);
  CHECK(metrics.waiting == 2);
}

// Guards against an invalid metrics page that is taken for one of a known
// incarnation.
TEST_CASE("metrics parser ignores invalid values", "[endpoint]") {
  const std::string page = GENERATE(
      "", "process_start_time_seconds", "process_start_time_seconds NaN\n",
      "process_start_time_seconds +Inf\n", "process_start_time_seconds -1\n",
      "process_start_time_seconds 1e300\n", "process_start_time_seconds{x 5\n",
      "xprocess_start_time_seconds 5\n");
  CHECK(ParseEndpointMetrics(page).start_time.count() == 0);
}

}  // namespace
}  // namespace filbertshift
