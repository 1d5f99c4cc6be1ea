// The instances that share limits and read the store for each other.

#ifndef SRC_FLEET_LIVE_INSTANCES_H_
#define SRC_FLEET_LIVE_INSTANCES_H_

#include <vector>

#include "src/common/common.h"
#include "src/fleet/fleet_view.h"
#include "src/fleet/reader_selector.h"

namespace filbertshift {

// Returns `self` and all instances whose member row has changed recently.
std::vector<LiveInstance> LiveInstances(const FleetView& view,
                                        const LiveInstance& self);

}  // namespace filbertshift

#endif  // SRC_FLEET_LIVE_INSTANCES_H_
