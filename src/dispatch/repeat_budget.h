// Limits the load that repeated requests add to a service. The limit holds over
// all instances, because each applies the ratio to its own requests and uses
// only its share of the fixed allowance.

#ifndef SRC_DISPATCH_REPEAT_BUDGET_H_
#define SRC_DISPATCH_REPEAT_BUDGET_H_

#include <chrono>
#include <unordered_map>

#include "src/dispatch/sliding_counter.h"

namespace filbertshift {

struct RepeatLimits {
  // Repeats allowed per request in the window.
  double ratio = 0;
  std::chrono::milliseconds window{10000};
  // Further repeats allowed in the window, over all instances.
  double allowance = 0;
};

class RepeatBudget {
 public:
  explicit RepeatBudget(RepeatLimits limits);
  void SetInstanceCount(int count) { instances_ = count; }
  void OnRequest(const ServiceId& service, TimePoint now);
  bool AllowsRepeat(const ServiceId& service, TimePoint now);
  // Repeats that are still allowed in the current window.
  int RepeatsLeft(const ServiceId& service, TimePoint now);
  void OnRepeat(const ServiceId& service, TimePoint now);
  // No byte of the repeat that was counted at `at` has been sent.
  void OnRepeatNotSent(const ServiceId& service, TimePoint at);

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
