// Decides for each new request of a service with fewer slots than instances
// whether it is sent to an endpoint, waits at this instance or is refused.

#ifndef SRC_ADMISSION_SERVICE_ADMISSION_H_
#define SRC_ADMISSION_SERVICE_ADMISSION_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/admission/account_shares.h"
#include "src/admission/admission_queue.h"
#include "src/admission/fleet_limit.h"
#include "src/admission/full_endpoint_tracker.h"
#include "src/admission/retry_after_planner.h"
#include "src/admission/service_capacity.h"
#include "src/admission/service_state.h"

namespace filbertshift {

struct AdmissionRequest {
  // Unique among the requests that wait.
  RequestId key;
  // Of the caller's request id.
  std::uint64_t hash = 0;
  AccountId account;
  // Lower is more urgent.
  int priority = 0;
  TimePoint arrived_at{};
  std::chrono::milliseconds objective{0};
  TimePoint deadline{};
};

enum class AdmissionVerdict { kSend, kWait, kRefuse };

// Why a request waited or was refused.
enum class AdmissionReason { kNone, kOverload, kEndpointsFull };
std::string_view AdmissionReasonName(AdmissionReason reason);

struct AdmissionDecision {
  AdmissionVerdict verdict = AdmissionVerdict::kSend;
  AdmissionReason reason = AdmissionReason::kNone;
  // Expected time until the request would have been sent.
  std::chrono::milliseconds wait{0};
  // Expected time from sending it to its response.
  std::chrono::milliseconds response{0};
  // Set with kRefuse.
  std::chrono::milliseconds retry_after{0};
};

// A request that waited and no longer does.
struct AdmissionRelease {
  RequestId key;
  AdmissionDecision decision;
};

class ServiceAdmission {
 public:
  ServiceAdmission();

  // Must be called before the first decision and then a few times a second.
  void SetState(const ServiceState& state, TimePoint now);
  // Whether admission control applies at all; otherwise everything is sent.
  bool active() const;

  // A new request. With kWait it is returned by a later Release.
  AdmissionDecision Decide(const AdmissionRequest& request, TimePoint now);
  // A request that has not run and that endpoints have rejected.
  AdmissionDecision DecideRejected(const AdmissionRequest& request,
                                   TimePoint now);
  // Requests that are to be sent or refused now, in this order.
  std::vector<AdmissionRelease> Release(TimePoint now);
  // When the caller of a request that is refused now may return.
  std::chrono::milliseconds RetryAfter(const AdmissionRequest& request,
                                       TimePoint now);
  // The request no longer waits for other reasons. Returns whether it did.
  bool Remove(const RequestId& key);
  std::size_t waiting() const { return queue_.size(); }

  // Attempts of requests of the service, whether admission is active or not.
  void OnAnswer(const EndpointId& endpoint, TimePoint sent_at, TimePoint now);
  void OnRejected(const EndpointId& endpoint, TimePoint now);
  const FullEndpointTracker& full_endpoints() const { return full_; }

  bool shedding() const { return limit_.shedding(); }
  double admitted_fraction() const { return limit_.admitted_fraction(); }
  // Own traffic and the estimate for all instances, for logs.
  ServiceTraffic FleetTraffic(TimePoint now) const;
  const ServiceState& state() const { return state_; }

 private:
  ServiceTraffic OwnTraffic(TimePoint now) const;
  // Requests that this instance may send in a second.
  double OwnRate(TimePoint now) const;
  // When the first endpoint is not full; in the past if one is not.
  TimePoint FirstNotFull() const;
  std::chrono::milliseconds ExpectedResponse(TimePoint now);
  void Refill(TimePoint now);
  AdmissionDecision WaitOrRefuse(const AdmissionRequest& request,
                                 AdmissionReason reason,
                                 TimePoint now);
  void Refuse(const AdmissionRequest& request,
              AdmissionDecision* decision,
              TimePoint now);
  // Expected time until a request with this priority behind all others is sent.
  std::chrono::milliseconds ExpectedWait(int priority, TimePoint now) const;

  ServiceState state_;
  double objective_ms_ = 0;
  ServiceCapacity capacity_;
  FleetLimit limit_;
  AccountShares shares_;
  FullEndpointTracker full_;
  RetryAfterPlanner retries_;
  // Own traffic.
  DecayedSum arrivals_;
  DecayedSum admitted_;
  DecayedSum answers_;
  DecayedSum answer_ms_;
  DecayedSum rejections_;
  // Sends that the own rate allows beyond those of `shares_`; negative after
  // more of these than the rate allows.
  double credit_ = 0;
  TimePoint refilled_at_{};
  // Invariant: `queue_` and `waiting_` hold the same requests; their deadline
  // in the queue is the latest time at which they can still be in time.
  AdmissionQueue queue_;
  std::map<std::string, AdmissionRequest> waiting_;
};

}  // namespace filbertshift

#endif  // SRC_ADMISSION_SERVICE_ADMISSION_H_
