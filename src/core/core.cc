#include "src/core/core.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace filbertshift {

namespace {

constexpr std::chrono::milliseconds kHeartbeatInterval{1000};
// A coarser interval than that of Tick() is sufficient for the ledgers and the
// quarantine.
constexpr std::chrono::milliseconds kMaintenanceInterval{100};
constexpr std::chrono::milliseconds kMetricsInterval{1000};
constexpr std::chrono::milliseconds kProbeTimeout{500};
constexpr std::chrono::hours kSuspectRetention{1};

EndpointRegistryOptions RegistryOptions(const CoreOptions& options) {
  EndpointRegistryOptions registry;
  registry.own_data_centre = options.data_centre;
  registry.seat = options.seat;
  registry.policy = options.policy;
  registry.share_transition = options.share_transition;
  return registry;
}

ChargeLedgerOptions ChargeOptions(const CoreOptions& options) {
  ChargeLedgerOptions charges;
  charges.incarnation = options.incarnation;
  charges.batch_interval = options.charge_batch_interval;
  return charges;
}

JobLedgerOptions JobOptions(const CoreOptions& options) {
  JobLedgerOptions jobs;
  jobs.owner = options.incarnation;
  return jobs;
}

// Returns true if a section advanced by more than one revision. The first
// revision read after a start does not count.
bool HasSkippedRevision(const std::vector<std::uint64_t>& before,
                        const std::vector<std::uint64_t>& after) {
  for (std::size_t i = 0; i < before.size() && i < after.size(); ++i) {
    if (before[i] > 0 && after[i] > before[i] + 1) {
      return true;
    }
  }
  return false;
}

}  // namespace

Core::Core(CoreOptions options, CorePorts ports)
    : options_(std::move(options)),
      ports_(ports),
      table_calls_(ports_.table, ports_.log),
      object_calls_(ports_.objects),
      configuration_ledger_(options_.configuration_poll_interval,
                            table_calls_,
                            ports_.peers,
                            ports_.clock,
                            ports_.log),
      executions_(table_calls_,
                  object_calls_,
                  ports_.peers,
                  ports_.clock,
                  ports_.random,
                  ports_.log),
      charges_(ChargeOptions(options_),
               table_calls_,
               ports_.peers,
               ports_.clock,
               ports_.log),
      sessions_(SessionLedgerOptions(),
                table_calls_,
                ports_.peers,
                ports_.random,
                ports_.log),
      jobs_(JobOptions(options_),
            table_calls_,
            object_calls_,
            ports_.clock,
            ports_.random,
            ports_.log),
      registry_(RegistryOptions(options_), ports_.log),
      detector_(options_.detector),
      retry_budget_(options_.retry_budget),
      quarantine_(kSuspectRetention),
      rollouts_(options_.rollouts),
      cascade_(options_.cascade) {
  configuration_ledger_.SetHandler(
      [this](const Configuration& changed) { OnConfiguration(changed); });
  jobs_.SetHandlers([this](const JobClaim& claim) { RunJob(claim); },
                    [this](const JobId& job) { CancelJob(job); });
}

Core::~Core() = default;

void Core::Handle(CoreMessage message) {
  std::visit([this](auto& typed) { OnMessage(std::move(typed)); }, message);
  table_calls_.FailRefusedCalls();
  object_calls_.FailRefusedCalls();
  if (queue_drain_needed_) {
    DrainQueue();
  }
}

void Core::Tick() {
  TimePoint now = ports_.clock.Now();
  CheckTimeouts(now);
  for (const EndpointChoice& due :
       registry_.DueProbes(now, options_.probe_interval)) {
    Probe(due.endpoint);
  }
  if (now >= next_heartbeat_) {
    next_heartbeat_ = now + kHeartbeatInterval;
    SendHeartbeat();
  }
  if (now >= next_maintenance_) {
    next_maintenance_ = now + kMaintenanceInterval;
    configuration_ledger_.Tick(now);
    executions_.Tick(now);
    charges_.Tick(now);
    jobs_.Tick(now, ready());
    PollStoppedCandidates(now);
    quarantine_.Expire(now);
    if (shutting_down_) {
      charges_.Flush(now);
    }
  }
  if (now >= next_metrics_) {
    next_metrics_ = now + kMetricsInterval;
    UpdateGauges(now);
  }
  table_calls_.FailRefusedCalls();
  object_calls_.FailRefusedCalls();
  DrainQueue();
}

void Core::UpdateGauges(TimePoint now) {
  ports_.metrics.SetRequests(requests_.size());
  ports_.metrics.SetCharges(charges_.unstored_charges());
  for (const QualityClass& quality_class : configuration().classes) {
    ports_.metrics.SetQueueLength(quality_class.name,
                                  queue_.SizeOfClass(quality_class.name));
  }
  ports_.metrics.SetEndpoints(registry_.Views(now));
}

bool Core::ready() const {
  return configuration_ledger_.verified() && !shutting_down_;
}

bool Core::IsDrained() const {
  return shutting_down_ && requests_.empty() && jobs_.running_jobs() == 0 &&
         jobs_.submissions_in_progress() == 0 &&
         charges_.unstored_charges() == 0 &&
         executions_.unconfirmed_writes() == 0;
}

void Core::OnMessage(ShutdownRequested&&) {
  shutting_down_ = true;
  ports_.log.Write(EventId::kShutdownBegun,
                   fmt::format("{} requests in progress", requests_.size()));
}

void Core::OnMessage(TableReply&& reply) {
  table_calls_.OnReply(reply);
}

void Core::OnMessage(ObjectReply&& reply) {
  object_calls_.OnReply(reply);
}

void Core::OnMessage(InstanceListRead&& list) {
  if (!list.ok) {
    ports_.log.Write(EventId::kInstanceListStale, list.detail);
    return;
  }
  TimePoint now = ports_.clock.Now();
  for (const EndpointRecord& record : list.endpoints) {
    endpoint_addresses_[record.endpoint] = record.address;
  }
  EndpointRegistry::ListChange change =
      registry_.ApplyInstanceList(list.endpoints, now);
  for (const EndpointId& removed : change.removed) {
    ports_.endpoints.Forget(removed);
    endpoint_addresses_.erase(removed);
    ResolveBrokenAttempts(removed, false);
  }
  if (listed_instances_ != list.instances) {
    listed_instances_ = list.instances;
    ports_.peers.SetPeers(SelectPeers(PeerSelectionOptions(), options_.instance,
                                      options_.data_centre, list.instances));
  }
  queue_drain_needed_ = true;
}

void Core::Probe(const EndpointId& endpoint) {
  auto address = endpoint_addresses_.find(endpoint);
  if (address == endpoint_addresses_.end()) {
    return;
  }
  ++probes_outstanding_[endpoint];
  ports_.endpoints.Probe(endpoint, address->second, kProbeTimeout);
}

void Core::OnMessage(ProbeResult&& probe) {
  int& outstanding = probes_outstanding_[probe.endpoint];
  outstanding = std::max(0, outstanding - 1);
  bool restarted = registry_.OnProbe(probe, ports_.clock.Now());
  if (restarted) {
    detector_.ClearSamples(probe.endpoint);
  }
  if (probe.reachable) {
    detector_.Observe(probe.endpoint, DelayKind::kProbe, probe.round_trip);
  } else {
    registry_.Suspect(probe.endpoint, "probe failed");
  }
  queue_drain_needed_ = true;
  auto broken = attempts_awaiting_probe_.find(probe.endpoint);
  if (broken == attempts_awaiting_probe_.end()) {
    return;
  }
  Incarnation before = broken->second.front().incarnation;
  bool changed = before != Incarnation() && probe.incarnation != before;
  bool crashed = !probe.reachable || restarted || changed;
  int& results_to_ignore = probe_results_to_ignore_[probe.endpoint];
  // A probe that was already in flight when the attempts broke does not show
  // the state of the endpoint after the break.
  if (!crashed && results_to_ignore > 0) {
    --results_to_ignore;
    return;
  }
  ResolveBrokenAttempts(probe.endpoint, crashed);
}

void Core::OnMessage(ConnectionLost&& lost) {
  registry_.OnConnectionLost(lost.endpoint);
}

void Core::OnMessage(PeerUp&& peer) {
  connected_peers_.insert(peer.instance);
  charges_.OnPeerUp(peer.instance);
  executions_.OnPeerUp(peer.instance);
  for (const StoppedCandidate& stop : rollouts_.Stops()) {
    ports_.peers.Send(peer.instance,
                      PeerCandidateStopped{stop.model, stop.version,
                                           stop.generation, stop.reason});
  }
  for (const SuspectState& suspect : quarantine_.All()) {
    ports_.peers.Send(peer.instance, PeerSuspect{suspect.fingerprint,
                                                 {suspect.endpoints.begin(),
                                                  suspect.endpoints.end()}});
  }
}

void Core::OnMessage(PeerDown&& peer) {
  connected_peers_.erase(peer.instance);
  charges_.OnPeerDown(peer.instance);
  executions_.OnPeerDown(peer.instance);
}

void Core::OnMessage(PeerReceived&& received) {
  TimePoint now = ports_.clock.Now();
  const InstanceId& from = received.from;
  if (auto* heartbeat = std::get_if<PeerHeartbeat>(&received.message)) {
    configuration_ledger_.OnPeerHeartbeat(from, *heartbeat);
    peer_heartbeats_[from] = *heartbeat;
  } else if (auto* section =
                 std::get_if<PeerConfigurationSection>(&received.message)) {
    configuration_ledger_.OnPeerMessage(*section);
  } else if (auto* suspect = std::get_if<PeerSuspect>(&received.message)) {
    // New information is forwarded once, because not every pair of instances
    // has a stream.
    if (quarantine_.Merge(suspect->fingerprint, suspect->endpoints, now)) {
      ports_.peers.Broadcast(*suspect);
    }
  } else if (auto* clear = std::get_if<PeerSuspectCleared>(&received.message)) {
    if (quarantine_.Clear(clear->fingerprint)) {
      ports_.peers.Broadcast(*clear);
    }
  } else if (auto* replica =
                 std::get_if<PeerChargeReplica>(&received.message)) {
    charges_.OnPeerMessage(from, *replica);
  } else if (auto* kept =
                 std::get_if<PeerChargeReplicaAck>(&received.message)) {
    charges_.OnPeerMessage(from, *kept);
  } else if (auto* stored = std::get_if<PeerChargeStored>(&received.message)) {
    charges_.OnPeerMessage(from, *stored);
  } else if (auto* replica_of_call =
                 std::get_if<PeerExecutionReplica>(&received.message)) {
    executions_.OnPeerMessage(from, *replica_of_call);
  } else if (auto* kept_call =
                 std::get_if<PeerExecutionReplicaAck>(&received.message)) {
    executions_.OnPeerMessage(from, *kept_call);
  } else if (auto* bound = std::get_if<PeerSessionBound>(&received.message)) {
    sessions_.OnPeerMessage(*bound);
  } else if (auto* stop =
                 std::get_if<PeerCandidateStopped>(&received.message)) {
    if (rollouts_.AddStop(
            {stop->model, stop->version, stop->generation, stop->reason})) {
      ports_.peers.Broadcast(*stop);
    }
  }
}

void Core::OnConfiguration(const Configuration& changed) {
  std::vector<std::uint64_t> revisions = configuration_ledger_.Revisions();
  // Shares are only compatible between consecutive revisions. After it has
  // skipped one, this instance uses no share until the change has reached all
  // instances.
  std::optional<std::chrono::milliseconds> missed_change_age;
  if (HasSkippedRevision(active_revisions_, revisions)) {
    missed_change_age = std::chrono::milliseconds(0);
  }
  active_revisions_ = revisions;
  registry_.ApplyConfiguration(changed, ports_.clock.Now(), missed_change_age);
  rollouts_.ApplyConfiguration(changed);
  ports_.metrics.SetRevisions(revisions);
  queue_drain_needed_ = true;
}

void Core::SendHeartbeat() {
  PeerHeartbeat heartbeat;
  heartbeat.instance = options_.instance;
  heartbeat.data_centre = options_.data_centre;
  heartbeat.seat = options_.seat;
  heartbeat.incarnation = options_.incarnation;
  // Peers regard their own configuration as verified if an accepting instance
  // has the same one, so this must be false for an unverified configuration.
  heartbeat.accepting = ready();
  heartbeat.revisions = configuration_ledger_.Revisions();
  ports_.peers.Broadcast(std::move(heartbeat));
}

void Core::BroadcastSuspects(const std::vector<SuspectState>& suspects) {
  for (const SuspectState& suspect : suspects) {
    ports_.peers.Broadcast(
        PeerSuspect{suspect.fingerprint,
                    {suspect.endpoints.begin(), suspect.endpoints.end()}});
  }
}

void Core::CheckInvariant(bool holds,
                          const char* invariant,
                          const Request& request) {
  if (holds) {
    return;
  }
  ports_.metrics.OnInvariantViolated(invariant);
  EventContext context;
  context.request = request.id;
  ports_.log.Write(EventId::kInvariantViolated, context, invariant);
}

Request* Core::FindRequest(const RequestId& id) {
  auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

Request* Core::FindRequestByAttempt(const AttemptId& attempt) {
  auto found = request_by_attempt_.find(attempt);
  return found == request_by_attempt_.end() ? nullptr
                                            : FindRequest(found->second);
}

std::string Core::NewRandomId() {
  return fmt::format("{:016x}", ports_.random.Next());
}

const Configuration& Core::configuration() const {
  return configuration_ledger_.configuration();
}

}  // namespace filbertshift
