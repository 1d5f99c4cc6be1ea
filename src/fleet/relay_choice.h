// Chooses from which instance another one reads its view. A few instances read
// the store and the others read theirs, so that calls to the store do not grow
// with the number of instances.

#ifndef SRC_FLEET_RELAY_CHOICE_H_
#define SRC_FLEET_RELAY_CHOICE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

struct LiveInstance {
  InstanceId instance;
  // "ip:port" for the other instances.
  std::string peer_address;
};

class RelayChoice {
 public:
  explicit RelayChoice(InstanceId self) : self_(std::move(self)) {}

  // All live instances, with this one.
  void SetInstances(const std::vector<LiveInstance>& live);
  // Others may read this instance's view.
  bool IsReader() const;
  // The instance to read now; empty: read the store.
  std::optional<LiveInstance> Current(TimePoint now) const;
  // The instance did not answer, or is not current itself.
  void OnUnfit(const InstanceId& instance, TimePoint now);

 private:
  const InstanceId self_;
  // The instances that read the store, the same at all that count the same ones
  // as live.
  std::vector<LiveInstance> readers_;
  std::optional<TimePoint> store_until_;
  std::map<InstanceId, TimePoint> unfit_until_;
};

}  // namespace filbertshift

#endif  // SRC_FLEET_RELAY_CHOICE_H_
