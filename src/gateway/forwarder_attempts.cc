// Attempts at endpoints: start, end and repeat.

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "src/gateway/forwarder.h"

namespace filbertshift {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Interval between attempts to find an available endpoint.
constexpr milliseconds kDispatchRetryInterval{20};
// An unsent request waits for an endpoint for at most its objective divided by
// this; a longer wait costs more than a refusal.
constexpr int kMaxWaitDivisor = 8;
// Maximum wait of an interrupted stream for an endpoint that resumes it.
constexpr milliseconds kMaxResumeWait{2500};
// Additional sends beyond the route's max_attempts, for endpoints that refuse.
constexpr int kMaxExtraSends = 3;
// Maximum attempts per request, including failed connections.
constexpr int kMaxAttempts = 12;
// A request is not sent if less time than this is left until its deadline.
constexpr milliseconds kMinTimeLeft{20};
// Maximum idle time of a reused connection. Lower for requests that cannot be
// repeated, because the endpoint may close an idle connection while the request
// is in transit.
constexpr milliseconds kMaxIdleUnrepeatable{1500};
constexpr milliseconds kMaxIdle{60000};

constexpr int kPermilleScale = 1000;
// Weight of the latest response in the expected bytes of a route.
constexpr double kResponseBytesWeight = 0.05;

}  // namespace

VersionRule Forwarder::RuleFor(const Exchange& exchange) const {
  auto order = view_.orders().find(exchange.service);
  const RolloutOrder* known =
      order == view_.orders().end() ? nullptr : &order->second;
  return versions_.RuleFor(known, view_.FindProgress(exchange.service),
                           exchange.session, transport_->Now(),
                           !exchange.metadata.session.empty());
}

double Forwarder::ModelWeight(const Exchange& exchange,
                              const ModelId& model) const {
  const ServiceSettings* service =
      exchange.configuration->FindService(exchange.service);
  if (service == nullptr) {
    return 1;
  }
  double largest = 0;
  double model_cost = 0;
  for (const ModelCost& entry : service->models) {
    largest = std::max(largest, entry.cost);
    model_cost = entry.model == model ? entry.cost : model_cost;
  }
  return largest > 0 && model_cost > 0 ? model_cost / largest : 1;
}

DispatchQuery Forwarder::QueryFor(const Exchange& exchange) const {
  DispatchQuery query;
  query.service = exchange.service;
  VersionRule rule = RuleFor(exchange);
  query.allows_version = [rule](const VersionId& version) {
    return rule.Allows(version);
  };
  if (rule.endpoint_share_permille > 0) {
    int ready = pool_.CountReady(exchange.service, rule.version, true);
    query.max_endpoints =
        (ready * rule.endpoint_share_permille + kPermilleScale - 1) /
        kPermilleScale;
  }
  if (rule.max_endpoints > 0) {
    query.max_endpoints = rule.max_endpoints;
  }
  query.model = exchange.model;
  query.affinity = exchange.affinity;
  query.request_hash = exchange.request_hash;
  auto response_bytes = response_bytes_.find(exchange.route->name);
  query.bytes = static_cast<double>(exchange.body->size()) +
                (response_bytes == response_bytes_.end()
                     ? 0
                     : response_bytes->second.value());
  query.excluded = FullEndpointsFor(exchange);
  query.excluded.insert(query.excluded.end(), exchange.tried.begin(),
                        exchange.tried.end());
  query.may_probe = exchange.route->repeatable();
  query.local_data_centre = data_centre_;
  const std::vector<PromptPart>& parts = exchange.metadata.prompt_parts;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    query.work.shared_tokens += static_cast<double>(parts[i].tokens);
  }
  query.work.prompt_tokens =
      static_cast<double>(exchange.metadata.prompt_tokens);
  query.work.model_weight = ModelWeight(exchange, exchange.model);
  return query;
}

DispatchChoice Forwarder::SelectEndpoint(const Exchange& exchange) {
  TimePoint now = transport_->Now();
  DispatchQuery query = QueryFor(exchange);
  DispatchChoice choice = pool_.Choose(query, now);
  if (!choice.endpoint.has_value() && !exchange.tried.empty()) {
    // Fall back to endpoints that were already tried.
    query.excluded = FullEndpointsFor(exchange);
    choice = pool_.Choose(query, now);
  }
  if (choice.endpoint.has_value() ||
      choice.reason != NoEndpointReason::kNoCandidate) {
    return choice;
  }
  // No endpoint runs the version assigned to this session: any version may
  // serve it, unless the rule forbids the candidate.
  auto order = view_.orders().find(exchange.service);
  if (order != view_.orders().end() &&
      !RuleFor(exchange).Allows(order->second.to)) {
    return choice;
  }
  query.allows_version = nullptr;
  return pool_.Choose(query, now);
}

void Forwarder::Dispatch(ConnectionId caller) {
  Exchange* exchange = Find(caller);
  if (exchange == nullptr || exchange->attempt.has_value() ||
      exchange->admission_wait_since.has_value()) {
    return;
  }
  TimePoint now = transport_->Now();
  if (exchange->deadline - now < kMinTimeLeft) {
    GiveUp(exchange, 504, "deadline", "deadline");
    return;
  }
  if (!FitsBeforeStop(*exchange)) {
    GiveUp(exchange, 502, "shutting_down", "shutting_down");
    return;
  }
  if (contact_.stranded() && MoveToPeer(exchange)) {
    return;
  }
  // A repeat takes part of the shared budget even if it fails at once.
  if (exchange->sends > 0 && contact_.IsProbablyLost(now)) {
    exchange->dispatch_timer = transport_->After(
        kDispatchRetryInterval, [this, caller] { Dispatch(caller); });
    return;
  }
  if (!PassAdmission(exchange) || !AdmitExchange(exchange)) {
    return;
  }
  DispatchChoice choice = SelectEndpoint(*exchange);
  if (!choice.endpoint.has_value() && WaitForCapacity(exchange)) {
    return;
  }
  // A further send to a queue that is known to be full only takes part of the
  // shared repeat budget.
  bool full = choice.full && exchange->refusals > 0;
  if (!choice.endpoint.has_value() || full) {
    WaitForEndpoint(exchange, choice);
    return;
  }
  exchange->waiting_since.reset();
  exchange->remote_reason = choice.remote;
  RoutedEndpoint endpoint = *pool_.Find(*choice.endpoint);
  StartAttempt(exchange, endpoint);
}

void Forwarder::WaitForEndpoint(Exchange* exchange,
                                const DispatchChoice& choice) {
  TimePoint now = transport_->Now();
  if (!exchange->waiting_since.has_value()) {
    exchange->waiting_since = now;
  }
  milliseconds limit = exchange->response_started
                           ? kMaxResumeWait
                           : exchange->route->objective / kMaxWaitDivisor;
  TimePoint wait_end = *exchange->waiting_since + limit;
  if (choice.reason == NoEndpointReason::kPaused &&
      (now >= wait_end ||
       (choice.free_at > wait_end && !exchange->response_started))) {
    exchange->failure_detail = "endpoints paused";
    exchange->retry_after =
        SpreadRetryAfter(std::chrono::ceil<milliseconds>(choice.free_at - now),
                         exchange->metadata.request_id);
    GiveUp(exchange, 503, "endpoints_paused", "endpoints_paused");
    return;
  }
  if (now >= wait_end) {
    if (choice.full) {
      exchange->failure_detail = "endpoints are full";
    } else if (choice.reason == NoEndpointReason::kColdLimit) {
      exchange->failure_detail = "endpoints at cold limit";
    } else {
      exchange->failure_detail = "no endpoint available";
    }
    ReportNoEndpoint(*exchange);
    GiveUp(exchange, 503, "no_endpoint", "no_endpoint");
    return;
  }
  ConnectionId caller = exchange->caller;
  exchange->dispatch_timer = transport_->After(
      kDispatchRetryInterval, [this, caller] { Dispatch(caller); });
}

void Forwarder::ReportNoEndpoint(const Exchange& exchange) {
  TimePoint now = transport_->Now();
  DispatchQuery query = QueryFor(exchange);
  query.excluded.clear();
  CandidateCounts counts = pool_.CountCandidates(query, now);
  milliseconds max_idle =
      exchange.route->repeatable() ? kMaxIdle : kMaxIdleUnrepeatable;
  auto connected = std::count_if(counts.assumed_cold_addresses.begin(),
                                 counts.assumed_cold_addresses.end(),
                                 [&](const std::string& address) {
                                   return client_.HasIdle(address, max_idle);
                                 });
  ConnectFailures failures = pool_.FailuresToConnect(now);
  auto age = [](std::optional<milliseconds> value) {
    return value.has_value() ? value->count() : -1;
  };
  log_->Write(
      EventId::kNoEndpointUsable,
      {RequestId(exchange.metadata.request_id), {}, {}},
      fmt::format("service={} candidates={} tried={} paused={} cold={} "
                  "assumed_cold={} assumed_cold_connected={} avoided={} "
                  "cut_off={} failing_endpoints={} failing_hosts={} "
                  "connected_ms={} bytes_ms={}",
                  exchange.service.value(), counts.candidates,
                  exchange.tried.size(), counts.paused, counts.cold,
                  counts.assumed_cold, connected, counts.avoided,
                  counts.cut_off, failures.endpoints, failures.hosts,
                  age(failures.latest_success), age(failures.latest_bytes)));
}

void Forwarder::StartAttempt(Exchange* exchange,
                             const RoutedEndpoint& endpoint) {
  if (exchange->runs > 0 && !exchange->route->repeatable()) {
    log_->Write(EventId::kInvariantViolated,
                {RequestId(exchange->metadata.request_id), {}, {}},
                "attempted to resend a request that must run at most once");
    metrics_->CountInvariantViolation("at_most_once");
    GiveUp(exchange, 502, "invariant", "invariant");
    return;
  }
  TimePoint now = transport_->Now();
  EndpointAttempt attempt;
  attempt.endpoint = endpoint.endpoint;
  attempt.incarnation = IncarnationOf(endpoint);
  attempt.address = endpoint.address;
  attempt.version = endpoint.version;
  attempt.model = exchange->model;
  attempt.data_centre = endpoint.data_centre;
  attempt.work = QueryFor(*exchange).work;
  attempt.started_at = now;
  attempt.progress_at = now;
  attempt.in_load_test = versions_.InLoadTest(exchange->service, now);
  ++exchange->attempts;
  if (exchange->attempts == 1) {
    traffic_.OnAdmitted(exchange->service, now);
  }
  exchange->tried.push_back(endpoint.endpoint);
  pool_.OnStart(endpoint.endpoint, attempt.work, now);
  if (endpoint.data_centre != data_centre_) {
    remote_traffic_.OnSend(endpoint.data_centre, exchange->remote_reason,
                           exchange->body->size());
  }
  versions_.OnRequestSent(exchange->session, endpoint.version, now);
  milliseconds max_idle =
      exchange->route->repeatable() ? kMaxIdle : kMaxIdleUnrepeatable;
  attempt.call =
      client_.Start({endpoint.address, EncodeAttemptHead(*exchange, endpoint),
                     exchange->body, max_idle, exchange->metadata.request_id},
                    this);
  attempt.connection = client_.ConnectionOf(attempt.call);
  callers_by_call_[static_cast<std::uint64_t>(attempt.call)] = exchange->caller;
  exchange->attempt = std::move(attempt);
  // Counted at the start: until its connection fails, a repeat cannot be told
  // apart from one that reaches the endpoint.
  // An instance that hands a request over has counted that as a repeat.
  if (exchange->sends > exchange->sends_before) {
    repeats_.OnRepeat(exchange->service, now);
    exchange->attempt->is_repeat = true;
  }
  evidence_.OnSend(EvidenceKeyOf(*exchange));
  ++exchange->sends;
}

std::string Forwarder::EncodeAttemptHead(const Exchange& exchange,
                                         const RoutedEndpoint& endpoint) const {
  EndpointFields fields;
  fields.time_left = std::max(
      duration_cast<milliseconds>(exchange.deadline - transport_->Now()),
      milliseconds(1));
  fields.account = exchange.account;
  fields.expected_endpoint = endpoint.endpoint;
  if (!exchange.route->models.empty()) {
    fields.model = exchange.model;
  }
  fields.urgency = exchange.urgency;
  fields.last_event_id = exchange.last_event_id;
  HttpRequestHead head;
  head.method = exchange.head.method;
  head.target = exchange.head.target;
  head.headers = codec_.EncodeForEndpoint(exchange.head.headers, fields);
  bool has_length = !exchange.body->empty() || head.method == "POST" ||
                    head.method == "PUT" || head.method == "PATCH";
  if (has_length) {
    head.headers.Add("Content-Length",
                     fmt::format("{}", exchange.body->size()));
  }
  return SerializeRequestHead(head);
}

ExecutionState Forwarder::ExecutionOf(const EndpointAttempt& attempt) const {
  return ExecutionStateOf(
      {attempt.sent.value_or(client_.IsSent(attempt.call)),
       attempt.complete && attempt.response_metadata.not_run,
       attempt.own_response});
}

void Forwarder::EndAttempt(Exchange* exchange, AttemptResult result) {
  if (exchange->attempt->peer.has_value()) {
    EndHandover(exchange, result);
    return;
  }
  EndpointAttempt& attempt = *exchange->attempt;
  ExecutionState execution = ExecutionOf(attempt);
  exchange->sends -= execution == ExecutionState::kNotSent ? 1 : 0;
  exchange->runs += execution == ExecutionState::kMayHaveRun ? 1 : 0;
  if (attempt.is_repeat && execution == ExecutionState::kNotSent) {
    repeats_.OnRepeatNotSent(exchange->service, attempt.started_at);
  }
  RecordTraffic(*exchange, result, execution);
  client_.Cancel(attempt.call);
  callers_by_call_.erase(static_cast<std::uint64_t>(attempt.call));
  versions_.OnRequestEnded(exchange->session, transport_->Now());
  bool own_fault = contact_.stranded() && result != AttemptResult::kAnswered &&
                   result != AttemptResult::kFailed;
  pool_.OnEnd(attempt.endpoint, attempt.work, attempt.head_seen,
              own_fault ? AttemptResult::kCancelled : result,
              transport_->Now());
  metrics_->CountAttempt(AttemptResultName(result));
  if (attempt.data_centre != data_centre_) {
    remote_traffic_.OnResponse(attempt.data_centre, attempt.received_bytes);
  }
  if (result == AttemptResult::kAnswered) {
    response_bytes_.emplace(exchange->route->name, kResponseBytesWeight)
        .first->second.Add(static_cast<double>(attempt.received_bytes));
  }
  if (result != AttemptResult::kAnswered) {
    log_->Write(
        EventId::kRoutedAttemptEnded,
        {RequestId(exchange->metadata.request_id), {}, attempt.endpoint},
        fmt::format(
            "result={} execution={} version={} model={} ms={} blocks={} "
            "status={} says_not_run={} named={} connection={} requests={} "
            "age_ms={} sends={} runs={} trouble={}",
            AttemptResultName(result), ExecutionStateName(execution),
            attempt.version.value(), attempt.model.value(),
            duration_cast<milliseconds>(transport_->Now() - attempt.started_at)
                .count(),
            attempt.event_blocks, attempt.head.status,
            attempt.response_metadata.not_run, attempt.names_request,
            static_cast<std::uint64_t>(attempt.connection.connection),
            attempt.connection.requests, attempt.connection.age.count(),
            exchange->sends, exchange->runs,
            exchange->failure_detail.empty() ? "-" : exchange->failure_detail));
  }
  exchange->attempt.reset();
  buffers_.Set(static_cast<std::uint64_t>(exchange->caller),
               exchange->failure_body.size(), true);
}

bool Forwarder::MayRepeat(const Exchange& exchange) const {
  const Route& route = *exchange.route;
  bool runs_left = exchange.runs == 0 ||
                   (route.repeatable() && exchange.runs < exchange.max_runs);
  return runs_left && exchange.sends < route.max_attempts + kMaxExtraSends &&
         exchange.attempts < kMaxAttempts &&
         exchange.deadline - transport_->Now() >= kMinTimeLeft;
}

bool Forwarder::FitsBeforeStop(const Exchange& exchange) const {
  if (!stop_at_.has_value()) {
    return true;
  }
  if (exchange.runs == 0) {
    // Refused as not run, it can go to another instance at once.
    return !refusing_ &&
           (exchange.route->repeatable() || exchange.deadline <= *stop_at_);
  }
  return HasTimeToRepeat(exchange);
}

bool Forwarder::HasTimeToRepeat(const Exchange& exchange) const {
  return !stop_at_.has_value() ||
         transport_->Now() + exchange.route->objective <= *stop_at_;
}

bool Forwarder::MayReplaceAttempt(const Exchange& exchange) const {
  return exchange.attempt.has_value() && exchange.route->repeatable() &&
         exchange.runs + exchange.attempt->granted_runs < exchange.max_runs &&
         HasTimeToRepeat(exchange);
}

void Forwarder::Repeat(Exchange* exchange, std::string_view reason) {
  // What it holds may have been blocked since.
  exchange->admitted = false;
  bool was_sent = exchange->sends > 0;
  if (!MayRepeat(*exchange)) {
    GiveUp(exchange, 502, reason, "attempts");
    return;
  }
  if (was_sent && !HasRoomForRepeat(exchange->service)) {
    GiveUp(exchange, 502, reason, "budget");
    return;
  }
  metrics_->CountRepeat(reason);
  Dispatch(exchange->caller);
}

}  // namespace filbertshift
