#include "src/dispatch/endpoint_reachability.h"

#include <iterator>

namespace filbertshift {

namespace {

// A host may lose power after a probe was accepted.
constexpr std::chrono::milliseconds kProbeInterval{1000};
constexpr std::chrono::milliseconds kMaxAge{60000};

}  // namespace

std::string_view ReachabilityName(Reachability value) {
  switch (value) {
    case Reachability::kUnknown:
      return "unknown";
    case Reachability::kReachable:
      return "reachable";
    case Reachability::kGone:
      return "gone";
  }
  return "unknown";
}

bool EndpointReachability::IsProbeDue(const EndpointId& endpoint,
                                      TimePoint silent_since,
                                      TimePoint now) const {
  auto found = probes_.find(endpoint);
  if (found == probes_.end()) {
    return true;
  }
  const Probe& probe = found->second;
  return !probe.running && (probe.started_at < silent_since ||
                            now - probe.started_at >= kProbeInterval);
}

void EndpointReachability::OnProbeStarted(const EndpointId& endpoint,
                                          TimePoint now) {
  for (auto entry = probes_.begin(); entry != probes_.end();) {
    bool old =
        !entry->second.running && now - entry->second.started_at > kMaxAge;
    entry = old ? probes_.erase(entry) : std::next(entry);
  }
  Probe& probe = probes_[endpoint];
  probe.running = true;
  probe.started_at = now;
}

void EndpointReachability::OnProbeEnded(const EndpointId& endpoint,
                                        Reachability result) {
  auto found = probes_.find(endpoint);
  if (found == probes_.end()) {
    return;
  }
  Probe& probe = found->second;
  probe.running = false;
  if (result == Reachability::kUnknown) {
    probe.started_at = TimePoint();
    return;
  }
  probe.result = result;
  probe.result_started_at = probe.started_at;
}

Reachability EndpointReachability::Of(const EndpointId& endpoint,
                                      TimePoint silent_since) const {
  auto found = probes_.find(endpoint);
  return found == probes_.end() ||
                 found->second.result_started_at < silent_since
             ? Reachability::kUnknown
             : found->second.result;
}

}  // namespace filbertshift
