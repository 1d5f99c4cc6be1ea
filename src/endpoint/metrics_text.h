// Reads the few values that matter here from a Prometheus text page.

#ifndef SRC_ENDPOINT_METRICS_TEXT_H_
#define SRC_ENDPOINT_METRICS_TEXT_H_

#include <chrono>
#include <string_view>

namespace filbertshift {

struct EndpointMetrics {
  // Zero if the page has no valid process_start_time_seconds.
  std::chrono::milliseconds start_time{0};
  // Timestamp of that sample by the endpoint's clock; zero if it has none.
  std::chrono::milliseconds sample_time{0};
  // Sums over all samples whose name ends in num_requests_running and
  // num_requests_waiting, whatever the prefix of the engine.
  int running = 0;
  int waiting = 0;
};

// Lines that cannot be parsed are skipped.
EndpointMetrics ParseEndpointMetrics(std::string_view page);

}  // namespace filbertshift

#endif  // SRC_ENDPOINT_METRICS_TEXT_H_
