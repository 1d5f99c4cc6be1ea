// Tests of the bound on the memory of requests, without a network.

#include <catch2/catch.hpp>

#include <limits>
#include <map>
#include <random>

#include "src/common/common.h"

namespace filbertshift {
namespace {

constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;
constexpr std::size_t kLimit = 100 * kMegabyte;

// Guards against a sum that exceeds the limit, or that drifts from what is
// held.
TEST_CASE("the memory of requests stays within its limit", "[common]") {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    RequestMemory memory(kLimit);
    std::map<std::uint64_t, std::size_t> held;
    for (int step = 0; step < 2000; ++step) {
      std::uint64_t request = random() % 60;
      if (random() % 3 == 0) {
        memory.Release(request);
        held.erase(request);
      } else {
        std::size_t bytes = random() % (6 * kMegabyte);
        bool shrinks = held.count(request) > 0 && bytes <= held[request];
        bool allowed = memory.TryHold(request, bytes);
        REQUIRE((allowed || !shrinks));
        if (allowed) {
          held[request] = bytes;
        }
      }
      std::size_t sum = 0;
      for (const auto& entry : held) {
        sum += entry.second;
      }
      REQUIRE(memory.total() == sum);
      REQUIRE(sum <= kLimit);
    }
  }
}

// Guards against large bodies that leave no memory for the usual traffic, at
// many times its rate: 320 requests of 72 KB at once.
TEST_CASE("usual requests are admitted beside many large ones", "[common]") {
  RequestMemory memory(kLimit);
  std::uint64_t large = 0;
  while (memory.TryHold(large + 1, 4 * kMegabyte)) {
    ++large;
  }
  CHECK(large >= 16);
  int usual = 0;
  for (std::uint64_t request = 1000; request < 1320; ++request) {
    usual += memory.TryHold(request, 72000) ? 1 : 0;
  }
  CHECK(usual == 320);
}

TEST_CASE("a request may shrink when the memory is used up", "[common]") {
  RequestMemory memory(kLimit);
  std::uint64_t count = 0;
  while (memory.TryHold(count + 1, 2 * kMegabyte)) {
    ++count;
  }
  CHECK_FALSE(memory.TryHold(1, 4 * kMegabyte));
  CHECK(memory.TryHold(1, kMegabyte));
  CHECK(memory.TryHold(2, 0));
  CHECK(memory.TryHold(count + 2, 2 * kMegabyte));
}

TEST_CASE("a request larger than the limit is refused", "[common]") {
  RequestMemory memory(kLimit);
  CHECK_FALSE(memory.TryHold(1, kLimit));
  CHECK_FALSE(memory.TryHold(1, std::numeric_limits<std::size_t>::max()));
  CHECK(memory.total() == 0);
}

}  // namespace
}  // namespace filbertshift
