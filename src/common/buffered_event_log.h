// Event log that never blocks its callers: a thread writes the lines to a file
// descriptor, and lines that a full buffer cannot take are counted.

#ifndef SRC_COMMON_BUFFERED_EVENT_LOG_H_
#define SRC_COMMON_BUFFERED_EVENT_LOG_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

#include "src/common/bounded_ring.h"
#include "src/common/event_log.h"

namespace filbertshift {

class BufferedEventLog : public EventLog {
 public:
  // Writes to `descriptor`, which stays open. `capacity` is in lines.
  BufferedEventLog(const Clock& clock,
                   InstanceId instance,
                   DataCentreId data_centre,
                   Severity least_severity,
                   int descriptor,
                   std::size_t capacity);
  // Writes what waits; gives up on a reader that has stopped.
  ~BufferedEventLog() override;
  BufferedEventLog(const BufferedEventLog&) = delete;
  BufferedEventLog& operator=(const BufferedEventLog&) = delete;

  using EventLog::Write;
  void Write(EventId event,
             const EventContext& context,
             std::string detail) override;

  std::uint64_t dropped_lines() const { return dropped_; }

 private:
  void WriteLines();
  bool WriteAll(const std::string& text);
  // A line on the lines dropped since the last one; empty if there are none.
  std::string DroppedLine();

  const Clock& clock_;
  const InstanceId instance_;
  const DataCentreId data_centre_;
  const Severity least_severity_;
  const int descriptor_;
  BoundedRing<std::string> lines_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::uint64_t> dropped_{0};
  // Only used by the writer.
  std::uint64_t reported_dropped_ = 0;
  std::thread writer_;
};

}  // namespace filbertshift

#endif  // SRC_COMMON_BUFFERED_EVENT_LOG_H_
