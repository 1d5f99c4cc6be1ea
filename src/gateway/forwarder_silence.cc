// Attempts whose endpoints send nothing: detection and move to another
// endpoint.

#include <fmt/format.h>

#include <unordered_map>
#include <vector>

#include "src/gateway/forwarder.h"

namespace filbertshift {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// A probe without a reply counts only if the instance observed this part of its
// time.
constexpr int kObservedProbePercent = 80;

std::int64_t Milliseconds(std::chrono::nanoseconds time) {
  return duration_cast<milliseconds>(time).count();
}

std::string_view ResultName(EndpointProbe::Result result) {
  switch (result) {
    case EndpointProbe::Result::kAccepted:
      return "accepted";
    case EndpointProbe::Result::kRefused:
      return "refused";
    case EndpointProbe::Result::kUnanswered:
      return "unanswered";
  }
  return "unanswered";
}

}  // namespace

void Forwarder::MoveAttempt(Exchange* exchange,
                            std::string_view reason,
                            AttemptResult result,
                            std::string_view evidence) {
  log_->Write(EventId::kAttemptMoved,
              {RequestId(exchange->metadata.request_id),
               {},
               exchange->attempt->endpoint},
              fmt::format("reason={} last_event={}{}", reason,
                          exchange->last_event_id.value_or("-"), evidence));
  exchange->failure_detail = std::string(reason);
  EndAttempt(exchange, result);
  Repeat(exchange, reason);
}

TimePoint Forwarder::SilentSince(const EndpointAttempt& attempt) const {
  EndpointSilence endpoint =
      pool_.SilenceOf(attempt.endpoint, milliseconds(0), observed_);
  return endpoint.known ? endpoint.since : attempt.progress_at;
}

SilenceQuery Forwarder::SilenceOf(const Exchange& exchange) const {
  const EndpointAttempt& attempt = *exchange.attempt;
  SilenceQuery query;
  query.streamed = exchange.route->kind == RouteKind::kStreaming;
  query.head_seen = attempt.head_seen;
  query.objective = exchange.route->objective;
  query.gap_objective = exchange.route->event_gap_objective;
  query.response = observed_.Since(attempt.progress_at);
  EndpointSilence endpoint =
      pool_.SilenceOf(attempt.endpoint, AllowedPause(query), observed_);
  // A leaving endpoint may finish its responses after its record is gone.
  query.endpoint = endpoint.known ? endpoint.endpoint : query.response;
  query.data_centre_stalled = endpoint.data_centre_stalled;
  query.reachability = reachability_.Of(
      attempt.endpoint, endpoint.known ? endpoint.since : attempt.progress_at);
  return query;
}

std::string Forwarder::DescribeSilence(const Exchange& exchange,
                                       const SilenceQuery& query,
                                       SilenceReason reason) {
  const EndpointId& endpoint = exchange.attempt->endpoint;
  return fmt::format(
      " cause={} host={} silent_ms={} endpoint_known={} endpoint_silent_ms={} "
      "data_centre_stalled={} endpoint_requests={} sweep_delay_ms={} "
      "repeats_left={}",
      SilenceReasonName(reason), ReachabilityName(query.reachability),
      Milliseconds(query.response), pool_.Find(endpoint) != nullptr,
      Milliseconds(query.endpoint), query.data_centre_stalled,
      pool_.InFlight(endpoint), Milliseconds(observed_.delay()),
      repeats_.RepeatsLeft(exchange.service, transport_->Now()));
}

void Forwarder::ProbeEndpoint(const EndpointAttempt& attempt) {
  TimePoint now = transport_->Now();
  const EndpointId& endpoint = attempt.endpoint;
  if (!reachability_.IsProbeDue(endpoint, SilentSince(attempt), now)) {
    return;
  }
  reachability_.OnProbeStarted(endpoint, now);
  probe_.Probe(attempt.address, connect_timeout_,
               [this, endpoint, now](EndpointProbe::Result result) {
                 OnProbed(endpoint, now, result);
               });
}

void Forwarder::OnProbed(const EndpointId& endpoint,
                         TimePoint started_at,
                         EndpointProbe::Result result) {
  TimePoint now = transport_->Now();
  Reachability value = result == EndpointProbe::Result::kAccepted
                           ? Reachability::kReachable
                           : Reachability::kGone;
  if (result == EndpointProbe::Result::kUnanswered &&
      observed_.Between(started_at, now) <
          connect_timeout_ * kObservedProbePercent / 100) {
    value = Reachability::kUnknown;
  }
  reachability_.OnProbeEnded(endpoint, value);
  ReportProbe(endpoint, value);
  metrics_->CountProbe(ResultName(result));
  log_->Write(
      EventId::kEndpointProbed, {{}, {}, endpoint},
      fmt::format("result={} host={} ms={}", ResultName(result),
                  ReachabilityName(value), Milliseconds(now - started_at)));
  if (value == Reachability::kGone && !contact_.stranded()) {
    pool_.OnHostGone(endpoint, now);
  }
}

bool Forwarder::HasReplacement(const Exchange& exchange) {
  if (!MayRepeat(exchange)) {
    return false;
  }
  DispatchChoice choice = SelectEndpoint(exchange);
  return choice.endpoint.has_value() && !choice.avoided &&
         *choice.endpoint != exchange.attempt->endpoint;
}

void Forwarder::LeaveSilentEndpoint(ConnectionId caller) {
  Exchange* exchange = Find(caller);
  if (exchange == nullptr || !MayReplaceAttempt(*exchange)) {
    return;
  }
  if (exchange->attempt->peer.has_value()) {
    LeaveSilentPeer(exchange);
    return;
  }
  SilenceQuery query = SilenceOf(*exchange);
  SilenceReason reason = DecideOnSilence(query).leave;
  bool gone = reason == SilenceReason::kGone;
  // Without a replacement, the attempt keeps waiting.
  if (reason == SilenceReason::kNone || !HasRoomForRepeat(exchange->service) ||
      (!gone && !HasReplacement(*exchange))) {
    return;
  }
  if (reason == SilenceReason::kSlow) {
    ProbeEndpoint(*exchange->attempt);
  }
  MoveAttempt(exchange, "silent",
              gone ? AttemptResult::kBroken : AttemptResult::kSilent,
              DescribeSilence(*exchange, query, reason));
}

void Forwarder::UpdateWaits(TimePoint now) {
  struct Sum {
    microseconds waited{0};
    int requests = 0;
  };
  std::unordered_map<ServiceId, Sum> sums;
  for (const auto& entry : exchanges_) {
    const Exchange& exchange = entry.second;
    Sum& sum = sums[exchange.service];
    if (exchange.attempt.has_value() && !exchange.attempt->peer.has_value() &&
        !exchange.attempt->head_seen) {
      sum.waited +=
          duration_cast<microseconds>(now - exchange.attempt->started_at);
      ++sum.requests;
    }
  }
  for (const auto& [service, sum] : sums) {
    waits_.SetPendingMean(service, sum.requests == 0
                                       ? microseconds(0)
                                       : sum.waited / sum.requests);
  }
}

void Forwarder::SweepSilentAttempts() {
  TimePoint now = transport_->Now();
  observed_.OnTick(now);
  UpdateWaits(now);
  StepContact();
  std::vector<ConnectionId> silent_callers;
  for (const auto& entry : exchanges_) {
    const Exchange& exchange = entry.second;
    if (!MayReplaceAttempt(exchange)) {
      continue;
    }
    if (exchange.attempt->peer.has_value()) {
      if (IsPeerSilent(exchange)) {
        silent_callers.push_back(exchange.caller);
      }
      continue;
    }
    SilenceDecision decision = DecideOnSilence(SilenceOf(exchange));
    if (decision.probe) {
      ProbeEndpoint(*exchange.attempt);
    }
    if (decision.leave != SilenceReason::kNone) {
      silent_callers.push_back(exchange.caller);
    }
  }
  for (ConnectionId caller : silent_callers) {
    LeaveSilentEndpoint(caller);
  }
  ReportConnects();
  ScheduleSweep();
}

void Forwarder::ReportConnects() {
  std::optional<ConnectReport> report =
      pool_.TakeConnectReport(transport_->Now());
  if (!report.has_value()) {
    return;
  }
  const ConnectFailures& failures = report->failures;
  auto age = [](std::optional<milliseconds> value) {
    return value.has_value() ? value->count() : -1;
  };
  log_->Write(
      report->failing ? EventId::kConnectsFailing : EventId::kConnectsRestored,
      {},
      fmt::format("failures={} endpoints={} hosts={} services={} "
                  "data_centres={} known={} since_first_ms={} connected_ms={} "
                  "bytes_ms={}",
                  failures.failures, failures.endpoints, failures.hosts,
                  failures.services, failures.data_centres,
                  view_.endpoints().size(), failures.since_first.count(),
                  age(failures.latest_success), age(failures.latest_bytes)));
}

void Forwarder::ScheduleSweep() {
  transport_->After(kSweepInterval, [this] { SweepSilentAttempts(); });
}

}  // namespace filbertshift
