// Settings of one process, as opposed to the configuration document: identity,
// addresses and local limits. Command-line overrides take precedence over the
// settings file, and the file over the defaults.

#ifndef SRC_CONFIG_PROCESS_SETTINGS_H_
#define SRC_CONFIG_PROCESS_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "src/common/common.h"
#include "src/config/field_description.h"

namespace filbertshift {

// Addresses are "ip:port". Durations are written with a unit, as in "250ms",
// "2s" or "1h".
struct ProcessSettings {
  InstanceId instance;
  DataCentreId data_centre;
  // Seat number of this process in the data_centres section.
  int seat = -1;

  std::string caller_listen;
  std::string peer_listen;
  std::string admin_listen;

  std::string table_address;
  std::string table_name = "filbertshift";
  std::string object_store_address;
  std::string object_store_bucket = "filbertshift";
  std::string instance_list_address;
  // Empty if there is no rating service.
  std::string rating_address;

  std::size_t max_connections = 2000;
  std::size_t max_header_bytes = std::size_t{32} * 1024;
  std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
  std::size_t max_response_bytes = std::size_t{16} * 1024 * 1024;
  std::size_t max_buffered_bytes = std::size_t{1024} * 1024;
  std::chrono::milliseconds slow_sender_timeout{10000};
  std::chrono::milliseconds connect_timeout{1000};
  std::chrono::milliseconds table_timeout{1500};
  std::chrono::milliseconds configuration_poll_interval{2000};
  std::chrono::milliseconds instance_list_poll_interval{1000};
  std::chrono::milliseconds probe_interval{1000};
  std::chrono::milliseconds charge_batch_interval{1000};
  std::chrono::milliseconds share_transition{13000};
  std::chrono::milliseconds shutdown_timeout{600000};

  // 0 requests a seed from the operating system; the seed in use is logged.
  std::uint64_t random_seed = 0;
  Severity log_severity = Severity::kInfo;
  std::size_t kept_events = 20000;
};

std::vector<FieldDescription> DescribeProcessSettings();

// Parses JSON with comments, then applies `overrides` of the form
// "name=value". Throws FindingsError with all errors: unknown keys, wrong types
// or units, values out of range, missing required settings.
ProcessSettings ParseProcessSettings(const std::string& source,
                                     const std::string& text,
                                     const std::vector<std::string>& overrides);

}  // namespace filbertshift

#endif  // SRC_CONFIG_PROCESS_SETTINGS_H_
