#include "src/dispatch/version_policy.h"

#include <xxhash.h>

#include <algorithm>

namespace filbertshift {

namespace {

std::uint32_t HashSession(const std::string& session) {
  return XXH32(session.data(), session.size(), 0);
}

}  // namespace

VersionPolicy::VersionPolicy(std::chrono::milliseconds session_retention)
    : session_retention_(session_retention) {}

VersionRule VersionPolicy::RuleFor(const RolloutOrder* order,
                                   const RolloutProgress* progress,
                                   const std::string& session,
                                   TimePoint now,
                                   bool has_session) const {
  using Kind = VersionRule::Kind;
  if (order == nullptr) {
    return {};
  }
  bool has_progress =
      progress != nullptr && progress->order_version == order->order_version;
  if (has_progress && progress->state == RolloutPhase::kCompleted) {
    return {Kind::kOnly, order->to};
  }
  if (!has_progress || progress->state == RolloutPhase::kReverted ||
      IsStopped(*order)) {
    return {Kind::kAllExcept, order->to};
  }
  bool candidate = GoesToCandidate(session, progress->exposure_permille);
  if (candidate && (IsKept(*order, *progress, session, now) ||
                    kept_by_peers_.count(HashSession(session)) > 0)) {
    candidate = false;
  }
  bool in_load_test = progress->load_test.has_value() &&
                      InLoadTest(order->service, now) &&
                      progress->state == RolloutPhase::kInProgress;
  if (in_load_test && !has_session &&
      GoesToCandidate(session, progress->load_test->permille)) {
    candidate = true;
  }
  if (!candidate) {
    return {Kind::kAllExcept, order->to};
  }
  return {Kind::kOnly, order->to, progress->exposure_permille,
          in_load_test ? progress->load_test->endpoints : 0};
}

void VersionPolicy::SetLoadTest(const ServiceId& service,
                                std::optional<LoadTestWindow> window) {
  if (window.has_value()) {
    load_tests_[service] = *window;
  } else {
    load_tests_.erase(service);
  }
}

bool VersionPolicy::InLoadTest(const ServiceId& service, TimePoint now) const {
  auto found = load_tests_.find(service);
  return found != load_tests_.end() && found->second.Contains(now);
}

// Sessions that were active before the order keep their version until the
// candidate's share is raised above the first one.
bool VersionPolicy::IsKept(const RolloutOrder& order,
                           const RolloutProgress& progress,
                           const std::string& session,
                           TimePoint now) const {
  auto known = sessions_.find(session);
  return known != sessions_.end() &&
         known->second.IsActive(session_retention_, now) &&
         known->second.version != order.to && progress.in_first_share();
}

std::vector<std::uint32_t> VersionPolicy::KeptSessions(
    const RolloutOrder& order,
    const RolloutProgress& progress,
    TimePoint now) const {
  std::vector<std::uint32_t> kept;
  for (const auto& entry : sessions_) {
    if (GoesToCandidate(entry.first, kFirstSharePermille) &&
        IsKept(order, progress, entry.first, now)) {
      kept.push_back(HashSession(entry.first));
    }
  }
  return kept;
}

void VersionPolicy::Stop(const ServiceId& service,
                         const StoreVersion& order_version) {
  stopped_[service] = order_version;
}

bool VersionPolicy::IsStopped(const RolloutOrder& order) const {
  auto found = stopped_.find(order.service);
  return found != stopped_.end() && found->second == order.order_version;
}

void VersionPolicy::OnRequestSent(const std::string& session,
                                  const VersionId& version,
                                  TimePoint now) {
  if (!session.empty()) {
    Session& entry = sessions_[session];
    entry.version = version;
    entry.last_used = now;
    ++entry.running;
  }
}

void VersionPolicy::OnRequestEnded(const std::string& session, TimePoint now) {
  auto found = sessions_.find(session);
  if (found != sessions_.end()) {
    found->second.last_used = now;
    found->second.running = std::max(found->second.running - 1, 0);
  }
}

void VersionPolicy::Expire(TimePoint now) {
  for (auto entry = sessions_.begin(); entry != sessions_.end();) {
    entry = entry->second.IsActive(session_retention_, now)
                ? std::next(entry)
                : sessions_.erase(entry);
  }
}

}  // namespace filbertshift
