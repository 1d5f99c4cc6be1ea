// Selects the source of an instance's view. A few reader instances read the
// store and the others read from a reader, so that the load on the store does
// not grow with the number of instances.

#ifndef SRC_FLEET_READER_SELECTOR_H_
#define SRC_FLEET_READER_SELECTOR_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

struct LiveInstance {
  InstanceId instance;
  // "ip:port" at which other instances connect.
  std::string peer_address;
  // Empty if it does not report it.
  DataCentreId data_centre{};
};

class ReaderSelector {
 public:
  explicit ReaderSelector(InstanceId self) : self_(std::move(self)) {}

  // Sets all live instances, including this one.
  void SetInstances(const std::vector<LiveInstance>& live);
  // Whether this instance reads the store for others.
  bool IsReader() const;
  // All instances that read the store for others.
  const std::vector<LiveInstance>& readers() const { return readers_; }
  // The reader to read from; empty: read the store directly.
  std::optional<LiveInstance> CurrentReader(TimePoint now) const;
  // The reader did not respond.
  void OnReaderFailed(const InstanceId& instance, TimePoint now);
  // The reader responded, but its own view is out of date.
  void OnReaderOutdated(const InstanceId& instance, TimePoint now);

 private:
  void Avoid(const InstanceId& instance,
             std::chrono::milliseconds store_fallback_time,
             std::chrono::milliseconds avoid_time,
             TimePoint now);

  const InstanceId self_;
  // Instances that read the store. Instances that agree on the set of live
  // instances agree on the readers.
  std::vector<LiveInstance> readers_;
  std::optional<TimePoint> store_fallback_until_;
  std::map<InstanceId, TimePoint> avoid_until_;
};

}  // namespace filbertshift

#endif  // SRC_FLEET_READER_SELECTOR_H_
