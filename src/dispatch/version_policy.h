// Decides which versions of a service may execute a request during a rollout.

#ifndef SRC_DISPATCH_VERSION_POLICY_H_
#define SRC_DISPATCH_VERSION_POLICY_H_

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/fleet/fleet_documents.h"
#include "src/fleet/rollout_driver.h"

namespace filbertshift {

struct VersionRule {
  enum class Kind { kAny, kOnly, kAllExcept };
  Kind kind = Kind::kAny;
  VersionId version;
  // Set for a candidate: its traffic goes to only this share of its endpoints,
  // in thousandths. Each of them then has its normal load, so that response
  // times are comparable with those of the stable version.
  int endpoint_share_permille = 0;
  // Set in a load test: its traffic goes to only this many of its endpoints.
  int max_endpoints = 0;
  bool Allows(const VersionId& candidate) const {
    return kind == Kind::kAny ||
           (kind == Kind::kOnly) == (candidate == version);
  }
};

// A load test of a rollout by this instance's clock.
struct LoadTestWindow {
  bool Contains(TimePoint now) const { return now >= from && now < until; }
  TimePoint from;
  TimePoint until;
};

class VersionPolicy {
 public:
  // `session_retention`: how long a session keeps its version on this instance
  // after its latest request has ended.
  explicit VersionPolicy(std::chrono::milliseconds session_retention);

  // `order` and `progress` may be nullptr; progress of another order is
  // ignored. `has_session`: other requests may belong to the same session.
  VersionRule RuleFor(const RolloutOrder* order,
                      const RolloutProgress* progress,
                      const std::string& session,
                      TimePoint now,
                      bool has_session = true) const;
  // Sets when the load test of the service's rollout takes place; empty if it
  // has none.
  void SetLoadTest(const ServiceId& service,
                   std::optional<LoadTestWindow> window);
  bool InLoadTest(const ServiceId& service, TimePoint now) const;
  // Sends no further requests of this instance to the candidate.
  void Stop(const ServiceId& service, const StoreVersion& order_version);
  bool IsStopped(const RolloutOrder& order) const;
  // Hashes of the sessions that this instance keeps on the stable version
  // although their hash assigns them to the candidate.
  std::vector<std::uint32_t> KeptSessions(const RolloutOrder& order,
                                          const RolloutProgress& progress,
                                          TimePoint now) const;
  // Sets the session hashes that other instances keep on the stable version, so
  // that such a session keeps its version when its requests arrive here.
  void SetKeptByPeers(std::set<std::uint32_t> sessions) {
    kept_by_peers_ = std::move(sessions);
  }
  // A request of the session was sent to the version.
  void OnRequestSent(const std::string& session,
                     const VersionId& version,
                     TimePoint now);
  // A request of the session that was sent has ended.
  void OnRequestEnded(const std::string& session, TimePoint now);
  // Removes sessions whose retention time is over.
  void Expire(TimePoint now);

 private:
  bool IsKept(const RolloutOrder& order,
              const RolloutProgress& progress,
              const std::string& session,
              TimePoint now) const;

  struct Session {
    bool IsActive(std::chrono::milliseconds retention, TimePoint now) const {
      return running > 0 || now - last_used < retention;
    }
    VersionId version;
    TimePoint last_used;
    int running = 0;
  };

  const std::chrono::milliseconds session_retention_;
  std::map<ServiceId, StoreVersion> stopped_;
  std::map<ServiceId, LoadTestWindow> load_tests_;
  std::unordered_map<std::string, Session> sessions_;
  std::set<std::uint32_t> kept_by_peers_;
};

}  // namespace filbertshift

#endif  // SRC_DISPATCH_VERSION_POLICY_H_
