// Adaptive timeouts for each endpoint from the traffic itself.

#ifndef SRC_ROUTING_FAILURE_DETECTOR_H_
#define SRC_ROUTING_FAILURE_DETECTOR_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <utility>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

// The delays that an endpoint shows in traffic.
enum class DelayKind { kFirstToken, kTokenGap, kProbe };

struct FailureDetectorOptions {
  // Samples kept for each endpoint and kind.
  std::size_t window = 100;
  // Fewer samples than this use the fixed timeout.
  std::size_t min_samples = 10;
  // Timeout = mean + deviation_factor * deviation + margin, within the bounds.
  double deviation_factor = 6.0;
  std::chrono::milliseconds margin{50};
  std::chrono::milliseconds min_timeout{250};
  // Bound, and the timeout without samples.
  std::chrono::milliseconds max_first_token{15000};
  std::chrono::milliseconds max_token_gap{3000};
  std::chrono::milliseconds max_probe{2000};
  // False uses the fixed bounds only; a baseline for measurements.
  bool adaptive = true;
};

class FailureDetector {
 public:
  explicit FailureDetector(FailureDetectorOptions options);

  void Observe(const EndpointId& endpoint,
               DelayKind kind,
               std::chrono::microseconds delay);
  // The silence after which the endpoint is suspected.
  std::chrono::milliseconds Timeout(const EndpointId& endpoint,
                                    DelayKind kind) const;
  // Drops all samples, as after a restart.
  void Forget(const EndpointId& endpoint);

 private:
  struct Window {
    // Ring of at most options_.window samples, in microseconds.
    std::vector<double> samples;
    std::size_t next = 0;
    double sum = 0;
    double sum_of_squares = 0;
  };

  const FailureDetectorOptions options_;
  std::map<std::pair<EndpointId, DelayKind>, Window> windows_;
};

}  // namespace filbertshift

#endif  // SRC_ROUTING_FAILURE_DETECTOR_H_
