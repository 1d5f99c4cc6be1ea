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
  // Crashed two endpoints: is refused.
  kConvicted,
};

struct SuspectState {
  Fingerprint fingerprint{};
  // Endpoints that crashed while running it.
  std::set<EndpointId> endpoints;
  TimePoint expires;
};

class CrashQuarantine {
 public:
  // Suspects and convictions are forgotten after `retention`.
  explicit CrashQuarantine(std::chrono::milliseconds retention);

  CrashVerdict Check(Fingerprint fingerprint, TimePoint now) const;

  // All requests that were in flight on the crashed endpoint. Returns the
  // states that changed, to be shared with peers and the table service.
  std::vector<SuspectState> OnCrash(const EndpointId& endpoint,
                                    const std::vector<Fingerprint>& in_flight,
                                    TimePoint now);

  // Merges what another instance knows. True if the state changed.
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
  const std::chrono::milliseconds retention_;
  // Invariant: every entry has at least one endpoint.
  std::map<Fingerprint, SuspectState> suspects_;
};

}  // namespace filbertshift

#endif  // SRC_ROUTING_CRASH_QUARANTINE_H_
