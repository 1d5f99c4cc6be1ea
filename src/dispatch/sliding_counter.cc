#include "src/dispatch/sliding_counter.h"

#include <algorithm>

namespace filbertshift {

SlidingCounter::SlidingCounter(std::chrono::milliseconds window,
                               std::chrono::milliseconds slice)
    : window_(window), slice_(slice) {}

void SlidingCounter::Add(TimePoint now) {
  if (slices_.empty() || now - slices_.back().start >= slice_) {
    // Some counters are read rarely or never.
    RemoveOld(now);
    slices_.push_back(Slice{now, 0});
  }
  ++slices_.back().count;
  ++total_;
}

void SlidingCounter::Remove(TimePoint at) {
  for (auto slice = slices_.rbegin(); slice != slices_.rend(); ++slice) {
    if (slice->start <= at) {
      if (slice->count > 0) {
        --slice->count;
        --total_;
      }
      return;
    }
  }
}

std::int64_t SlidingCounter::Count(TimePoint now) {
  RemoveOld(now);
  return total_;
}

std::int64_t SlidingCounter::CountBetween(TimePoint from, TimePoint to) const {
  auto slice = std::lower_bound(
      slices_.begin(), slices_.end(), from,
      [](const Slice& entry, TimePoint time) { return entry.start < time; });
  std::int64_t count = 0;
  for (; slice != slices_.end() && slice->start <= to; ++slice) {
    count += slice->count;
  }
  return count;
}

void SlidingCounter::RemoveOld(TimePoint now) {
  while (!slices_.empty() && now - slices_.front().start > window_ + slice_) {
    total_ -= slices_.front().count;
    slices_.pop_front();
  }
}

}  // namespace filbertshift
