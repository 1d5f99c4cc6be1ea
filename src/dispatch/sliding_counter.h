// Counts events within a sliding time window.

#ifndef SRC_DISPATCH_SLIDING_COUNTER_H_
#define SRC_DISPATCH_SLIDING_COUNTER_H_

#include <chrono>
#include <cstdint>
#include <deque>

#include "src/common/common.h"

namespace filbertshift {

// Groups events into time slices, so that memory use does not depend on the
// event rate. The effective window is up to one slice longer.
class SlidingCounter {
 public:
  SlidingCounter(std::chrono::milliseconds window,
                 std::chrono::milliseconds slice);
  void Add(TimePoint now);
  std::int64_t Count(TimePoint now);

 private:
  struct Slice {
    TimePoint start;
    std::int64_t count = 0;
  };

  const std::chrono::milliseconds window_;
  const std::chrono::milliseconds slice_;
  // Invariant: ordered by start time.
  std::deque<Slice> slices_;
  // Invariant: the sum of the counts in slices_.
  std::int64_t total_ = 0;
};

}  // namespace filbertshift

#endif  // SRC_DISPATCH_SLIDING_COUNTER_H_
