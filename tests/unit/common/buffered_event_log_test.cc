// Tests the non-blocking event log.

#include <unistd.h>
#include <catch2/catch.hpp>

#include <array>
#include <chrono>
#include <thread>

#include "src/common/common.h"

namespace filbertshift {
namespace {

// Guards against a log reader that stops reading and thereby blocks the
// process.
TEST_CASE("a stalled reader drops lines without blocking", "[common]") {
  std::array<int, 2> pipe_ends{};
  REQUIRE(pipe(pipe_ends.data()) == 0);
  SystemClock clock;
  auto start = std::chrono::steady_clock::now();
  std::uint64_t dropped = 0;
  {
    BufferedEventLog log(clock, InstanceId("i"), DataCentreId("d"),
                         Severity::kInfo, pipe_ends[1], 500);
    for (int i = 0; i < 20000; ++i) {
      log.Write(EventId::kGatewayStarted, std::string(100, 'x'));
    }
    dropped = log.dropped_lines();
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(2));
  }
  CHECK(dropped > 0);
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(4));
  close(pipe_ends[0]);
  close(pipe_ends[1]);
}

TEST_CASE("buffered lines are written on destruction", "[common]") {
  std::array<int, 2> pipe_ends{};
  REQUIRE(pipe(pipe_ends.data()) == 0);
  SystemClock clock;
  {
    BufferedEventLog log(clock, InstanceId("i"), DataCentreId("d"),
                         Severity::kInfo, pipe_ends[1], 500);
    log.Write(EventId::kGatewayStarted, "first");
    log.Write(EventId::kModelEscalated, "debug is left out");
    log.Write(EventId::kGatewayStopped, "last\n\"line\"");
  }
  close(pipe_ends[1]);
  std::string text(4096, '\0');
  ssize_t size = read(pipe_ends[0], text.data(), text.size());
  REQUIRE(size > 0);
  text.resize(static_cast<std::size_t>(size));
  CHECK(text.find("FS1700 info gateway_started instance=i") !=
        std::string::npos);
  CHECK(text.find("debug") == std::string::npos);
  CHECK(text.find("detail=\"last\\x0a\\\"line\\\"\"") != std::string::npos);
  close(pipe_ends[0]);
}

// Guards against a process that is killed after a planned stop, because the end
// of its log takes longer than is left.
TEST_CASE("the end of an idle log does not wait", "[common]") {
  std::array<int, 2> pipe_ends{};
  REQUIRE(pipe(pipe_ends.data()) == 0);
  SystemClock clock;
  std::chrono::steady_clock::time_point start;
  {
    BufferedEventLog log(clock, InstanceId("i"), DataCentreId("d"),
                         Severity::kInfo, pipe_ends[1], 500);
    log.Write(EventId::kGatewayStarted, "first");
    // The writer has nothing left to do then.
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
    start = std::chrono::steady_clock::now();
  }
  CHECK(std::chrono::steady_clock::now() - start <
        std::chrono::milliseconds(400));
  close(pipe_ends[0]);
  close(pipe_ends[1]);
}

}  // namespace
}  // namespace filbertshift
