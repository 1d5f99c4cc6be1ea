// Signs of life of one endpoint, or of all endpoints of a data centre.

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
  void OnAnswerBegun() { ++running_; }
  void OnAnswerEnded(int count = 1);
  // No connection was made.
  void OnConnectFailed() { ++failed_connections_; }

  // Answers in progress.
  int running() const { return running_; }
  std::chrono::nanoseconds SilentFor(TimePoint now) const {
    return now - last_bytes_;
  }
  // Nothing has come for many of the usual times between bytes, within the
  // limits. `most`: the longest pause that is allowed.
  bool IsUnusuallySilent(std::chrono::milliseconds most, TimePoint now) const;
  // Connections fail, and it is not time for another try yet.
  bool IsUnreachable(TimePoint now) const;

 private:
  int running_ = 0;
  TimePoint last_bytes_{};
  // Milliseconds between bytes while answers are in progress.
  MovingAverage interval_{0.05};
  // Connections that were not made since the latest bytes.
  int failed_connections_ = 0;
  TimePoint last_request_{};
};

}  // namespace filbertshift

#endif  // SRC_DISPATCH_ENDPOINT_ACTIVITY_H_
