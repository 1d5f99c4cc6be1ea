// Failure detector with adaptive timeouts from the observed delays of each
// endpoint.

#ifndef SRC_ROUTING_FAILURE_DETECTOR_H_
#define SRC_ROUTING_FAILURE_DETECTOR_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <utility>

#include "src/common/common.h"
#include "src/routing/delay_window.h"

namespace filbertshift {

// Kinds of delays observed at an endpoint.
enum class DelayKind { kFirstToken, kTokenGap, kProbe };

struct FailureDetectorOptions {
  // Samples kept for each endpoint and kind.
  std::size_t window = 100;
  // With fewer samples the fixed timeout applies.
  std::size_t min_samples = 10;
  // Timeout = mean + deviation_factor * deviation + margin, within the bounds;
  // see docs/decisions/0001-failure-detector.md.
  double deviation_factor = 8.0;
  std::chrono::milliseconds margin{800};
  std::chrono::milliseconds min_timeout{250};
  // Upper bounds, also used as the fixed timeouts.
  std::chrono::milliseconds max_first_token{15000};
  std::chrono::milliseconds max_token_gap{3000};
  std::chrono::milliseconds max_probe{2000};
  // False: always use the fixed timeouts, as a baseline for measurements.
  bool adaptive = true;
};

class FailureDetector {
 public:
  explicit FailureDetector(FailureDetectorOptions options);

  // After a timeout, the elapsed silence must be observed as well; otherwise
  // the timeout could never grow.
  void Observe(const EndpointId& endpoint,
               DelayKind kind,
               std::chrono::microseconds delay);
  // Returns the silence after which the endpoint is suspected.
  std::chrono::milliseconds Timeout(const EndpointId& endpoint,
                                    DelayKind kind) const;
  // Drops all samples of an endpoint that restarted or was removed.
  void ClearSamples(const EndpointId& endpoint);

 private:
  std::chrono::milliseconds FixedTimeout(DelayKind kind) const;

  const FailureDetectorOptions options_;
  // Invariant: no window has more than options_.window samples.
  std::map<std::pair<EndpointId, DelayKind>, DelayWindow> windows_;
};

}  // namespace filbertshift

#endif  // SRC_ROUTING_FAILURE_DETECTOR_H_
