// Records the ids of logged events, for tests.

#ifndef TESTS_UNIT_SUPPORT_RECORDING_EVENT_LOG_H_
#define TESTS_UNIT_SUPPORT_RECORDING_EVENT_LOG_H_

#include <algorithm>
#include <mutex>
#include <string>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

// Thread-safe.
class RecordingEventLog : public EventLog {
 public:
  using EventLog::Write;
  void Write(EventId event, const EventContext&, std::string) override {
    std::lock_guard<std::mutex> lock(mutex_);
    events_.push_back(event);
  }

  std::size_t Count(EventId event) const {
    std::lock_guard<std::mutex> lock(mutex_);
    return static_cast<std::size_t>(
        std::count(events_.begin(), events_.end(), event));
  }

 private:
  mutable std::mutex mutex_;
  std::vector<EventId> events_;
};

}  // namespace filbertshift

#endif  // TESTS_UNIT_SUPPORT_RECORDING_EVENT_LOG_H_
