// Drives rollouts: aggregates the evidence of all instances, decides and writes
// the next step, and stops a bad candidate on this instance without waiting for
// the store.

#ifndef SRC_GATEWAY_ROLLOUT_CONTROL_H_
#define SRC_GATEWAY_ROLLOUT_CONTROL_H_

#include <map>
#include <optional>
#include <vector>

#include "src/gateway/forwarder.h"
#include "src/gateway/store_writer.h"

namespace filbertshift {

class RolloutControl {
 public:
  RolloutControl(InstanceId instance,
                 const DocumentCodec& codec,
                 FleetView* view,
                 const ExposureLimit& limit,
                 Forwarder* forwarder,
                 StoreWriter* writer,
                 EventLog* log);

  // `store_time`: the store's clock; not set if not known yet.
  void Step(std::optional<std::chrono::milliseconds> store_time, TimePoint now);
  // Whether any rollout order is neither completed nor reverted.
  bool InProgress() const;
  // Requests in progress on versions other than the candidate, for each rollout
  // in progress.
  std::map<ServiceId, int> StableInFlight() const;
  // Hashes of sessions that this instance keeps on stable versions.
  std::vector<std::uint32_t> KeptSessions(TimePoint now) const;

 private:
  struct WrittenStep {
    int exposure_permille = -1;
    RolloutPhase state = RolloutPhase::kInProgress;
    bool has_load_test = false;
    TimePoint at{};
  };

  void StepRollout(const RolloutOrder& order,
                   std::chrono::milliseconds store_time,
                   TimePoint now);
  void UpdateLoadTest(const RolloutOrder& order,
                      const RolloutProgress* progress,
                      std::chrono::milliseconds store_time,
                      TimePoint now);
  void ImportKeptSessions();
  RolloutEvidence SharedEvidence() const;
  int CountStableInFlight(const RolloutOrder& order) const;
  RolloutTraffic MeasureTraffic(const RolloutOrder& order,
                                const RolloutEvidence& evidence,
                                TimePoint now);
  // Instances wait in order of rank, so that normally only one writes a step.
  bool IsMyTurn(const RolloutOrder& order, TimePoint now);
  // This instance wrote the step recently and the view may not contain it yet.
  bool IsWritePending(const RolloutOrder& order,
                      const RolloutProgress& next,
                      TimePoint now);
  void WriteProgress(const RolloutOrder& order,
                     const RolloutProgress& progress);

  const InstanceId instance_;
  const DocumentCodec& codec_;
  FleetView* const view_;
  const ExposureLimit limit_;
  Forwarder* const forwarder_;
  StoreWriter* const writer_;
  EventLog* const log_;
  // When the next step became due, by service.
  std::map<ServiceId, TimePoint> due_since_;
  // Latest step written by this instance, by service.
  std::map<ServiceId, WrittenStep> written_;
  // Rate of requests sent to all versions, by service.
  std::map<ServiceId, RateMeter> rates_;
  // Version of the order for which evidence is being collected, by service.
  std::map<ServiceId, StoreVersion> known_orders_;
  bool writing_ = false;
};

}  // namespace filbertshift

#endif  // SRC_GATEWAY_ROLLOUT_CONTROL_H_
