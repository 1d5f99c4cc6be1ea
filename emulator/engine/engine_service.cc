#include "emulator/engine/engine_service.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace filbertshift::emulator {

namespace {

HttpResponse ChatError(int status,
                       const std::string& code,
                       const std::string& message) {
  return JsonResponse(
      status,
      Json{{"error",
            {{"message", message},
             {"type", status < 500 ? "invalid_request_error" : "server_error"},
             {"code", code}}}});
}

HttpResponse NotRunError(int status, const std::string& code) {
  HttpResponse response = ChatError(status, code, "the request was not run");
  response.headers.push_back({"X-Not-Run", "true"});
  return response;
}

}  // namespace

EngineService::Job::Job(ExchangeId job_exchange,
                        ChatRequest job_request,
                        Answer job_answer,
                        CompletionFormat job_format)
    : exchange(job_exchange),
      request(std::move(job_request)),
      answer(std::move(job_answer)),
      format(std::move(job_format)) {}

EngineService::EngineService(const ServicePorts& ports, EngineSettings settings)
    : EmulatedService(ports),
      settings_(std::move(settings)),
      batch_(settings_, std::chrono::steady_clock::now()) {
  history_.StartIncarnation(WallMilliseconds());
  SampleLoad();
}

EngineService::~EngineService() {
  Stop();
}

HttpResponse EngineService::HandleControl(const HttpRequest& request) {
  if (request.path == "/_history") {
    std::lock_guard<std::mutex> lock(mutex_);
    const std::string after = request.QueryValue("after");
    return JsonResponse(
        200, history_.ToJson(std::strtoull(after.c_str(), nullptr, 10)));
  }
  if (request.path != "/_control") {
    return ErrorResponse(404, "unknown path");
  }
  ApplyControl(request.body);
  return JsonResponse(200, Json{{"ok", true}});
}

void EngineService::ApplyControl(const std::string& body) {
  std::lock_guard<std::mutex> lock(mutex_);
  ControlReader control(body);
  faults_.Apply(&control);
  server().SetExtraHeaders(faults_.headers);
  batch_.set_slowdown_factor(faults_.slow);
  batch_.set_hung(faults_.hang);
  if (std::exchange(faults_.crash, false)) {
    EndIncarnation("crash by control", settings_.restart_duration);
  }
  if (std::exchange(faults_.silent_restart, false)) {
    EndIncarnation("silent restart by control", std::chrono::milliseconds(0));
  }
  ScheduleStep();
}

void EngineService::HandleRequest(ExchangeId exchange, HttpRequest request) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (restarting_) {
    server().Cut(exchange);
    return;
  }
  if (request.method == "GET" && request.path == "/health") {
    server().Respond(exchange, JsonResponse(200, Json{{"status", "ok"}}));
  } else if (request.method == "GET" && request.path == "/metrics") {
    server().Respond(exchange, TextResponse(200, MetricsText()));
  } else if (request.method == "POST" &&
             request.path == "/v1/chat/completions") {
    HandleChat(exchange, request);
  } else {
    server().Respond(exchange, ChatError(404, "not_found", "unknown path"));
  }
}

void EngineService::HandleBroken(ExchangeId exchange) {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto found = jobs_by_exchange_.find(exchange);
  if (found != jobs_by_exchange_.end()) {
    FinishJob(found->second, EngineOutcome::kCancelled);
    ScheduleStep();
  }
}

void EngineService::HandleChat(ExchangeId exchange,
                               const HttpRequest& http_request) {
  const std::string request_id = http_request.Header("X-Request-Id");
  if (faults_.refuse) {
    HttpResponse response = NotRunError(503, "refused");
    if (!faults_.retry_after.empty()) {
      response.headers.push_back({"Retry-After", faults_.retry_after});
    }
    Refuse(exchange, request_id, std::move(response));
    return;
  }
  ChatRequest request;
  try {
    request = ParseChatRequest(http_request.body);
  } catch (const ChatRequestError& error) {
    Refuse(exchange, request_id,
           ChatError(400, "invalid_request", error.what()));
    return;
  }
  Answer answer(VersionLabel(settings_.model, settings_.version),
                request.prompt);
  const std::optional<Answer::Match> match = answer.MatchPrefix(request.prefix);
  const std::size_t matched_tokens = match ? match->tokens : 0;
  const std::size_t end_token =
      request.max_tokens ? matched_tokens + *request.max_tokens
                         : std::max(matched_tokens, answer.DefaultLength());
  const std::optional<HttpResponse> rejection =
      ValidateRequest(request, match, matched_tokens == end_token);
  if (rejection) {
    Refuse(exchange, request_id, *rejection);
    return;
  }
  const std::int64_t now_ms = WallMilliseconds();
  Job job(exchange, std::move(request), std::move(answer),
          CompletionFormat(fmt::format("chatcmpl-{}", now_ms), settings_.model,
                           now_ms / 1000));
  job.next_token = matched_tokens;
  job.end_token = end_token;
  job.prefix_bytes = match->partial_bytes;
  Admit(std::move(job), request_id);
}

std::optional<HttpResponse> EngineService::ValidateRequest(
    const ChatRequest& request,
    const std::optional<Answer::Match>& match,
    bool prefix_complete) const {
  const std::string label = VersionLabel(settings_.model, settings_.version);
  if (request.model != settings_.model && request.model != settings_.version &&
      request.model != label) {
    return ChatError(404, "model_not_found",
                     "this engine has the model " + label);
  }
  if (!match) {
    return ChatError(400, "prefix_mismatch",
                     "the last message is not the start of the answer");
  }
  if (prefix_complete) {
    return ChatError(400, "prefix_complete",
                     "the last message is the whole answer");
  }
  return std::nullopt;
}

void EngineService::Refuse(ExchangeId exchange,
                           const std::string& request_id,
                           HttpResponse response) {
  EngineRecord record;
  record.request_id = request_id;
  record.life = history_.incarnation().number;
  record.start_ms = WallMilliseconds();
  record.end_ms = record.start_ms;
  record.outcome = EngineOutcome::kRefused;
  record.status = response.status;
  history_.Add(record);
  response.headers.push_back({"X-Request-Id", request_id});
  server().Respond(exchange, std::move(response));
}

void EngineService::Admit(Job job, const std::string& request_id) {
  EngineRecord record;
  record.request_id = request_id;
  record.prompt_hash = TextHash(job.request.prompt);
  record.life = history_.incarnation().number;
  record.start_ms = WallMilliseconds();
  record.first_token = job.next_token;
  job.sequence = history_.Add(record);
  const BatchRequestId id{job.sequence};
  const BatchAdmission admission =
      batch_.Add(id, job.request.prompt + job.request.prefix,
                 std::chrono::steady_clock::now());
  history_.incarnation().high_water = batch_.high_water();
  if (admission == BatchAdmission::kQueueFull) {
    EngineRecord& added = history_.Find(job.sequence);
    added.outcome = EngineOutcome::kRefused;
    added.status = 429;
    added.end_ms = added.start_ms;
    server().Respond(job.exchange, NotRunError(429, "queue_full"));
    return;
  }
  job.garbage = ConsumeFault(&faults_.garbage);
  jobs_by_exchange_[job.exchange] = id;
  const Job& added = jobs_.emplace(id, std::move(job)).first->second;
  if (admission == BatchAdmission::kOverload) {
    EndIncarnation("overload while cold", settings_.restart_duration);
    return;
  }
  StartAnswer(added, request_id);
  SampleLoad();
  ScheduleStep();
}

void EngineService::StartAnswer(const Job& job, const std::string& request_id) {
  std::string answered_id = request_id;
  if (ConsumeFault(&faults_.wrong_request_id)) {
    answered_id = "wrong-" + TextHash(request_id);
  }
  history_.Find(job.sequence).answered_request_id = answered_id;
  if (!job.request.stream) {
    return;
  }
  server().StartStream(
      job.exchange, 200,
      {{"Content-Type", "text/event-stream"}, {"X-Request-Id", answered_id}});
}

void EngineService::ScheduleStep() {
  const std::optional<SteadyTime> next = batch_.NextStep();
  if (!next || (scheduled_step_ && *scheduled_step_ <= *next)) {
    return;
  }
  scheduled_step_ = next;
  scheduler().At(*next, [this, due = *next] { OnStepTimer(due); });
}

void EngineService::OnStepTimer(SteadyTime due) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (scheduled_step_ == due) {
    scheduled_step_.reset();
  }
  RunStep();
  ScheduleStep();
}

void EngineService::RunStep() {
  for (const BatchRequestId id :
       batch_.Step(std::chrono::steady_clock::now())) {
    if (EmitToken(id)) {
      return;
    }
  }
  SampleLoad();
}

bool EngineService::EmitToken(BatchRequestId id) {
  Job& job = jobs_.at(id);
  EngineRecord& record = history_.Find(job.sequence);
  if (job.request.prompt.find(kCrashPrompt) != std::string::npos) {
    EndIncarnation("crash by prompt", settings_.restart_duration);
    return true;
  }
  if (job.garbage) {
    server().SendBytes(job.exchange, CompletionFormat::InvalidChunk());
    FinishJob(id, EngineOutcome::kGarbage);
    return false;
  }
  if (faults_.truncate_after &&
      job.generated_tokens >= *faults_.truncate_after) {
    FinishJob(id, EngineOutcome::kTruncated);
    return false;
  }
  const std::string token =
      job.answer
          .Token(job.next_token, faults_.bad_quality ? AnswerQuality::kBad
                                                     : AnswerQuality::kGood)
          .substr(std::exchange(job.prefix_bytes, 0));
  if (!job.request.stream) {
    job.text += token;
  } else {
    const std::string role =
        job.generated_tokens == 0 ? job.format.RoleChunk() : "";
    server().SendBytes(job.exchange, role + job.format.TokenChunk(token));
  }
  if (job.generated_tokens == 0) {
    record.first_token_ms = WallMilliseconds();
  }
  ++job.next_token;
  record.tokens = ++job.generated_tokens;
  ++tokens_total_;
  if (job.next_token == job.end_token) {
    CompleteJob(id);
  }
  return false;
}

void EngineService::CompleteJob(BatchRequestId id) {
  const Job& job = jobs_.at(id);
  // Tokens of a continued prefix count as prompt tokens.
  const std::size_t prefix_tokens = history_.Find(job.sequence).first_token;
  const CompletionUsage usage{
      CountPromptTokens(job.request.prompt) + prefix_tokens,
      job.generated_tokens};
  const std::string reason = job.request.max_tokens ? "length" : "stop";
  if (job.request.stream) {
    server().SendBytes(job.exchange, job.format.FinalChunks(reason, usage));
  } else {
    HttpResponse response =
        JsonResponse(200, job.format.ResponseBody(job.text, reason, usage));
    response.headers.push_back(
        {"X-Request-Id", history_.Find(job.sequence).answered_request_id});
    server().Respond(job.exchange, std::move(response));
  }
  FinishJob(id, EngineOutcome::kComplete);
}

void EngineService::FinishJob(BatchRequestId id, EngineOutcome outcome) {
  const Job& job = jobs_.at(id);
  EngineRecord& record = history_.Find(job.sequence);
  record.outcome = outcome;
  record.end_ms = WallMilliseconds();
  const bool cut =
      outcome == EngineOutcome::kCrashed ||
      (outcome == EngineOutcome::kTruncated && faults_.truncate_cut) ||
      (outcome != EngineOutcome::kComplete && !job.request.stream);
  if (cut) {
    server().Cut(job.exchange);
  } else {
    server().FinishStream(job.exchange);
  }
  batch_.Remove(id, std::chrono::steady_clock::now());
  jobs_by_exchange_.erase(job.exchange);
  jobs_.erase(id);
  SampleLoad();
}

void EngineService::EndIncarnation(const std::string& cause,
                                   std::chrono::milliseconds downtime) {
  if (restarting_) {
    return;
  }
  restarting_ = true;
  while (!jobs_.empty()) {
    FinishJob(jobs_.begin()->first, EngineOutcome::kCrashed);
  }
  history_.EndIncarnation(WallMilliseconds(), cause);
  Crash(downtime, [this] { StartIncarnation(); });
}

void EngineService::StartIncarnation() {
  std::lock_guard<std::mutex> lock(mutex_);
  batch_.Restart(std::chrono::steady_clock::now());
  history_.StartIncarnation(WallMilliseconds());
  load_samples_.clear();
  SampleLoad();
  restarting_ = false;
}

void EngineService::SampleLoad() {
  const SteadyTime now = std::chrono::steady_clock::now();
  load_samples_.push_back({now, batch_.running(), batch_.waiting()});
  while (load_samples_.size() > 1 &&
         load_samples_[1].time <= now - settings_.metrics_lag) {
    load_samples_.pop_front();
  }
}

std::string EngineService::MetricsText() {
  SampleLoad();
  const LoadSample& load = load_samples_.front();
  return fmt::format(
      "# TYPE process_start_time_seconds gauge\n"
      "process_start_time_seconds {:.3f}\n"
      "# TYPE engine_num_requests_running gauge\n"
      "engine_num_requests_running {}\n"
      "# TYPE engine_num_requests_waiting gauge\n"
      "engine_num_requests_waiting {}\n"
      "# TYPE engine_tokens_total counter\n"
      "engine_tokens_total {}\n",
      static_cast<double>(history_.incarnation().start_ms) / 1000, load.running,
      load.waiting, tokens_total_);
}

}  // namespace filbertshift::emulator
