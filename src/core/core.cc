#include "src/core/core.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace filbertshift {

namespace {

constexpr std::chrono::milliseconds kHeartbeatInterval{1000};
// Ledgers and quarantine need no finer time.
constexpr std::chrono::milliseconds kSlowTickInterval{100};
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

// True if a section went on by more than one revision. The first reading after
// a start does not count.
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
                    [this](const JobId& job) { StopJob(job); });
}

Core::~Core() = default;

void Core::Handle(CoreMessage message) {
  std::visit([this](auto& typed) { On(std::move(typed)); }, message);
  table_calls_.RunDeferred();
  object_calls_.RunDeferred();
  if (queue_changed_) {
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
  if (now >= next_slow_tick_) {
    next_slow_tick_ = now + kSlowTickInterval;
    configuration_ledger_.Tick(now);
    executions_.Tick(now);
    charges_.Tick(now);
    jobs_.Tick(now, ready());
    PollStops(now);
    quarantine_.Expire(now);
    if (shutting_down_) {
      charges_.Flush(now);
    }
  }
  if (now >= next_metrics_) {
    next_metrics_ = now + kMetricsInterval;
    UpdateGauges(now);
  }
  table_calls_.RunDeferred();
  object_calls_.RunDeferred();
  DrainQueue();
}

void Core::UpdateGauges(TimePoint now) {
  ports_.metrics.SetRequests(requests_.size());
  ports_.metrics.SetCharges(charges_.unstored());
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
  return shutting_down_ && requests_.empty() && jobs_.running() == 0 &&
         charges_.unstored() == 0 && executions_.unconfirmed() == 0;
}

void Core::On(ShutdownRequested&&) {
  shutting_down_ = true;
  ports_.log.Write(EventId::kShutdownBegun,
                   fmt::format("{} requests in progress", requests_.size()));
}

void Core::On(TableReply&& reply) {
  table_calls_.OnReply(reply);
}

void Core::On(ObjectReply&& reply) {
  object_calls_.OnReply(reply);
}

void Core::On(InstanceListRead&& list) {
  if (!list.ok) {
    ports_.log.Write(EventId::kInstanceListStale, list.detail);
    return;
  }
  TimePoint now = ports_.clock.Now();
  for (const EndpointRecord& record : list.endpoints) {
    addresses_[record.endpoint] = record.address;
  }
  EndpointRegistry::ListChange change =
      registry_.ApplyInstanceList(list.endpoints, now);
  for (const EndpointId& removed : change.removed) {
    ports_.endpoints.Forget(removed);
    addresses_.erase(removed);
    ResolveBroken(removed, false);
  }
  if (listed_instances_ != list.instances) {
    listed_instances_ = list.instances;
    ports_.peers.SetPeers(SelectPeers(PeerSelectionOptions(), options_.instance,
                                      options_.data_centre, list.instances));
  }
  queue_changed_ = true;
}

void Core::Probe(const EndpointId& endpoint) {
  auto address = addresses_.find(endpoint);
  if (address == addresses_.end()) {
    return;
  }
  ++probes_outstanding_[endpoint];
  ports_.endpoints.Probe(endpoint, address->second, kProbeTimeout);
}

void Core::On(ProbeResult&& probe) {
  int& outstanding = probes_outstanding_[probe.endpoint];
  outstanding = std::max(0, outstanding - 1);
  bool restarted = registry_.OnProbe(probe, ports_.clock.Now());
  if (restarted) {
    detector_.Forget(probe.endpoint);
  }
  if (probe.reachable) {
    detector_.Observe(probe.endpoint, DelayKind::kProbe, probe.round_trip);
  } else {
    registry_.Suspect(probe.endpoint, "probe failed");
  }
  queue_changed_ = true;
  auto broken = awaiting_probe_.find(probe.endpoint);
  if (broken == awaiting_probe_.end()) {
    return;
  }
  Incarnation before = broken->second.front().incarnation;
  bool changed = before != Incarnation() && probe.incarnation != before;
  bool crashed = !probe.reachable || restarted || changed;
  int& skip = probes_to_skip_[probe.endpoint];
  // An answer that was on its way when the attempts broke says nothing about
  // the time after.
  if (!crashed && skip > 0) {
    --skip;
    return;
  }
  ResolveBroken(probe.endpoint, crashed);
}

void Core::On(ConnectionLost&& lost) {
  registry_.OnConnectionLost(lost.endpoint);
}

void Core::On(PeerUp&& peer) {
  up_peers_.insert(peer.instance);
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

void Core::On(PeerDown&& peer) {
  up_peers_.erase(peer.instance);
  charges_.OnPeerDown(peer.instance);
  executions_.OnPeerDown(peer.instance);
}

void Core::On(PeerReceived&& received) {
  TimePoint now = ports_.clock.Now();
  const InstanceId& from = received.from;
  if (auto* heartbeat = std::get_if<PeerHeartbeat>(&received.message)) {
    configuration_ledger_.OnPeerHeartbeat(from, *heartbeat);
    peers_[from] = *heartbeat;
  } else if (auto* section =
                 std::get_if<PeerConfigurationSection>(&received.message)) {
    configuration_ledger_.OnPeerMessage(*section);
  } else if (auto* suspect = std::get_if<PeerSuspect>(&received.message)) {
    // News are passed on once, since not every pair of instances has a stream.
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
  } else if (auto* kept = std::get_if<PeerChargeKept>(&received.message)) {
    charges_.OnPeerMessage(from, *kept);
  } else if (auto* stored = std::get_if<PeerChargeStored>(&received.message)) {
    charges_.OnPeerMessage(from, *stored);
  } else if (auto* replica_of_call =
                 std::get_if<PeerExecutionReplica>(&received.message)) {
    executions_.OnPeerMessage(from, *replica_of_call);
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
  // Shares of revisions that were never in force here may not overlap with the
  // present ones, so this instance uses none until the change has spread.
  std::optional<std::chrono::milliseconds> missed;
  if (HasSkippedRevision(revisions_in_force_, revisions)) {
    missed = std::chrono::milliseconds(0);
  }
  revisions_in_force_ = revisions;
  registry_.ApplyConfiguration(changed, ports_.clock.Now(), missed);
  rollouts_.ApplyConfiguration(changed);
  ports_.metrics.SetRevisions(revisions);
  queue_changed_ = true;
}

void Core::SendHeartbeat() {
  PeerHeartbeat heartbeat;
  heartbeat.instance = options_.instance;
  heartbeat.data_centre = options_.data_centre;
  heartbeat.seat = options_.seat;
  heartbeat.incarnation = options_.incarnation;
  heartbeat.accepting = ready();
  // An unverified copy must not count as a source for others.
  heartbeat.revisions = configuration_ledger_.Revisions();
  ports_.peers.Broadcast(std::move(heartbeat));
}

void Core::ShareSuspects(const std::vector<SuspectState>& suspects) {
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

Request* Core::Find(const RequestId& id) {
  auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

Request* Core::FindByAttempt(const AttemptId& attempt) {
  auto found = request_by_attempt_.find(attempt);
  return found == request_by_attempt_.end() ? nullptr : Find(found->second);
}

std::string Core::NewToken() {
  return fmt::format("{:016x}", ports_.random.Next());
}

const Configuration& Core::configuration() const {
  return configuration_ledger_.configuration();
}

}  // namespace filbertshift
