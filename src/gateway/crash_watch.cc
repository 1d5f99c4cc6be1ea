#include "src/gateway/crash_watch.h"

#include <fmt/format.h>

#include <set>
#include <string>
#include <utility>

namespace filbertshift {

namespace {

// An endpoint that cannot be reached within this time may be cut off instead.
constexpr std::chrono::milliseconds kProbeTimeout{150};
// How often, and for how long, a refusal waits for word of other endpoints.
constexpr std::chrono::milliseconds kDoubtInterval{10};
constexpr std::chrono::milliseconds kMaxDoubt{500};

std::string DescribeProfiles(const std::vector<CrashProfile>& profiles) {
  std::set<std::string> parts;
  for (const CrashProfile& profile : profiles) {
    for (const CauseId& part : profile.parts) {
      parts.insert(part.value());
    }
  }
  return fmt::format("waiting={} causes={}", profiles.size(),
                     fmt::join(parts, ","));
}

}  // namespace

CrashWatch::CrashWatch(Transport* transport,
                       EventLog* log,
                       PromptQuarantine* quarantine)
    : transport_(transport),
      log_(log),
      quarantine_(quarantine),
      probe_(transport) {}

void CrashWatch::OnBroken(const EndpointId& endpoint,
                          const std::string& address,
                          const CrashProfile& profile,
                          Done done) {
  bool probing = suspects_.count(endpoint) > 0;
  Suspect& suspect = suspects_[endpoint];
  suspect.profiles.push_back(profile);
  suspect.done.push_back(std::move(done));
  if (!probing) {
    probe_.Probe(address, kProbeTimeout,
                 [this, endpoint](EndpointProbe::Result result) {
                   OnProbed(endpoint, result);
                 });
  }
}

void CrashWatch::OnProbed(const EndpointId& endpoint,
                          EndpointProbe::Result result) {
  if (result != EndpointProbe::Result::kRefused) {
    Conclude(endpoint, false);
    return;
  }
  suspects_[endpoint].refused_at = transport_->Now();
  if (on_refused_) {
    on_refused_(endpoint);
  }
  Judge(endpoint);
}

void CrashWatch::Judge(const EndpointId& endpoint) {
  Contact contact = contact_ ? contact_() : Contact::kGood;
  TimePoint now = transport_->Now();
  bool may_wait = now - *suspects_[endpoint].refused_at < kMaxDoubt;
  if (contact == Contact::kInDoubt && may_wait) {
    transport_->After(kDoubtInterval, [this, endpoint] { Judge(endpoint); });
    return;
  }
  Conclude(endpoint, contact != Contact::kLost);
}

void CrashWatch::Conclude(const EndpointId& endpoint, bool crashed) {
  Suspect suspect = std::move(suspects_[endpoint]);
  suspects_.erase(endpoint);
  if (crashed) {
    log_->Write(EventId::kEndpointCrashed, {RequestId(), AttemptId(), endpoint},
                DescribeProfiles(suspect.profiles));
    quarantine_->OnCrash(endpoint, suspect.profiles, transport_->Now());
    quarantine_->Evaluate(transport_->Now());
  }
  for (const Done& done : suspect.done) {
    done(crashed);
  }
}

}  // namespace filbertshift
