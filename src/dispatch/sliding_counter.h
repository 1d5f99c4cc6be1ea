// Counts events within a sliding time window.

#ifndef SRC_DISPATCH_SLIDING_COUNTER_H_
#define SRC_DISPATCH_SLIDING_COUNTER_H_

#include <chrono>
#include <cstddef>
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
  // Takes back an event that was added at `at`.
  void Remove(TimePoint at);
  std::int64_t Count(TimePoint now);
  // Events of the slices that began in this time. The window must cover it.
  std::int64_t CountBetween(TimePoint from, TimePoint to) const;
  // Number of slices held, for tests of the memory bound.
  std::size_t slices() const { return slices_.size(); }

 private:
  struct Slice {
    TimePoint start;
    std::int64_t count = 0;
  };

  void RemoveOld(TimePoint now);

  const std::chrono::milliseconds window_;
  const std::chrono::milliseconds slice_;
  // Invariant: ordered by start time.
  std::deque<Slice> slices_;
  // Invariant: the sum of the counts in slices_.
  std::int64_t total_ = 0;
};

}  // namespace filbertshift

#endif  // SRC_DISPATCH_SLIDING_COUNTER_H_
