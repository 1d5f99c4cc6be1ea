#include "src/dispatch/endpoint_notices.h"

#include <xxhash.h>

#include <algorithm>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

// A record without a start time that returns within this time after its removal
// belongs to the same process: registrations that lapsed while the store was
// unavailable return about 2 s after the store does.
constexpr milliseconds kLapseTime{5000};
// After this time, a process whose record was removed no longer runs.
constexpr minutes kRetention{10};
// Minimum time over which callers return after a pause.
constexpr milliseconds kMinRetrySpread{400};

}  // namespace

EndpointIncarnation IncarnationOf(const RoutedEndpoint& record) {
  return {record.address, record.started_at};
}

bool IsSame(const EndpointIncarnation& a, const EndpointIncarnation& b) {
  return a.address == b.address && (a.started_at == b.started_at ||
                                    a.started_at == 0 || b.started_at == 0);
}

EndpointNotices::EndpointNotices(milliseconds max_pause)
    : max_pause_(max_pause) {}

void EndpointNotices::OnRecord(const RoutedEndpoint& record, TimePoint now) {
  EndpointIncarnation incarnation = IncarnationOf(record);
  auto [found, is_new] = entries_.try_emplace(record.endpoint);
  Entry& entry = found->second;
  bool start_known =
      incarnation.started_at != 0 && entry.incarnation.started_at != 0;
  bool returned_late = entry.removed_at.has_value() &&
                       now - *entry.removed_at > kLapseTime && !start_known;
  if (is_new || returned_late || !IsSame(entry.incarnation, incarnation)) {
    Clear(record.endpoint);
    entry.incarnation = incarnation;
  } else if (incarnation.started_at != 0) {
    entry.incarnation.started_at = incarnation.started_at;
  }
  entry.removed_at.reset();
}

void EndpointNotices::OnRecordRemoved(const EndpointId& endpoint,
                                      TimePoint now) {
  auto found = entries_.find(endpoint);
  if (found != entries_.end()) {
    found->second.removed_at = now;
  }
  DropOld(now);
}

void EndpointNotices::Clear(const EndpointId& endpoint) {
  leaving_.erase(endpoint);
  paused_until_.erase(endpoint);
}

void EndpointNotices::DropOld(TimePoint now) {
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const std::optional<TimePoint>& removed_at = entry->second.removed_at;
    if (removed_at.has_value() && now - *removed_at > kRetention) {
      Clear(entry->first);
      entry = entries_.erase(entry);
    } else {
      ++entry;
    }
  }
}

bool EndpointNotices::IsCurrent(const EndpointId& endpoint,
                                const EndpointIncarnation& incarnation) const {
  auto found = entries_.find(endpoint);
  return found != entries_.end() &&
         IsSame(found->second.incarnation, incarnation);
}

bool EndpointNotices::OnLeaving(const EndpointId& endpoint,
                                const EndpointIncarnation& incarnation) {
  return IsCurrent(endpoint, incarnation) && leaving_.insert(endpoint).second;
}

bool EndpointNotices::OnPause(const EndpointId& endpoint,
                              const EndpointIncarnation& incarnation,
                              milliseconds pause,
                              TimePoint now) {
  if (!IsCurrent(endpoint, incarnation)) {
    return false;
  }
  TimePoint& until = paused_until_[endpoint];
  bool begins = until <= now;
  until = std::max(until, now + std::min(pause, max_pause_));
  return begins;
}

bool EndpointNotices::IsLeaving(const EndpointId& endpoint) const {
  return leaving_.count(endpoint) > 0;
}

std::optional<TimePoint> EndpointNotices::PausedUntil(
    const EndpointId& endpoint,
    TimePoint now) const {
  auto found = paused_until_.find(endpoint);
  if (found == paused_until_.end() || found->second <= now) {
    return std::nullopt;
  }
  return found->second;
}

milliseconds SpreadRetryAfter(milliseconds remaining,
                              const std::string& request_id) {
  auto spread = static_cast<std::uint64_t>(
      std::max(remaining / 2, kMinRetrySpread).count());
  std::uint64_t hash = XXH64(request_id.data(), request_id.size(), 0);
  return remaining + milliseconds(hash % (spread + 1));
}

}  // namespace filbertshift
