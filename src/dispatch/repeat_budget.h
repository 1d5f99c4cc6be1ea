// Bounds what repeats add to the load of a service. The bound holds for the sum
// of all instances, because each keeps it for its own requests and takes only
// its part of the fixed allowance.

#ifndef SRC_DISPATCH_REPEAT_BUDGET_H_
#define SRC_DISPATCH_REPEAT_BUDGET_H_

#include <chrono>
#include <unordered_map>

#include "src/dispatch/sliding_counter.h"

namespace filbertshift {

struct RepeatLimits {
  // Repeats for each request of the window.
  double ratio = 0;
  std::chrono::milliseconds window{10000};
  // Repeats of all instances beyond the ratio.
  double allowance = 0;
};

class RepeatBudget {
 public:
  explicit RepeatBudget(RepeatLimits limits);
  void SetInstanceCount(int count) { instances_ = count; }
  void OnRequest(const ServiceId& service, TimePoint now);
  bool HasRoom(const ServiceId& service, TimePoint now);
  // A request was sent once more.
  void OnRepeat(const ServiceId& service, TimePoint now);

 private:
  struct Counters {
    SlidingCounter requests;
    SlidingCounter repeats;
  };
  Counters& CountersOf(const ServiceId& service);

  const RepeatLimits limits_;
  int instances_ = 1;
  std::unordered_map<ServiceId, Counters> counters_;
};

}  // namespace filbertshift

#endif  // SRC_DISPATCH_REPEAT_BUDGET_H_
