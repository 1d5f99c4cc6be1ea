// Numbered log events. Each event is declared once in event_catalogue.cc; the
// page docs/events.md is checked against that table by a test.

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

// What an event is about; empty ids are left out of the line.
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

// One line for one event, with its end of line.
std::string FormatEventLine(WallTime time,
                            const EventDefinition& definition,
                            const InstanceId& instance,
                            const DataCentreId& data_centre,
                            const EventContext& context,
                            const std::string& detail);

// Writes one line for each event to standard error and keeps the most recent
// ones for the operator interface. Thread-safe.
class StderrEventLog : public EventLog {
 public:
  StderrEventLog(const Clock& clock,
                 InstanceId instance,
                 DataCentreId data_centre,
                 Severity least_severity,
                 std::size_t kept_events);
  using EventLog::Write;
  void Write(EventId event,
             const EventContext& context,
             std::string detail) override;

  // The kept events, oldest first.
  std::vector<EventRecord> Recent() const;

 private:
  const Clock& clock_;
  const InstanceId instance_;
  const DataCentreId data_centre_;
  const Severity least_severity_;
  const std::size_t kept_events_;
  mutable std::mutex mutex_;
  // Invariant: at most kept_events_ records, in order of writing.
  std::deque<EventRecord> recent_;
};

// "2026-12-04T08:00:00.123456Z" in UTC.
std::string FormatWallTime(WallTime time);

}  // namespace filbertshift

#endif  // SRC_COMMON_EVENT_LOG_H_
