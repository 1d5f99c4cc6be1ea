// Carries rollouts on: sums the evidence of all instances, decides and writes
// the next step, and stops a bad candidate by this instance's own evidence.

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
                 const FleetView& view,
                 const ExposureLimit& limit,
                 Forwarder* forwarder,
                 StoreWriter* writer,
                 EventLog* log);

  // `store_time`: the store's clock; empty if it is not known yet.
  void Step(std::optional<std::chrono::milliseconds> store_time, TimePoint now);
  // An order is not carried to its end yet.
  bool InProgress() const;
  // Requests on other versions than the candidate, for each running rollout.
  std::map<ServiceId, int> StableInFlight() const;
  // Sessions that this instance keeps on stable versions.
  std::vector<std::uint32_t> KeptSessions(TimePoint now) const;

 private:
  struct WrittenStep {
    int exposure_permille = -1;
    RolloutPhase state = RolloutPhase::kInProgress;
    TimePoint at{};
  };

  void StepOne(const RolloutOrder& order,
               std::chrono::milliseconds store_time,
               TimePoint now);
  void TakeKeptSessions();
  RolloutEvidence SharedEvidence() const;
  int SharedStableInFlight(const RolloutOrder& order) const;
  RolloutTraffic TrafficOf(const RolloutOrder& order,
                           const RolloutEvidence& evidence,
                           TimePoint now);
  // Instances take turns by rank, so that one of them writes as a rule.
  bool IsMyTurn(const RolloutOrder& order, TimePoint now);
  // This instance has just written the step, and the view may not show it yet.
  bool IsAwaited(const RolloutOrder& order,
                 const RolloutProgress& next,
                 TimePoint now);
  void WriteProgress(const RolloutOrder& order,
                     const RolloutProgress& progress);

  const InstanceId instance_;
  const DocumentCodec& codec_;
  const FleetView& view_;
  const ExposureLimit limit_;
  Forwarder* const forwarder_;
  StoreWriter* const writer_;
  EventLog* const log_;
  // Since when a step has been due, by service.
  std::map<ServiceId, TimePoint> due_since_;
  // Latest step that this instance wrote, by service.
  std::map<ServiceId, WrittenStep> written_;
  // Sends to all versions, told at a moment; by service.
  std::map<ServiceId, RateMeter> rates_;
  // Latest order that evidence has been collected for.
  std::map<ServiceId, std::int64_t> known_orders_;
  bool writing_ = false;
};

}  // namespace filbertshift

#endif  // SRC_GATEWAY_ROLLOUT_CONTROL_H_
