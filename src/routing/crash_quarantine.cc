#include "src/routing/crash_quarantine.h"

namespace filbertshift {

namespace {

// After its first crash a request runs without other suspects on the endpoint,
// so a second crash identifies it as the cause.
constexpr std::size_t kCrashesToBlock = 2;

}  // namespace

CrashQuarantine::CrashQuarantine(std::chrono::milliseconds retention)
    : retention_(retention) {}

CrashVerdict CrashQuarantine::Check(Fingerprint fingerprint,
                                    TimePoint now) const {
  const auto found = suspects_.find(fingerprint);
  if (found == suspects_.end() || found->second.expires <= now) {
    return CrashVerdict::kClear;
  }
  return found->second.endpoints.size() >= kCrashesToBlock
             ? CrashVerdict::kBlocked
             : CrashVerdict::kSuspect;
}

void CrashQuarantine::OnIsolatedRun(Fingerprint fingerprint,
                                    const EndpointId& endpoint) {
  if (suspects_.count(fingerprint) > 0) {
    isolated_runs_[fingerprint] = endpoint;
  }
}

std::vector<SuspectState> CrashQuarantine::OnCrash(
    const EndpointId& endpoint,
    const std::vector<Fingerprint>& in_flight,
    TimePoint now) {
  std::vector<SuspectState> changed;
  const std::set<Fingerprint> distinct(in_flight.begin(), in_flight.end());
  for (Fingerprint fingerprint : distinct) {
    if (AddCrash(endpoint, fingerprint, now)) {
      changed.push_back(suspects_[fingerprint]);
    }
  }
  return changed;
}

bool CrashQuarantine::AddCrash(const EndpointId& endpoint,
                               Fingerprint fingerprint,
                               TimePoint now) {
  SuspectState& state = FindOrCreateState(fingerprint, now);
  const auto run = isolated_runs_.find(fingerprint);
  const bool isolated = run != isolated_runs_.end() && run->second == endpoint;
  if (!isolated && state.endpoints.count(endpoint) > 0) {
    return false;
  }
  if (isolated) {
    isolated_runs_.erase(run);
  }
  state.endpoints.insert(endpoint);
  state.expires = now + retention_;
  return true;
}

bool CrashQuarantine::Merge(Fingerprint fingerprint,
                            const std::vector<EndpointId>& endpoints,
                            TimePoint now) {
  if (endpoints.empty()) {
    return false;
  }
  SuspectState& state = FindOrCreateState(fingerprint, now);
  const std::multiset<EndpointId> remote_endpoints(endpoints.begin(),
                                                   endpoints.end());
  bool changed = false;
  for (const EndpointId& endpoint : remote_endpoints) {
    if (state.endpoints.count(endpoint) < remote_endpoints.count(endpoint)) {
      state.endpoints.insert(endpoint);
      changed = true;
    }
  }
  if (changed) {
    state.expires = now + retention_;
  }
  return changed;
}

bool CrashQuarantine::Clear(Fingerprint fingerprint) {
  const auto found = suspects_.find(fingerprint);
  if (found == suspects_.end() ||
      found->second.endpoints.size() >= kCrashesToBlock) {
    return false;
  }
  suspects_.erase(found);
  isolated_runs_.erase(fingerprint);
  return true;
}

void CrashQuarantine::Expire(TimePoint now) {
  for (auto entry = suspects_.begin(); entry != suspects_.end();) {
    if (entry->second.expires > now) {
      ++entry;
      continue;
    }
    isolated_runs_.erase(entry->first);
    entry = suspects_.erase(entry);
  }
}

std::vector<SuspectState> CrashQuarantine::All() const {
  std::vector<SuspectState> all;
  for (const auto& [fingerprint, state] : suspects_) {
    all.push_back(state);
  }
  return all;
}

std::optional<SuspectState> CrashQuarantine::Find(
    Fingerprint fingerprint) const {
  const auto found = suspects_.find(fingerprint);
  if (found == suspects_.end()) {
    return std::nullopt;
  }
  return found->second;
}

SuspectState& CrashQuarantine::FindOrCreateState(Fingerprint fingerprint,
                                                 TimePoint now) {
  SuspectState& state = suspects_[fingerprint];
  if (!state.endpoints.empty() && state.expires <= now) {
    state.endpoints.clear();
  }
  state.fingerprint = fingerprint;
  return state;
}

}  // namespace filbertshift
