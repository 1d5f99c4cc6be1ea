#include "src/fleet/heartbeat_schedule.h"

#include <algorithm>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

// The row is offered this many times in an interval, so that the reader has a
// recent one when it writes.
constexpr int kOffersPerInterval = 2;
// How much later than the interval the reader may report a commit. It covers
// one write of the reader, the wait for the next offer and lost responses, and
// ends before the other instances consider this one dead. Also used while the
// store does not answer: the writes of all instances would only add to its
// load.
constexpr milliseconds kReaderGrace{2000};
// Minimum time between writes if the latest one failed or rows are overdue.
constexpr milliseconds kRetryInterval{600};

bool IsDue(const std::optional<TimePoint>& last,
           milliseconds interval,
           TimePoint now) {
  return !last.has_value() || now - *last >= interval;
}

}  // namespace

void HeartbeatSchedule::OnWriteStarted(TimePoint now) {
  covered_at_ = now;
  write_failed_ = false;
}

void HeartbeatSchedule::OnCommitted(TimePoint now) {
  covered_at_ = now;
  write_failed_ = false;
}

HeartbeatAction HeartbeatSchedule::Next(const HeartbeatInputs& inputs,
                                        TimePoint now) const {
  milliseconds write_after = inputs.interval;
  if (inputs.store_reachable && (write_failed_ || inputs.peer_rows_overdue)) {
    write_after = std::min(write_after, kRetryInterval);
  } else if (inputs.has_reader || !inputs.store_reachable) {
    write_after += kReaderGrace;
  }
  if (IsDue(covered_at_, write_after, now)) {
    return HeartbeatAction::kWrite;
  }
  bool overdue = IsDue(covered_at_, inputs.interval, now);
  bool offer = inputs.has_reader &&
               (overdue ||
                IsDue(offered_at_, inputs.interval / kOffersPerInterval, now));
  return offer ? HeartbeatAction::kOffer : HeartbeatAction::kNone;
}

}  // namespace filbertshift
