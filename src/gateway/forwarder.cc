// Validation of requests and bookkeeping of exchanges.

#include "src/gateway/forwarder.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace filbertshift {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Endpoint urgency of a streaming request: kFirstUrgency + kUrgencyStep x
// priority. A lower level is more urgent.
constexpr int kUrgencyStep = 2;
constexpr int kFirstUrgency = 1;
constexpr int kLastUrgency = 9;

std::uint64_t Number(ConnectionId id) {
  return static_cast<std::uint64_t>(id);
}

std::uint64_t HashText(const std::string& text) {
  return XXH64(text.data(), text.size(), 0);
}

// Hash of the last part of the prompt that other requests may share; the final
// part is specific to the request. Requests without a prompt are spread over
// endpoints of equal load by their ids: an instance of a large fleet has no
// other request in progress at most endpoints.
std::uint64_t AffinityOf(const RequestMetadata& metadata) {
  const std::vector<PromptPart>& parts = metadata.prompt_parts;
  if (parts.empty()) {
    return HashText(metadata.request_id);
  }
  std::size_t position = parts.size() >= 2 ? parts.size() - 2 : 0;
  return HashText(parts[position].id);
}

// The first line, as far as it fits, without what would break a log line.
std::string PrintableStart(std::string_view bytes) {
  constexpr std::size_t kMaxBytes = 40;
  std::string start(bytes.substr(0, std::min(bytes.find('\r'), kMaxBytes)));
  std::replace_if(
      start.begin(), start.end(),
      [](unsigned char c) { return c < ' ' || c > '~'; }, '?');
  return start;
}

// Bodies are not limited here: a long stream is sound, and the buffer budget
// bounds what is held.
HttpParseLimits ResponseLimits() {
  HttpParseLimits limits;
  limits.max_body_bytes = std::numeric_limits<std::size_t>::max();
  return limits;
}

}  // namespace

Forwarder::Forwarder(Transport* transport,
                     const RequestCodec& codec,
                     const FleetView& view,
                     EventLog* log,
                     GatewayMetrics* metrics,
                     DataCentreId data_centre,
                     const ForwarderLimits& limits,
                     milliseconds connect_timeout)
    : transport_(transport),
      codec_(codec),
      view_(view),
      log_(log),
      metrics_(metrics),
      data_centre_(std::move(data_centre)),
      limits_(limits),
      connect_timeout_(connect_timeout),
      client_(transport, connect_timeout, ResponseLimits()),
      pool_(limits.cold, limits.max_endpoint_pause),
      repeats_(limits.repeats),
      buffers_(limits.max_buffered_bytes),
      versions_(limits.session_retention),
      crash_watch_(transport, log, &quarantine_),
      remote_traffic_(log, metrics),
      observed_(transport->Now(), kSweepInterval),
      probe_(transport),
      contact_(data_centre_),
      peers_(data_centre_) {
  pool_.SetPlacement(
      {limits.placement, limits.remote_cost_ms_per_mb, data_centre_});
  pool_.SetLoadTable(&load_table_);
  crash_watch_.SetContact(
      [this](const EndpointId& endpoint) {
        contact_.OnConnectFailed(endpoint, transport_->Now());
        ProbeContact();
      },
      [this] { return ContactForCrashes(); });
  client_.SetConnectListener(
      [this](CallId call, microseconds time) { OnConnected(call, time); });
  pool_.SetEvacuated([this](const DataCentreId& data_centre_id) {
    return view_.IsEvacuated(data_centre_id);
  });
  client_.SetUnsolicitedListener(
      [this](const UnsolicitedBytes& bytes) { OnUnsolicited(bytes); });
  ScheduleSweep();
  if (limits_.admission) {
    StepAdmission();
  }
}

void Forwarder::SetInstanceCount(int count) {
  instances_ = count;
  pool_.SetInstanceCount(count);
  repeats_.SetInstanceCount(count);
}

void Forwarder::OnEndpointRemoved(const EndpointId& endpoint) {
  const RoutedEndpoint* record = pool_.Find(endpoint);
  if (record != nullptr) {
    client_.CloseIdle(record->address);
  }
  pool_.Remove(endpoint, transport_->Now());
}

void Forwarder::OnConnected(CallId call, microseconds time) {
  const Exchange* exchange = Find(call);
  if (exchange != nullptr && exchange->attempt.has_value() &&
      !exchange->attempt->peer.has_value()) {
    contact_.OnConnected(exchange->attempt->endpoint, transport_->Now());
    pool_.OnConnected(exchange->attempt->endpoint, time);
    pool_.OnConnectSucceeded(transport_->Now());
  }
}

void Forwarder::StepPlacement() {
  if (!limits_.placement) {
    return;
  }
  TimePoint now = transport_->Now();
  pool_.UpdatePlans(now);
  remote_traffic_.Report(pool_.Overflows(now), now);
}

int Forwarder::CountOnOtherVersions(const ServiceId& service,
                                    const VersionId& version) const {
  return static_cast<int>(std::count_if(
      exchanges_.begin(), exchanges_.end(), [&](const auto& entry) {
        const Exchange& exchange = entry.second;
        return exchange.service == service && exchange.attempt.has_value() &&
               !exchange.attempt->peer.has_value() &&
               exchange.attempt->version != version;
      }));
}

Exchange* Forwarder::Find(ConnectionId caller) {
  auto found = exchanges_.find(Number(caller));
  return found == exchanges_.end() ? nullptr : &found->second;
}

Exchange* Forwarder::Find(CallId call) {
  auto found = callers_by_call_.find(static_cast<std::uint64_t>(call));
  return found == callers_by_call_.end() ? nullptr : Find(found->second);
}

void Forwarder::OnRequest(ConnectionId caller,
                          HttpRequestHead head,
                          std::string body) {
  Exchange& exchange =
      AddExchange(caller, server_, std::move(head), std::move(body));
  std::vector<Finding> findings;
  exchange.metadata = codec_.DecodeRequest(exchange.head, &findings);
  if (!CheckRoute(&exchange) || !CheckAccount(&exchange) ||
      !CheckMetadata(&exchange, findings)) {
    return;
  }
  PrepareExchange(&exchange);
  repeats_.OnRequest(exchange.service, exchange.arrived_at);
  if (!contact_.stranded()) {
    traffic_.OnArrival(exchange.service, exchange.arrived_at);
  }
  Dispatch(caller);
}

Exchange& Forwarder::AddExchange(ConnectionId caller,
                                 CallerServer* server,
                                 HttpRequestHead head,
                                 std::string body) {
  Exchange& exchange = exchanges_[Number(caller)];
  exchange = Exchange();
  exchange.caller = caller;
  exchange.server = server;
  exchange.head = std::move(head);
  exchange.body = std::make_shared<const std::string>(std::move(body));
  exchange.arrived_at = transport_->Now();
  exchange.configuration = view_.configuration();
  metrics_->SetInProgress(exchanges_.size());
  return exchange;
}

bool Forwarder::ConfigurationIsCurrent() const {
  return transport_->Now() - view_.confirmed_at(StoreTable::kOperator) <=
         limits_.max_configuration_age;
}

bool Forwarder::CheckRoute(Exchange* exchange) {
  if (refusing_) {
    Refuse(exchange, 503, "shutting_down", RunState::kNotRun);
    return false;
  }
  if (exchange->configuration == nullptr) {
    Refuse(exchange, 503, "no_configuration", RunState::kNotRun);
    return false;
  }
  const std::string* host = exchange->head.headers.Find("Host");
  exchange->route = host == nullptr ? nullptr
                                    : exchange->configuration->FindRoute(
                                          *host, exchange->head.target);
  if (exchange->route != nullptr) {
    return true;
  }
  if (ConfigurationIsCurrent()) {
    Refuse(exchange, 404, "no_route", RunState::kNotRun);
  } else {
    Refuse(exchange, 503, "configuration_stale", RunState::kNotRun);
  }
  return false;
}

bool Forwarder::CheckAccount(Exchange* exchange) {
  if (exchange->configuration->accounts.empty() || exchange->route->is_public) {
    return true;
  }
  const AccountSettings* account =
      exchange->configuration->FindAccount(exchange->metadata.api_key);
  if (account != nullptr) {
    exchange->account = account->account;
    if (account->priority.has_value()) {
      exchange->urgency = *account->priority;
    }
    return true;
  }
  if (exchange->metadata.api_key.empty() || ConfigurationIsCurrent()) {
    Refuse(exchange, 401, "unknown_key", RunState::kNotRun);
  } else {
    Refuse(exchange, 503, "configuration_stale", RunState::kNotRun);
  }
  return false;
}

bool Forwarder::CheckMetadata(Exchange* exchange,
                              const std::vector<Finding>& findings) {
  for (const Finding& finding : findings) {
    log_->Write(EventId::kCallerFieldRejected,
                {RequestId(exchange->metadata.request_id), {}, {}},
                FormatFinding(finding));
  }
  if (findings.empty() && !exchange->metadata.request_id.empty()) {
    return true;
  }
  Refuse(exchange, 400, "invalid_header", RunState::kNotRun);
  return false;
}

void Forwarder::PrepareExchange(Exchange* exchange) {
  const Route& route = *exchange->route;
  milliseconds allowed = route.timeout;
  if (exchange->metadata.time_left.has_value() &&
      (allowed.count() == 0 || *exchange->metadata.time_left < allowed)) {
    allowed = *exchange->metadata.time_left;
  }
  exchange->deadline = exchange->arrived_at + allowed;
  ConnectionId caller = exchange->caller;
  exchange->deadline_timer =
      transport_->After(allowed, [this, caller] { OnDeadline(caller); });
  exchange->max_runs = route.max_attempts;
  exchange->service = SelectService(*exchange);
  const RequestMetadata& metadata = exchange->metadata;
  exchange->affinity = AffinityOf(metadata);
  exchange->request_hash = HashText(metadata.request_id);
  exchange->session =
      metadata.session.empty() ? metadata.request_id : metadata.session;
  exchange->last_event_id = metadata.last_event_id;
  exchange->crash_profile = CrashProfileOf(*exchange);
  if (route.models.empty()) {
    exchange->model = ModelId(metadata.model);
  } else {
    // It is unknown which model started a resumed stream; the largest model
    // does not lower the quality of the response.
    exchange->model = metadata.last_event_id.has_value() ? route.models.back()
                                                         : FirstModel(route);
  }
  if (route.kind == RouteKind::kStreaming) {
    int priority = exchange->urgency.value_or(route.priority);
    exchange->urgency =
        std::clamp(kFirstUrgency + kUrgencyStep * priority, 0, kLastUrgency);
  } else {
    exchange->urgency.reset();
  }
}

ServiceId Forwarder::SelectService(const Exchange& exchange) const {
  const std::vector<WeightedService>& services = exchange.route->services;
  std::uint64_t total = 0;
  for (const WeightedService& entry : services) {
    total += entry.weight;
  }
  std::uint64_t offset =
      total == 0 ? 0 : HashText(exchange.metadata.request_id) % total;
  for (const WeightedService& entry : services) {
    if (offset < entry.weight) {
      return entry.service;
    }
    offset -= entry.weight;
  }
  return services.empty() ? ServiceId() : services.front().service;
}

void Forwarder::OnCallerDisconnected(ConnectionId caller, ConnectionEnd end) {
  Exchange* exchange = Find(caller);
  if (exchange != nullptr) {
    exchange->failure_detail = std::string(ConnectionEndName(end));
    Finish(exchange, 0, "caller_gone");
  }
}

void Forwarder::OnRejected(int status, std::string_view reason) {
  metrics_->CountRejected(status);
  log_->Write(EventId::kCallerMessageRejected,
              fmt::format("status={} reason={}", status, reason));
}

void Forwarder::OnConnectionClosed(CallerCloseReason reason,
                                   std::size_t unanswered_bytes) {
  metrics_->CountCallerConnectionClosed(CallerCloseReasonName(reason));
  if (unanswered_bytes > 0 && reason != CallerCloseReason::kRejected) {
    log_->Write(EventId::kCallerRequestCut,
                fmt::format("reason={} bytes={}", CallerCloseReasonName(reason),
                            unanswered_bytes));
  }
}

void Forwarder::OnUnsolicited(const UnsolicitedBytes& unsolicited) {
  metrics_->CountUnsolicited();
  log_->Write(
      EventId::kUnsolicitedBytes, {RequestId(unsolicited.request_id), {}, {}},
      fmt::format(
          "address={} connection={} requests={} age_ms={} bytes={} start={}",
          unsolicited.address,
          static_cast<std::uint64_t>(unsolicited.connection.connection),
          unsolicited.connection.requests, unsolicited.connection.age.count(),
          unsolicited.bytes.size(), PrintableStart(unsolicited.bytes)));
}

void Forwarder::Finish(Exchange* exchange,
                       int status,
                       std::string_view outcome) {
  TimePoint now = transport_->Now();
  EndpointId endpoint;
  std::string version;
  if (exchange->attempt.has_value()) {
    endpoint = exchange->attempt->endpoint;
    version = exchange->attempt->version.value();
    EndAttempt(exchange, AttemptResult::kCancelled);
  } else if (!exchange->tried.empty()) {
    endpoint = exchange->tried.back();
  }
  transport_->Cancel(exchange->deadline_timer);
  transport_->Cancel(exchange->dispatch_timer);
  LeaveAdmission(exchange);
  auto duration = duration_cast<microseconds>(now - exchange->arrived_at);
  bool delivered = exchange->first_delivery_at != TimePoint();
  auto first = duration_cast<milliseconds>(
      delivered ? exchange->first_delivery_at - exchange->arrived_at
                : duration);
  std::string route =
      exchange->route == nullptr ? "none" : exchange->route->name;
  metrics_->CountExchange(route, outcome);
  metrics_->ObserveExchange(route, duration);
  log_->Write(
      EventId::kExchangeFinished,
      {RequestId(exchange->metadata.request_id), {}, endpoint},
      fmt::format(
          "outcome={} status={} route={} session={} model={} version={} "
          "sends={} runs={} "
          "ms={} first_ms={} pause_ms={} prompt={} confidence={} last_event={} "
          "config={} peer={} handed_over={} trouble={} end={}",
          outcome, status, route, exchange->session, exchange->model.value(),
          version, exchange->sends, exchange->runs, duration.count() / 1000,
          first.count(), exchange->longest_pause.count(),
          exchange->metadata.prompt_tokens, exchange->confidence,
          exchange->last_event_id.value_or("-"),
          exchange->configuration == nullptr ? 0
                                             : exchange->configuration->version,
          exchange->tried_peers.empty() ? "-"
                                        : exchange->tried_peers.back().value(),
          exchange->handed_over,
          exchange->failure_detail.empty() ? "-" : exchange->failure_detail,
          exchange->end_cause.empty() ? "-" : exchange->end_cause));
  buffers_.Remove(Number(exchange->caller));
  exchanges_.erase(Number(exchange->caller));
  metrics_->SetInProgress(exchanges_.size());
}

}  // namespace filbertshift
