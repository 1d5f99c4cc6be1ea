// Endpoints whose queues are full, as shown by the requests that they rejected.

#ifndef SRC_ADMISSION_FULL_ENDPOINT_TRACKER_H_
#define SRC_ADMISSION_FULL_ENDPOINT_TRACKER_H_

#include <unordered_map>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

class FullEndpointTracker {
 public:
  // The endpoint has rejected a request because of its load. It counts as full
  // for a time that doubles with each rejection after that time.
  void OnRejected(const EndpointId& endpoint, TimePoint now);
  // The endpoint has answered a request that was sent at `sent_at`.
  void OnAnswer(const EndpointId& endpoint, TimePoint sent_at);
  bool IsFull(const EndpointId& endpoint, TimePoint now) const;
  // When the endpoint may be tried again; in the past if it is not full.
  TimePoint FullUntil(const EndpointId& endpoint) const;
  std::vector<EndpointId> FullEndpoints(TimePoint now) const;

 private:
  struct Entry {
    TimePoint rejected_at{};
    TimePoint full_until{};
    int doublings = 0;
  };
  void DropOld(TimePoint now);

  std::unordered_map<EndpointId, Entry> entries_;
};

}  // namespace filbertshift

#endif  // SRC_ADMISSION_FULL_ENDPOINT_TRACKER_H_
