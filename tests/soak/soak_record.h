// Records the outcome of each soak request at its caller and at the endpoints,
// and checks the guarantees of the router against it.

#ifndef TESTS_SOAK_SOAK_RECORD_H_
#define TESTS_SOAK_SOAK_RECORD_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

// kStream may be resumed; kStreamOnce may not, and runs once.
enum class SoakKind { kNonIdempotent, kIdempotent, kStream, kStreamOnce };

// Time after which an instance that has passed on a notice of leaving sends
// nothing more to the endpoint.
constexpr std::chrono::milliseconds kSoakDrainTime{1500};
// A pause counts this long after the refusal that asked for it; until its end,
// so many requests of an instance may still reach the endpoint.
constexpr std::chrono::milliseconds kSoakPauseSlack{500};
constexpr int kSoakMaxInPause = 2;
// An endpoint that the router has left works on for at most this long after the
// request has begun at another one.
constexpr std::chrono::milliseconds kSoakMaxOverlap{400};
// Time that an answer or a request may take on its way, beyond its deadline.
constexpr std::chrono::milliseconds kSoakDeadlineSlack{700};
// Number of events in a complete stream.
constexpr int kSoakEventCount = 6;

struct SoakIncarnation {
  std::string endpoint;
  int start = 0;
  friend bool operator<(const SoakIncarnation& a, const SoakIncarnation& b) {
    return std::tie(a.endpoint, a.start) < std::tie(b.endpoint, b.start);
  }
};

struct SoakExecution {
  std::string endpoint;
  TimePoint started_at{};
  // Not set while the endpoint works on the request.
  std::optional<TimePoint> ended_at;
};

struct SoakRequest {
  SoakKind kind = SoakKind::kNonIdempotent;
  std::string target;
  // Address of the instance that it was sent to.
  std::string instance;
  TimePoint started_at{};
  // The caller waits no longer, and nothing runs then; from `started_at`.
  std::chrono::milliseconds deadline{4000};
  // For a service whose endpoints report their slots.
  bool plain = false;
  // A plain endpoint has rejected it: the retry budget, which callers do not
  // see, may forbid another send although slots are free.
  bool rejected = false;
  // Included in the share of requests that must be served without faults.
  bool counts_for_served_ratio = true;
  // The API key was revoked long enough ago for every instance to have applied
  // it, so the request must be denied.
  bool key_revoked = false;
  // The API key was put in force long enough ago for every instance to have
  // applied it, so the request must not be denied.
  bool key_in_force = false;
  std::vector<SoakExecution> executions;
  // The latest one that said in its answer that it leaves.
  SoakIncarnation leaving;
  // 0: no response, or an incomplete one.
  int status = 0;
  bool sealed = false;
  std::string body;
  bool ended = false;
};

class SoakRecord {
 public:
  // `id` must be new.
  void OnSent(const std::string& id, SoakRequest request);
  // `detail` is empty if the endpoint received the request unmodified,
  // otherwise it describes the difference.
  void OnExecution(const std::string& id,
                   std::string_view detail,
                   TimePoint now,
                   const std::string& endpoint = std::string());
  // The endpoint has answered the request or given it up.
  void OnExecutionEnded(const std::string& id,
                        const std::string& endpoint,
                        TimePoint now);
  void OnResponse(const std::string& id,
                  int status,
                  bool sealed,
                  const std::string& body);
  void OnNoResponse(const std::string& id);
  // As OnNoResponse; the deadline and kSoakDeadlineSlack have passed.
  void OnGivenUp(const std::string& id, TimePoint now);
  // A plain endpoint whose queue is full has rejected the request.
  void OnRejected(const std::string& id);
  // A plain endpoint has a free slot, or none, from now on.
  void OnSlots(const std::string& endpoint, bool free, TimePoint now);
  // The request has reached the endpoint.
  void OnArrival(const std::string& id,
                 const SoakIncarnation& endpoint,
                 TimePoint now);
  // The endpoint has refused the request and asked for no others.
  void OnPauseAsked(const std::string& id,
                    const SoakIncarnation& endpoint,
                    std::chrono::milliseconds pause,
                    TimePoint now);
  // The endpoint says in its answer that it leaves, and the caller got that.
  void OnLeavingAnswered(const std::string& id,
                         const SoakIncarnation& endpoint);
  void OnLeavingPassedOn(const std::string& id, TimePoint now);
  // The request runs at an endpoint that left long enough ago for every
  // instance to have applied it.
  void OnExecutionAfterLeaving(const std::string& id,
                               const std::string& endpoint);
  // The instance has started while the store had an older copy, and has never
  // known what the store lost: what the copy says may hold there for requests
  // sent before `until`.
  void ExcuseCopiedState(const std::string& instance, TimePoint until);
  // An instance or endpoint is restarted or disturbed: no notice counts that it
  // gave or got before `until`.
  void ExcuseNotices(const std::string& instance_or_endpoint, TimePoint until);
  // `fault_free` is true if no fault is active and the recovery time after the
  // last one has passed.
  void SetFaultFree(bool fault_free, TimePoint now);
  void ReportViolation(std::string_view guarantee, const std::string& detail);
  // Checks that refused requests were never executed. Call it after all
  // requests have ended, since an execution can follow its refusal.
  void CheckRefusedRequests();

  int requests() const { return static_cast<int>(requests_.size()); }
  // Requests that started and ended without faults, and how many of them got a
  // response from an endpoint.
  int fault_free_requests() const { return fault_free_requests_; }
  int fault_free_served() const { return fault_free_served_; }
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  void CheckResponse(const std::string& id, const SoakRequest& request);
  void CheckStream(const std::string& id, const SoakRequest& request);
  void CheckFreeSlots(const std::string& id, const SoakRequest& request);
  void CountIfFaultFree(const SoakRequest& request, bool served);
  bool MayKnowCopyOnly(const SoakRequest& request) const;
  bool IsExcused(const std::string& instance,
                 const std::string& endpoint,
                 TimePoint now) const;

  struct Pause {
    TimePoint from{};
    TimePoint until{};
    int arrivals = 0;
  };
  // Instance and endpoint.
  using Pair = std::pair<std::string, SoakIncarnation>;
  std::map<Pair, TimePoint> leaving_passed_on_;
  std::map<Pair, std::vector<Pause>> pauses_;
  std::map<std::string, TimePoint> excused_until_;
  std::map<std::string, TimePoint> copied_state_until_;
  // Since when a plain endpoint has had free slots; no entry if it has none.
  std::map<std::string, TimePoint> free_since_;

  std::map<std::string, SoakRequest> requests_;
  bool fault_free_ = false;
  TimePoint fault_free_since_{};
  int fault_free_requests_ = 0;
  int fault_free_served_ = 0;
  std::vector<std::string> violations_;
};

// The complete response body of an endpoint.
std::string SoakResponseBody(const std::string& id);
std::string SoakEvent(const std::string& id, int number);

}  // namespace filbertshift

#endif  // TESTS_SOAK_SOAK_RECORD_H_
