// Which versions of a service may run a request while versions change.

#ifndef SRC_DISPATCH_VERSION_POLICY_H_
#define SRC_DISPATCH_VERSION_POLICY_H_

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/fleet/fleet_documents.h"
#include "src/fleet/rollout_driver.h"

namespace filbertshift {

struct VersionRule {
  enum class Kind { kAny, kOnly, kAllBut };
  Kind kind = Kind::kAny;
  VersionId version;
  // Set for a candidate, in thousandths: the same share of its endpoints takes
  // its share of the traffic, so that each bears its usual load and its times
  // can be compared.
  int concentrated_permille = 0;
  bool Allows(const VersionId& candidate) const {
    return kind == Kind::kAny ||
           (kind == Kind::kOnly) == (candidate == version);
  }
};

class VersionPolicy {
 public:
  // `session_retention`: how long after its latest request a session keeps its
  // version at this instance.
  explicit VersionPolicy(std::chrono::milliseconds session_retention);

  // `order` and `progress` may be nullptr; a progress of another order counts
  // as none.
  VersionRule RuleFor(const RolloutOrder* order,
                      const RolloutProgress* progress,
                      const std::string& session,
                      TimePoint now) const;
  // The candidate gets nothing more from this instance.
  void Stop(const ServiceId& service, std::int64_t order_version);
  bool IsStopped(const RolloutOrder& order) const;
  // Hashes of the sessions that this instance keeps on the stable version,
  // though their share of the hash goes to the candidate.
  std::vector<std::uint32_t> KeptSessions(const RolloutOrder& order,
                                          const RolloutProgress& progress,
                                          TimePoint now) const;
  // The hashes that the other instances keep, which follow sessions here.
  void SetKeptElsewhere(std::set<std::uint32_t> sessions) {
    kept_elsewhere_ = std::move(sessions);
  }
  // A request of the session is sent to the version.
  void OnRun(const std::string& session,
             const VersionId& version,
             TimePoint now);
  // A request of the session that has run has ended.
  void OnEnd(const std::string& session, TimePoint now);
  void Expire(TimePoint now);

 private:
  bool IsKept(const RolloutOrder& order,
              const RolloutProgress& progress,
              const std::string& session,
              TimePoint now) const;

  struct Session {
    bool InUse(std::chrono::milliseconds retention, TimePoint now) const {
      return running > 0 || now - last_used < retention;
    }
    VersionId version;
    TimePoint last_used;
    int running = 0;
  };

  const std::chrono::milliseconds session_retention_;
  std::map<ServiceId, std::int64_t> stopped_;
  std::unordered_map<std::string, Session> sessions_;
  std::set<std::uint32_t> kept_elsewhere_;
};

}  // namespace filbertshift

#endif  // SRC_DISPATCH_VERSION_POLICY_H_
