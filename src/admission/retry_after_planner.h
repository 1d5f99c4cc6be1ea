// Tells refused callers when to return, so that they do not all return at once.

#ifndef SRC_ADMISSION_RETRY_AFTER_PLANNER_H_
#define SRC_ADMISSION_RETRY_AFTER_PLANNER_H_

#include <chrono>
#include <cstdint>
#include <map>

#include "src/common/common.h"

namespace filbertshift {

class RetryAfterPlanner {
 public:
  struct Refusal {
    // Of the request id, for the jitter.
    std::uint64_t hash = 0;
    // Lower is more urgent.
    int priority = 0;
    // Until the request's deadline.
    std::chrono::milliseconds time_left{0};
    // Requests that this instance may send in a second.
    double admitted_per_second = 0;
    // When the first slot can be free.
    std::chrono::milliseconds first_free{0};
  };
  // Time in which the part of the admitted rate that is left for callers that
  // return serves those refused before with the same or a more urgent priority.
  std::chrono::milliseconds Plan(const Refusal& refusal, TimePoint now);
  // Refused callers that have not returned yet.
  std::size_t backlog(TimePoint now);

 private:
  // Priority of each refusal, by the time at which its caller returns.
  std::multimap<TimePoint, int> returns_;
};

}  // namespace filbertshift

#endif  // SRC_ADMISSION_RETRY_AFTER_PLANNER_H_
