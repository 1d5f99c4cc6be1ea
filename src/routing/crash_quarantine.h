// Detects requests that crash the endpoints they run on, isolates them and
// blocks those that crash endpoints repeatedly.

#ifndef SRC_ROUTING_CRASH_QUARANTINE_H_
#define SRC_ROUTING_CRASH_QUARANTINE_H_

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

enum class CrashVerdict {
  // Not known from any crash; may run on any endpoint.
  kClear,
  // In flight at one crash; may only run on an endpoint without other suspects.
  kSuspect,
  // In flight at two crashes; is refused.
  kBlocked,
};

struct SuspectState {
  Fingerprint fingerprint{};
  // Endpoints that crashed while running the request, once for each crash: an
  // endpoint that restarted and crashed again is listed twice.
  std::multiset<EndpointId> endpoints;
  TimePoint expires;
};

// A single request crashes at most two endpoints if the user of this class
// shares the states returned by OnCrash before it reports the failure to the
// caller, and calls OnIsolatedRun before each isolated run. States are merged
// by the maximum number of crashes for each endpoint, so messages may be lost,
// duplicated or reordered as long as the last state arrives.
class CrashQuarantine {
 public:
  // Suspects and blocked requests are dropped after `retention`.
  explicit CrashQuarantine(std::chrono::milliseconds retention);

  CrashVerdict Check(Fingerprint fingerprint, TimePoint now) const;

  // Records that a suspect is about to run on the endpoint; ignored for other
  // requests. Without this call a second crash of the same endpoint cannot be
  // distinguished from a second report of the first crash.
  void OnIsolatedRun(Fingerprint fingerprint, const EndpointId& endpoint);

  // Records a crash for all requests in flight on the endpoint. May be called
  // repeatedly for one crash. Returns the changed states, which the user of
  // this class shares with peers and the table service.
  std::vector<SuspectState> OnCrash(const EndpointId& endpoint,
                                    const std::vector<Fingerprint>& in_flight,
                                    TimePoint now);

  // Merges the state of another instance; an endpoint that is listed twice has
  // crashed twice. Returns true if the local state changed.
  bool Merge(Fingerprint fingerprint,
             const std::vector<EndpointId>& endpoints,
             TimePoint now);

  // Removes a suspect that finished without a crash. Blocked requests are not
  // cleared. Returns true if the request was a suspect.
  bool Clear(Fingerprint fingerprint);

  void Expire(TimePoint now);
  std::optional<SuspectState> Find(Fingerprint fingerprint) const;
  std::vector<SuspectState> All() const;
  std::size_t size() const { return suspects_.size(); }

 private:
  // Returns the state of the fingerprint, newly created if there is none and
  // reset if it has expired.
  SuspectState& FindOrCreateState(Fingerprint fingerprint, TimePoint now);
  bool AddCrash(const EndpointId& endpoint,
                Fingerprint fingerprint,
                TimePoint now);

  const std::chrono::milliseconds retention_;
  // Invariant: every entry has at least one endpoint.
  std::map<Fingerprint, SuspectState> suspects_;
  // Endpoint of the latest isolated run; removed when that endpoint crashes.
  // Invariant: each fingerprint is in suspects_.
  std::map<Fingerprint, EndpointId> isolated_runs_;
};

}  // namespace filbertshift

#endif  // SRC_ROUTING_CRASH_QUARANTINE_H_
