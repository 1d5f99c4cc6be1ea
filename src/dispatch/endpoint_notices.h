// What endpoints have asked this instance for in their answers: no new requests
// because they stop, or no requests for a while.

#ifndef SRC_DISPATCH_ENDPOINT_NOTICES_H_
#define SRC_DISPATCH_ENDPOINT_NOTICES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "src/fleet/fleet_documents.h"

namespace filbertshift {

// One run of an endpoint's process, together with the endpoint's id.
struct EndpointIncarnation {
  std::string address;
  // Unix milliseconds; 0 if the endpoint's record does not have it.
  std::int64_t started_at = 0;
};

EndpointIncarnation IncarnationOf(const RoutedEndpoint& record);
// A record without a start time does not tell a restart.
bool IsSame(const EndpointIncarnation& a, const EndpointIncarnation& b);

// Each notice belongs to an incarnation and ends with it: a new address or
// start time clears it. A record without a start time counts as the incarnation
// before, unless it returns long after it was removed.
class EndpointNotices {
 public:
  // Longer pauses are shortened to `max_pause`.
  explicit EndpointNotices(std::chrono::milliseconds max_pause);

  void OnRecord(const RoutedEndpoint& record, TimePoint now);
  void OnRecordRemoved(const EndpointId& endpoint, TimePoint now);

  // The endpoint said in an answer that it stops. Returns whether this is new;
  // it is not if the incarnation is no longer the current one.
  bool OnLeaving(const EndpointId& endpoint,
                 const EndpointIncarnation& incarnation);
  // The endpoint has refused a request and asked for none for a while. Returns
  // whether a pause has begun.
  bool OnPause(const EndpointId& endpoint,
               const EndpointIncarnation& incarnation,
               std::chrono::milliseconds pause,
               TimePoint now);

  bool IsLeaving(const EndpointId& endpoint) const;
  // End of the pause; not set if the endpoint takes requests.
  std::optional<TimePoint> PausedUntil(const EndpointId& endpoint,
                                       TimePoint now) const;

 private:
  struct Entry {
    EndpointIncarnation incarnation;
    std::optional<TimePoint> removed_at;
  };

  bool IsCurrent(const EndpointId& endpoint,
                 const EndpointIncarnation& incarnation) const;
  void Clear(const EndpointId& endpoint);
  void DropOld(TimePoint now);

  const std::chrono::milliseconds max_pause_;
  // Also holds endpoints whose record was removed lately.
  std::unordered_map<EndpointId, Entry> entries_;
  // Invariant: each of these is in entries_. They are few, so that a look-up
  // costs little.
  std::unordered_set<EndpointId> leaving_;
  std::unordered_map<EndpointId, TimePoint> paused_until_;
};

// Time after which a caller may try again if all endpoints are paused for
// `remaining`: not before the end, and spread over requests, so that the
// callers refused during the pause do not return at the same time.
std::chrono::milliseconds SpreadRetryAfter(std::chrono::milliseconds remaining,
                                           const std::string& request_id);

}  // namespace filbertshift

#endif  // SRC_DISPATCH_ENDPOINT_NOTICES_H_
