// Measures silence without the spans in which this instance did not read its
// sockets: the process was suspended or had no processor time, or one action of
// its event loop took long. What its peers sent meanwhile is unread.

#ifndef SRC_DISPATCH_OBSERVED_TIME_H_
#define SRC_DISPATCH_OBSERVED_TIME_H_

#include <chrono>
#include <deque>

#include "src/common/common.h"

namespace filbertshift {

// Driven by a periodic timer of the event loop that reads the sockets, which
// reads each socket at least once between two ticks.
class ObservedTime {
 public:
  ObservedTime(TimePoint start, std::chrono::milliseconds tick_interval);
  void OnTick(TimePoint now);
  // Delay of the latest tick.
  std::chrono::nanoseconds delay() const { return delay_; }
  // Observed part of the time from `since` until the latest tick; until the one
  // before if the latest was late, because the sockets were not read since.
  std::chrono::nanoseconds Since(TimePoint since) const;
  // Observed part of the time from `since` to `now`, which may follow the
  // latest tick.
  std::chrono::nanoseconds Between(TimePoint since, TimePoint now) const;

 private:
  struct Stall {
    TimePoint begin;
    TimePoint end;
  };
  std::chrono::nanoseconds WithoutStalls(TimePoint since,
                                         TimePoint until) const;

  const std::chrono::milliseconds tick_interval_;
  TimePoint latest_tick_;
  TimePoint observed_until_;
  std::chrono::nanoseconds delay_{0};
  // Invariant: ordered, without overlap, none older than kMaxAge.
  std::deque<Stall> stalls_;
};

}  // namespace filbertshift

#endif  // SRC_DISPATCH_OBSERVED_TIME_H_
