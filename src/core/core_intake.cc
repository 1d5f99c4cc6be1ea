// Accepts requests and jobs and prepares them for the queue.

#include <fmt/format.h>
#include <xxhash.h>

#include <limits>
#include <utility>

#include "src/core/core.h"

namespace filbertshift {

namespace {

constexpr std::chrono::milliseconds kExecutionPollInterval{500};
// No caller waits for a job, so its run gets this deadline.
constexpr std::chrono::hours kJobDeadline{24};
constexpr std::chrono::seconds kStoreRetryAfter{2};
// Scales the upper 53 bits of a 64-bit value to [0, 1).
constexpr double kTwoToMinus53 = 1.0 / 9007199254740992.0;

double MapToUnitInterval(std::uint64_t value) {
  return static_cast<double>(value >> 11) * kTwoToMinus53;
}

std::string JobStateName(JobState state) {
  switch (state) {
    case JobState::kQueued:
      return "queued";
    case JobState::kRunning:
      return "running";
    case JobState::kDone:
      return "done";
    case JobState::kFailed:
      return "failed";
  }
  return "failed";
}

}  // namespace

void Core::OnMessage(CallerRequest&& call) {
  if (!ready()) {
    bool stopping = shutting_down_;
    ReplyError(call.caller, {503, stopping ? "shutting_down" : "not_ready",
                             stopping ? "this instance is shutting down"
                                      : "no verified configuration yet",
                             RunState::kNotRun, std::chrono::seconds(1)});
    return;
  }
  RequestId id("r-" + NewRandomId());
  IntakeResult intake = ParseCallerRequest(call, configuration(), id);
  if (auto* error = std::get_if<CallerError>(&intake)) {
    EventContext context;
    context.request = id;
    ports_.log.Write(EventId::kRequestRefused, context, error->code);
    ports_.metrics.OnRequestEnd("", error->code, std::chrono::microseconds(0));
    ReplyError(call.caller, *error);
  } else if (auto* listing = std::get_if<ModelListing>(&intake)) {
    Reply(call, 200, "application/json", std::move(listing->body));
  } else if (auto* query = std::get_if<JobQuery>(&intake)) {
    AnswerJobQuery(call, *query);
  } else if (auto* submission = std::get_if<JobSubmission>(&intake)) {
    SubmitJob(call, std::move(*submission));
  } else {
    Accept(std::move(std::get<Request>(intake)));
  }
}

void Core::Accept(Request request) {
  RequestId id = request.id;
  const ClientAccount* account = configuration().FindAccount(request.account);
  int in_flight = ++in_flight_by_account_[request.account];
  if (request.caller.has_value()) {
    request_by_caller_[*request.caller] = id;
  }
  Request& accepted = requests_.emplace(id, std::move(request)).first->second;
  accepted.last_keep_alive = accepted.received;
  EventContext context;
  context.request = id;
  ports_.log.Write(EventId::kRequestAccepted, context,
                   fmt::format("account={} class={}", accepted.account.value(),
                               accepted.quality_class.name));
  bool over_limit = account != nullptr && account->max_in_flight > 0 &&
                    in_flight > account->max_in_flight;
  if (over_limit && !accepted.job.has_value()) {
    Fail(accepted, {429, "too_many_requests",
                    "the client account has too many requests in progress",
                    RunState::kNotRun, std::chrono::seconds(1)});
  } else if (quarantine_.Check(accepted.fingerprint, ports_.clock.Now()) ==
             CrashVerdict::kBlocked) {
    Fail(accepted, {422, "request_crashes_endpoints",
                    "this request crashed two endpoints and is blocked",
                    RunState::kNotRun, std::chrono::seconds(0)});
  } else if (charges_.buffer_full() && !accepted.job.has_value()) {
    Fail(accepted,
         {503, "billing_unavailable", "charges cannot be stored at present",
          RunState::kNotRun, kStoreRetryAfter});
  } else {
    ChooseModel(accepted);
    Prepare(accepted);
  }
}

void Core::ChooseModel(Request& request) {
  const QualityClass& quality_class = request.quality_class;
  const ClientAccount* account = configuration().FindAccount(request.account);
  if (request.model_named_by_caller || account == nullptr) {
    return;
  }
  // The answer of a cheap model cannot be rated before delivery if the rating
  // service is unavailable or the answer is streamed to the caller.
  bool rating_possible = rating_available_ && !request.stream_requested;
  bool fallback_usable =
      !quality_class.fallback_model.empty() &&
      !SelectVersion(configuration(), *account, quality_class.fallback_model, 0,
                     StoppedVersions(quality_class.fallback_model))
           .empty();
  if (quality_class.quality_target > 0 && !rating_possible && fallback_usable) {
    request.model = quality_class.fallback_model;
    return;
  }
  std::vector<bool> usable;
  for (const ModelId& model : quality_class.cascade) {
    usable.push_back(!SelectVersion(configuration(), *account, model, 0,
                                    StoppedVersions(model))
                          .empty());
  }
  std::size_t start = cascade_.SelectFirstModel(
      quality_class, request.account, configuration(), usable,
      MapToUnitInterval(ports_.random.Next()));
  if (start < quality_class.cascade.size()) {
    request.model = quality_class.cascade[start];
  }
  if (rating_possible && quality_class.quality_target > 0 &&
      start + 1 < quality_class.cascade.size()) {
    retry_budget_.AddExpectedEscalations(
        1.0 - cascade_.PassProbability(quality_class.name, request.account,
                                       request.model));
  }
}

void Core::SubmitJob(const CallerRequest& call, JobSubmission submission) {
  CallerId caller = call.caller;
  JobId job = submission.request.job;
  jobs_.Accept(submission.request, [this, caller, job](bool durable) {
    if (!durable) {
      ReplyError(caller, {503, "job_not_stored",
                          "the job could not be stored and does not run",
                          RunState::kNotRun, kStoreRetryAfter});
      return;
    }
    nlohmann::json body = {{"id", job.value()}, {"status", "queued"}};
    std::string text = body.dump();
    ports_.callers.SendHead(caller, 202,
                            {{"Content-Type", "application/json"},
                             {"Location", "/v1/jobs/" + job.value()}},
                            false);
    ports_.callers.SendBody(caller, std::move(text));
    ports_.callers.Finish(caller);
  });
}

void Core::AnswerJobQuery(const CallerRequest& call, const JobQuery& query) {
  CallerId caller = call.caller;
  JobId job = query.job;
  AccountId account = query.account;
  jobs_.Status(job, [this, caller, job, account](const JobStatus& status) {
    if (!status.available) {
      ReplyError(caller, {503, "store_unavailable",
                          "the state of the job cannot be read at present",
                          RunState::kUnknown, kStoreRetryAfter});
      return;
    }
    // Jobs of other accounts are reported like jobs that do not exist.
    if (!status.known || status.account != account) {
      ReplyError(caller,
                 {404, "job_not_found", fmt::format("no job '{}'", job.value()),
                  RunState::kNotRun, std::chrono::seconds(0)});
      return;
    }
    nlohmann::json body = {{"id", job.value()},
                           {"status", JobStateName(status.state)}};
    bool ended =
        status.state == JobState::kDone || status.state == JobState::kFailed;
    if (ended) {
      body["http_status"] = status.answer.http_status;
      body["response"] =
          nlohmann::json::parse(status.answer.body, nullptr, false);
    }
    std::vector<HttpHeader> headers = {{"Content-Type", "application/json"}};
    if (!ended) {
      headers.push_back({"Retry-After", "1"});
    }
    ports_.callers.SendHead(caller, 200, std::move(headers), false);
    ports_.callers.SendBody(caller, body.dump());
    ports_.callers.Finish(caller);
  });
}

void Core::RunJob(const JobClaim& claim) {
  IntakeResult intake =
      ParseJobRequest(claim.request, configuration(),
                      RequestId("r-" + NewRandomId()), ports_.clock.Now());
  if (auto* request = std::get_if<Request>(&intake)) {
    request->deadline = ports_.clock.Now() + kJobDeadline;
    Accept(std::move(*request));
    return;
  }
  CallerError error{500, "invalid_job", "the job cannot be read",
                    RunState::kNotRun, std::chrono::seconds(0)};
  if (auto* reason = std::get_if<CallerError>(&intake)) {
    error = *reason;
  }
  jobs_.Finish(claim.request.job, JobState::kFailed,
               {error.http_status, "application/json", CallerErrorBody(error)},
               std::nullopt);
}

void Core::CancelJob(const JobId& job) {
  for (auto& [id, request] : requests_) {
    if (request.job == job) {
      request.job.reset();
      request.lost_lease = true;
      request.abandoned = true;
      if (request.attempt.has_value()) {
        ports_.endpoints.Cancel(request.attempt->id);
      } else {
        Finish(request, "job_lease_lost");
      }
      return;
    }
  }
}

void Core::Prepare(Request& request) {
  if (!request.idempotency_key.empty()) {
    PrepareExecution(request);
  } else {
    PrepareSession(request);
  }
}

void Core::PrepareExecution(Request& request) {
  ExecutionKey key{request.account, request.idempotency_key};
  request.next_poll = TimePoint();
  RequestId id = request.id;
  auto callback = [this, id](const BeginResult& result) {
    OnExecutionBegun(id, result);
  };
  if (request.repeatable) {
    executions_.Lookup(key, request.request_hash, id, callback);
  } else {
    executions_.Begin(key, request.request_hash, id, callback);
  }
}

void Core::OnExecutionBegun(const RequestId& id, const BeginResult& result) {
  Request* request = FindRequest(id);
  if (request == nullptr || request->stage != RequestStage::kPreparing) {
    // The request has ended in the meantime, and its call was certainly not
    // sent.
    if (result.status == BeginStatus::kOwned && result.ticket.reserved) {
      executions_.Release(result.ticket);
    }
    return;
  }
  switch (result.status) {
    case BeginStatus::kOwned:
      request->ticket = result.ticket;
      PrepareSession(*request);
      return;
    case BeginStatus::kReplay:
      Deliver(id, result.answer);
      return;
    case BeginStatus::kReplayUnavailable:
      Fail(*request,
           {503, "answer_unavailable",
            "the call was done before and its answer cannot be read at present",
            RunState::kRun, kStoreRetryAfter});
      return;
    case BeginStatus::kInProgress:
      request->next_poll = ports_.clock.Now() + kExecutionPollInterval;
      return;
    case BeginStatus::kKeyReused:
      Fail(*request, {422, "idempotency_key_reused",
                      "the idempotency key was used with another request",
                      RunState::kNotRun, std::chrono::seconds(0)});
      return;
    case BeginStatus::kUnavailable:
      // A repeatable request can run without the record; its result is stored
      // once the table service is available again.
      if (request->repeatable) {
        request->ticket = result.ticket;
        PrepareSession(*request);
      } else {
        Fail(*request, {503, "store_unavailable",
                        "the call could not be recorded and was not sent",
                        RunState::kNotRun, kStoreRetryAfter});
      }
      return;
  }
}

void Core::PrepareSession(Request& request) {
  if (request.kind != RequestKind::kChat || request.session.empty() ||
      request.version_named_by_caller) {
    Enqueue(request);
    return;
  }
  const ClientAccount* account = configuration().FindAccount(request.account);
  if (account == nullptr) {
    Enqueue(request);
    return;
  }
  ClientAccount account_copy = *account;
  ModelId model = request.model;
  const std::string& session = request.session.value();
  double selector = MapToUnitInterval(XXH64(session.data(), session.size(), 0));
  auto usable = [this, account_copy, model](const VersionId& version) {
    return configuration().IsAllowed(account_copy, model, version) &&
           StoppedVersions(model).count(version) == 0;
  };
  auto withdrawn = [usable](const VersionId& version) {
    return !usable(version);
  };
  auto replacement = [this, account_copy, model, selector,
                      usable](const VersionId& version) {
    const ModelVersion* old = configuration().FindVersion(model, version);
    if (old != nullptr && usable(old->successor)) {
      return old->successor;
    }
    std::set<VersionId> excluded = StoppedVersions(model);
    excluded.insert(version);
    return SelectVersion(configuration(), account_copy, model, selector,
                         excluded);
  };
  VersionId proposed = SelectVersion(configuration(), account_copy, model,
                                     selector, StoppedVersions(model));
  RequestId id = request.id;
  sessions_.Resolve(
      {request.account, request.session, model}, proposed, withdrawn,
      replacement,
      [this, id, account_copy, model](const SessionResult& result) {
        Request* found = FindRequest(id);
        if (found == nullptr || found->stage != RequestStage::kPreparing) {
          return;
        }
        if (result.status != SessionStatus::kUnavailable) {
          found->version = result.version;
          Enqueue(*found);
          return;
        }
        // With a single usable version the session cannot be bound to another
        // one.
        const Model* known = configuration().FindModel(model);
        int usable_versions = 0;
        for (const ModelVersion& version : known->versions) {
          usable_versions +=
              configuration().IsAllowed(account_copy, model, version.version)
                  ? 1
                  : 0;
        }
        if (usable_versions == 1) {
          Enqueue(*found);
          return;
        }
        Fail(*found, {503, "session_unavailable",
                      "the version of this session cannot be read at present",
                      RunState::kNotRun, kStoreRetryAfter});
      });
}

void Core::Enqueue(Request& request) {
  const ClientAccount* account = configuration().FindAccount(request.account);
  if (request.kind == RequestKind::kChat && request.version.empty() &&
      account != nullptr) {
    request.version = SelectVersion(configuration(), *account, request.model,
                                    MapToUnitInterval(ports_.random.Next()),
                                    StoppedVersions(request.model));
  }
  if (request.kind == RequestKind::kChat && request.version.empty()) {
    Fail(request, {403, "version_not_allowed",
                   "no version of the model is allowed at present",
                   RunStateOf(request), std::chrono::seconds(0)});
    return;
  }
  // The limit does not apply to requests that are queued again after a lost
  // attempt, nor to jobs.
  int limit = request.attempts > 0 || request.job.has_value()
                  ? std::numeric_limits<int>::max()
                  : request.quality_class.queue_limit;
  QueuedRequest queued;
  queued.request = request.id;
  queued.account = request.account;
  queued.quality_class = request.quality_class.name;
  queued.priority = request.quality_class.priority;
  queued.weight = request.weight;
  queued.deadline = request.deadline;
  queued.cost = 1.0 + static_cast<double>(request.raw_body.size()) / 4.0;
  request.stage = RequestStage::kQueued;
  if (!queue_.Push(queued, limit)) {
    Fail(request, {429, "queue_full",
                   fmt::format("too many waiting requests of class '{}'",
                               request.quality_class.name),
                   RunStateOf(request), std::chrono::seconds(1)});
    return;
  }
  queue_drain_needed_ = true;
}

}  // namespace filbertshift
