// Interfaces for time and randomness, which tests replace to make decisions
// deterministic.

#ifndef SRC_COMMON_CLOCK_H_
#define SRC_COMMON_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace filbertshift {

using TimePoint = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

class Clock {
 public:
  virtual ~Clock() = default;
  // Monotonic time, used for all deadlines and timeouts.
  virtual TimePoint Now() const = 0;
  // Wall-clock time, used only in stored records and logs.
  virtual WallTime WallNow() const = 0;
};

class Random {
 public:
  virtual ~Random() = default;
  // A uniformly distributed 64-bit number.
  virtual std::uint64_t Next() = 0;
};

class SystemClock : public Clock {
 public:
  TimePoint Now() const override;
  WallTime WallNow() const override;
};

// Seeded pseudo-random generator, not thread-safe. A seed of 0 is replaced by
// one from the operating system.
class SystemRandom : public Random {
 public:
  explicit SystemRandom(std::uint64_t seed);
  std::uint64_t Next() override;
  std::uint64_t seed() const { return seed_; }

 private:
  std::uint64_t seed_;
  std::uint64_t state_;
};

}  // namespace filbertshift

#endif  // SRC_COMMON_CLOCK_H_
