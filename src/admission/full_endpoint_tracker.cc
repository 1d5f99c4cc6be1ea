#include "src/admission/full_endpoint_tracker.h"

#include <algorithm>
#include <chrono>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

// An endpoint with 6 slots and 30 ms of work takes 12 requests from its queue
// in this time.
constexpr milliseconds kFirstPause{60};
constexpr milliseconds kMaxPause{500};
constexpr int kMaxDoublings = 4;
// After this time without a rejection the pause starts from kFirstPause again.
constexpr milliseconds kRetention{2000};

}  // namespace

void FullEndpointTracker::OnRejected(const EndpointId& endpoint,
                                     TimePoint now) {
  DropOld(now);
  Entry& entry = entries_[endpoint];
  entry.rejected_at = now;
  // Requests in transit when the endpoint became full say the same.
  if (now < entry.full_until) {
    return;
  }
  entry.full_until =
      now + std::min(kFirstPause * (1 << entry.doublings), kMaxPause);
  entry.doublings = std::min(entry.doublings + 1, kMaxDoublings);
}

void FullEndpointTracker::OnAnswer(const EndpointId& endpoint,
                                   TimePoint sent_at) {
  auto found = entries_.find(endpoint);
  if (found != entries_.end() && sent_at > found->second.rejected_at) {
    entries_.erase(found);
  }
}

bool FullEndpointTracker::IsFull(const EndpointId& endpoint,
                                 TimePoint now) const {
  return FullUntil(endpoint) > now;
}

TimePoint FullEndpointTracker::FullUntil(const EndpointId& endpoint) const {
  auto found = entries_.find(endpoint);
  return found == entries_.end() ? TimePoint() : found->second.full_until;
}

std::vector<EndpointId> FullEndpointTracker::FullEndpoints(
    TimePoint now) const {
  std::vector<EndpointId> full;
  for (const auto& [endpoint, entry] : entries_) {
    if (entry.full_until > now) {
      full.push_back(endpoint);
    }
  }
  return full;
}

void FullEndpointTracker::DropOld(TimePoint now) {
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    bool old = now - entry->second.rejected_at > kRetention;
    entry = old ? entries_.erase(entry) : std::next(entry);
  }
}

}  // namespace filbertshift
