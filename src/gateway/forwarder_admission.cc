// Admission control of plain services: requests that wait at this instance or
// are refused because their objective cannot be met.

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <vector>

#include "src/gateway/forwarder.h"

namespace filbertshift {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Interval of offering waiting requests again, and of refreshing the figures.
constexpr milliseconds kReleaseInterval{10};
constexpr milliseconds kRefreshInterval{100};
// Figures are refreshed before a decision if they are older than this.
constexpr milliseconds kMaxStateAge{50};
// Endpoints to which a request is sent before its rejections count for the
// service as a whole.
constexpr int kMaxRejections = 2;

RequestId AdmissionKey(ConnectionId caller) {
  return RequestId(fmt::format("{}", static_cast<std::uint64_t>(caller)));
}

ConnectionId CallerOf(const RequestId& key) {
  return ConnectionId{std::stoull(key.value())};
}

std::uint64_t HashText(const std::string& text) {
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace

AdmissionRequest Forwarder::DescribeForAdmission(
    const Exchange& exchange) const {
  AdmissionRequest request;
  request.key = AdmissionKey(exchange.caller);
  request.hash = HashText(exchange.metadata.request_id);
  request.account = exchange.account;
  request.priority = exchange.route->priority;
  request.arrived_at = exchange.arrived_at;
  request.objective = exchange.route->objective;
  request.deadline = exchange.deadline;
  return request;
}

bool Forwarder::PassAdmission(Exchange* exchange) {
  AdmissionGate* gate = exchange->may_send ? nullptr : GateOf(*exchange);
  if (gate == nullptr) {
    return true;
  }
  TimePoint now = transport_->Now();
  if (now - gate->refreshed_at > kMaxStateAge) {
    RefreshGate(exchange->service, gate);
  }
  return ApplyAdmission(
      exchange, gate->admission.Decide(DescribeForAdmission(*exchange), now));
}

bool Forwarder::ApplyAdmission(Exchange* exchange,
                               const AdmissionDecision& decision) {
  TimePoint now = transport_->Now();
  switch (decision.verdict) {
    case AdmissionVerdict::kSend:
      if (exchange->admission_wait_since.has_value()) {
        metrics_->ObserveAdmissionWait(
            exchange->route->name,
            duration_cast<microseconds>(now - *exchange->admission_wait_since));
        exchange->admission_wait_since.reset();
      }
      exchange->may_send = true;
      return true;
    case AdmissionVerdict::kWait:
      exchange->may_send = false;
      // What it holds may be blocked until it is sent.
      exchange->admitted = false;
      exchange->admission_wait_since = now;
      ScheduleAdmission(kReleaseInterval);
      return false;
    case AdmissionVerdict::kRefuse:
      RefuseByAdmission(exchange, decision);
      return false;
  }
  return true;
}

void Forwarder::RefuseByAdmission(Exchange* exchange,
                                  const AdmissionDecision& decision) {
  TimePoint now = transport_->Now();
  AdmissionGate& gate = gates_.at(exchange->service);
  const ServiceState& state = gate.admission.state();
  auto waited = exchange->admission_wait_since.has_value()
                    ? now - *exchange->admission_wait_since
                    : TimePoint::duration(0);
  metrics_->ObserveAdmissionWait(exchange->route->name,
                                 duration_cast<microseconds>(waited));
  std::string_view reason = AdmissionReasonName(decision.reason);
  metrics_->CountAdmissionRefusal(exchange->route->name, reason);
  gate.refused.Add(exchange->account);
  gate.uncounted.Add(exchange->account);
  log_->Write(
      EventId::kAdmissionRefused,
      {RequestId(exchange->metadata.request_id), {}, {}},
      fmt::format(
          "service={} route={} account={} reason={} admitted={:.2f} "
          "waited_ms={} wait_ms={} response_ms={} waiting={} "
          "rejections={} table_age_ms={} retry_after_ms={}",
          exchange->service.value(), exchange->route->name,
          exchange->account.value(), reason, gate.admission.admitted_fraction(),
          duration_cast<milliseconds>(waited).count(), decision.wait.count(),
          decision.response.count(), gate.admission.waiting(),
          exchange->rejections, state.current ? state.age->count() : -1,
          decision.retry_after.count()));
  exchange->retry_after = decision.retry_after;
  GiveUp(exchange, 503, "no_room", reason);
}

std::vector<EndpointId> Forwarder::FullEndpointsFor(
    const Exchange& exchange) const {
  const AdmissionGate* gate = ActiveGateOf(exchange);
  return gate == nullptr ? std::vector<EndpointId>()
                         : gate->admission.full_endpoints().FullEndpoints(
                               transport_->Now());
}

bool Forwarder::HandleRejection(Exchange* exchange,
                                const EndpointId& endpoint) {
  AdmissionGate* gate = GateOf(*exchange);
  if (gate == nullptr) {
    return false;
  }
  TimePoint now = transport_->Now();
  gate->admission.OnRejected(endpoint, now);
  ++exchange->rejections;
  if (!gate->admission.active() || exchange->runs > 0) {
    return false;
  }
  bool goes_on = exchange->rejections < kMaxRejections &&
                 MayRepeat(*exchange) && HasRoomForRepeat(exchange->service);
  if (goes_on) {
    return false;
  }
  ApplyAdmission(exchange, gate->admission.DecideRejected(
                               DescribeForAdmission(*exchange), now));
  return true;
}

bool Forwarder::WaitForCapacity(Exchange* exchange) {
  AdmissionGate* gate =
      exchange->runs == 0 && !FullEndpointsFor(*exchange).empty()
          ? GateOf(*exchange)
          : nullptr;
  if (gate == nullptr) {
    return false;
  }
  ApplyAdmission(exchange,
                 gate->admission.DecideRejected(DescribeForAdmission(*exchange),
                                                transport_->Now()));
  return true;
}

void Forwarder::ReportAdmissionAnswer(const Exchange& exchange) {
  AdmissionGate* gate =
      exchange.attempt->peer.has_value() ? nullptr : GateOf(exchange);
  if (gate != nullptr) {
    gate->admission.OnAnswer(exchange.attempt->endpoint,
                             exchange.attempt->started_at, transport_->Now());
  }
}

std::size_t Forwarder::waiting_for_admission() const {
  std::size_t waiting = 0;
  for (const auto& entry : gates_) {
    waiting += entry.second.admission.waiting();
  }
  return waiting;
}

void Forwarder::LeaveAdmission(Exchange* exchange) {
  if (exchange->admission_wait_since.has_value()) {
    gates_.at(exchange->service)
        .admission.Remove(AdmissionKey(exchange->caller));
    exchange->admission_wait_since.reset();
  }
}

void Forwarder::ScheduleAdmission(milliseconds delay) {
  TimePoint at = transport_->Now() + delay;
  if (admission_timer_.has_value()) {
    if (next_admission_step_ <= at) {
      return;
    }
    transport_->Cancel(*admission_timer_);
  }
  next_admission_step_ = at;
  admission_timer_ = transport_->After(delay, [this] { StepAdmission(); });
}

void Forwarder::StepAdmission() {
  admission_timer_.reset();
  EndWaitingBeforeStop();
  // Requests that are sent or refused may add services.
  std::vector<ServiceId> services;
  for (const auto& entry : gates_) {
    services.push_back(entry.first);
  }
  bool is_waiting = false;
  for (const ServiceId& service : services) {
    AdmissionGate& gate = gates_.at(service);
    if (transport_->Now() - gate.refreshed_at >= kMaxStateAge) {
      RefreshGate(service, &gate);
      CountRefusedAccounts(&gate);
    }
    ReleaseWaiting(service, &gate);
    is_waiting = is_waiting || gate.admission.waiting() > 0;
  }
  ScheduleAdmission(is_waiting ? kReleaseInterval : kRefreshInterval);
}

void Forwarder::ReleaseWaiting(const ServiceId& service, AdmissionGate* gate) {
  for (const AdmissionRelease& release :
       gate->admission.Release(transport_->Now())) {
    Exchange* exchange = Find(CallerOf(release.key));
    if (exchange == nullptr || !exchange->admission_wait_since.has_value() ||
        exchange->service != service) {
      continue;
    }
    // A request that endpoints have rejected before takes part of the repeats.
    bool may_go = exchange->sends == 0 ||
                  (MayRepeat(*exchange) && HasRoomForRepeat(service));
    if (release.decision.verdict == AdmissionVerdict::kSend && !may_go) {
      AdmissionDecision refusal = release.decision;
      refusal.reason = AdmissionReason::kEndpointsFull;
      refusal.retry_after = gate->admission.RetryAfter(
          DescribeForAdmission(*exchange), transport_->Now());
      RefuseByAdmission(exchange, refusal);
    } else if (ApplyAdmission(exchange, release.decision)) {
      if (exchange->sends > 0) {
        metrics_->CountRepeat("rejected");
      }
      Dispatch(exchange->caller);
    }
  }
}

void Forwarder::EndWaitingBeforeStop() {
  if (!stop_at_.has_value() && !refusing_) {
    return;
  }
  std::vector<ConnectionId> callers;
  for (const auto& entry : exchanges_) {
    if (entry.second.admission_wait_since.has_value() &&
        (refusing_ || !FitsBeforeStop(entry.second))) {
      callers.push_back(entry.second.caller);
    }
  }
  for (ConnectionId caller : callers) {
    Exchange* exchange = Find(caller);
    if (exchange != nullptr) {
      GiveUp(exchange, 502, "shutting_down", "shutting_down");
    }
  }
}

}  // namespace filbertshift
