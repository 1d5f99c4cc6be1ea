// Event log decorator that counts every event as a metric before forwarding it.

#ifndef SRC_ADMIN_COUNTING_EVENT_LOG_H_
#define SRC_ADMIN_COUNTING_EVENT_LOG_H_

#include <string>
#include <utility>

#include "src/admin/metrics.h"
#include "src/common/common.h"

namespace filbertshift {

class CountingEventLog : public EventLog {
 public:
  CountingEventLog(EventLog& next, Metrics& metrics)
      : next_(next), metrics_(metrics) {}
  using EventLog::Write;
  void Write(EventId event,
             const EventContext& context,
             std::string detail) override {
    metrics_.CountEvent(event);
    next_.Write(event, context, std::move(detail));
  }

 private:
  EventLog& next_;
  Metrics& metrics_;
};

}  // namespace filbertshift

#endif  // SRC_ADMIN_COUNTING_EVENT_LOG_H_
