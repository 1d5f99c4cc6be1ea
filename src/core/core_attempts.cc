// Starts attempts for queued requests and processes their responses.

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "src/core/core.h"

namespace filbertshift {

namespace {

// Length of the request prefix that is hashed to prefer engines that are likely
// to have it in their prefix cache.
constexpr std::size_t kHashedPrefixBytes = 1024;
// Typical value, used for load estimates only.
constexpr double kBytesPerToken = 4.0;
// Time for which one instance may start suspect requests on an endpoint. Much
// longer than the usual skew of synchronized clocks.
constexpr std::chrono::milliseconds kSuspectTurnDuration{1000};
constexpr int kServiceUnavailable = 503;
// Longest pause that an endpoint may ask for.
constexpr std::chrono::seconds kMaxEndpointPause{30};

std::chrono::microseconds ToMicroseconds(TimePoint::duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration);
}

bool IsEventStream(const std::vector<HttpHeader>& headers) {
  return FindHeader(headers, "Content-Type").rfind("text/event-stream", 0) == 0;
}

}  // namespace

void Core::DrainQueue() {
  queue_drain_needed_ = false;
  queue_.Drain(
      [this](const QueuedRequest& queued) { return TryStartAttempt(queued); });
  std::vector<RequestId> disallowed = std::move(disallowed_requests_);
  disallowed_requests_.clear();
  for (const RequestId& id : disallowed) {
    Request* request = FindRequest(id);
    if (request != nullptr) {
      OnDisallowed(*request);
    }
  }
  std::vector<RequestId> overdue = std::move(overdue_requests_);
  overdue_requests_.clear();
  for (const RequestId& id : overdue) {
    Request* request = FindRequest(id);
    if (request != nullptr) {
      OnDeadline(*request, ports_.clock.Now());
    }
  }
}

// Handles a queued request whose version or service was withdrawn by a
// configuration change. It moves to another version if the caller has not
// received anything yet; an answer that has begun cannot be moved.
void Core::OnDisallowed(Request& request) {
  bool can_move = request.kind == RequestKind::kChat && !request.head_sent &&
                  !request.version_named_by_caller;
  if (!can_move) {
    Fail(request, {403, "version_not_allowed",
                   "the version or service was withdrawn from the client "
                   "account while the request waited",
                   RunStateOf(request), std::chrono::seconds(0)});
    return;
  }
  request.version = VersionId();
  request.answer = ChatAnswer();
  request.stage = RequestStage::kPreparing;
  PrepareSession(request);
}

bool Core::IsStillAllowed(const Request& request) const {
  const ClientAccount* account = configuration().FindAccount(request.account);
  if (account == nullptr) {
    return false;
  }
  if (request.kind == RequestKind::kService) {
    return std::find(account->services.begin(), account->services.end(),
                     request.service) != account->services.end();
  }
  return configuration().IsAllowed(*account, request.model, request.version) &&
         StoppedVersions(request.model).count(request.version) == 0;
}

EndpointQuery Core::MakeEndpointQuery(const Request& request,
                                      CrashVerdict verdict) const {
  EndpointQuery query;
  query.kind = request.kind == RequestKind::kChat ? EndpointKind::kModelEngine
                                                  : EndpointKind::kPlainService;
  query.model = request.model;
  query.version = request.version;
  query.service = request.service;
  query.excluded = request.excluded_endpoints;
  if (request.kind == RequestKind::kChat) {
    std::size_t length = std::min(request.raw_body.size(), kHashedPrefixBytes);
    query.prefix_hash = XXH64(request.raw_body.data(), length, 0);
    query.prompt_tokens =
        static_cast<double>(request.raw_body.size()) / kBytesPerToken;
  }
  query.suspect = verdict == CrashVerdict::kSuspect;
  query.suspect_turn = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          ports_.clock.WallNow().time_since_epoch()) /
      kSuspectTurnDuration);
  return query;
}

bool Core::TryStartAttempt(const QueuedRequest& queued) {
  Request* request = FindRequest(queued.request);
  if (request == nullptr || request->stage != RequestStage::kQueued) {
    return true;
  }
  if (!IsStillAllowed(*request)) {
    disallowed_requests_.push_back(request->id);
    return true;
  }
  TimePoint now = ports_.clock.Now();
  if (now >= request->deadline) {
    overdue_requests_.push_back(request->id);
    return true;
  }
  CrashVerdict verdict = quarantine_.Check(request->fingerprint, now);
  EndpointQuery query = MakeEndpointQuery(*request, verdict);
  std::optional<EndpointChoice> choice = registry_.Choose(query, now);
  // A request may only be sent to an endpoint whose incarnation has been
  // verified; the probe for that is due.
  if (!choice.has_value() || choice->incarnation == Incarnation()) {
    return false;
  }
  CheckInvariant(request->repeatable ||
                     (!request->may_have_run && request->ticket.has_value() &&
                      request->ticket->reserved),
                 "I9", *request);
  ++request->attempts;
  AttemptSpec spec = MakeAttemptSpec(*request, *choice);
  RunningAttempt attempt;
  attempt.id = spec.attempt;
  attempt.endpoint = choice->endpoint;
  attempt.incarnation = choice->incarnation;
  attempt.started = now;
  attempt.last_progress = now;
  registry_.Reserve(choice->endpoint, attempt.id, request->fingerprint, query,
                    now);
  if (!ports_.endpoints.Start(std::move(spec))) {
    registry_.Release(attempt.id);
    --request->attempts;
    return false;
  }
  if (query.suspect) {
    quarantine_.OnIsolatedRun(request->fingerprint, choice->endpoint);
  }
  request_by_attempt_[attempt.id] = request->id;
  EventContext context{request->id, attempt.id, attempt.endpoint};
  bool continued = !request->answer.text().empty();
  ports_.log.Write(
      continued ? EventId::kAttemptContinued : EventId::kAttemptStarted,
      context,
      fmt::format("model={} version={} delivered_tokens={}",
                  request->model.value(), request->version.value(),
                  request->answer.answer_tokens()));
  if (request->attempts == 1) {
    retry_budget_.OnFirstAttempt();
  }
  request->answer.BeginAttempt();
  request->attempt = std::move(attempt);
  request->stage = RequestStage::kRunning;
  return true;
}

AttemptSpec Core::MakeAttemptSpec(const Request& request,
                                  const EndpointChoice& choice) const {
  AttemptSpec spec;
  spec.attempt =
      AttemptId(fmt::format("{}.{}", request.id.value(), request.attempts));
  spec.endpoint = choice.endpoint;
  spec.address = choice.address;
  spec.incarnation = choice.incarnation;
  spec.method = request.method.empty() ? "POST" : request.method;
  spec.target = request.target;
  spec.connect_timeout = options_.connect_timeout;
  spec.max_response_bytes = options_.max_response_bytes;
  spec.headers.push_back({"X-Request-Id", spec.attempt.value()});
  if (request.kind == RequestKind::kChat) {
    spec.method = "POST";
    spec.headers.push_back({"Content-Type", "application/json"});
    spec.headers.push_back({"Accept", "text/event-stream"});
    spec.body = BuildEngineRequestBody(request.chat_body, request.model.value(),
                                       request.answer);
    return spec;
  }
  if (!request.content_type.empty()) {
    spec.headers.push_back({"Content-Type", request.content_type});
  }
  if (!request.idempotency_key.empty()) {
    spec.headers.push_back({"Idempotency-Key", request.idempotency_key});
  }
  spec.headers.push_back({"X-Client-Account", request.account.value()});
  spec.body = request.raw_body;
  return spec;
}

void Core::OnMessage(AttemptSent&& sent) {
  Request* request = FindRequestByAttempt(sent.attempt);
  if (request == nullptr) {
    return;
  }
  request->attempt->sent = true;
  request->attempt->last_progress = ports_.clock.Now();
  EventContext context{request->id, sent.attempt, request->attempt->endpoint};
  ports_.log.Write(EventId::kAttemptSent, context, "");
}

void Core::OnMessage(AttemptHead&& head) {
  Request* request = FindRequestByAttempt(head.attempt);
  if (request == nullptr) {
    return;
  }
  RunningAttempt& attempt = *request->attempt;
  attempt.http_status = head.http_status;
  attempt.headers = std::move(head.headers);
  std::string echoed = FindHeader(attempt.headers, "X-Request-Id");
  bool is_refusal =
      (attempt.http_status == 429 || attempt.http_status == 503) &&
      FindHeader(attempt.headers, "X-Not-Run") == "true";
  bool foreign = !echoed.empty() && echoed != attempt.id.value();
  // Without an id it may be a copy of the refusal of an earlier attempt.
  bool unnamed_refusal = is_refusal && echoed.empty() && !head.own_connection;
  if (foreign || unnamed_refusal) {
    attempt.invalid = true;
    EventContext context{request->id, attempt.id, attempt.endpoint};
    ports_.log.Write(EventId::kStaleAnswerDropped, context,
                     foreign ? "response belongs to attempt " + echoed
                             : "refusal names no attempt on a used connection");
    ports_.endpoints.Cancel(attempt.id);
    return;
  }
  attempt.refused = is_refusal;
  if (attempt.http_status == kServiceUnavailable) {
    PauseEndpoint(*request);
  }
}

// Honours the Retry-After of an endpoint that is full. Its requests wait, or go
// to other endpoints.
void Core::PauseEndpoint(Request& request) {
  RunningAttempt& attempt = *request.attempt;
  std::string text = FindHeader(attempt.headers, "Retry-After");
  if (text.empty()) {
    return;
  }
  EventContext context{request.id, attempt.id, attempt.endpoint};
  std::optional<std::chrono::milliseconds> asked = ParseRetryAfter(text);
  if (!asked.has_value()) {
    ports_.log.Write(EventId::kEndpointFieldRejected, context,
                     "Retry-After: " + text);
    return;
  }
  attempt.asked_for_pause = true;
  TimePoint now = ports_.clock.Now();
  std::chrono::milliseconds kept =
      std::min<std::chrono::milliseconds>(*asked, kMaxEndpointPause);
  if (registry_.Pause(attempt.endpoint, attempt.incarnation, now + kept, now)) {
    ports_.log.Write(
        EventId::kEndpointPaused, context,
        fmt::format("asked_ms={} kept_ms={}", asked->count(), kept.count()));
  }
}

void Core::OnMessage(AttemptData&& data) {
  Request* request = FindRequestByAttempt(data.attempt);
  if (request == nullptr) {
    return;
  }
  RunningAttempt& attempt = *request->attempt;
  if (attempt.invalid || attempt.timed_out || request->abandoned) {
    return;
  }
  bool chat_stream = request->kind == RequestKind::kChat &&
                     attempt.http_status == 200 &&
                     IsEventStream(attempt.headers);
  if (chat_stream) {
    OnChatData(*request, data.bytes);
  } else {
    OnProgress(*request);
    attempt.body += data.bytes;
  }
}

void Core::OnChatData(Request& request, const std::string& bytes) {
  for (ChatEvent& event : ParseChatEvents(bytes)) {
    switch (event.kind) {
      case ChatEvent::Kind::kChunk:
        OnChatChunk(request, std::move(event.chunk));
        break;
      case ChatEvent::Kind::kDone:
        request.answer.MarkDone();
        break;
      case ChatEvent::Kind::kComment:
        break;
      case ChatEvent::Kind::kMalformed:
        request.attempt->invalid = true;
        ports_.endpoints.Cancel(request.attempt->id);
        return;
    }
  }
}

void Core::OnChatChunk(Request& request, nlohmann::json chunk) {
  bool has_content = request.answer.Add(chunk);
  OnProgress(request);
  bool is_last_chunk = !request.answer.finish_reason().empty();
  if (!request.stream_requested || !request.caller.has_value() ||
      (!has_content && !is_last_chunk)) {
    return;
  }
  if (!request.head_sent) {
    SendHead(request, 200, "text/event-stream", true);
  }
  // The engine's usage covers one attempt only; the caller gets the sum at the
  // end.
  chunk.erase("usage");
  bool has_choice = chunk.contains("choices") && !chunk["choices"].empty();
  if (has_choice) {
    ports_.callers.SendBody(
        *request.caller,
        BuildCallerChunkEvent(
            std::move(chunk), request.CompletionId(),
            request.model.value() + ":" + request.version.value()));
  }
}

void Core::OnProgress(Request& request) {
  RunningAttempt& attempt = *request.attempt;
  TimePoint now = ports_.clock.Now();
  auto delay = ToMicroseconds(now - attempt.last_progress);
  if (attempt.first_token) {
    detector_.Observe(attempt.endpoint, DelayKind::kTokenGap, delay);
    ports_.metrics.OnTokenGap(request.quality_class.name, delay);
  } else {
    attempt.first_token = true;
    registry_.OnFirstToken(attempt.id);
    detector_.Observe(attempt.endpoint, DelayKind::kFirstToken, delay);
    if (request.attempts == 1) {
      ports_.metrics.OnFirstToken(request.quality_class.name,
                                  ToMicroseconds(now - request.received));
    }
  }
  attempt.last_progress = now;
}

}  // namespace filbertshift
