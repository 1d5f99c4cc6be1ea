#include "src/gateway/gateway.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace filbertshift {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{100};
constexpr milliseconds kQuarantineExpiryInterval{5000};
// After joining, an instance sends nothing to cold endpoints until the others
// include it in their share of the cold limit.
constexpr milliseconds kColdJoinDelay{3500};
// Added to the session idle time, because callers and instances see the end of
// a response at different times.
constexpr milliseconds kSessionMargin{500};
// Fraction of configuration_apply_ms after which a configuration counts as
// stale: what it lacks may be in force on other instances.
constexpr double kMaxConfigurationAgeFraction = 0.9;
constexpr std::size_t kBytesPerKilobyte = 1024;

milliseconds Seconds(double seconds) {
  return milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

ForwarderLimits LimitsFrom(const GatewaySettings& settings) {
  ForwarderLimits forwarder_limits;
  forwarder_limits.max_configuration_age =
      ApplyTimeFraction(settings, kMaxConfigurationAgeFraction);
  forwarder_limits.session_retention =
      Seconds(settings.session_s) + kSessionMargin;
  forwarder_limits.repeats.ratio = settings.repeat_ratio;
  forwarder_limits.repeats.window = Seconds(settings.repeat_window_s);
  forwarder_limits.repeats.allowance = settings.repeat_allowance;
  forwarder_limits.max_buffered_bytes = ShareMemory(settings).response_bytes;
  forwarder_limits.max_event_bytes =
      settings.event_buffer_kb * kBytesPerKilobyte;
  forwarder_limits.max_endpoint_pause = settings.endpoint_retry_after_limit;
  forwarder_limits.cold.overshoot = settings.cold_overshoot;
  forwarder_limits.cold.tolerance = settings.cold_tolerance;
  forwarder_limits.admission =
      settings.admission && settings.endpoint_load_interval.count() > 0;
  forwarder_limits.placement =
      settings.placement && settings.endpoint_load_interval.count() > 0;
  forwarder_limits.remote_cost_ms_per_mb = settings.remote_cost_ms_per_mb;
  return forwarder_limits;
}

}  // namespace

void Gateway::ReadinessHandler::OnRequest(ConnectionId caller,
                                          HttpRequestHead /*head*/,
                                          std::string /*body*/) {
  int status = gateway_.IsReady() ? 200 : 503;
  server_->Respond(caller, {status, std::string(ReasonPhrase(status)), {}},
                   std::string());
}

void Gateway::ReadinessHandler::OnCallerDisconnected(ConnectionId /*caller*/,
                                                     ConnectionEnd /*end*/) {}

void Gateway::ReadinessHandler::OnRejected(int /*status*/,
                                           std::string_view /*reason*/) {}

Gateway::Gateway(const GatewaySettings& settings,
                 const PlatformAdapter& adapter,
                 Transport* transport,
                 EventLog* log,
                 GatewayMetrics* metrics,
                 std::uint64_t incarnation)
    : settings_(settings),
      transport_(transport),
      log_(log),
      metrics_(metrics),
      incarnation_(incarnation),
      view_(adapter.documents, log, this),
      forwarder_(transport,
                 adapter.requests,
                 view_,
                 log,
                 metrics,
                 settings.data_centre,
                 LimitsFrom(settings),
                 settings.connect_timeout),
      request_memory_(ShareMemory(settings).request_bytes),
      caller_server_(transport, &forwarder_),
      readiness_handler_(*this),
      readiness_server_(transport, &readiness_handler_),
      store_client_(transport, settings.connect_timeout),
      peer_client_(transport, settings.connect_timeout),
      source_(settings,
              adapter.store,
              transport,
              &store_client_,
              &peer_client_,
              &view_,
              &forwarder_.quarantine(),
              log,
              metrics),
      operator_pages_(settings.instance,
                      settings.data_centre,
                      view_,
                      source_,
                      forwarder_,
                      *transport,
                      [this] { return IsReady(); }),
      peer_service_(view_,
                    source_,
                    operator_pages_,
                    *transport,
                    &peer_rows_,
                    &forwarder_.quarantine(),
                    log,
                    metrics),
      peer_server_(transport, &peer_service_),
      writer_(settings.store_address,
              transport,
              &store_client_,
              adapter.store,
              metrics,
              source_.store_era()),
      rollouts_(settings.instance,
                adapter.documents,
                &view_,
                {settings.rollout_share, settings.rollout_tolerance},
                &forwarder_,
                &writer_,
                log),
      crash_evidence_(transport, &peer_client_, log, &forwarder_.quarantine()),
      quarantine_store_(view_, &forwarder_.quarantine(), &writer_) {
  forwarder_.quarantine().SetTrialTurn(
      [this](const CauseId& cause) { return TrialTurnOf(cause); });
  forwarder_.SetServer(&caller_server_);
  for (CallerServer* server :
       {&caller_server_, &readiness_server_, &peer_server_}) {
    server->SetRequestMemory(&request_memory_);
  }
  readiness_handler_.SetServer(&readiness_server_);
  peer_service_.SetServer(&peer_server_);
  peer_service_.SetHandovers(&forwarder_);
  if (settings.endpoint_load_interval.count() > 0) {
    endpoint_load_ = std::make_unique<EndpointLoadExchange>(
        settings, incarnation, transport, &peer_client_, log, metrics,
        &forwarder_, &forwarder_.load_table());
    peer_service_.SetEndpointLoad(endpoint_load_.get());
  }
}

Gateway::~Gateway() = default;

void Gateway::Start() {
  log_->Write(
      EventId::kGatewayStarted,
      fmt::format("store={} callers={} incarnation={}", settings_.store_address,
                  settings_.caller_listen, incarnation_));
  source_.Start();
  Tick();
}

bool Gateway::IsReady() const {
  return !shutdown_at_.has_value() && view_.configuration() != nullptr &&
         view_.complete();
}

void Gateway::Tick() {
  TimePoint now = transport_->Now();
  view_.ExpireLapsed(now);
  view_.ReportOmittedFindings(now);
  forwarder_.versions().Expire(now);
  std::vector<LiveInstance> live =
      LiveInstances(view_, {settings_.instance, settings_.peer_listen});
  UpdateSharedLimits(static_cast<int>(live.size()), now);
  rollouts_.Step(source_.StoreTime(), now);
  SendHeartbeat(now);
  source_.Step(live, rollouts_.InProgress());
  SetHandoverPeers(live);
  if (endpoint_load_ != nullptr) {
    endpoint_load_->Step({source_.IsReader(), source_.ReaderAddress(),
                          source_.ReaderAddresses()});
  }
  StepQuarantine(now);
  UpdateMetrics(now);
  forwarder_.StepPlacement();
  if (!was_ready_ && IsReady()) {
    was_ready_ = true;
    log_->Write(
        EventId::kGatewayReady,
        fmt::format("config={} endpoints={}", view_.configuration()->version,
                    view_.endpoints().size()));
  }
  if (shutdown_at_.has_value()) {
    CheckShutdown();
  }
  transport_->After(kTickInterval, [this] { Tick(); });
}

// Member rows carry rollout evidence and kept sessions, so they are written
// more often during a rollout.
void Gateway::SendHeartbeat(TimePoint now) {
  if (source_.committed_beat() > relayed_beat_) {
    relayed_beat_ = source_.committed_beat();
    OnRowCommitted(now);
  }
  milliseconds interval = rollouts_.InProgress()
                              ? settings_.rollout_heartbeat_interval
                              : settings_.heartbeat_interval;
  HeartbeatInputs inputs;
  inputs.interval = interval;
  inputs.has_reader = source_.CanOfferRow();
  inputs.store_reachable = source_.store_reachable();
  inputs.peer_rows_overdue =
      !inputs.has_reader && peer_rows_.IsOverdue(2 * interval, now);
  switch (heartbeats_.Next(inputs, now)) {
    case HeartbeatAction::kNone:
      break;
    case HeartbeatAction::kOffer:
      heartbeats_.OnOffered(now);
      source_.OfferRow(NextMemberRow(now));
      break;
    case HeartbeatAction::kWrite:
      if (writer_.idle()) {
        WriteMemberRows(now);
      }
      break;
  }
}

std::string Gateway::NextMemberRow(TimePoint now) {
  MemberState state;
  state.instance = settings_.instance;
  state.peer_address = settings_.peer_listen;
  state.data_centre = settings_.data_centre;
  state.incarnation = incarnation_;
  state.beat = ++heartbeat_count_;
  state.stable_in_flight = rollouts_.StableInFlight();
  if (!state.stable_in_flight.empty()) {
    for (const auto& entry : state.stable_in_flight) {
      state.evidence.Add(forwarder_.evidence().OfService(entry.first));
    }
    state.kept_sessions = rollouts_.KeptSessions(now);
  }
  return EncodeMemberState(state);
}

void Gateway::WriteMemberRows(TimePoint now) {
  heartbeats_.OnWriteStarted(now);
  MemberRowCollector::Batch batch = peer_rows_.Take(now);
  StoreTransaction transaction;
  transaction.puts = batch.rows;
  transaction.puts.push_back(
      {std::string(kMemberKeyPrefix) + settings_.instance.value(),
       NextMemberRow(now), 0, false});
  writer_.Submit(std::move(transaction),
                 [this, batch = std::move(batch)](StoreWriteResult result) {
                   if (result == StoreWriteResult::kCommitted) {
                     peer_rows_.OnCommitted(batch, transport_->Now());
                     OnRowCommitted(transport_->Now());
                   } else {
                     heartbeats_.OnWriteFailed();
                   }
                 });
}

void Gateway::OnRowCommitted(TimePoint now) {
  heartbeats_.OnCommitted(now);
  if (!joined_at_.has_value()) {
    joined_at_ = now;
  }
}

void Gateway::SetHandoverPeers(const std::vector<LiveInstance>& live) {
  std::vector<HandoverPeer> peers;
  for (const LiveInstance& instance : live) {
    if (instance.instance != settings_.instance) {
      peers.push_back(
          {instance.instance, instance.peer_address, instance.data_centre});
    }
  }
  forwarder_.SetPeers(std::move(peers));
}

void Gateway::UpdateSharedLimits(int instance_count, TimePoint now) {
  if (instance_count != instance_count_) {
    log_->Write(EventId::kInstanceCountChanged,
                fmt::format("from={} to={}", instance_count_, instance_count));
    instance_count_ = instance_count;
  }
  forwarder_.SetInstanceCount(instance_count);
  forwarder_.pool().SetColdAllowed(joined_at_.has_value() &&
                                   now - *joined_at_ >= kColdJoinDelay);
}

void Gateway::StepQuarantine(TimePoint now) {
  PromptQuarantine& quarantine = forwarder_.quarantine();
  if (now >= next_quarantine_expiry_) {
    next_quarantine_expiry_ = now + kQuarantineExpiryInterval;
    quarantine.Expire(now);
  }
  quarantine.Evaluate(now);
  auto rank = std::count_if(source_.live().begin(), source_.live().end(),
                            [this](const LiveInstance& live) {
                              return live.instance < settings_.instance;
                            });
  quarantine_store_.Step(static_cast<int>(rank), source_.StoreTime(), now);
  crash_evidence_.Step(source_.ReaderAddresses());
  LogQuarantineChanges();
}

void Gateway::LogQuarantineChanges() {
  for (const PromptQuarantine::Change& change :
       forwarder_.quarantine().TakeChanges()) {
    log_->Write(
        change.blocked ? EventId::kCauseBlocked : EventId::kCauseReleased,
        fmt::format("cause={} crashes={} strikes={}", change.cause.value(),
                    change.crashes, change.strikes));
  }
}

PromptQuarantine::TrialTurn Gateway::TrialTurnOf(const CauseId& cause) const {
  auto weight = [&cause](const InstanceId& instance) {
    std::string text = instance.value() + "/" + cause.value();
    return XXH64(text.data(), text.size(), 0);
  };
  std::uint64_t own = weight(settings_.instance);
  const std::vector<LiveInstance>& live = source_.live();
  auto rank = std::count_if(
      live.begin(), live.end(),
      [&](const LiveInstance& other) { return weight(other.instance) > own; });
  return {static_cast<int>(rank), static_cast<int>(live.size())};
}

void Gateway::UpdateMetrics(TimePoint now) {
  metrics_->SetBlockedCauses(forwarder_.quarantine().blocks().size());
  metrics_->SetEndpoints(view_.endpoints().size());
  metrics_->SetRequestMemory(request_memory_.total());
  metrics_->SetInstances(static_cast<std::size_t>(instance_count_));
  for (int i = 0; i < kStoreTableCount; ++i) {
    auto table = static_cast<StoreTable>(i);
    if (view_.confirmed_at(table) != TimePoint()) {
      metrics_->SetTableAge(
          StoreTableName(table),
          duration_cast<milliseconds>(now - view_.confirmed_at(table)));
    }
  }
}

void Gateway::BeginShutdown(std::function<void()> done) {
  if (shutdown_at_.has_value()) {
    return;
  }
  shutdown_at_ = transport_->Now();
  shutdown_done_ = std::move(done);
  shutdown_schedule_ = MakeShutdownSchedule(Seconds(settings_.shutdown_s));
  caller_server_.BeginClosing();
  forwarder_.SetStopTime(*shutdown_at_ + shutdown_schedule_.end_requests);
  log_->Write(EventId::kGatewayDraining,
              fmt::format("in_progress={}", forwarder_.in_progress()));
}

void Gateway::CheckShutdown() {
  auto elapsed = transport_->Now() - *shutdown_at_;
  const ShutdownSchedule& schedule = shutdown_schedule_;
  if (elapsed >= schedule.close_idle) {
    caller_server_.CloseIdle();
  }
  if (elapsed >= schedule.refuse) {
    forwarder_.RefuseNewRequests();
  }
  if (elapsed >= schedule.end_requests) {
    forwarder_.EndRequests();
  }
  bool idle = forwarder_.in_progress() == 0 &&
              !caller_server_.AwaitsFirstRequest() &&
              !peer_server_.HasUnsentBytes() && transport_->ClosingCount() == 0;
  if (elapsed >= schedule.exit || (idle && elapsed >= schedule.earliest_exit)) {
    log_->Write(
        EventId::kGatewayStopped,
        fmt::format("in_progress={} closing={}", forwarder_.in_progress(),
                    transport_->ClosingCount()));
    shutdown_done_();
  }
}

void Gateway::OnConfiguration(const FleetConfiguration& configuration) {
  caller_server_.SetLimits(configuration.limits);
  CallerLimits peer_limits;
  peer_limits.max_body_bytes =
      std::max(peer_limits.max_body_bytes,
               configuration.limits.max_body_bytes +
                   configuration.limits.max_head_bytes + kMaxHandoverOverhead);
  peer_server_.SetLimits(peer_limits);
  forwarder_.pool().SetConfiguration(view_.configuration());
}

void Gateway::OnEndpoint(const RoutedEndpoint& record) {
  log_->Write(
      EventId::kRoutedEndpointChanged,
      {RequestId(), AttemptId(), record.endpoint},
      fmt::format("service={} address={} zone={} version={} draining={} "
                  "cold_ms={} started_at={} row={}",
                  record.service.value(), record.address,
                  record.data_centre.value(), record.version.value(),
                  record.state == EndpointState::kDraining,
                  record.cold_remaining.count(), record.started_at,
                  record.row_version));
  forwarder_.pool().Update(record, transport_->Now());
}

void Gateway::OnEndpointRemoved(const EndpointId& endpoint) {
  log_->Write(EventId::kRoutedEndpointRemoved,
              {RequestId(), AttemptId(), endpoint}, std::string());
  forwarder_.OnEndpointRemoved(endpoint);
}

}  // namespace filbertshift
