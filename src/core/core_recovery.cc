// The end of attempts: whole answers, retries, crashed endpoints, timeouts.

#include <fmt/format.h>

#include <utility>

#include "src/core/core.h"

namespace filbertshift {

namespace {

// Attempts that may have run, for one request.
constexpr int kMaxAttempts = 6;
constexpr std::chrono::milliseconds kKeepAliveInterval{5000};
// Time that a non-repeatable call may go on after its caller's deadline, so
// that its answer is recorded.
constexpr std::chrono::minutes kDetachedTime{10};
// Bytes of an endpoint's error that the caller gets to see.
constexpr std::size_t kMaxQuotedBody = 2000;

}  // namespace

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
  if (!registry_.HasCandidate(MakeQuery(request, CrashVerdict::kClear))) {
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
        std::chrono::duration_cast<std::chrono::microseconds>(
            now - attempt.last_progress));
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
