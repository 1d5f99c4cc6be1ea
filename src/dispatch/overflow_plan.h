// Decides which share of the requests of each data centre goes to another one.
// Every instance computes the flows between all data centres from the same
// reports, so that instances agree without talking to each other.

#ifndef SRC_DISPATCH_OVERFLOW_PLAN_H_
#define SRC_DISPATCH_OVERFLOW_PLAN_H_

#include <chrono>
#include <map>
#include <utility>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

struct DataCentreLoad {
  DataCentreId data_centre;
  // Slots of usable endpoints, each times its speed; 0: it can serve nothing,
  // or cannot be reached.
  double capacity = 0;
  // Requests in progress there, whichever data centre they come from.
  double load = 0;
  // Cost of sending a request there from the local data centre, as a part of
  // the time for which a request holds a slot; 0 for the local one.
  double path_cost = 0;
};

struct OverflowInputs {
  DataCentreId local;
  std::vector<DataCentreLoad> data_centres;
  // Mean time for which a request holds a slot.
  std::chrono::milliseconds hold_time{1000};
};

class OverflowPlan {
 public:
  static constexpr std::chrono::milliseconds kStepInterval{300};

  struct Share {
    DataCentreId destination;
    // Of the requests that arrive in the source.
    double share = 0;
  };

  // Computes the shares anew; should be called each kStepInterval.
  void Step(const OverflowInputs& inputs, TimePoint now);
  // Without those that are 0; ordered by destination.
  std::vector<Share> SharesOf(const DataCentreId& source) const;
  // The destination of a request at `position`, from 0 to 1, among those of the
  // source; null: it stays.
  const DataCentreId* DestinationOf(const DataCentreId& source,
                                    double position) const;
  // Whether each of the two has sent to the other within kQuietTime.
  bool SendToEachOther(const DataCentreId& a,
                       const DataCentreId& b,
                       TimePoint now) const;

 private:
  struct Flow {
    double share = 0;
    // Estimated requests of the source in progress at the destination.
    double moved = 0;
    // When the share was last above 0.
    TimePoint active_at{};
  };
  // Source and destination.
  using Pair = std::pair<DataCentreId, DataCentreId>;
  using Loads = std::vector<DataCentreLoad>;

  // Lets `moved` follow the shares, and drops flows of unknown data centres.
  void UpdateMoved(const OverflowInputs& inputs, std::chrono::nanoseconds time);
  // Load that the requests arriving in the data centre would put on it if all
  // of them stayed.
  double OfferedLoad(const DataCentreLoad& centre) const;
  bool Receives(const DataCentreId& data_centre, TimePoint now) const;
  bool Sends(const DataCentreId& data_centre) const;
  // Shares that would even out the load; by destination.
  std::map<DataCentreId, double> TargetsOf(const DataCentreLoad& source,
                                           const OverflowInputs& inputs,
                                           TimePoint now) const;
  std::map<DataCentreId, double> EvacuationTargets(
      const DataCentreLoad& source,
      const OverflowInputs& inputs) const;
  // Moves the shares of the source towards their targets.
  void Approach(const DataCentreLoad& source,
                const OverflowInputs& inputs,
                const std::map<DataCentreId, double>& targets,
                double max_growth,
                TimePoint now);

  std::map<Pair, Flow> flows_;
  // Data centres that had no capacity and return by steps.
  std::map<DataCentreId, bool> returning_;
  TimePoint stepped_at_{};
};

}  // namespace filbertshift

#endif  // SRC_DISPATCH_OVERFLOW_PLAN_H_
