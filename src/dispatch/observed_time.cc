#include "src/dispatch/observed_time.h"

#include <algorithm>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// Stalls are kept for longer than any silence that is waited for.
constexpr milliseconds kMaxAge{60000};

}  // namespace

ObservedTime::ObservedTime(TimePoint start, milliseconds tick_interval)
    : tick_interval_(tick_interval),
      latest_tick_(start),
      observed_until_(start) {}

void ObservedTime::OnTick(TimePoint now) {
  TimePoint due = latest_tick_ + tick_interval_;
  delay_ = std::max(nanoseconds(now - due), nanoseconds(0));
  if (delay_ > tick_interval_) {
    stalls_.push_back({due, now});
    observed_until_ = latest_tick_;
  } else {
    observed_until_ = now;
  }
  latest_tick_ = now;
  while (!stalls_.empty() && now - stalls_.front().end > kMaxAge) {
    stalls_.pop_front();
  }
}

nanoseconds ObservedTime::Since(TimePoint since) const {
  return WithoutStalls(since, observed_until_);
}

nanoseconds ObservedTime::Between(TimePoint since, TimePoint now) const {
  TimePoint due = latest_tick_ + tick_interval_;
  bool stalled = now - due > tick_interval_;
  return WithoutStalls(since, stalled ? due : now);
}

nanoseconds ObservedTime::WithoutStalls(TimePoint since,
                                        TimePoint until) const {
  nanoseconds time = until - since;
  for (const Stall& stall : stalls_) {
    nanoseconds overlap =
        std::min(stall.end, until) - std::max(stall.begin, since);
    time -= std::max(overlap, nanoseconds(0));
  }
  return std::max(time, nanoseconds(0));
}

}  // namespace filbertshift
