// Extracts the start time and the load of an endpoint from a page in the
// Prometheus text format.

#ifndef SRC_ENDPOINT_METRICS_TEXT_H_
#define SRC_ENDPOINT_METRICS_TEXT_H_

#include <chrono>
#include <string_view>

namespace filbertshift {

struct EndpointMetrics {
  // Since 1970; zero if the page has no valid process_start_time_seconds.
  std::chrono::milliseconds start_time{0};
  // Timestamp of that sample, by the endpoint's clock; zero if it has none.
  std::chrono::milliseconds sample_time{0};
  // Sums over all samples whose names end in num_requests_running and
  // num_requests_waiting. The prefix differs between engines.
  int running = 0;
  int waiting = 0;
};

// Skips lines that cannot be parsed.
EndpointMetrics ParseEndpointMetrics(std::string_view page);

}  // namespace filbertshift

#endif  // SRC_ENDPOINT_METRICS_TEXT_H_
