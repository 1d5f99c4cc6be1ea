// Handles the end of attempts: complete answers, retries, crashed endpoints and
// timeouts.

#include <fmt/format.h>

#include <utility>

#include "src/core/core.h"

namespace filbertshift {

namespace {

// Limit for one request; includes attempts that were refused or not sent.
constexpr int kMaxAttempts = 6;
constexpr std::chrono::milliseconds kKeepAliveInterval{5000};
// Time for which a non-repeatable call may continue after its caller's
// deadline, so that its answer can be recorded.
constexpr std::chrono::minutes kDetachedExecutionTime{10};
// Limit on the part of an endpoint's error response that is passed to the
// caller.
constexpr std::size_t kMaxQuotedBodyBytes = 2000;

}  // namespace

void Core::OnMessage(AttemptEnd&& end) {
  registry_.Release(end.attempt);
  ports_.metrics.OnAttemptEnd(end.outcome);
  queue_drain_needed_ = true;
  Request* request = FindRequestByAttempt(end.attempt);
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
    request.may_have_run = true;
  }
  if (request.abandoned) {
    if (request.answer.answer_tokens() > 0 && !request.lost_lease) {
      charges_.Add(MakeCharge(request), [] {});
    }
    Finish(request, "caller_gone");
    return;
  }
  bool valid = !attempt.invalid && !attempt.timed_out;
  switch (end.outcome) {
    case AttemptOutcome::kComplete:
      if (attempt.refused) {
        request.excluded_endpoints.insert(attempt.endpoint);
        Retry(request);
      } else if (!valid) {
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
      if (valid && endpoint_addresses_.count(attempt.endpoint) > 0) {
        attempts_awaiting_probe_[attempt.endpoint].push_back(
            {request.id, request.fingerprint, attempt.incarnation});
        probe_results_to_ignore_[attempt.endpoint] =
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
                   attempt.body.substr(0, kMaxQuotedBodyBytes), RunState::kRun,
                   std::chrono::seconds(0)});
  } else if (attempt.http_status == 200 && request.answer.done()) {
    OnAnswerComplete(request);
  } else {
    // A server error, or a stream that ended without finish reason or [DONE].
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
  if (!attempt.asked_for_pause) {
    CountRolloutAnswer(request, true);
  }
  request.excluded_endpoints.insert(attempt.endpoint);
  Retry(request);
}

void Core::Retry(Request& request) {
  TimePoint now = ports_.clock.Now();
  if (request.may_have_run && !request.repeatable) {
    Fail(request, {502, "outcome_unknown",
                   "the call was sent and no complete answer came back",
                   RunState::kUnknown, std::chrono::seconds(0)});
    return;
  }
  if (quarantine_.Check(request.fingerprint, now) == CrashVerdict::kBlocked) {
    Fail(request, {422, "request_crashes_endpoints",
                   "this request crashed two endpoints and is blocked",
                   request.may_have_run ? RunState::kRun : RunState::kNotRun,
                   std::chrono::seconds(0)});
    return;
  }
  // If the engine failed after the last token, nothing is left to generate, and
  // another attempt would add a token beyond the caller's limit.
  int limit = TokenLimit(request.chat_body);
  if (limit > 0 && request.answer.answer_tokens() >= limit) {
    FinishAtTokenLimit(request);
    return;
  }
  bool resumable = request.answer.resumable() || !request.head_sent;
  if (request.attempts >= kMaxAttempts || !resumable) {
    Fail(request, {502, "endpoint_failed", "no endpoint finished the answer",
                   RunStateOf(request), std::chrono::seconds(1)});
    return;
  }
  // Jobs are exempt from the retry budget: they must complete, and because they
  // wait in the queue their retries add no burst of load.
  if (request.may_have_run && !request.job.has_value() &&
      !retry_budget_.TryTake()) {
    Fail(request, {503, "retry_budget_empty",
                   "too many requests are being retried at present",
                   RunStateOf(request), std::chrono::seconds(2)});
    return;
  }
  // Every endpoint has failed the request once; all become eligible again.
  if (!registry_.HasCandidate(
          MakeEndpointQuery(request, CrashVerdict::kClear))) {
    request.excluded_endpoints.clear();
  }
  Enqueue(request);
}

void Core::FinishAtTokenLimit(Request& request) {
  request.answer.MarkLengthReached();
  if (request.head_sent && request.caller.has_value()) {
    ports_.callers.SendBody(
        *request.caller,
        BuildFinishEvent(
            request.answer, request.CompletionId(),
            request.model.value() + ":" + request.version.value()));
  }
  OnAnswerComplete(request);
}

void Core::ResolveBrokenAttempts(const EndpointId& endpoint, bool crashed) {
  auto found = attempts_awaiting_probe_.find(endpoint);
  if (found == attempts_awaiting_probe_.end()) {
    return;
  }
  std::vector<BrokenAttempt> broken = std::move(found->second);
  attempts_awaiting_probe_.erase(found);
  probe_results_to_ignore_.erase(endpoint);
  if (crashed) {
    std::vector<Fingerprint> in_flight = registry_.InFlight(endpoint);
    for (const BrokenAttempt& attempt : broken) {
      in_flight.push_back(attempt.fingerprint);
    }
    BroadcastSuspects(
        quarantine_.OnCrash(endpoint, in_flight, ports_.clock.Now()));
    registry_.Suspect(endpoint, "crashed");
  }
  for (const BrokenAttempt& attempt : broken) {
    Request* request = FindRequest(attempt.request);
    if (request == nullptr || request->stage != RequestStage::kAwaitingProbe) {
      continue;
    }
    EventContext context;
    context.request = request->id;
    context.endpoint = endpoint;
    if (crashed) {
      bool convicted =
          quarantine_.Check(request->fingerprint, ports_.clock.Now()) ==
          CrashVerdict::kBlocked;
      ports_.log.Write(
          convicted ? EventId::kRequestConvicted : EventId::kRequestSuspected,
          context, "endpoint crashed");
    }
    CountRolloutAnswer(*request, crashed);
    request->excluded_endpoints.insert(endpoint);
    Retry(*request);
  }
}

void Core::CheckTimeouts(TimePoint now) {
  // Collects ids first, because handling one request may remove it or others.
  std::vector<RequestId> due;
  for (const auto& [id, request] : requests_) {
    bool past_deadline = now >= request.deadline;
    bool poll_due =
        request.next_poll != TimePoint() && now >= request.next_poll;
    bool silence_expired = false;
    if (request.attempt.has_value() && !request.attempt->timed_out &&
        request.repeatable) {
      const RunningAttempt& attempt = *request.attempt;
      DelayKind kind =
          attempt.first_token ? DelayKind::kTokenGap : DelayKind::kFirstToken;
      silence_expired = now - attempt.last_progress >
                        detector_.Timeout(attempt.endpoint, kind);
    }
    bool keep_alive_due = request.stream_requested &&
                          request.caller.has_value() &&
                          request.stage != RequestStage::kRunning &&
                          now - request.last_keep_alive >= kKeepAliveInterval;
    if (past_deadline || poll_due || silence_expired || keep_alive_due) {
      due.push_back(id);
    }
  }
  for (const RequestId& id : due) {
    Request* request = FindRequest(id);
    if (request != nullptr) {
      OnTimerDue(*request, now);
    }
  }
}

void Core::OnTimerDue(Request& request, TimePoint now) {
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
    // Delays that end in a timeout are recorded too; without them the samples
    // would be biased towards short delays and the timeout would shrink under
    // load.
    detector_.Observe(
        attempt.endpoint,
        attempt.first_token ? DelayKind::kTokenGap : DelayKind::kFirstToken,
        std::chrono::duration_cast<std::chrono::microseconds>(
            now - attempt.last_progress));
    registry_.Suspect(attempt.endpoint,
                      attempt.first_token
                          ? "timeout while waiting for the next token"
                          : "timeout while waiting for the first token");
    Probe(attempt.endpoint);
    ports_.endpoints.Cancel(attempt.id);
    return;
  }
  SendKeepAlive(request, now);
}

void Core::OnDeadline(Request& request, TimePoint now) {
  if (request.stage == RequestStage::kAwaitingRating) {
    Complete(request);
    return;
  }
  if (request.stage == RequestStage::kCompleting) {
    // The answer is complete and is charged, but its charge is not stored yet.
    Deliver(request.id, BuildStoredAnswer(request));
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
  if (request.stage == RequestStage::kRunning && !request.repeatable &&
      !request.detached) {
    // The call continues, so that its outcome is recorded for later requests
    // with the same key.
    if (request.caller.has_value()) {
      ReplyError(*request.caller, error);
      request_by_caller_.erase(*request.caller);
      request.caller.reset();
    }
    request.detached = true;
    request.deadline = now + kDetachedExecutionTime;
    return;
  }
  if (request.attempt.has_value()) {
    AttemptId attempt = request.attempt->id;
    request_by_attempt_.erase(attempt);
    ports_.endpoints.Cancel(attempt);
  }
  Fail(request, error);
}

}  // namespace filbertshift
