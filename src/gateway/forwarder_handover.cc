// Loss of contact with all endpoints, requests that are handed over to another
// instance meanwhile, and those that other instances hand over to this one. An
// attempt at a peer is an attempt like those at endpoints, except that nothing
// is learned from it about endpoints, versions and prompts.

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

#include "src/gateway/forwarder.h"

namespace filbertshift {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds kContactProbeTimeout{250};
// A probe without a reply counts only if the instance observed this part of its
// time.
constexpr int kObservedProbePercent = 80;
// Attempts at endpoints that have been silent for longer are given up when
// contact is lost.
constexpr milliseconds kMaxSilenceStranded{300};
// Maximum idle time of a reused connection to a peer.
constexpr milliseconds kMaxIdleToPeer{5000};
// With fewer hosts, endpoints that all fail have rather crashed.
constexpr std::size_t kMinHostsToExcuse = 3;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

std::string HostOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

// Whether a response without a seal or a marker can only come from a peer that
// has not read the request, or does not know what it is.
bool IsUnreadByPeer(int status) {
  return status / 100 == 4 || status == kUnavailable;
}

std::string_view HandoverRunName(HandoverRun run) {
  switch (run) {
    case HandoverRun::kTryAnother:
      return "try_another";
    case HandoverRun::kNotRun:
      return "not_run";
    case HandoverRun::kMayHaveRun:
      return "may_have_run";
  }
  return "may_have_run";
}

HttpResponseHead WithoutHandoverFields(HttpResponseHead head) {
  RemoveConnectionFields(&head.headers);
  head.headers.Remove(kHandoverRunField);
  head.headers.Remove(kHandoverRequestField);
  return head;
}

}  // namespace

std::vector<ContactTarget> Forwarder::ContactTargets() const {
  std::vector<ContactTarget> targets;
  for (const auto& [endpoint, record] : view_.endpoints()) {
    if (record.state == EndpointState::kReady &&
        !view_.IsEvacuated(record.data_centre) &&
        !pool_.notices().IsLeaving(endpoint)) {
      targets.push_back({endpoint, HostOf(record.address), record.service,
                         record.data_centre});
    }
  }
  return targets;
}

std::optional<TimePoint> Forwarder::WaitingSince() const {
  std::optional<TimePoint> since;
  for (const auto& entry : exchanges_) {
    const std::optional<EndpointAttempt>& attempt = entry.second.attempt;
    if (attempt.has_value() && !attempt->peer.has_value() &&
        (!since.has_value() || attempt->started_at < *since)) {
      since = attempt->started_at;
    }
  }
  return since;
}

CrashWatch::Contact Forwarder::ContactForCrashes() const {
  if (contact_.stranded()) {
    // The crash of an only endpoint is a loss of all contact as well.
    std::set<std::string> hosts;
    for (const auto& entry : view_.endpoints()) {
      hosts.insert(HostOf(entry.second.address));
    }
    return hosts.size() < kMinHostsToExcuse ? CrashWatch::Contact::kGood
                                            : CrashWatch::Contact::kLost;
  }
  return contact_.IsInDoubt(transport_->Now()) ? CrashWatch::Contact::kInDoubt
                                               : CrashWatch::Contact::kGood;
}

void Forwarder::ProbeContact() {
  TimePoint now = transport_->Now();
  std::optional<TimePoint> waiting_since = WaitingSince();
  if (!contact_.NeedsProbes(waiting_since, now)) {
    return;
  }
  contact_.SetTargets(ContactTargets());
  for (const EndpointId& endpoint :
       contact_.TakeDueProbes(waiting_since, now)) {
    const RoutedEndpoint* record = pool_.Find(endpoint);
    if (record == nullptr) {
      contact_.OnProbeAbandoned(endpoint);
      continue;
    }
    probe_.Probe(record->address,
                 std::min(connect_timeout_, kContactProbeTimeout),
                 [this, endpoint, now](EndpointProbe::Result result) {
                   OnContactProbed(endpoint, now, result);
                 });
  }
}

void Forwarder::OnContactProbed(const EndpointId& endpoint,
                                TimePoint started_at,
                                EndpointProbe::Result result) {
  TimePoint now = transport_->Now();
  bool observed = observed_.Between(started_at, now) >=
                  std::min(connect_timeout_, kContactProbeTimeout) *
                      kObservedProbePercent / 100;
  metrics_->CountProbe("contact");
  if (result == EndpointProbe::Result::kAccepted) {
    ReportProbe(endpoint, Reachability::kReachable);
  } else if (result == EndpointProbe::Result::kRefused || observed) {
    ReportProbe(endpoint, Reachability::kGone);
  } else {
    contact_.OnProbeAbandoned(endpoint);
  }
}

void Forwarder::ReportProbe(const EndpointId& endpoint, Reachability value) {
  TimePoint now = transport_->Now();
  if (value == Reachability::kReachable) {
    pool_.OnConnectSucceeded(now);
    contact_.OnConnected(endpoint, now);
  } else if (value == Reachability::kGone) {
    pool_.OnConnectFailed(endpoint, now);
    contact_.OnConnectFailed(endpoint, now);
  }
}

void Forwarder::StepContact() {
  ProbeContact();
  if (contact_.stranded() == acts_stranded_) {
    return;
  }
  TimePoint now = transport_->Now();
  acts_stranded_ = contact_.stranded();
  metrics_->SetStranded(acts_stranded_);
  if (acts_stranded_) {
    stranded_since_ = now;
    log_->Write(
        EventId::kEndpointContactLost,
        fmt::format("{} instances={}", contact_.Describe(), peers_.size()));
    if (peers_.size() > 0) {
      MoveStrandedRequests();
    }
  } else {
    log_->Write(
        EventId::kEndpointContactRegained,
        fmt::format(
            "ms={}",
            duration_cast<milliseconds>(now - stranded_since_).count()));
  }
}

void Forwarder::MoveStrandedRequests() {
  TimePoint now = transport_->Now();
  std::vector<ConnectionId> callers;
  for (const auto& entry : exchanges_) {
    callers.push_back(entry.second.caller);
  }
  for (ConnectionId caller : callers) {
    Exchange* exchange = Find(caller);
    if (exchange == nullptr) {
      continue;
    }
    if (exchange->admission_wait_since.has_value()) {
      LeaveAdmission(exchange);
      Dispatch(caller);
      continue;
    }
    if (!exchange->attempt.has_value() || exchange->attempt->peer.has_value()) {
      continue;
    }
    if (!client_.IsSent(exchange->attempt->call)) {
      exchange->failure_detail = "stranded";
      EndAttempt(exchange, AttemptResult::kCancelled);
      Dispatch(caller);
    } else if (MayReplaceAttempt(*exchange) &&
               HasRoomForRepeat(exchange->service) &&
               now - SilentSince(*exchange->attempt) >= kMaxSilenceStranded) {
      MoveAttempt(exchange, "stranded", AttemptResult::kCancelled);
    }
  }
}

bool Forwarder::MoveToPeer(Exchange* exchange) {
  if (exchange->handed_over) {
    GiveUp(exchange, kUnavailable, "stranded", "stranded");
    return true;
  }
  if (peers_.size() == 0) {
    return false;
  }
  exchange->waiting_since.reset();
  if (exchange->sends > 0 && !HasRoomForRepeat(exchange->service)) {
    GiveUp(exchange, 502, "stranded", "budget");
    return true;
  }
  std::optional<HandoverPeer> peer = peers_.Choose(
      exchange->request_hash, exchange->tried_peers, transport_->Now());
  if (peer.has_value()) {
    StartHandover(exchange, *peer);
    return true;
  }
  if (exchange->failure_detail.empty()) {
    exchange->failure_detail = "no instance takes the request";
  }
  metrics_->CountHandover("sent", "no_peer");
  GiveUp(exchange, kUnavailable, "stranded", "no_peer");
  return true;
}

HandoverRequest Forwarder::DescribeForPeer(const Exchange& exchange,
                                           int granted_runs) const {
  HandoverRequest request;
  request.method = exchange.head.method;
  request.target = exchange.head.target;
  for (const HeaderField& field : exchange.head.headers.fields()) {
    request.headers.emplace_back(field.name, field.value);
  }
  request.time_left = std::max(
      duration_cast<milliseconds>(exchange.deadline - transport_->Now()),
      milliseconds(1));
  request.sends = exchange.sends;
  request.runs = exchange.runs;
  request.max_runs = exchange.runs + granted_runs;
  request.configuration = exchange.configuration->version;
  request.last_event_id = exchange.last_event_id;
  request.body = *exchange.body;
  return request;
}

void Forwarder::StartHandover(Exchange* exchange, const HandoverPeer& peer) {
  if (exchange->runs > 0 && !exchange->route->repeatable()) {
    log_->Write(EventId::kInvariantViolated,
                {RequestId(exchange->metadata.request_id), {}, {}},
                "attempted to hand over a request that must run at most once");
    metrics_->CountInvariantViolation("at_most_once");
    GiveUp(exchange, 502, "invariant", "invariant");
    return;
  }
  TimePoint now = transport_->Now();
  EndpointAttempt attempt;
  attempt.peer = peer;
  attempt.address = peer.address;
  attempt.model = exchange->model;
  attempt.started_at = now;
  attempt.progress_at = now;
  // One run is left for another instance if this one is lost.
  attempt.granted_runs =
      exchange->route->repeatable()
          ? std::max(exchange->max_runs - exchange->runs - 1, 1)
          : 1;
  exchange->tried_peers.push_back(peer.instance);
  HandoverRequest request = DescribeForPeer(*exchange, attempt.granted_runs);
  log_->Write(
      EventId::kRequestHandedOver,
      {RequestId(exchange->metadata.request_id), {}, {}},
      fmt::format("peer={} peer_data_centre={} sends={} runs={} granted={} "
                  "left_ms={} last_event={}",
                  peer.instance.value(), peer.data_centre.value(),
                  exchange->sends, exchange->runs, attempt.granted_runs,
                  request.time_left.count(),
                  exchange->last_event_id.value_or("-")));
  auto body = std::make_shared<const std::string>(EncodeHandover(request));
  HttpRequestHead head;
  head.method = "POST";
  head.target = std::string(kHandoverPath);
  head.headers.Add("Host", peer.address);
  head.headers.Add("Content-Length", fmt::format("{}", body->size()));
  // What may run once is not sent on a connection that the peer may be closing.
  milliseconds max_idle =
      exchange->route->repeatable() ? kMaxIdleToPeer : milliseconds(0);
  attempt.call =
      client_.Start({peer.address, SerializeRequestHead(head), std::move(body),
                     max_idle, exchange->metadata.request_id},
                    this);
  attempt.connection = client_.ConnectionOf(attempt.call);
  callers_by_call_[static_cast<std::uint64_t>(attempt.call)] = exchange->caller;
  exchange->attempt = std::move(attempt);
  if (exchange->sends > 0) {
    repeats_.OnRepeat(exchange->service, now);
    exchange->attempt->is_repeat = true;
  }
  ++exchange->sends;
}

void Forwarder::EndHandover(Exchange* exchange, AttemptResult result) {
  EndpointAttempt& attempt = *exchange->attempt;
  ExecutionState execution = ExecutionOf(attempt);
  bool may_have_run = execution == ExecutionState::kMayHaveRun;
  exchange->sends -= may_have_run ? 0 : 1;
  exchange->runs += may_have_run ? attempt.granted_runs : 0;
  if (attempt.is_repeat && !may_have_run) {
    repeats_.OnRepeatNotSent(exchange->service, attempt.started_at);
  }
  if (result == AttemptResult::kAnswered) {
    peers_.OnAnswered(attempt.peer->instance);
  }
  client_.Cancel(attempt.call);
  callers_by_call_.erase(static_cast<std::uint64_t>(attempt.call));
  metrics_->CountHandover("sent", AttemptResultName(result));
  log_->Write(
      EventId::kHandoverEnded,
      {RequestId(exchange->metadata.request_id), {}, {}},
      fmt::format(
          "peer={} result={} execution={} ms={} blocks={} status={} "
          "requests={} sends={} runs={} trouble={}",
          attempt.peer->instance.value(), AttemptResultName(result),
          ExecutionStateName(execution),
          duration_cast<milliseconds>(transport_->Now() - attempt.started_at)
              .count(),
          attempt.event_blocks, attempt.head.status,
          attempt.connection.requests, exchange->sends, exchange->runs,
          exchange->failure_detail.empty() ? "-" : exchange->failure_detail));
  exchange->attempt.reset();
  buffers_.Set(static_cast<std::uint64_t>(exchange->caller),
               exchange->failure_body.size(), true);
}

HeadDecision Forwarder::OnPeerHead(CallId call,
                                   Exchange* exchange,
                                   const HttpResponseHead& head,
                                   const ResponseMetadata& metadata) {
  EndpointAttempt& attempt = *exchange->attempt;
  const std::string* request = head.headers.Find(kHandoverRequestField);
  if (request != nullptr && *request != exchange->metadata.request_id) {
    return HeadDecision::kSkip;
  }
  attempt.head_seen = true;
  attempt.head = head;
  attempt.response_metadata = metadata;
  attempt.names_request = request != nullptr || !metadata.request_id.empty();
  attempt.own_response =
      attempt.names_request || client_.HasOwnConnection(call);
  attempt.progress_at = transport_->Now();
  attempt.first_byte_at = attempt.progress_at;
  const std::string* run = head.headers.Find(kHandoverRunField);
  if (run != nullptr) {
    attempt.response_metadata.sealed = false;
    attempt.response_metadata.not_run =
        DecodeHandoverRun(*run) != HandoverRun::kMayHaveRun;
  } else {
    attempt.response_metadata.not_run =
        !metadata.sealed && IsUnreadByPeer(head.status);
  }
  if (!CanContinueStream(*exchange)) {
    MoveAttempt(exchange, "other media type");
    return HeadDecision::kAcceptLast;
  }
  return attempt.names_request ? HeadDecision::kAccept
                               : HeadDecision::kAcceptLast;
}

void Forwarder::CompletePeerFailure(Exchange* exchange, bool genuine) {
  EndpointAttempt& attempt = *exchange->attempt;
  int status = attempt.head.status;
  exchange->failure_detail = fmt::format("peer status {}", status);
  if (genuine) {
    // The peer has repeated the request as far as that is allowed.
    if (!codec_.PromisesNotRun(status)) {
      exchange->failure_head = WithoutHandoverFields(attempt.head);
      exchange->failure_body = std::move(attempt.body);
    }
    EndAttempt(exchange, AttemptResult::kFailed);
    GiveUp(exchange, status, "failed", "failed");
    return;
  }
  const std::string* value = attempt.head.headers.Find(kHandoverRunField);
  HandoverRun run =
      value == nullptr ? HandoverRun::kTryAnother : DecodeHandoverRun(*value);
  if (ExecutionOf(attempt) != ExecutionState::kRefused) {
    EndAttempt(exchange, AttemptResult::kFailed);
    Repeat(exchange, "handover_failed");
    return;
  }
  exchange->failure_detail +=
      fmt::format(" {}", value == nullptr ? HandoverRunName(run) : *value);
  if (run == HandoverRun::kNotRun) {
    RelayPeerRefusal(exchange);
    return;
  }
  bool unable = value == nullptr && status == kNotFound;
  peers_.OnTrouble(attempt.peer->instance,
                   unable ? PeerTrouble::kUnable : PeerTrouble::kRefused,
                   transport_->Now());
  EndAttempt(exchange, AttemptResult::kRefused);
  Dispatch(exchange->caller);
}

void Forwarder::RelayPeerRefusal(Exchange* exchange) {
  EndpointAttempt& attempt = *exchange->attempt;
  HttpResponseHead head = WithoutHandoverFields(attempt.head);
  std::string body = std::move(attempt.body);
  EndAttempt(exchange, AttemptResult::kRefused);
  exchange->end_cause = "peer_refused";
  if (exchange->runs > 0 || exchange->response_started) {
    GiveUp(exchange, 502, "peer_refused", "peer_refused");
    return;
  }
  Reply(exchange, std::move(head), std::move(body), "peer_refused");
}

void Forwarder::OnPeerFailed(Exchange* exchange,
                             CallFailure failure,
                             std::string_view detail) {
  peers_.OnTrouble(exchange->attempt->peer->instance, PeerTrouble::kUnreachable,
                   transport_->Now());
  if (failure == CallFailure::kNotSent) {
    EndAttempt(exchange, AttemptResult::kUnreachable);
    Dispatch(exchange->caller);
    return;
  }
  EndAttempt(exchange, AttemptResult::kBroken);
  Repeat(exchange, detail);
}

bool Forwarder::IsPeerSilent(const Exchange& exchange) const {
  SilenceQuery query;
  query.streamed = exchange.route->kind == RouteKind::kStreaming;
  query.head_seen = exchange.attempt->head_seen;
  query.objective = exchange.route->objective;
  query.gap_objective = exchange.route->event_gap_objective;
  // The peer itself leaves endpoints that are silent for so long.
  return observed_.Since(exchange.attempt->progress_at) > 2 * LostAfter(query);
}

void Forwarder::LeaveSilentPeer(Exchange* exchange) {
  TimePoint now = transport_->Now();
  if (!IsPeerSilent(*exchange) || !HasRoomForRepeat(exchange->service) ||
      !MayRepeat(*exchange) ||
      !peers_.Choose(exchange->request_hash, exchange->tried_peers, now)
           .has_value()) {
    return;
  }
  peers_.OnTrouble(exchange->attempt->peer->instance, PeerTrouble::kUnreachable,
                   now);
  exchange->failure_detail = "peer silent";
  EndAttempt(exchange, AttemptResult::kSilent);
  Repeat(exchange, "peer_silent");
}

void Forwarder::OnHandover(ConnectionId caller,
                           CallerServer* server,
                           std::string_view message) {
  HandoverRequest request;
  try {
    CallerLimits limits = view_.configuration() == nullptr
                              ? CallerLimits()
                              : view_.configuration()->limits;
    request = DecodeHandover(message, limits.max_head_bytes);
  } catch (const FindingsError& error) {
    log_->Write(EventId::kHandoverRejected, error.what());
    metrics_->CountHandover("received", "malformed");
    HttpResponseHead head{400, std::string(ReasonPhrase(400)), {}};
    head.headers.Add(std::string(kHandoverRunField),
                     EncodeHandoverRun(true, "handover_malformed"));
    server->Respond(caller, std::move(head), std::string());
    return;
  }
  HttpRequestHead head;
  head.method = std::move(request.method);
  head.target = std::move(request.target);
  for (auto& [name, value] : request.headers) {
    head.headers.Add(std::move(name), std::move(value));
  }
  Exchange& exchange =
      AddExchange(caller, server, std::move(head), std::move(request.body));
  exchange.handed_over = true;
  exchange.sends = request.sends;
  exchange.runs = request.runs;
  exchange.sends_before = request.sends;
  exchange.runs_before = request.runs;
  std::vector<Finding> findings;
  exchange.metadata = codec_.DecodeRequest(exchange.head, &findings);
  exchange.metadata.time_left = request.time_left;
  exchange.metadata.last_event_id = request.last_event_id;
  if (!CheckHandover(&exchange, request) || !CheckRoute(&exchange) ||
      !CheckAccount(&exchange) || !CheckMetadata(&exchange, findings)) {
    return;
  }
  PrepareExchange(&exchange);
  exchange.max_runs = std::min(exchange.max_runs, request.max_runs);
  metrics_->CountHandover("received", "taken");
  // The sender has counted the request in the shared repeat budget.
  traffic_.OnArrival(exchange.service, exchange.arrived_at);
  Dispatch(caller);
}

bool Forwarder::CheckHandover(Exchange* exchange,
                              const HandoverRequest& request) {
  std::string_view reason;
  if (contact_.stranded()) {
    reason = "stranded";
  } else if (exchange->configuration == nullptr ||
             exchange->configuration->version < request.configuration) {
    reason = "older_configuration";
  } else {
    return true;
  }
  metrics_->CountHandover("received", reason);
  GiveUp(exchange, kUnavailable, reason, reason);
  return false;
}

void Forwarder::AddHandoverFields(const Exchange& exchange,
                                  RunState run,
                                  std::string_view code,
                                  HttpResponseHead* head) const {
  // An instance that has just lost contact may not know it yet.
  bool in_doubt = contact_.IsInDoubt(transport_->Now()) && exchange.sends == 0;
  head->headers.Add(
      std::string(kHandoverRunField),
      EncodeHandoverRun(
          // As far as it depends on this instance.
          run == RunState::kNotRun || exchange.runs == exchange.runs_before,
          in_doubt && head->status == kUnavailable ? "stranded" : code));
  head->headers.Add(std::string(kHandoverRequestField),
                    exchange.metadata.request_id);
}

}  // namespace filbertshift
