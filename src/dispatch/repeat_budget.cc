#include "src/dispatch/repeat_budget.h"

#include <algorithm>

namespace filbertshift {

namespace {

// Share of the limit that is used. The margin is needed because the windows of
// the instances are not aligned, and a repeat arrives after it is counted.
constexpr double kUsedShare = 0.8;
constexpr std::chrono::milliseconds kSlice{250};

}  // namespace

RepeatBudget::RepeatBudget(RepeatLimits limits) : limits_(limits) {}

RepeatBudget::Counters& RepeatBudget::CountersOf(const ServiceId& service) {
  auto found = counters_.find(service);
  if (found == counters_.end()) {
    Counters counters{SlidingCounter(limits_.window, kSlice),
                      SlidingCounter(limits_.window, kSlice)};
    found = counters_.emplace(service, std::move(counters)).first;
  }
  return found->second;
}

void RepeatBudget::OnRequest(const ServiceId& service, TimePoint now) {
  CountersOf(service).requests.Add(now);
}

bool RepeatBudget::AllowsRepeat(const ServiceId& service, TimePoint now) {
  return RepeatsLeft(service, now) >= 1;
}

int RepeatBudget::RepeatsLeft(const ServiceId& service, TimePoint now) {
  Counters& counters = CountersOf(service);
  double bound =
      kUsedShare *
      (limits_.ratio * static_cast<double>(counters.requests.Count(now)) +
       limits_.allowance / std::max(instances_, 1));
  double left = bound - static_cast<double>(counters.repeats.Count(now));
  return static_cast<int>(std::max(left, 0.0));
}

void RepeatBudget::OnRepeat(const ServiceId& service, TimePoint now) {
  CountersOf(service).repeats.Add(now);
}

void RepeatBudget::OnRepeatNotSent(const ServiceId& service, TimePoint at) {
  CountersOf(service).repeats.Remove(at);
}

}  // namespace filbertshift
