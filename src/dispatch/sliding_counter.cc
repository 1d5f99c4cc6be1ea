#include "src/dispatch/sliding_counter.h"

namespace filbertshift {

SlidingCounter::SlidingCounter(std::chrono::milliseconds window,
                               std::chrono::milliseconds slice)
    : window_(window), slice_(slice) {}

void SlidingCounter::Add(TimePoint now) {
  if (slices_.empty() || now - slices_.back().start >= slice_) {
    slices_.push_back(Slice{now, 0});
  }
  ++slices_.back().count;
  ++total_;
}

std::int64_t SlidingCounter::Count(TimePoint now) {
  while (!slices_.empty() && now - slices_.front().start > window_ + slice_) {
    total_ -= slices_.front().count;
    slices_.pop_front();
  }
  return total_;
}

}  // namespace filbertshift
