// Requests that crash endpoints: what a request has in common with others, its
// admission, and repeats after a crash.

#include <fmt/format.h>
#include <xxhash.h>

#include <utility>

#include "src/gateway/forwarder.h"

namespace filbertshift {

namespace {

// A request is not repeated after this many crashes of its endpoints, unless
// other requests with the same prompt parts are answered.
constexpr int kMaxCrashes = 2;

}  // namespace

CrashProfile Forwarder::CrashProfileOf(const Exchange& exchange) const {
  std::uint64_t hash = 0;
  for (const std::string* field :
       {&exchange.account.value(), &exchange.head.method, &exchange.head.target,
        exchange.body.get()}) {
    hash = XXH64(field->data(), field->size(), hash);
  }
  std::vector<std::string> shared;
  const std::vector<PromptPart>& parts = exchange.metadata.prompt_parts;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    shared.push_back(parts[i].id);
  }
  return MakeCrashProfile(exchange.service, Fingerprint{hash}, shared);
}

bool Forwarder::AdmitExchange(Exchange* exchange) {
  if (exchange->admitted) {
    return true;
  }
  PromptQuarantine::Admission admission =
      quarantine_.Admit(exchange->crash_profile, transport_->Now());
  if (admission.allowed) {
    exchange->admitted = true;
    return true;
  }
  exchange->retry_after = admission.retry_after;
  exchange->failure_detail = "blocked " + admission.cause.value();
  GiveUp(exchange, 502, "quarantined", "quarantined");
  return false;
}

void Forwarder::ReportAnswered(Exchange* exchange) {
  if (!exchange->attempt->peer.has_value() &&
      !exchange->attempt->answer_reported) {
    exchange->attempt->answer_reported = true;
    quarantine_.OnAnswered(exchange->crash_profile, transport_->Now());
  }
}

bool Forwarder::MayCrashEndpoints(const Exchange& exchange) const {
  return exchange.crashes >= kMaxCrashes &&
         !quarantine_.IsCleared(exchange.crash_profile, transport_->Now());
}

void Forwarder::OnEarlyBreak(Exchange* exchange, std::string_view reason) {
  log_->Write(EventId::kAttemptMoved,
              {RequestId(exchange->metadata.request_id),
               {},
               exchange->attempt->endpoint},
              fmt::format("reason={} last_event={}", reason,
                          exchange->last_event_id.value_or("-")));
  exchange->failure_detail = std::string(reason);
  exchange->admitted = false;
  // After a second break it matters whether the endpoint has crashed; the
  // repeat waits until that is known.
  bool wait = ++exchange->early_breaks >= kMaxCrashes;
  EndpointId endpoint = exchange->attempt->endpoint;
  std::string address = exchange->attempt->address;
  // One that leaves may stop at any time.
  const RoutedEndpoint* record = pool_.Find(endpoint);
  bool may_crash = record != nullptr &&
                   record->state == EndpointState::kReady &&
                   !pool_.notices().IsLeaving(endpoint);
  EndAttempt(exchange, AttemptResult::kBroken);
  if (!may_crash) {
    Repeat(exchange, reason);
    return;
  }
  ++exchange->pending_probes;
  crash_watch_.OnBroken(
      endpoint, address, exchange->crash_profile,
      [this, caller = exchange->caller, id = exchange->metadata.request_id](
          bool crashed) { OnBreakExplained(caller, id, crashed); });
  exchange->awaits_probes = wait;
  if (!wait) {
    Repeat(exchange, reason);
  }
}

void Forwarder::OnBreakExplained(ConnectionId caller,
                                 const std::string& request_id,
                                 bool crashed) {
  Exchange* exchange = Find(caller);
  if (exchange == nullptr || exchange->metadata.request_id != request_id) {
    return;
  }
  exchange->crashes += crashed ? 1 : 0;
  --exchange->pending_probes;
  if (!exchange->awaits_probes || exchange->pending_probes > 0) {
    return;
  }
  exchange->awaits_probes = false;
  if (MayCrashEndpoints(*exchange)) {
    GiveUp(exchange, 502, "crashes_endpoints", "crashes_endpoints");
  } else {
    Repeat(exchange, exchange->failure_detail);
  }
}

}  // namespace filbertshift
