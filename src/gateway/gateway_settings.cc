#include "src/gateway/gateway_settings.h"

#include <algorithm>
#include <utility>

#include "src/config/field_types.h"
#include "src/config/severity_field.h"
#include "src/config/text_rules.h"

namespace filbertshift {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using S = GatewaySettings;

constexpr Presence kOptional = Presence::kOptional;
constexpr Presence kRequired = Presence::kRequired;
constexpr double kMaxMilliseconds = 3600000;
constexpr double kMaxSeconds = 3600;
constexpr double kMaxCount = 1000000;
constexpr std::size_t kBytesPerMegabyte = std::size_t{1024} * 1024;
// Percentage of the memory that requests and responses may take up, and the
// divisor of that for each of the two kinds of response bytes.
constexpr std::size_t kMessagePercent = 60;
constexpr std::size_t kResponseDivisor = 4;

FieldTable<S> GatewayIdentityFields() {
  return {
      TextField("instance", &S::instance, kRequired, kIdText,
                "Name of this instance, unique among all."),
      TextField("data_centre", &S::data_centre, kRequired, kIdText,
                "Data centre in which the process runs."),
      TextField("caller_listen", &S::caller_listen, kRequired,
                kListenAddressText, "Address for callers."),
      TextField("readiness_listen", &S::readiness_listen, kRequired,
                kListenAddressText, "Address for readiness checks."),
      TextField("peer_listen", &S::peer_listen, kRequired, kListenAddressText,
                "Address for the other instances and for metrics."),
      TextField("store_address", &S::store_address, kRequired, kAddressText,
                "Address of the transactional store."),
      TextListField("seed_peers", &S::seed_peers, kOptional, kAddressText,
                    "Addresses of some other instances; may be stale."),
  };
}

FieldTable<S> GatewayBoundFields() {
  return {
      NumberField("configuration_apply_ms", &S::configuration_apply_ms,
                  kOptional, {100, kMaxMilliseconds}, "ms",
                  "Time in which a change of the configuration must be in "
                  "force."),
      NumberField("shutdown_s", &S::shutdown_s, kOptional, {0.5, kMaxSeconds},
                  "s", "Time that requests in progress get after SIGTERM."),
      NumberField(
          "session_s", &S::session_s, kOptional, {0, kMaxSeconds}, "s",
          "Idle time after which a session may switch to another version."),
      NumberField("repeat_ratio", &S::repeat_ratio, kOptional, {0, 100}, "",
                  "Repeats for each request of a service in the window, over "
                  "all instances."),
      NumberField("repeat_window_s", &S::repeat_window_s, kOptional,
                  {1, kMaxSeconds}, "s", "Window of the bound for repeats."),
      NumberField("repeat_allowance", &S::repeat_allowance, kOptional,
                  {0, kMaxCount}, "requests",
                  "Repeats of a service in the window beyond the ratio, over "
                  "all instances."),
      NumberField(
          "cold_overshoot", &S::cold_overshoot, kOptional, {0, 100}, "",
          "Factor on the request rate that a cold endpoint can sustain."),
      NumberField("cold_tolerance", &S::cold_tolerance, kOptional,
                  {0, kMaxCount}, "requests",
                  "Requests in any second beyond that rate."),
      NumberField("rollout_share", &S::rollout_share, kOptional, {0, 1}, "",
                  "Share of the requests of a service that a bad version may "
                  "receive until the deadline of a rollout."),
      NumberField("rollout_tolerance", &S::rollout_tolerance, kOptional,
                  {0, kMaxCount}, "requests",
                  "Requests that a bad version may receive beyond that share."),
  };
}

FieldTable<S> GatewayIntervalFields() {
  return {
      DurationField("connect_timeout", &S::connect_timeout, kOptional,
                    {milliseconds(10), minutes(1)},
                    "Time to connect to an endpoint, peer or the store."),
      DurationField("silence_timeout", &S::silence_timeout, kOptional,
                    {milliseconds(100), minutes(5)},
                    "A connection is closed when sent data stays "
                    "unacknowledged for this long."),
      DurationField("operator_poll_interval", &S::operator_poll_interval,
                    kOptional, {milliseconds(1), minutes(1)},
                    "Minimum poll interval for operators' changes."),
      DurationField("endpoint_poll_interval", &S::endpoint_poll_interval,
                    kOptional, {milliseconds(1), minutes(1)},
                    "Minimum poll interval for changes of endpoints."),
      DurationField("instance_poll_interval", &S::instance_poll_interval,
                    kOptional, {milliseconds(1), minutes(1)},
                    "Minimum poll interval for changes of instances."),
      DurationField("heartbeat_interval", &S::heartbeat_interval, kOptional,
                    {milliseconds(100), minutes(1)},
                    "Time between writes of this instance's own row."),
      DurationField("rollout_instance_poll_interval",
                    &S::rollout_instance_poll_interval, kOptional,
                    {milliseconds(1), minutes(1)},
                    "instance_poll_interval during a rollout."),
      DurationField("rollout_heartbeat_interval",
                    &S::rollout_heartbeat_interval, kOptional,
                    {milliseconds(100), minutes(1)},
                    "heartbeat_interval during a rollout."),
      IntegerField("memory_mb", &S::memory_mb, kOptional,
                   ValueRange<std::size_t>{32, 1048576}, "MB",
                   "Memory of the process. Three fifths of it are for requests "
                   "and responses; requests beyond that are refused with 503."),
      IntegerField("response_buffer_mb", &S::response_buffer_mb, kOptional,
                   ValueRange<std::size_t>{1, 65536}, "MB",
                   "Memory for all responses that are held until their rest "
                   "arrives or their callers read; beyond it, the largest is "
                   "broken off."),
      IntegerField("event_buffer_kb", &S::event_buffer_kb, kOptional,
                   ValueRange<std::size_t>{1, 1048576}, "KB",
                   "Maximum size of one event of a stream."),
      DurationField("endpoint_retry_after_limit",
                    &S::endpoint_retry_after_limit, kOptional,
                    {milliseconds(100), minutes(60)},
                    "Longest time without requests that an endpoint may ask "
                    "for with Retry-After; longer ones are shortened to it."),
      DurationField("endpoint_load_interval", &S::endpoint_load_interval,
                    kOptional, {milliseconds(0), minutes(1)},
                    "Interval at which instances tell each other the load "
                    "that they put on endpoints; 0 turns this off, and "
                    "admission and placement with it."),
      IntegerField("endpoint_load_bytes_per_second",
                   &S::endpoint_load_bytes_per_second, kOptional,
                   ValueRange<std::size_t>{256, 10000000}, "B/s",
                   "Average of the bytes that this instance sends and "
                   "receives to learn the load of the others; the interval is "
                   "lengthened accordingly. Beyond 650 ms the load of the "
                   "others counts as unknown."),
      BooleanField("admission", &S::admission, kOptional,
                   "Plain services with fewer places than instances admit "
                   "requests by the load of all instances."),
      BooleanField("placement", &S::placement, kOptional,
                   "Endpoints with few places for each instance are chosen by "
                   "the load of all instances, and requests leave the data "
                   "centre only where that pays."),
      NumberField("remote_cost_ms_per_mb", &S::remote_cost_ms_per_mb, kOptional,
                  {0, kMaxMilliseconds}, "ms/MB",
                  "Cost of a megabyte sent to another data centre, as waiting "
                  "time of a caller."),
      SeverityField(&S::log_severity,
                    "Minimum severity of the events on standard output."),
      IntegerField("log_buffer_lines", &S::log_buffer_lines, kOptional,
                   ValueRange<std::size_t>{100, 10000000}, "lines",
                   "Log lines buffered for a slow reader; further lines are "
                   "dropped and counted."),
  };
}

const FieldTable<S>& GatewayFields() {
  static const FieldTable<S> kFields = [] {
    FieldTable<S> fields;
    for (const FieldTable<S>& part :
         {GatewayIdentityFields(), GatewayBoundFields(),
          GatewayIntervalFields()}) {
      fields.insert(fields.end(), part.begin(), part.end());
    }
    return fields;
  }();
  return kFields;
}

}  // namespace

std::chrono::milliseconds ApplyTimeFraction(const GatewaySettings& settings,
                                            double fraction) {
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(settings.configuration_apply_ms * fraction));
}

MemoryShares ShareMemory(const GatewaySettings& settings) {
  std::size_t bytes = settings.memory_mb * kBytesPerMegabyte;
  std::size_t messages = bytes * kMessagePercent / 100;
  std::size_t responses =
      std::min(settings.response_buffer_mb * kBytesPerMegabyte,
               messages / kResponseDivisor);
  return {messages - 2 * responses, responses, responses};
}

std::vector<FieldDescription> DescribeGatewaySettings() {
  return DescribeFields(GatewayFields());
}

GatewaySettings ParseGatewaySettings(const std::string& source,
                                     const std::string& text) {
  JsonDocument document(source, text);
  GatewaySettings settings;
  FieldReader reader(document);
  ReadObject(document.root(), "", GatewayFields(), reader, &settings);
  if (!reader.findings().empty()) {
    throw FindingsError(std::move(reader.findings()));
  }
  return settings;
}

}  // namespace filbertshift
