// Attempts: from the queue to an endpoint, and what happens when one is lost.

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "src/core/core.h"

namespace filbertshift {

namespace {

// Attempts that may have run, for one request.
constexpr int kMaxAttempts = 6;
// Prompt text that engines share through their prefix cache.
constexpr std::size_t kPrefixBytes = 1024;
// Typical bytes of text in one token, for load estimates only.
constexpr double kBytesPerToken = 4.0;
constexpr std::chrono::milliseconds kKeepAliveInterval{5000};
// Time for which one instance may start suspects on an endpoint. Much longer
// than the usual difference of synchronized clocks.
constexpr std::chrono::milliseconds kSuspectTurn{1000};
// Time that a non-repeatable call may go on after its caller's deadline, so
// that its answer is recorded.
constexpr std::chrono::minutes kDetachedTime{10};
// Bytes of an endpoint's error that the caller gets to see.
constexpr std::size_t kMaxQuotedBody = 2000;

EndpointQuery MakeQuery(const Request& request,
                        CrashVerdict verdict,
                        WallTime now) {
  EndpointQuery query;
  query.kind = request.kind == RequestKind::kChat ? EndpointKind::kModelEngine
                                                  : EndpointKind::kPlainService;
  query.model = request.model;
  query.version = request.version;
  query.service = request.service;
  query.excluded = request.excluded;
  if (request.kind == RequestKind::kChat) {
    std::size_t length = std::min(request.raw_body.size(), kPrefixBytes);
    query.prefix_hash = XXH64(request.raw_body.data(), length, 0);
    query.prompt_tokens =
        static_cast<double>(request.raw_body.size()) / kBytesPerToken;
  }
  query.suspect = verdict == CrashVerdict::kSuspect;
  query.suspect_turn = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          now.time_since_epoch()) /
      kSuspectTurn);
  return query;
}

std::chrono::microseconds Micros(TimePoint::duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration);
}

bool IsEventStream(const std::vector<HttpHeader>& headers) {
  return FindHeader(headers, "Content-Type").rfind("text/event-stream", 0) == 0;
}

}  // namespace

void Core::DrainQueue() {
  queue_changed_ = false;
  queue_.Drain(
      [this](const QueuedRequest& queued) { return TryStart(queued); });
  std::vector<RequestId> disallowed = std::move(disallowed_);
  disallowed_.clear();
  for (const RequestId& id : disallowed) {
    Request* request = Find(id);
    if (request != nullptr) {
      OnDisallowed(*request);
    }
  }
}

// The configuration changed while the request waited. A request of which the
// caller has seen nothing moves to another version; a begun answer cannot.
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

bool Core::TryStart(const QueuedRequest& queued) {
  Request* request = Find(queued.request);
  if (request == nullptr || request->stage != RequestStage::kQueued) {
    return true;
  }
  if (!IsStillAllowed(*request)) {
    disallowed_.push_back(request->id);
    return true;
  }
  TimePoint now = ports_.clock.Now();
  CrashVerdict verdict = quarantine_.Check(request->fingerprint, now);
  EndpointQuery query = MakeQuery(*request, verdict, ports_.clock.WallNow());
  std::optional<EndpointChoice> choice = registry_.Choose(query, now);
  // Without a verified incarnation no connection may carry the request yet; a
  // probe is due.
  if (!choice.has_value() || choice->incarnation == Incarnation()) {
    return false;
  }
  CheckInvariant(request->repeatable ||
                     (!request->ever_sent && request->ticket.has_value() &&
                      request->ticket->reserved),
                 "I9", *request);
  ++request->attempts;
  AttemptSpec spec = MakeAttempt(*request, *choice);
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

AttemptSpec Core::MakeAttempt(const Request& request,
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
    spec.body =
        EngineBody(request.chat_body, request.model.value(), request.answer);
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

void Core::On(AttemptSent&& sent) {
  Request* request = FindByAttempt(sent.attempt);
  if (request == nullptr) {
    return;
  }
  request->attempt->sent = true;
  request->attempt->last_progress = ports_.clock.Now();
  EventContext context{request->id, sent.attempt, request->attempt->endpoint};
  ports_.log.Write(EventId::kAttemptSent, context, "");
}

void Core::On(AttemptHead&& head) {
  Request* request = FindByAttempt(head.attempt);
  if (request == nullptr) {
    return;
  }
  RunningAttempt& attempt = *request->attempt;
  attempt.http_status = head.http_status;
  attempt.headers = std::move(head.headers);
  std::string echoed = FindHeader(attempt.headers, "X-Request-Id");
  if (!echoed.empty() && echoed != attempt.id.value()) {
    attempt.invalid = true;
    EventContext context{request->id, attempt.id, attempt.endpoint};
    ports_.log.Write(EventId::kStaleAnswerDropped, context,
                     "answer of attempt " + echoed);
    ports_.endpoints.Cancel(attempt.id);
    return;
  }
  bool may_refuse = attempt.http_status == 429 || attempt.http_status == 503;
  attempt.refused =
      may_refuse && FindHeader(attempt.headers, "X-Not-Run") == "true";
}

void Core::On(AttemptData&& data) {
  Request* request = FindByAttempt(data.attempt);
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
  bool content = request.answer.Add(chunk);
  OnProgress(request);
  bool ends = !request.answer.finish_reason().empty();
  if (!request.wants_stream || !request.caller.has_value() ||
      (!content && !ends)) {
    return;
  }
  if (!request.head_sent) {
    SendHead(request, 200, "text/event-stream", true);
  }
  // Usage counts one attempt only; the caller gets the sum at the end.
  chunk.erase("usage");
  bool has_choice = chunk.contains("choices") && !chunk["choices"].empty();
  if (has_choice) {
    ports_.callers.SendBody(
        *request.caller,
        CallerChunk(std::move(chunk), request.CompletionId(),
                    request.model.value() + ":" + request.version.value()));
  }
}

void Core::OnProgress(Request& request) {
  RunningAttempt& attempt = *request.attempt;
  TimePoint now = ports_.clock.Now();
  auto silence = Micros(now - attempt.last_progress);
  if (attempt.first_token) {
    detector_.Observe(attempt.endpoint, DelayKind::kTokenGap, silence);
    ports_.metrics.OnTokenGap(request.quality_class.name, silence);
  } else {
    attempt.first_token = true;
    registry_.OnFirstToken(attempt.id);
    detector_.Observe(attempt.endpoint, DelayKind::kFirstToken, silence);
    if (request.attempts == 1) {
      ports_.metrics.OnFirstToken(request.quality_class.name,
                                  Micros(now - request.received));
    }
  }
  attempt.last_progress = now;
}

void Core::On(AttemptEnd&& end) {
  registry_.Release(end.attempt);
  ports_.metrics.OnAttemptEnd(end.outcome);
  queue_changed_ = true;
  Request* request = FindByAttempt(end.attempt);
  request_by_attempt_.erase(end.attempt);
  if (request == nullptr) {
    return;
  }
  EventContext context{request->id, end.attempt, end.endpoint};
  ports_.log.Write(
      EventId::kAttemptEnded, context,
      fmt::format("{} status={} {}", AttemptOutcomeName(end.outcome),
                  request->attempt->http_status, end.detail));
  EndAttempt(*request, end);
}

void Core::EndAttempt(Request& request, const AttemptEnd& end) {
  RunningAttempt attempt = std::move(*request.attempt);
  request.attempt.reset();
  if (attempt.sent && !attempt.refused) {
    request.ever_sent = true;
  }
  if (request.abandoned) {
    if (request.answer.answer_tokens() > 0 && !request.job.has_value()) {
      charges_.Add(MakeCharge(request), [] {});
    }
    Finish(request, "caller_gone");
    return;
  }
  bool intact = !attempt.invalid && !attempt.timed_out;
  switch (end.outcome) {
    case AttemptOutcome::kComplete:
      if (attempt.refused) {
        request.excluded.insert(attempt.endpoint);
        Retry(request);
      } else if (!intact) {
        OnAttemptLost(request, attempt);
      } else if (request.kind == RequestKind::kChat) {
        EndChatAttempt(request, attempt);
      } else {
        EndServiceAttempt(request, attempt);
      }
      return;
    case AttemptOutcome::kNotSent:
      registry_.Suspect(attempt.endpoint, end.detail);
      Probe(attempt.endpoint);
      Retry(request);
      return;
    case AttemptOutcome::kIncarnationChanged:
      Retry(request);
      return;
    case AttemptOutcome::kBroken:
      if (intact && addresses_.count(attempt.endpoint) > 0) {
        awaiting_probe_[attempt.endpoint].push_back(
            {request.id, request.fingerprint, attempt.incarnation});
        probes_to_skip_[attempt.endpoint] =
            probes_outstanding_[attempt.endpoint];
        request.stage = RequestStage::kAwaitingProbe;
        registry_.OnConnectionLost(attempt.endpoint);
        Probe(attempt.endpoint);
        return;
      }
      OnAttemptLost(request, attempt);
      return;
    case AttemptOutcome::kTooLarge:
      Fail(request, {502, "answer_too_large",
                     "the endpoint's answer is larger than the bound",
                     RunState::kRun, std::chrono::seconds(0)});
      return;
    case AttemptOutcome::kGarbage:
    case AttemptOutcome::kCancelled:
      OnAttemptLost(request, attempt);
      return;
  }
}

void Core::EndChatAttempt(Request& request, const RunningAttempt& attempt) {
  if (attempt.http_status >= 400 && attempt.http_status < 500) {
    Fail(request, {attempt.http_status, "rejected_by_endpoint",
                   attempt.body.substr(0, kMaxQuotedBody), RunState::kRun,
                   std::chrono::seconds(0)});
  } else if (attempt.http_status == 200 && request.answer.done()) {
    OnAnswerWhole(request);
  } else {
    // A server error, or a stream that ended without its end mark.
    OnAttemptLost(request, attempt);
  }
}

void Core::EndServiceAttempt(Request& request, const RunningAttempt& attempt) {
  if (attempt.http_status >= 500 && request.repeatable &&
      request.attempts < kMaxAttempts) {
    OnAttemptLost(request, attempt);
    return;
  }
  request.service_answer = {attempt.http_status,
                            FindHeader(attempt.headers, "Content-Type"),
                            attempt.body};
  Complete(request);
}

void Core::OnAttemptLost(Request& request, const RunningAttempt& attempt) {
  CountAnswer(request, true);
  request.excluded.insert(attempt.endpoint);
  Retry(request);
}

void Core::Retry(Request& request) {
  TimePoint now = ports_.clock.Now();
  if (request.ever_sent && !request.repeatable) {
    Fail(request, {502, "outcome_unknown",
                   "the call was sent and no complete answer came back",
                   RunState::kUnknown, std::chrono::seconds(0)});
    return;
  }
  if (quarantine_.Check(request.fingerprint, now) == CrashVerdict::kConvicted) {
    Fail(request, {422, "request_crashes_endpoints",
                   "this request crashed two endpoints and is blocked",
                   RunState::kRun, std::chrono::seconds(0)});
    return;
  }
  // An engine that breaks after the last token leaves nothing to continue; one
  // more attempt would add a token beyond the caller's limit.
  int limit = TokenLimit(request.chat_body);
  if (limit > 0 && request.answer.answer_tokens() >= limit) {
    FinishAtLimit(request);
    return;
  }
  bool resumable = request.answer.resumable() || !request.head_sent;
  if (request.attempts >= kMaxAttempts || !resumable) {
    Fail(request, {502, "endpoint_failed", "no endpoint finished the answer",
                   RunStateOf(request), std::chrono::seconds(1)});
    return;
  }
  // Jobs wait for their turn; they must arrive and add no burst of load.
  if (request.ever_sent && !request.job.has_value() &&
      !retry_budget_.TryTake()) {
    Fail(request, {503, "retry_budget_empty",
                   "too many requests are being retried at present",
                   RunStateOf(request), std::chrono::seconds(2)});
    return;
  }
  // Every endpoint has failed the request once; all of them count again.
  if (!registry_.HasCandidate(
          MakeQuery(request, CrashVerdict::kClear, ports_.clock.WallNow()))) {
    request.excluded.clear();
  }
  Enqueue(request);
}

void Core::FinishAtLimit(Request& request) {
  request.answer.MarkLengthReached();
  if (request.head_sent && request.caller.has_value()) {
    ports_.callers.SendBody(
        *request.caller,
        FinishEvent(request.answer, request.CompletionId(),
                    request.model.value() + ":" + request.version.value()));
  }
  OnAnswerWhole(request);
}

void Core::ResolveBroken(const EndpointId& endpoint, bool crashed) {
  auto found = awaiting_probe_.find(endpoint);
  if (found == awaiting_probe_.end()) {
    return;
  }
  std::vector<BrokenAttempt> broken = std::move(found->second);
  awaiting_probe_.erase(found);
  probes_to_skip_.erase(endpoint);
  if (crashed) {
    std::vector<Fingerprint> in_flight = registry_.InFlight(endpoint);
    for (const BrokenAttempt& attempt : broken) {
      in_flight.push_back(attempt.fingerprint);
    }
    ShareSuspects(quarantine_.OnCrash(endpoint, in_flight, ports_.clock.Now()));
    registry_.Suspect(endpoint, "crashed");
  }
  for (const BrokenAttempt& attempt : broken) {
    Request* request = Find(attempt.request);
    if (request == nullptr || request->stage != RequestStage::kAwaitingProbe) {
      continue;
    }
    EventContext context;
    context.request = request->id;
    context.endpoint = endpoint;
    if (crashed) {
      bool convicted =
          quarantine_.Check(request->fingerprint, ports_.clock.Now()) ==
          CrashVerdict::kConvicted;
      ports_.log.Write(
          convicted ? EventId::kRequestConvicted : EventId::kRequestSuspected,
          context, "endpoint crashed");
    }
    CountAnswer(*request, crashed);
    request->excluded.insert(endpoint);
    Retry(*request);
  }
}

void Core::CheckTimeouts(TimePoint now) {
  // Ids first: handling one request may remove it or others.
  std::vector<RequestId> due;
  for (const auto& [id, request] : requests_) {
    bool late = now >= request.deadline;
    bool poll = request.next_poll != TimePoint() && now >= request.next_poll;
    bool silent = false;
    if (request.attempt.has_value() && !request.attempt->timed_out &&
        request.repeatable) {
      const RunningAttempt& attempt = *request.attempt;
      DelayKind kind =
          attempt.first_token ? DelayKind::kTokenGap : DelayKind::kFirstToken;
      silent = now - attempt.last_progress >
               detector_.Timeout(attempt.endpoint, kind);
    }
    bool waits = request.wants_stream && request.caller.has_value() &&
                 request.stage != RequestStage::kRunning &&
                 now - request.last_keep_alive >= kKeepAliveInterval;
    if (late || poll || silent || waits) {
      due.push_back(id);
    }
  }
  for (const RequestId& id : due) {
    Request* request = Find(id);
    if (request != nullptr) {
      OnDue(*request, now);
    }
  }
}

void Core::OnDue(Request& request, TimePoint now) {
  if (now >= request.deadline) {
    OnDeadline(request, now);
    return;
  }
  if (request.next_poll != TimePoint() && now >= request.next_poll) {
    PrepareExecution(request);
    return;
  }
  if (request.attempt.has_value()) {
    RunningAttempt& attempt = *request.attempt;
    attempt.timed_out = true;
    // Without the silences that ended in a timeout the samples would be biased
    // to short ones and the timeout would shrink under load.
    detector_.Observe(
        attempt.endpoint,
        attempt.first_token ? DelayKind::kTokenGap : DelayKind::kFirstToken,
        Micros(now - attempt.last_progress));
    registry_.Suspect(attempt.endpoint,
                      attempt.first_token ? "no next token" : "no first token");
    Probe(attempt.endpoint);
    ports_.endpoints.Cancel(attempt.id);
    return;
  }
  KeepAlive(request, now);
}

void Core::OnDeadline(Request& request, TimePoint now) {
  if (request.stage == RequestStage::kJudging) {
    Complete(request);
    return;
  }
  CallerError error{504, "deadline_exceeded",
                    "the answer was not complete in time", RunStateOf(request),
                    std::chrono::seconds(0)};
  if (request.stage == RequestStage::kPreparing &&
      !request.idempotency_key.empty() && !request.ticket.has_value()) {
    error = {409, "execution_in_progress",
             "another try with this idempotency key has not ended",
             RunState::kUnknown, std::chrono::seconds(1)};
  }
  bool keeps_running = request.stage == RequestStage::kRunning ||
                       request.stage == RequestStage::kCompleting;
  if (keeps_running && !request.repeatable) {
    // The outcome is still recorded for later tries with the same key.
    if (request.caller.has_value()) {
      ReplyError(*request.caller, error);
      request_by_caller_.erase(*request.caller);
      request.caller.reset();
      request.deadline = now + kDetachedTime;
      return;
    }
  }
  if (request.attempt.has_value()) {
    AttemptId attempt = request.attempt->id;
    request_by_attempt_.erase(attempt);
    ports_.endpoints.Cancel(attempt);
  }
  Fail(request, error);
}

}  // namespace filbertshift
