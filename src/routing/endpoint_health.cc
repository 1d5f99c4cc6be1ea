#include "src/routing/endpoint_health.h"

#include <algorithm>

namespace filbertshift {

EndpointHealth::Change EndpointHealth::OnProbe(const ProbeResult& probe,
                                               TimePoint now) {
  const bool outdated = probe_outdated_;
  probe_outstanding_ = false;
  probe_outdated_ = false;
  Change change;
  if (!probe.reachable) {
    verified_ = false;
    change.suspected = !suspected_;
    suspected_ = true;
    return change;
  }
  const Incarnation unknown;
  if (probe.incarnation != unknown) {
    change.restarted =
        incarnation_ != unknown && probe.incarnation != incarnation_;
    incarnation_ = probe.incarnation;
  }
  if (change.restarted) {
    // The warm-up of a new process starts at uptime 0.
    warm_up_start_ = std::chrono::milliseconds(0);
    warm_up_pending_ = false;
    verified_ = false;
  }
  if (outdated) {
    return change;
  }
  uptime_ = probe.uptime;
  probed_at_ = now;
  // Without a start time a later restart could not be detected.
  verified_ = probe.incarnation != unknown;
  if (warm_up_pending_ && verified_) {
    warm_up_start_ = uptime_;
    warm_up_pending_ = false;
  }
  change.trusted = suspected_;
  suspected_ = false;
  return change;
}

void EndpointHealth::OnConnectionLost() {
  InvalidateProbes();
}

bool EndpointHealth::Suspect() {
  InvalidateProbes();
  const bool changed = !suspected_;
  suspected_ = true;
  return changed;
}

void EndpointHealth::InvalidateProbes() {
  verified_ = false;
  probe_wanted_ = true;
  probe_outdated_ = probe_outstanding_;
}

void EndpointHealth::RestartWarmUp() {
  warm_up_pending_ = true;
  probe_wanted_ = true;
}

bool EndpointHealth::ProbeDue(TimePoint now,
                              std::chrono::milliseconds interval,
                              std::chrono::milliseconds resend_after) const {
  // Only one probe at a time, so that its result cannot be confused with that
  // of an earlier one. Resent after a while, because the adapter may drop the
  // command; it answers every probe that it accepts.
  if (probe_outstanding_) {
    return now - probe_sent_ >= std::max(interval, resend_after);
  }
  return probe_wanted_ || now - probe_sent_ >= interval;
}

void EndpointHealth::OnProbeRequested(TimePoint now) {
  probe_sent_ = now;
  probe_outstanding_ = true;
  probe_outdated_ = false;
  probe_wanted_ = false;
}

bool EndpointHealth::IsVerified(TimePoint now,
                                std::chrono::milliseconds max_probe_age) const {
  return verified_ && now - probed_at_ <= max_probe_age;
}

std::chrono::milliseconds EndpointHealth::Uptime(
    TimePoint now,
    std::chrono::milliseconds max_probe_age) const {
  if (!IsVerified(now, max_probe_age) || warm_up_pending_) {
    return std::chrono::milliseconds(0);
  }
  return std::max(uptime_ - warm_up_start_, std::chrono::milliseconds(0));
}

}  // namespace filbertshift
