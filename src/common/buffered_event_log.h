// Event log whose Write never blocks: a background thread writes the lines to a
// file descriptor, and lines are dropped and counted while the buffer is full.

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
  // Writes to `descriptor`, which is not closed. `capacity` is the buffer size
  // in lines.
  BufferedEventLog(const Clock& clock,
                   InstanceId instance,
                   DataCentreId data_centre,
                   Severity min_severity,
                   int descriptor,
                   std::size_t capacity);
  // Writes the buffered lines, unless the reader of the descriptor has stalled.
  ~BufferedEventLog() override;
  BufferedEventLog(const BufferedEventLog&) = delete;
  BufferedEventLog& operator=(const BufferedEventLog&) = delete;

  using EventLog::Write;
  void Write(EventId event,
             const EventContext& context,
             std::string detail) override;

  std::uint64_t dropped_lines() const { return dropped_; }

 private:
  void RunWriter();
  // Returns false if the text was not written completely.
  bool WriteAll(const std::string& text);
  // Returns a log line with the number of lines dropped since the last call, or
  // an empty string if there are none.
  std::string FormatDroppedLines();

  const Clock& clock_;
  const InstanceId instance_;
  const DataCentreId data_centre_;
  const Severity min_severity_;
  const int descriptor_;
  BoundedRing<std::string> lines_;
  std::atomic<bool> stop_requested_{false};
  std::atomic<std::uint64_t> dropped_{0};
  // Used only by the writer thread.
  std::uint64_t reported_dropped_ = 0;
  std::thread writer_thread_;
};

}  // namespace filbertshift

#endif  // SRC_COMMON_BUFFERED_EVENT_LOG_H_
