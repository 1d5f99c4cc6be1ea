// Finds requests that crash the endpoints that run them.

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
  // Runs anywhere.
  kClear,
  // Was in flight at one crash: runs only isolated from other suspects.
  kSuspect,
  // Was in flight at two crashes: is refused.
  kConvicted,
};

struct SuspectState {
  Fingerprint fingerprint{};
  // Endpoints that crashed while running it. An endpoint that restarted and
  // crashed with it again is in here once for each crash.
  std::multiset<EndpointId> endpoints;
  TimePoint expires;
};

// Two conditions of use keep the cost of one request at two endpoints: the
// states that OnCrash returns are shared before the failure is answered to the
// caller, and an isolated run is announced with OnIsolatedRun. States merge by
// the greatest number of crashes for each endpoint, so messages may be lost,
// repeated and reordered as long as the last state arrives.
class CrashQuarantine {
 public:
  // Suspects and convictions are forgotten after `retention`.
  explicit CrashQuarantine(std::chrono::milliseconds retention);

  CrashVerdict Check(Fingerprint fingerprint, TimePoint now) const;

  // A suspect is about to run on the endpoint; no effect for other requests.
  // Without this call a second crash of the same endpoint cannot be told from a
  // second report of the first one.
  void OnIsolatedRun(Fingerprint fingerprint, const EndpointId& endpoint);

  // All requests that were in flight on the crashed endpoint. May be called
  // repeatedly for one crash. Returns the states that changed, to be shared
  // with peers and the table service.
  std::vector<SuspectState> OnCrash(const EndpointId& endpoint,
                                    const std::vector<Fingerprint>& in_flight,
                                    TimePoint now);

  // Merges what another instance knows; an endpoint that is given twice has
  // crashed twice. True if the state changed.
  bool Merge(Fingerprint fingerprint,
             const std::vector<EndpointId>& endpoints,
             TimePoint now);

  // A suspect finished. Convictions are never cleared. True if it was a
  // suspect.
  bool Clear(Fingerprint fingerprint);

  void Expire(TimePoint now);
  std::optional<SuspectState> Find(Fingerprint fingerprint) const;
  std::vector<SuspectState> All() const;
  std::size_t size() const { return suspects_.size(); }

 private:
  // The state of the fingerprint, made anew if there is none or if it has
  // expired.
  SuspectState& StateOf(Fingerprint fingerprint, TimePoint now);
  bool AddCrash(const EndpointId& endpoint,
                Fingerprint fingerprint,
                TimePoint now);

  const std::chrono::milliseconds retention_;
  // Invariant: every entry has at least one endpoint.
  std::map<Fingerprint, SuspectState> suspects_;
  // The endpoint of the latest isolated run; removed when the run crashes.
  // Invariant: each fingerprint is in suspects_.
  std::map<Fingerprint, EndpointId> isolated_runs_;
};

}  // namespace filbertshift

#endif  // SRC_ROUTING_CRASH_QUARANTINE_H_
