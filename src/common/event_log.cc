#include "src/common/event_log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <cstdio>
#include <utility>

namespace filbertshift {

namespace {

std::string OptionalField(std::string_view name, const std::string& value) {
  return value.empty() ? std::string() : fmt::format(" {}={}", name, value);
}

// Escapes quotes, backslashes and control characters, so that an event is
// always a single line.
std::string EscapeDetail(const std::string& detail) {
  std::string escaped;
  for (char c : detail) {
    if (c == '"' || c == '\\') {
      escaped += '\\';
      escaped += c;
    } else if (static_cast<unsigned char>(c) < 0x20) {
      escaped += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
    } else {
      escaped += c;
    }
  }
  return escaped;
}

}  // namespace

std::string FormatWallTime(WallTime time) {
  auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
      time.time_since_epoch());
  std::time_t seconds = std::chrono::system_clock::to_time_t(time);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:06}Z", fmt::gmtime(seconds),
                     micros.count() % 1000000);
}

std::string FormatEventLine(WallTime time,
                            const EventDefinition& definition,
                            const InstanceId& instance,
                            const DataCentreId& data_centre,
                            const EventContext& context,
                            const std::string& detail) {
  return fmt::format(
      "{} FS{:04} {} {} instance={} data_centre={}{}{}{} detail=\"{}\"\n",
      FormatWallTime(time), static_cast<int>(definition.id),
      SeverityName(definition.severity), definition.name, instance.value(),
      data_centre.value(), OptionalField("request", context.request.value()),
      OptionalField("attempt", context.attempt.value()),
      OptionalField("endpoint", context.endpoint.value()),
      EscapeDetail(detail));
}

StderrEventLog::StderrEventLog(const Clock& clock,
                               InstanceId instance,
                               DataCentreId data_centre,
                               Severity min_severity,
                               std::size_t max_recent_events)
    : clock_(clock),
      instance_(std::move(instance)),
      data_centre_(std::move(data_centre)),
      min_severity_(min_severity),
      max_recent_events_(max_recent_events) {}

void StderrEventLog::Write(EventId event,
                           const EventContext& context,
                           std::string detail) {
  const EventDefinition& definition = FindEventDefinition(event);
  WallTime now = clock_.WallNow();
  if (definition.severity >= min_severity_) {
    std::string line = FormatEventLine(now, definition, instance_, data_centre_,
                                       context, detail);
    std::fwrite(line.data(), 1, line.size(), stderr);
  }
  std::lock_guard<std::mutex> lock(mutex_);
  recent_.push_back(EventRecord{now, event, context, std::move(detail)});
  if (recent_.size() > max_recent_events_) {
    recent_.pop_front();
  }
}

std::vector<EventRecord> StderrEventLog::Recent() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return std::vector<EventRecord>(recent_.begin(), recent_.end());
}

}  // namespace filbertshift
