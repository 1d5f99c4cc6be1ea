// Log of numbered events. The events are declared in event_catalogue.cc, and a
// test compares docs/events.md with that table.

#ifndef SRC_COMMON_EVENT_LOG_H_
#define SRC_COMMON_EVENT_LOG_H_

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "src/common/clock.h"
#include "src/common/event_catalogue.h"
#include "src/common/ids.h"

namespace filbertshift {

// Objects that an event refers to. Empty ids are omitted from the log line.
struct EventContext {
  RequestId request;
  AttemptId attempt;
  EndpointId endpoint;
};

struct EventRecord {
  WallTime time;
  EventId event;
  EventContext context;
  std::string detail;
};

class EventLog {
 public:
  virtual ~EventLog() = default;
  virtual void Write(EventId event,
                     const EventContext& context,
                     std::string detail) = 0;
  void Write(EventId event, std::string detail) {
    Write(event, EventContext(), std::move(detail));
  }
};

// Formats an event as one log line that ends with a newline.
std::string FormatEventLine(WallTime time,
                            const EventDefinition& definition,
                            const InstanceId& instance,
                            const DataCentreId& data_centre,
                            const EventContext& context,
                            const std::string& detail);

// Writes one line per event to standard error and keeps the most recent events
// in memory for the operator interface. Thread-safe.
class StderrEventLog : public EventLog {
 public:
  StderrEventLog(const Clock& clock,
                 InstanceId instance,
                 DataCentreId data_centre,
                 Severity min_severity,
                 std::size_t max_recent_events);
  using EventLog::Write;
  void Write(EventId event,
             const EventContext& context,
             std::string detail) override;

  // Returns the recent events, oldest first.
  std::vector<EventRecord> Recent() const;

 private:
  const Clock& clock_;
  const InstanceId instance_;
  const DataCentreId data_centre_;
  const Severity min_severity_;
  const std::size_t max_recent_events_;
  mutable std::mutex mutex_;
  // Invariant: at most max_recent_events_ records, in the order of writing.
  std::deque<EventRecord> recent_;
};

// Formats a time in UTC, as in "2026-12-04T08:00:00.123456Z".
std::string FormatWallTime(WallTime time);

}  // namespace filbertshift

#endif  // SRC_COMMON_EVENT_LOG_H_
