#include "src/config/process_settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "src/config/field_types.h"
#include "src/config/severity_field.h"
#include "src/config/text_rules.h"

namespace filbertshift {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;

using S = ProcessSettings;

constexpr Presence kOptional = Presence::kOptional;
constexpr Presence kRequired = Presence::kRequired;

constexpr std::size_t kKiB = 1024;
constexpr std::size_t kMiB = 1024 * kKiB;
constexpr std::size_t kGiB = 1024 * kMiB;
constexpr int kMaxSeat = 9999;

FieldTable<S> IdentityFields() {
  return {
      TextField("instance", &S::instance, kRequired, kIdText,
                "Name of this entry instance, unique among all."),
      TextField("data_centre", &S::data_centre, kRequired, kIdText,
                "Data centre in which the process runs."),
      IntegerField("seat", &S::seat, kRequired, ValueRange<int>{0, kMaxSeat},
                   "",
                   "Seat number of this process in the data_centres section. "
                   "Two running processes must not have the same."),
      TextField("caller_listen", &S::caller_listen, kRequired,
                kListenAddressText, "Address for callers."),
      TextField("peer_listen", &S::peer_listen, kRequired, kListenAddressText,
                "Address for the other entry instances."),
      TextField("admin_listen", &S::admin_listen, kRequired, kListenAddressText,
                "Address for operators and metrics."),
  };
}

FieldTable<S> PlatformFields() {
  return {
      TextField("table_address", &S::table_address, kRequired, kAddressText,
                "Address of the table service."),
      TextField("table_name", &S::table_name, kOptional, kIdText,
                "Name of the table."),
      TextField("object_store_address", &S::object_store_address, kRequired,
                kAddressText, "Address of the object store."),
      TextField("object_store_bucket", &S::object_store_bucket, kOptional,
                kIdText, "Name of the bucket."),
      TextField("instance_list_address", &S::instance_list_address, kRequired,
                kAddressText, "Address of the instance list."),
      TextField("rating_address", &S::rating_address, kOptional,
                kOptionalAddressText,
                "Address of the rating service; empty if there is none."),
  };
}

FieldTable<S> LimitFields() {
  return {
      IntegerField("max_connections", &S::max_connections, kOptional,
                   ValueRange<std::size_t>{1, 100000}, "connections",
                   "Maximum concurrent connections of callers."),
      IntegerField("max_header_bytes", &S::max_header_bytes, kOptional,
                   ValueRange<std::size_t>{kKiB, kMiB}, "bytes",
                   "Size of the request line and headers of a caller."),
      IntegerField("max_body_bytes", &S::max_body_bytes, kOptional,
                   ValueRange<std::size_t>{kKiB, kGiB}, "bytes",
                   "Size of the request body of a caller."),
      IntegerField("max_response_bytes", &S::max_response_bytes, kOptional,
                   ValueRange<std::size_t>{kKiB, kGiB}, "bytes",
                   "Size of the answer of an endpoint."),
      IntegerField("max_buffered_bytes", &S::max_buffered_bytes, kOptional,
                   ValueRange<std::size_t>{kKiB, kGiB}, "bytes",
                   "Bytes of one answer that are buffered for a slow caller."),
      DurationField("slow_sender_timeout", &S::slow_sender_timeout, kOptional,
                    {milliseconds(100), minutes(10)},
                    "Time in which a caller must send its whole request."),
      DurationField("connect_timeout", &S::connect_timeout, kOptional,
                    {milliseconds(10), minutes(1)},
                    "Time to connect to an endpoint."),
      DurationField("table_timeout", &S::table_timeout, kOptional,
                    {milliseconds(10), minutes(1)},
                    "Time for one call to the table service or object store."),
  };
}

FieldTable<S> IntervalFields() {
  return {
      DurationField("configuration_poll_interval",
                    &S::configuration_poll_interval, kOptional,
                    {milliseconds(100), milliseconds(10000)},
                    "Poll interval for the configuration revisions. A change "
                    "must be in force within 13 s."),
      DurationField("instance_list_poll_interval",
                    &S::instance_list_poll_interval, kOptional,
                    {milliseconds(100), milliseconds(10000)},
                    "Poll interval for the instance list."),
      DurationField("probe_interval", &S::probe_interval, kOptional,
                    {milliseconds(50), milliseconds(10000)},
                    "Time between probes of one endpoint."),
      DurationField("charge_batch_interval", &S::charge_batch_interval,
                    kOptional, {milliseconds(50), minutes(1)},
                    "Time for which charges are collected before they are "
                    "written as one row."),
      DurationField("share_transition", &S::share_transition, kOptional,
                    {milliseconds(0), minutes(5)},
                    "Time after a change of seats or limits in which the "
                    "smaller of old and new share holds. Must not be shorter "
                    "than the time in which a change reaches every instance."),
      DurationField("shutdown_timeout", &S::shutdown_timeout, kOptional,
                    {milliseconds(0), hours(24)},
                    "Time that requests in progress get after SIGTERM."),
  };
}

FieldTable<S> LogFields() {
  return {
      IntegerField("random_seed", &S::random_seed, kOptional,
                   ValueRange<std::uint64_t>{
                       0, std::numeric_limits<std::uint64_t>::max()},
                   "",
                   "Seed of the random numbers; 0 takes one from the operating "
                   "system. The seed in use is logged."),
      SeverityField(&S::log_severity,
                    "Minimum severity of the events on standard error."),
      IntegerField("kept_events", &S::kept_events, kOptional,
                   ValueRange<std::size_t>{0, 1000000}, "events",
                   "Events of every severity that are kept in memory for the "
                   "operator interface."),
  };
}

const FieldTable<S>& SettingFields() {
  static const FieldTable<S> kFields = [] {
    FieldTable<S> fields;
    for (const FieldTable<S>& part :
         {IdentityFields(), PlatformFields(), LimitFields(), IntervalFields(),
          LogFields()}) {
      fields.insert(fields.end(), part.begin(), part.end());
    }
    return fields;
  }();
  return kFields;
}

constexpr const char* kOverrideSource = "command line";

Finding OverrideFinding(std::string path, std::string message) {
  return {kOverrideSource, std::move(path), 0, 0, std::move(message)};
}

// Converts an override value to JSON text: numbers and booleans are unchanged,
// any other text becomes a string.
std::string OverrideJson(const Field<S>& field, const std::string& value) {
  const std::string& type = field.description.type;
  bool as_is = (type == "integer" || type == "number" || type == "boolean") &&
               nlohmann::json::accept(value);
  return as_is ? value
               : nlohmann::json(value).dump(
                     -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Applies one override to the settings and appends its findings.
void ApplyOverride(const std::string& text,
                   ProcessSettings* settings,
                   std::vector<Finding>* findings) {
  std::size_t equals = text.find('=');
  std::string name = text.substr(0, equals);
  std::string path = JoinPointer("", name);
  if (equals == std::string::npos) {
    findings->push_back(
        OverrideFinding(path, "expected an override of the form name=value"));
    return;
  }
  for (const Field<S>& field : SettingFields()) {
    if (field.description.name != name) {
      continue;
    }
    JsonDocument value(kOverrideSource,
                       OverrideJson(field, text.substr(equals + 1)));
    FieldReader reader(value);
    field.read(value.root(), path, reader, settings);
    for (const Finding& finding : reader.findings()) {
      findings->push_back(OverrideFinding(path, finding.message));
    }
    return;
  }
  findings->push_back(OverrideFinding(path, "unknown setting"));
}

// Settings with an override are not required in the file.
FieldTable<S> FileFields(const std::vector<std::string>& overrides) {
  FieldTable<S> fields = SettingFields();
  for (Field<S>& field : fields) {
    std::string prefix = field.description.name + "=";
    bool overridden = std::any_of(
        overrides.begin(), overrides.end(), [&](const std::string& text) {
          return text.compare(0, prefix.size(), prefix) == 0;
        });
    field.required = field.required && !overridden;
  }
  return fields;
}

}  // namespace

std::vector<FieldDescription> DescribeProcessSettings() {
  return DescribeFields(SettingFields());
}

ProcessSettings ParseProcessSettings(
    const std::string& source,
    const std::string& text,
    const std::vector<std::string>& overrides) {
  JsonDocument document(source, text);
  ProcessSettings settings;
  FieldReader reader(document);
  ReadObject(document.root(), "", FileFields(overrides), reader, &settings);
  std::vector<Finding> findings = std::move(reader.findings());
  for (const std::string& override_text : overrides) {
    ApplyOverride(override_text, &settings, &findings);
  }
  if (!findings.empty()) {
    throw FindingsError(std::move(findings));
  }
  return settings;
}

}  // namespace filbertshift
