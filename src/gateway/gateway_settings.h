// Settings of the gateway process, read from JSON with comments.

#ifndef SRC_GATEWAY_GATEWAY_SETTINGS_H_
#define SRC_GATEWAY_GATEWAY_SETTINGS_H_

#include <chrono>
#include <string>
#include <vector>

#include "src/config/config.h"

namespace filbertshift {

// Addresses are "ip:port". Times named *_ms and *_s are plain numbers because
// the platform's template supplies them as numbers.
struct GatewaySettings {
  InstanceId instance;
  DataCentreId data_centre;
  std::string caller_listen;
  std::string readiness_listen;
  // Serves other instances, operators' tools and metrics.
  std::string peer_listen;
  std::string store_address;
  // Addresses of other instances to contact at startup; may be stale.
  std::vector<std::string> seed_peers;

  // Time within which a configuration change must take effect.
  double configuration_apply_ms = 2000;
  // Grace period after SIGTERM for requests in progress.
  double shutdown_s = 8;
  // Idle time after which a session may switch to another version.
  double session_s = 5;
  // Limit on repeats in any window, across all instances:
  // ratio x requests + allowance.
  double repeat_ratio = 0.2;
  double repeat_window_s = 10;
  double repeat_allowance = 10;
  // Limit on requests to a cold endpoint in any second, across all instances:
  // rate x overshoot + tolerance.
  double cold_overshoot = 1;
  double cold_tolerance = 0;
  // Limit on requests to a bad candidate from the rollout's order to its
  // deadline, across all instances: share x requests + tolerance.
  double rollout_share = 0.15;
  double rollout_tolerance = 0;

  std::chrono::milliseconds connect_timeout{300};
  // A connection is closed if sent bytes stay unacknowledged for this long.
  std::chrono::milliseconds silence_timeout{1500};
  std::chrono::milliseconds operator_poll_interval{100};
  std::chrono::milliseconds endpoint_poll_interval{800};
  // Used while no rollout is in progress; the rollout_* values replace them
  // during a rollout.
  std::chrono::milliseconds instance_poll_interval{2000};
  std::chrono::milliseconds heartbeat_interval{3000};
  std::chrono::milliseconds rollout_instance_poll_interval{500};
  std::chrono::milliseconds rollout_heartbeat_interval{1000};
  // Memory of the process; beyond it, the platform ends it.
  std::size_t memory_mb = 512;
  // Bytes of responses held for their rest or for slow callers, in all, and of
  // one incomplete event of a stream.
  std::size_t response_buffer_mb = 64;
  std::size_t event_buffer_kb = 1024;
  // Longest pause that an endpoint may ask for.
  std::chrono::milliseconds endpoint_retry_after_limit{30000};
  // Interval at which instances tell each other the load they put on endpoints;
  // 0: they do not, and `admission` and `placement` have no effect.
  std::chrono::milliseconds endpoint_load_interval{0};
  // Bytes of such messages that this instance sends and receives for itself, in
  // a second; the interval is lengthened accordingly.
  std::size_t endpoint_load_bytes_per_second = 2048;
  // Whether plain services with fewer places than instances admit requests by
  // the load of all instances.
  bool admission = false;
  // Whether endpoints of services with few places for each instance are chosen
  // by the load of all instances, and requests leave the data centre only where
  // that pays.
  bool placement = false;
  // Cost of sending a megabyte to another data centre, as waiting time of a
  // caller.
  double remote_cost_ms_per_mb = 0;
  Severity log_severity = Severity::kInfo;
  std::size_t log_buffer_lines = 20000;
};

// Returns `fraction` of configuration_apply_ms.
std::chrono::milliseconds ApplyTimeFraction(const GatewaySettings& settings,
                                            double fraction);

// How the memory of the process is divided. What is left over is for the
// program, its tables and the allocator.
struct MemoryShares {
  // Callers' requests, from their first byte to the end of their responses.
  std::size_t request_bytes = 0;
  // Responses held for their rest, and those that callers have yet to read.
  std::size_t response_bytes = 0;
  std::size_t unsent_bytes = 0;
};
MemoryShares ShareMemory(const GatewaySettings& settings);

std::vector<FieldDescription> DescribeGatewaySettings();

// Throws FindingsError that lists all errors.
GatewaySettings ParseGatewaySettings(const std::string& source,
                                     const std::string& text);

}  // namespace filbertshift

#endif  // SRC_GATEWAY_GATEWAY_SETTINGS_H_
