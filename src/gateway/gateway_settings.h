// Settings of one routing process. JSON with comments, as for filbertshiftd.

#ifndef SRC_GATEWAY_GATEWAY_SETTINGS_H_
#define SRC_GATEWAY_GATEWAY_SETTINGS_H_

#include <chrono>
#include <string>
#include <vector>

#include "src/config/config.h"

namespace filbertshift {

// Addresses are "ip:port". Times named *_ms and *_s are numbers, because the
// platform that fills them in gives them as numbers.
struct GatewaySettings {
  InstanceId instance;
  DataCentreId data_centre;
  std::string caller_listen;
  std::string readiness_listen;
  // For the other instances and for metrics.
  std::string peer_listen;
  std::string store_address;
  // Addresses of some other instances at the start; may be stale.
  std::vector<std::string> seed_peers;

  // Bound for a change of the configuration to be in force.
  double configuration_apply_ms = 2000;
  // How long SIGTERM leaves for requests in progress.
  double shutdown_s = 8;
  // Idle time after which a session may change its version.
  double session_s = 5;
  // Repeats in any window: ratio x requests + allowance, over all instances.
  double repeat_ratio = 0.2;
  double repeat_window_s = 10;
  double repeat_allowance = 10;
  // Requests to a cold endpoint in any second: rate x overshoot + tolerance,
  // over all instances.
  double cold_overshoot = 1;
  double cold_tolerance = 0;
  // Requests of a bad candidate from its order to its deadline: share of all
  // requests + tolerance, over all instances.
  double rollout_share = 0.15;
  double rollout_tolerance = 0;

  std::chrono::milliseconds connect_timeout{300};
  // Sent bytes that are not acknowledged for this long end a connection.
  std::chrono::milliseconds silence_timeout{1500};
  std::chrono::milliseconds operator_poll_interval{100};
  std::chrono::milliseconds endpoint_poll_interval{800};
  // While no rollout is in progress, and while one is.
  std::chrono::milliseconds instance_poll_interval{2000};
  std::chrono::milliseconds heartbeat_interval{3000};
  std::chrono::milliseconds rollout_instance_poll_interval{500};
  std::chrono::milliseconds rollout_heartbeat_interval{1000};
  Severity log_severity = Severity::kInfo;
  std::size_t log_buffer_lines = 20000;
};

// A part of configuration_apply_ms.
std::chrono::milliseconds PartOfApplyTime(const GatewaySettings& settings,
                                          double part);

std::vector<FieldDescription> DescribeGatewaySettings();

// Throws FindingsError with every fault.
GatewaySettings ParseGatewaySettings(const std::string& source,
                                     const std::string& text);

}  // namespace filbertshift

#endif  // SRC_GATEWAY_GATEWAY_SETTINGS_H_
