// Completes requests: charges, stored answers and responses to callers.

#include <fmt/format.h>

#include <utility>

#include "src/core/core.h"

namespace filbertshift {

namespace {

constexpr std::string_view kJson = "application/json";
constexpr std::string_view kEventStream = "text/event-stream";

std::int64_t UnixSeconds(WallTime time) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             time.time_since_epoch())
      .count();
}

}  // namespace

void Core::SendHead(Request& request,
                    int status,
                    const std::string& content_type,
                    bool streaming) {
  request.head_sent = true;
  std::vector<HttpHeader> headers = {{"X-Request-Id", request.id.value()}};
  if (!content_type.empty()) {
    headers.push_back({"Content-Type", content_type});
  }
  if (!request.version.empty()) {
    headers.push_back({"X-Model-Version",
                       request.model.value() + ":" + request.version.value()});
  }
  if (streaming) {
    headers.push_back({"Cache-Control", "no-cache"});
  }
  ports_.callers.SendHead(*request.caller, status, std::move(headers),
                          streaming);
}

void Core::OnAnswerComplete(Request& request) {
  bool rate_before_delivery = request.quality_class.quality_target > 0 &&
                              !request.stream_requested &&
                              !request.model_named_by_caller;
  if (rate_before_delivery && RequestRating(request, true)) {
    request.stage = RequestStage::kAwaitingRating;
    return;
  }
  double sample = static_cast<double>(ports_.random.Next() >> 11) * 0x1p-53;
  if (sample >= options_.rating_share || !RequestRating(request, false)) {
    CountRolloutAnswer(request, false);
  }
  Complete(request);
}

void Core::Complete(Request& request) {
  request.stage = RequestStage::kCompleting;
  CheckInvariant(request.kind == RequestKind::kService || request.answer.done(),
                 "I7", request);
  if (quarantine_.Clear(request.fingerprint)) {
    ports_.peers.Broadcast(PeerSuspectCleared{request.fingerprint});
  }
  StoredAnswer answer = BuildStoredAnswer(request);
  Charge charge = MakeCharge(request);
  RequestId id = request.id;
  if (request.job.has_value()) {
    jobs_.Finish(*request.job, JobState::kDone, answer, charge);
    Finish(request, "ok");
  } else if (request.ticket.has_value()) {
    executions_.Complete(*request.ticket, answer, charge,
                         [this, id, answer](bool) { Deliver(id, answer); });
  } else if (!charges_.Add(charge,
                           [this, id, answer] { Deliver(id, answer); })) {
    // The charge buffer became full after the request was accepted; the answer
    // is still delivered.
    Deliver(id, answer);
  }
}

StoredAnswer Core::BuildStoredAnswer(const Request& request) const {
  if (request.kind == RequestKind::kService) {
    return request.service_answer;
  }
  std::string model = request.model.value() + ":" + request.version.value();
  std::int64_t created = UnixSeconds(ports_.clock.WallNow());
  if (request.stream_requested) {
    return {200, std::string(kEventStream),
            BuildCompletionEvents(request.answer, request.CompletionId(), model,
                                  created)};
  }
  return {200, std::string(kJson),
          BuildCompletionBody(request.answer, request.CompletionId(), model,
                              created)};
}

void Core::Deliver(const RequestId& id, const StoredAnswer& answer) {
  Request* request = FindRequest(id);
  if (request == nullptr) {
    return;
  }
  if (request->caller.has_value()) {
    CallerId caller = *request->caller;
    if (!request->head_sent) {
      SendHead(*request, answer.http_status, answer.content_type, false);
      ports_.callers.SendBody(caller, answer.body);
    } else if (request->answer.done()) {
      if (request->usage_requested) {
        ports_.callers.SendBody(
            caller, BuildUsageEvent(request->answer, request->CompletionId(),
                                    request->model.value() + ":" +
                                        request->version.value()));
      }
      ports_.callers.SendBody(caller, std::string(kDoneEvent));
    } else {
      // A stored answer for a caller whose stream was already opened by a
      // keep-alive comment.
      ports_.callers.SendBody(caller, answer.body);
    }
    ports_.callers.Finish(caller);
  }
  Finish(*request, "ok");
}

void Core::Fail(Request& request, CallerError error) {
  EventContext context;
  context.request = request.id;
  ports_.log.Write(EventId::kRequestFailed, context,
                   fmt::format("{} run={} {}", error.code,
                               RunStateName(error.run), error.message));
  CheckInvariant(error.run != RunState::kNotRun ||
                     RunStateOf(request) == RunState::kNotRun,
                 "I8", request);
  bool reserved = request.ticket.has_value() && request.ticket->reserved;
  if (reserved && RunStateOf(request) == RunState::kNotRun) {
    executions_.Release(*request.ticket);
  }
  if (request.job.has_value()) {
    jobs_.Finish(
        *request.job, JobState::kFailed,
        {error.http_status, std::string(kJson), CallerErrorBody(error)},
        std::nullopt);
  }
  if (request.caller.has_value()) {
    if (request.head_sent) {
      // Without [DONE] the caller can tell that the answer is incomplete.
      ports_.callers.SendBody(*request.caller,
                              "data: " + CallerErrorBody(error) + "\n\n");
      ports_.callers.Finish(*request.caller);
    } else {
      ReplyError(*request.caller, error);
    }
  }
  if (request.answer.answer_tokens() > 0 && request.head_sent &&
      !request.ticket.has_value()) {
    charges_.Add(MakeCharge(request), [] {});
  }
  Finish(request, error.code);
}

void Core::Finish(Request& request, const std::string& code) {
  queue_.Remove(request.id);
  if (request.caller.has_value()) {
    request_by_caller_.erase(*request.caller);
  }
  auto in_flight = in_flight_by_account_.find(request.account);
  if (in_flight != in_flight_by_account_.end() && --in_flight->second <= 0) {
    in_flight_by_account_.erase(in_flight);
  }
  auto duration = std::chrono::duration_cast<std::chrono::microseconds>(
      ports_.clock.Now() - request.received);
  ports_.metrics.OnRequestEnd(request.quality_class.name, code, duration);
  if (code == "ok") {
    EventContext context;
    context.request = request.id;
    ports_.log.Write(
        EventId::kRequestFinished, context,
        fmt::format("model={} version={} tokens={} attempts={}",
                    request.model.value(), request.version.value(),
                    request.answer.answer_tokens(), request.attempts));
  }
  RequestId id = request.id;
  requests_.erase(id);
}

Charge Core::MakeCharge(const Request& request) const {
  Charge charge;
  charge.id = request.idempotency_key.empty()
                  ? request.id.value()
                  : request.account.value() + "/" + request.idempotency_key;
  if (request.job.has_value()) {
    charge.id = request.job->value();
  }
  charge.account = request.account;
  charge.request = request.id;
  charge.model = request.model;
  charge.version = request.version;
  charge.service = request.service.value();
  charge.prompt_tokens = request.answer.prompt_tokens();
  charge.answer_tokens = request.answer.answer_tokens();
  return charge;
}

RunState Core::RunStateOf(const Request& request) const {
  // An attempt in progress may have been sent before its AttemptSent arrives.
  bool may_be_sent = request.attempt.has_value() && !request.attempt->refused;
  return request.may_have_run || may_be_sent ? RunState::kUnknown
                                             : RunState::kNotRun;
}

void Core::Reply(const CallerRequest& call,
                 int status,
                 const std::string& content_type,
                 std::string body) {
  ports_.callers.SendHead(call.caller, status, {{"Content-Type", content_type}},
                          false);
  ports_.callers.SendBody(call.caller, std::move(body));
  ports_.callers.Finish(call.caller);
}

void Core::ReplyError(CallerId caller, const CallerError& error) {
  std::vector<HttpHeader> headers = {{"Content-Type", std::string(kJson)}};
  if (error.retry_after.count() > 0) {
    headers.push_back(
        {"Retry-After", std::to_string(error.retry_after.count())});
  }
  ports_.callers.SendHead(caller, error.http_status, std::move(headers), false);
  ports_.callers.SendBody(caller, CallerErrorBody(error));
  ports_.callers.Finish(caller);
}

void Core::SendKeepAlive(Request& request, TimePoint now) {
  request.last_keep_alive = now;
  if (!request.head_sent) {
    SendHead(request, 200, std::string(kEventStream), true);
  }
  ports_.callers.SendBody(*request.caller, ": waiting\n\n");
}

void Core::OnMessage(CallerDisconnected&& gone) {
  auto found = request_by_caller_.find(gone.caller);
  if (found == request_by_caller_.end()) {
    return;
  }
  Request* request = FindRequest(found->second);
  request_by_caller_.erase(found);
  if (request == nullptr) {
    return;
  }
  EventContext context;
  context.request = request->id;
  ports_.log.Write(EventId::kCallerGone, context, "");
  request->caller.reset();
  if (!request->IsCancelledOnDisconnect() ||
      request->stage == RequestStage::kCompleting) {
    return;
  }
  request->abandoned = true;
  if (request->attempt.has_value()) {
    ports_.endpoints.Cancel(request->attempt->id);
  } else {
    Finish(*request, "caller_gone");
  }
}

}  // namespace filbertshift
