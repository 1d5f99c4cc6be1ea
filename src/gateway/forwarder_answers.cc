// Responses from endpoints and their delivery to callers.

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "src/gateway/forwarder.h"

namespace filbertshift {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Retry-After value of 503 responses.
constexpr double kRetryAfterSeconds = 0.4;
// A request is not escalated to a larger model if less time than this is left.
constexpr milliseconds kMinTimeToEscalate{1000};
// Number of event blocks at the start of a stream over which the mean gap is
// computed.
constexpr int kGapSampleBlocks = 4;
// A stream counts as answered with its second block of events: an endpoint may
// send the head, and perhaps an event, before it crashes.
constexpr int kAnsweredBlocks = 2;
// A response that is not streamed advances with this many bytes. An endpoint in
// trouble may send one byte now and then.
constexpr std::size_t kMinProgressBytes = 512;
constexpr int kBadGateway = 502;

double RetryAfterSeconds(const Exchange& exchange) {
  return exchange.retry_after.has_value()
             ? std::chrono::duration<double>(*exchange.retry_after).count()
             : kRetryAfterSeconds;
}

HttpResponseHead HeadForCaller(HttpResponseHead head) {
  RemoveConnectionFields(&head.headers);
  head.headers.Remove(kHandoverRunField);
  head.headers.Remove(kHandoverRequestField);
  return head;
}

bool IsSuccess(int status) {
  return status / 100 == 2;
}

// Whether the response comes from the endpoint, unchanged and to this request.
bool IsGenuine(const EndpointAttempt& attempt) {
  return attempt.response_metadata.sealed && attempt.names_request &&
         !attempt.response_metadata.encoded;
}

bool IsGenuineSuccess(const EndpointAttempt& attempt) {
  return IsSuccess(attempt.head.status) && IsGenuine(attempt);
}

// The Content-Type without parameters; empty if there is none.
std::string MediaType(const HttpResponseHead& head) {
  const std::string* type = head.headers.Find("Content-Type");
  return type == nullptr ? std::string() : type->substr(0, type->find(';'));
}

}  // namespace

EvidenceKey Forwarder::EvidenceKeyOf(const Exchange& exchange) const {
  return {exchange.service, exchange.attempt->version, exchange.route->name};
}

int Forwarder::EvidenceGroupOf(const Exchange& exchange) const {
  const EndpointAttempt& attempt = *exchange.attempt;
  if (attempt.in_load_test ||
      pool_.IsCold(attempt.endpoint, transport_->Now())) {
    return -1;
  }
  auto order = view_.orders().find(exchange.service);
  bool candidate =
      order != view_.orders().end() && order->second.to == attempt.version;
  return candidate ? EndpointGroup(attempt.endpoint) : 0;
}

void Forwarder::RecordOutcome(const Exchange& exchange, bool failed) {
  if (exchange.attempt->peer.has_value()) {
    return;
  }
  evidence_.OnAnswer(EvidenceKeyOf(exchange), failed);
}

// Measured early in a stream, because streams of a slow version end late.
void Forwarder::RecordGap(const Exchange& exchange, TimePoint latest_block_at) {
  const EndpointAttempt& attempt = *exchange.attempt;
  if (!attempt.peer.has_value() && attempt.event_blocks > 1 &&
      attempt.event_blocks <= kGapSampleBlocks) {
    auto duration =
        duration_cast<microseconds>(latest_block_at - attempt.first_byte_at);
    evidence_.OnMeanGap(EvidenceKeyOf(exchange),
                        duration / (attempt.event_blocks - 1),
                        EvidenceGroupOf(exchange));
  }
}

bool Forwarder::CanContinueStream(const Exchange& exchange) const {
  return !exchange.response_started || !IsGenuineSuccess(*exchange.attempt) ||
         EqualsIgnoringCase(MediaType(exchange.attempt->head),
                            exchange.stream_type);
}

HeadDecision Forwarder::OnHead(CallId call, const HttpResponseHead& head) {
  Exchange* exchange = Find(call);
  std::vector<Finding> findings;
  ResponseMetadata response_metadata = codec_.DecodeResponse(head, &findings);
  if (!response_metadata.request_id.empty() &&
      response_metadata.request_id != exchange->metadata.request_id) {
    log_->Write(EventId::kForeignAnswerDropped,
                {RequestId(exchange->metadata.request_id),
                 {},
                 exchange->attempt->endpoint},
                fmt::format("response to request {} status={} says_not_run={} "
                            "connection={} requests={}",
                            response_metadata.request_id, head.status,
                            response_metadata.not_run,
                            static_cast<std::uint64_t>(
                                exchange->attempt->connection.connection),
                            exchange->attempt->connection.requests));
    return HeadDecision::kSkip;
  }
  if (exchange->attempt->peer.has_value()) {
    return OnPeerHead(call, exchange, head, response_metadata);
  }
  contact_.OnBytes(transport_->Now());
  ApplyNotices(*exchange, response_metadata, findings);
  EndpointAttempt& attempt = *exchange->attempt;
  TimePoint now = transport_->Now();
  attempt.head_seen = true;
  attempt.head = head;
  attempt.response_metadata = response_metadata;
  attempt.names_request = !response_metadata.request_id.empty();
  attempt.own_response =
      attempt.names_request || client_.HasOwnConnection(call);
  attempt.progress_at = now;
  attempt.first_byte_at = now;
  auto waited = duration_cast<microseconds>(now - attempt.started_at);
  pool_.OnFirstByte(attempt.endpoint, attempt.work, waited, now);
  waits_.OnFirstByte(exchange->service, waited);
  prompts_.OnFirstByte(exchange->service,
                       attempt.work.prompt_tokens * attempt.work.model_weight,
                       waited);
  if (exchange->confidence < 0) {
    exchange->confidence = response_metadata.confidence.value_or(-1);
  }
  bool named = attempt.names_request;
  if (!CanContinueStream(*exchange)) {
    // Its text would end up between the events that the caller has.
    MoveAttempt(exchange, "other media type");
    return HeadDecision::kAcceptLast;
  }
  if (IsSuccess(head.status) && response_metadata.sealed && named) {
    evidence_.OnFirstByte(EvidenceKeyOf(*exchange), waited,
                          EvidenceGroupOf(*exchange));
    EscalateOnLowConfidence(exchange);
  }
  return named ? HeadDecision::kAccept : HeadDecision::kAcceptLast;
}

bool Forwarder::EscalateOnLowConfidence(Exchange* exchange) {
  const EndpointAttempt& attempt = *exchange->attempt;
  const Route& route = *exchange->route;
  TimePoint now = transport_->Now();
  if (exchange->response_started || route.models.empty() ||
      exchange->last_event_id.has_value() ||
      !attempt.response_metadata.confidence.has_value() ||
      !MayReplaceAttempt(*exchange) || !MayRepeat(*exchange) ||
      exchange->deadline - now < kMinTimeToEscalate) {
    return false;
  }
  std::optional<ModelId> larger = SelectEscalationModel(
      route,
      {attempt.model, *attempt.response_metadata.confidence,
       duration_cast<microseconds>(now - exchange->arrived_at)},
      waits_.Estimate(exchange->service), [&](const ModelId& model) {
        return prompts_.TimeFor(
            exchange->service,
            static_cast<double>(exchange->metadata.prompt_tokens) *
                ModelWeight(*exchange, model));
      });
  ModelId smaller = exchange->model;
  if (!larger.has_value() || !HasRoomForRepeat(exchange->service) ||
      !SwitchModel(exchange, *larger)) {
    return false;
  }
  log_->Write(
      EventId::kModelEscalated,
      {RequestId(exchange->metadata.request_id), {}, attempt.endpoint},
      fmt::format("from={} to={} confidence={}", smaller.value(),
                  larger->value(), *attempt.response_metadata.confidence));
  metrics_->CountRepeat("escalation");
  EndAttempt(exchange, AttemptResult::kAnswered);
  Dispatch(exchange->caller);
  return true;
}

bool Forwarder::SwitchModel(Exchange* exchange, const ModelId& model) {
  ModelId current = std::exchange(exchange->model, model);
  // The larger model may run on an endpoint that was already tried.
  std::vector<EndpointId> tried = std::exchange(exchange->tried, {});
  if (SelectEndpoint(*exchange).endpoint.has_value()) {
    return true;
  }
  exchange->model = current;
  exchange->tried = std::move(tried);
  return false;
}

void Forwarder::OnBody(CallId call, std::string_view data) {
  Exchange* exchange = Find(call);
  EndpointAttempt& attempt = *exchange->attempt;
  attempt.received_bytes += data.size();
  if (!attempt.peer.has_value()) {
    contact_.OnBytes(transport_->Now());
    pool_.OnActivity(attempt.endpoint, transport_->Now());
  }
  if (exchange->route->kind == RouteKind::kStreaming &&
      IsGenuineSuccess(attempt)) {
    ReceiveEvents(exchange, data);
  } else {
    ReceiveBody(exchange, data);
  }
}

void Forwarder::ReceiveBody(Exchange* exchange, std::string_view data) {
  EndpointAttempt& attempt = *exchange->attempt;
  attempt.body.append(data);
  attempt.bytes_since_progress += data.size();
  if (attempt.bytes_since_progress >= kMinProgressBytes) {
    attempt.bytes_since_progress = 0;
    attempt.progress_at = transport_->Now();
  }
  HoldWithinBudget(exchange);
}

void Forwarder::ReceiveEvents(Exchange* exchange, std::string_view data) {
  EndpointAttempt& attempt = *exchange->attempt;
  std::string events = attempt.events.Add(data);
  if (!events.empty()) {
    ++attempt.event_blocks;
    if (attempt.event_blocks == kAnsweredBlocks) {
      ReportAnswered(exchange);
    }
    if (attempt.event_blocks == 1) {
      attempt.first_block_at = transport_->Now();
    }
    if (attempt.event_blocks == kMaxPaceBlocks) {
      RecordPace(*exchange, transport_->Now());
    }
    if (attempt.event_blocks == kGapSampleBlocks) {
      RecordGap(*exchange, transport_->Now());
    }
    DeliverEvents(exchange, events);
  }
  if (attempt.events.pending_bytes() > limits_.max_event_bytes) {
    MoveAttempt(exchange, "event too large");
    return;
  }
  HoldWithinBudget(exchange);
}

std::size_t Forwarder::CountBuffered(const Exchange& exchange) {
  std::size_t bytes = exchange.failure_body.size() +
                      exchange.server->UnsentBytes(exchange.caller);
  bool has_length = true;
  if (exchange.attempt.has_value()) {
    const EndpointAttempt& attempt = *exchange.attempt;
    bytes += attempt.body.size() + attempt.events.pending_bytes();
    has_length = attempt.head.headers.Find("Content-Length") != nullptr;
  }
  buffers_.Set(static_cast<std::uint64_t>(exchange.caller), bytes, has_length);
  return bytes;
}

void Forwarder::HoldWithinBudget(Exchange* exchange) {
  CountBuffered(*exchange);
  while (std::optional<BufferBudget::Key> excess = buffers_.FindExcess()) {
    Exchange* largest = Find(ConnectionId{*excess});
    if (largest == nullptr) {
      buffers_.Remove(*excess);
      continue;
    }
    // Its caller may have read since its latest bytes arrived.
    std::size_t counted = buffers_.BytesOf(*excess);
    if (CountBuffered(*largest) >= counted) {
      BreakOffExcess(largest);
    }
  }
}

void Forwarder::BreakOffExcess(Exchange* exchange) {
  exchange->failure_head.reset();
  exchange->failure_body.clear();
  if (exchange->server->UnsentBytes(exchange->caller) > 0) {
    exchange->failure_detail = "caller reads too slowly";
    BreakOff(exchange, "caller_slow", "caller_slow",
             CallerCloseReason::kSlowCaller);
  } else if (exchange->attempt.has_value()) {
    MoveAttempt(exchange, "response too large");
  } else {
    buffers_.Remove(static_cast<std::uint64_t>(exchange->caller));
  }
}

void Forwarder::BeginResponse(Exchange* exchange) {
  if (exchange->response_started) {
    return;
  }
  exchange->response_started = true;
  exchange->stream_type = MediaType(exchange->attempt->head);
  metrics_->ObserveFirstByte(
      exchange->route->name,
      duration_cast<microseconds>(transport_->Now() - exchange->arrived_at));
  exchange->server->BeginStream(exchange->caller,
                                HeadForCaller(exchange->attempt->head));
}

void Forwarder::RecordDelivery(Exchange* exchange) {
  TimePoint now = transport_->Now();
  if (exchange->first_delivery_at == TimePoint()) {
    exchange->first_delivery_at = now;
  } else {
    exchange->longest_pause = std::max(
        exchange->longest_pause,
        duration_cast<milliseconds>(now - exchange->latest_delivery_at));
  }
  exchange->latest_delivery_at = now;
}

void Forwarder::DeliverEvents(Exchange* exchange, const std::string& events) {
  std::string out;
  bool advances = false;
  std::string_view rest = events;
  while (!rest.empty()) {
    std::string_view event = TakeEvent(&rest);
    std::string id = EventIdOf(event);
    if (!id.empty() && exchange->last_event_id.has_value() &&
        IsNotAfter(id, *exchange->last_event_id)) {
      continue;  // Already delivered by an earlier attempt.
    }
    if (!id.empty()) {
      exchange->last_event_id = id;
    }
    out.append(event);
    advances = advances || AdvancesStream(event);
  }
  if (advances) {
    exchange->attempt->progress_at = transport_->Now();
  }
  BeginResponse(exchange);
  RecordDelivery(exchange);
  exchange->server->SendStream(exchange->caller, out);
}

void Forwarder::OnComplete(CallId call) {
  Exchange* exchange = Find(call);
  if (exchange == nullptr) {
    return;
  }
  exchange->attempt->sent = true;
  exchange->attempt->complete = true;
  if (!IsGenuineSuccess(*exchange->attempt)) {
    if (exchange->attempt->peer.has_value()) {
      CompletePeerFailure(exchange, IsGenuine(*exchange->attempt));
    } else {
      CompleteFailure(exchange);
    }
  } else if (exchange->route->kind == RouteKind::kStreaming) {
    CompleteStream(exchange);
  } else {
    CompleteBuffered(exchange);
  }
}

void Forwarder::CompleteBuffered(Exchange* exchange) {
  HttpResponseHead head = HeadForCaller(exchange->attempt->head);
  std::string body = std::move(exchange->attempt->body);
  ReportAnswered(exchange);
  ReportAdmissionAnswer(*exchange);
  RecordOutcome(*exchange, false);
  EndAttempt(exchange, AttemptResult::kAnswered);
  metrics_->ObserveFirstByte(
      exchange->route->name,
      duration_cast<microseconds>(transport_->Now() - exchange->arrived_at));
  Reply(exchange, std::move(head), std::move(body), "answered");
}

void Forwarder::CompleteStream(Exchange* exchange) {
  EndpointAttempt& attempt = *exchange->attempt;
  if (!attempt.events.TakeRest().empty()) {
    MoveAttempt(exchange, "cut event");
    return;
  }
  BeginResponse(exchange);
  ReportAnswered(exchange);
  RecordOutcome(*exchange, false);
  if (attempt.event_blocks < kGapSampleBlocks) {
    RecordGap(*exchange, attempt.progress_at);
  }
  if (attempt.event_blocks < kMaxPaceBlocks) {
    RecordPace(*exchange, attempt.progress_at);
  }
  int status = attempt.head.status;
  EndAttempt(exchange, AttemptResult::kAnswered);
  ConnectionId caller = exchange->caller;
  CallerServer* server = exchange->server;
  Finish(exchange, status, "streamed");
  server->EndStream(caller);
}

void Forwarder::CompleteFailure(Exchange* exchange) {
  EndpointAttempt& attempt = *exchange->attempt;
  int status = attempt.head.status;
  exchange->failure_detail = fmt::format("status {}", status);
  bool paused = attempt.response_metadata.pause.has_value();
  if (attempt.response_metadata.not_run) {
    // Otherwise it may be a copy of a refusal of another request.
    bool refused = ExecutionOf(attempt) == ExecutionState::kRefused;
    exchange->refusals += refused ? 1 : 0;
    if (refused && attempt.response_metadata.misdirected) {
      pool_.OnReplaced(attempt.endpoint, attempt.incarnation,
                       transport_->Now());
    }
    bool overloaded = refused && status == 503 && !paused &&
                      !attempt.response_metadata.leaving &&
                      !attempt.response_metadata.misdirected;
    EndpointId endpoint = attempt.endpoint;
    EndAttempt(exchange,
               paused ? AttemptResult::kPaused : AttemptResult::kRefused);
    if (overloaded && HandleRejection(exchange, endpoint)) {
      return;
    }
    Repeat(exchange, refused ? "refused" : "unnamed_refusal");
    return;
  }
  if (!IsGenuine(attempt) || IsSuccess(status)) {
    exchange->failure_detail += " without seal or id";
    EndAttempt(exchange,
               paused ? AttemptResult::kPaused : AttemptResult::kBroken);
    Repeat(exchange, "unsealed");
    return;
  }
  if (status < 500) {
    ReportAnswered(exchange);
    ReportAdmissionAnswer(*exchange);
  }
  if (!paused) {
    RecordOutcome(*exchange, status >= 500);
  }
  // The endpoint's own response may bear no other status, and this one would
  // deny a run.
  bool promises = codec_.PromisesNotRun(status);
  if (!promises) {
    exchange->failure_head = HeadForCaller(attempt.head);
    exchange->failure_body = std::move(attempt.body);
  }
  bool failed = status >= 500 || promises;
  AttemptResult result =
      failed ? AttemptResult::kFailed : AttemptResult::kAnswered;
  EndAttempt(exchange, paused ? AttemptResult::kPaused : result);
  if (failed) {
    Repeat(exchange, "failed");
  } else {
    GiveUp(exchange, status, "failed", "failed");
  }
}

void Forwarder::OnFailed(CallId call,
                         CallFailure failure,
                         std::string_view detail) {
  Exchange* exchange = Find(call);
  exchange->failure_detail = std::string(detail);
  exchange->attempt->sent = failure != CallFailure::kNotSent;
  if (exchange->attempt->peer.has_value()) {
    OnPeerFailed(exchange, failure, detail);
    return;
  }
  if (failure == CallFailure::kNotSent) {
    pool_.OnConnectFailed(exchange->attempt->endpoint, transport_->Now());
    contact_.OnConnectFailed(exchange->attempt->endpoint, transport_->Now());
    ProbeContact();
    EndAttempt(exchange, AttemptResult::kUnreachable);
    Repeat(exchange, "not_sent");
    return;
  }
  if (!exchange->attempt->answer_reported && !contact_.stranded()) {
    OnEarlyBreak(exchange, detail);
    return;
  }
  MoveAttempt(exchange, detail);
}

void Forwarder::GiveUp(Exchange* exchange,
                       int status,
                       std::string_view code,
                       std::string_view cause) {
  exchange->end_cause = std::string(cause);
  if (exchange->response_started) {
    BreakOff(exchange, "broken_off", cause, CallerCloseReason::kBrokenOff);
    return;
  }
  if (exchange->failure_head.has_value()) {
    HttpResponseHead head = std::move(*exchange->failure_head);
    std::string body = std::move(exchange->failure_body);
    Reply(exchange, std::move(head), std::move(body), "endpoint_failed");
    return;
  }
  bool may_have_run = exchange->runs > 0;
  Refuse(exchange, may_have_run ? (status == 503 ? 502 : status) : 503, code,
         may_have_run ? RunState::kUnknown : RunState::kNotRun);
}

void Forwarder::BreakOff(Exchange* exchange,
                         std::string_view outcome,
                         std::string_view cause,
                         CallerCloseReason reason) {
  exchange->end_cause = std::string(cause);
  metrics_->CountBrokenOff(cause);
  exchange->server->AbortResponse(exchange->caller, reason);
  Finish(exchange, 0, outcome);
}

void Forwarder::OnDeadline(ConnectionId caller) {
  Exchange* exchange = Find(caller);
  if (exchange == nullptr) {
    return;
  }
  if (exchange->attempt.has_value()) {
    exchange->failure_detail = "deadline";
    EndAttempt(exchange, AttemptResult::kCancelled);
  }
  exchange->failure_head.reset();
  GiveUp(exchange, 504, "deadline", "deadline");
}

void Forwarder::EndRequests() {
  std::vector<ConnectionId> callers;
  for (const auto& entry : exchanges_) {
    callers.push_back(entry.second.caller);
  }
  for (ConnectionId caller : callers) {
    Exchange* exchange = Find(caller);
    if (exchange == nullptr) {
      continue;
    }
    if (exchange->attempt.has_value()) {
      exchange->failure_detail = "shutting_down";
      EndAttempt(exchange, AttemptResult::kCancelled);
    }
    GiveUp(exchange, 502, "shutting_down", "shutting_down");
  }
}

void Forwarder::Refuse(Exchange* exchange,
                       int status,
                       std::string_view code,
                       RunState run) {
  CallerError error;
  error.http_status = status;
  error.code = std::string(code);
  error.message = std::string(ReasonPhrase(status));
  error.run = run;
  HttpResponseHead head{status, std::string(ReasonPhrase(status)), {}};
  head.headers.Add("Content-Type", "application/json");
  if (status == 503) {
    head.headers.Add("Retry-After",
                     fmt::format("{}", RetryAfterSeconds(*exchange)));
  }
  if (exchange->handed_over) {
    AddHandoverFields(*exchange, run, code, &head);
  }
  Reply(exchange, std::move(head), CallerErrorBody(error), code);
}

void Forwarder::Reply(Exchange* exchange,
                      HttpResponseHead head,
                      std::string body,
                      std::string_view outcome) {
  if (exchange->runs > 0 && codec_.PromisesNotRun(head.status)) {
    log_->Write(
        EventId::kInvariantViolated,
        {RequestId(exchange->metadata.request_id), {}, {}},
        fmt::format("status {} for a request that may have run", head.status));
    metrics_->CountInvariantViolation("not_run_promise");
    exchange->failure_head.reset();
    GiveUp(exchange, kBadGateway, "invariant", "invariant");
    return;
  }
  ConnectionId caller = exchange->caller;
  CallerServer* server = exchange->server;
  Finish(exchange, head.status, outcome);
  server->Respond(caller, std::move(head), std::move(body));
}

}  // namespace filbertshift
