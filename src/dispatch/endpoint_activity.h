// Tracks recent traffic of one endpoint, or of all endpoints in a data centre,
// to detect stalls and connection failures.

#ifndef SRC_DISPATCH_ENDPOINT_ACTIVITY_H_
#define SRC_DISPATCH_ENDPOINT_ACTIVITY_H_

#include <chrono>

#include "src/common/common.h"
#include "src/dispatch/moving_average.h"

namespace filbertshift {

class EndpointActivity {
 public:
  void OnRequest(TimePoint now, bool first_in_flight);
  void OnBytes(TimePoint now);
  void OnResponseStarted() { ++active_responses_; }
  void OnResponseEnded(int count = 1);
  void OnConnectFailed() { ++failed_connections_; }

  // Responses that have started and not yet ended.
  int active_responses() const { return active_responses_; }
  // When the latest bytes arrived; when the first request in progress was sent
  // if that is later.
  TimePoint latest_bytes_at() const { return last_bytes_; }
  // `silence`, the observed time without bytes, is a multiple of the average
  // interval between bytes. `max_silence` caps the silence that is tolerated.
  bool IsStalled(std::chrono::milliseconds max_silence,
                 std::chrono::nanoseconds silence) const;
  // Recent connection attempts failed and the next probe is not due yet.
  bool IsUnreachable(TimePoint now) const;

 private:
  int active_responses_ = 0;
  TimePoint last_bytes_{};
  // Milliseconds between received bytes while responses are active.
  MovingAverage interval_{0.05};
  // Failed connection attempts since the last received bytes.
  int failed_connections_ = 0;
  TimePoint last_request_{};
};

}  // namespace filbertshift

#endif  // SRC_DISPATCH_ENDPOINT_ACTIVITY_H_
