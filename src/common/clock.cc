#include "src/common/clock.h"

#include <random>

namespace filbertshift {

TimePoint SystemClock::Now() const {
  return std::chrono::steady_clock::now();
}

WallTime SystemClock::WallNow() const {
  return std::chrono::system_clock::now();
}

SystemRandom::SystemRandom(std::uint64_t seed) : seed_(seed), state_(0) {
  if (seed_ == 0) {
    std::random_device device;
    seed_ = (static_cast<std::uint64_t>(device()) << 32) | device();
  }
  state_ = seed_;
}

// SplitMix64. Its period of 2^64 is sufficient for ids and sampling.
std::uint64_t SystemRandom::Next() {
  state_ += 0x9E3779B97F4A7C15ULL;
  std::uint64_t z = state_;
  z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
  z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
  return z ^ (z >> 31);
}

}  // namespace filbertshift
