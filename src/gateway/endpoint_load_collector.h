// Collects the load reports of other instances at a reader. Performs no I/O.

#ifndef SRC_GATEWAY_ENDPOINT_LOAD_COLLECTOR_H_
#define SRC_GATEWAY_ENDPOINT_LOAD_COLLECTOR_H_

#include <chrono>
#include <map>
#include <optional>

#include "src/gateway/endpoint_load_message.h"

namespace filbertshift {

// Reports of instances and sums of other readers are kept apart: a sum that is
// sent to another reader contains reports only, and what one reader sums up
// reaches every other one directly, so nothing is counted twice.
class EndpointLoadCollector {
 public:
  // A report that is not renewed for this long no longer counts.
  static constexpr std::chrono::milliseconds kRetention = kMaxLoadAge;
  // The same for a sum. When its reader is lost, the instances in it need up to
  // 1.3 s to reach the others through another reader; until then they must not
  // be missing.
  static constexpr std::chrono::milliseconds kSumRetention{1600};

  // Replaces the earlier report of the instance, or applies changes to it.
  // Incarnations are not ordered, so the latest arrival counts. Returns false
  // if the changes are to a report that is not held.
  bool Add(LoadMessage message, TimePoint now);
  void Expire(TimePoint now);
  // Whether no report counts.
  bool empty() const;
  // Sum of the instances that report to this one.
  LoadReport SumOfInstances() const;
  // Sum of everything, except what `excluded` has reported.
  LoadReport SumWithout(const InstanceId& excluded) const;
  // Age of the oldest part that counts; 0 if there is none.
  std::chrono::milliseconds OldestAge(TimePoint now) const;

 private:
  struct Part {
    // When the oldest load in it was measured; its arrival if unknown.
    TimePoint as_of{};
    TimePoint arrived_at{};
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    LoadReport report;
    // It no longer counts, but changes may still be based on it.
    bool expired = false;
  };
  using Parts = std::map<InstanceId, Part>;

  // Invariant: an instance whose latest message is a sum is in sums_ only,
  // since the sum contains its own load.
  Parts instances_;
  Parts sums_;
};

}  // namespace filbertshift

#endif  // SRC_GATEWAY_ENDPOINT_LOAD_COLLECTOR_H_
