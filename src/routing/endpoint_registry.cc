// State of the endpoint registry; endpoint selection is in endpoint_choice.cc.

#include "src/routing/endpoint_registry.h"

#include <fmt/core.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace filbertshift {

namespace {

bool SameRecord(const EndpointRecord& a, const EndpointRecord& b) {
  return a.address == b.address && a.data_centre == b.data_centre &&
         a.kind == b.kind && a.model == b.model && a.version == b.version &&
         a.service == b.service && a.leaving == b.leaving;
}

EventContext ContextFor(const EndpointId& endpoint) {
  EventContext context;
  context.endpoint = endpoint;
  return context;
}

}  // namespace

EndpointRegistry::EndpointRegistry(EndpointRegistryOptions options,
                                   EventLog& log)
    : options_(std::move(options)),
      log_(log),
      // Offset because seed 0 requests a random seed and the seat may be -1.
      random_(static_cast<std::uint64_t>(options_.seat) + 2) {}

void EndpointRegistry::ApplyConfiguration(
    const Configuration& configuration,
    TimePoint now,
    std::optional<std::chrono::milliseconds> missed_change_age) {
  const bool returning = has_plan_;
  configuration_ = configuration;
  SharePlan plan(configuration);
  const bool same_seats = has_plan_ && plan.HasSameSeats(plan_);
  if (has_plan_ && plan != plan_) {
    past_plans_.push_back({std::move(plan_), now + options_.share_transition});
  }
  plan_ = std::move(plan);
  has_plan_ = true;
  if (missed_change_age && *missed_change_age < options_.share_transition) {
    SuspendShares(now + options_.share_transition - *missed_change_age);
  }
  for (Endpoint& endpoint : endpoints_) {
    ApplyPlan(&endpoint, same_seats, now);
    ApplyConfigurationTo(&endpoint, returning);
  }
  RefreshShares(now);
}

// Sets all shares to 0 by adding a past plan without seats.
void EndpointRegistry::SuspendShares(TimePoint until) {
  past_plans_.push_back({plan_.WithoutSeats(), until});
  for (Endpoint& endpoint : endpoints_) {
    AddPastPlan(&endpoint, past_plans_.back());
  }
}

void EndpointRegistry::AddPastPlan(Endpoint* endpoint, const PastPlan& past) {
  const auto allocation =
      past.plan.AllocationFor(endpoint->record, options_.seat);
  if (allocation) {
    endpoint->share.AddPastAllocation(*allocation, past.until);
  }
}

EndpointRegistry::ListChange EndpointRegistry::ApplyInstanceList(
    const std::vector<EndpointRecord>& endpoints,
    TimePoint now) {
  ListChange change;
  std::vector<bool> listed(endpoints_.size());
  bool changed = false;
  for (const EndpointRecord& record : endpoints) {
    const auto slot = slots_.find(record.endpoint);
    if (slot == slots_.end()) {
      AddEndpoint(record, now);
      change.added.push_back(record);
      listed.push_back(true);
      changed = true;
      continue;
    }
    listed[slot->second] = true;
    Endpoint& known = endpoints_[slot->second];
    if (!known.listed || !SameRecord(known.record, record)) {
      UpdateEndpoint(&known, record, now);
      changed = true;
    }
  }
  for (EndpointSlot slot = 0; slot < endpoints_.size(); ++slot) {
    endpoints_[slot].listed = listed[slot];
    LogDraining(&endpoints_[slot]);
  }
  change.removed = RemoveUnlisted();
  if (changed || !change.removed.empty()) {
    RefreshShares(now);
  }
  return change;
}

void EndpointRegistry::AddEndpoint(const EndpointRecord& record,
                                   TimePoint now) {
  slots_[record.endpoint] = static_cast<EndpointSlot>(endpoints_.size());
  Endpoint& endpoint = endpoints_.emplace_back();
  endpoint.record = record;
  // Other instances may still use the endpoint if it was listed before.
  for (const PastPlan& past : past_plans_) {
    AddPastPlan(&endpoint, past);
  }
  ApplyPlan(&endpoint, false, now);
  ApplyConfigurationTo(&endpoint, false);
  log_.Write(EventId::kEndpointAdded, ContextFor(record.endpoint),
             "address " + record.address);
}

void EndpointRegistry::UpdateEndpoint(Endpoint* endpoint,
                                      const EndpointRecord& record,
                                      TimePoint now) {
  if (endpoint->record.address != record.address) {
    endpoint->health.OnConnectionLost();
    endpoint->load.Reset();
  }
  endpoint->record = record;
  endpoint->listed = true;
  ApplyPlan(endpoint, true, now);
  ApplyConfigurationTo(endpoint, true);
}

std::vector<EndpointId> EndpointRegistry::RemoveUnlisted() {
  std::vector<EndpointId> removed;
  for (EndpointSlot slot = 0; slot < endpoints_.size();) {
    const Endpoint& endpoint = endpoints_[slot];
    if (endpoint.listed || endpoint.load.in_flight() > 0) {
      ++slot;
      continue;
    }
    removed.push_back(endpoint.record.endpoint);
    log_.Write(EventId::kEndpointRemoved, ContextFor(removed.back()), "");
    RemoveSlot(slot);
  }
  return removed;
}

// Moves the last endpoint into the removed slot.
void EndpointRegistry::RemoveSlot(EndpointSlot slot) {
  slots_.erase(endpoints_[slot].record.endpoint);
  if (slot + 1 < endpoints_.size()) {
    endpoints_[slot] = std::move(endpoints_.back());
    slots_[endpoints_[slot].record.endpoint] = slot;
  }
  endpoints_.pop_back();
}

void EndpointRegistry::ApplyPlan(Endpoint* endpoint,
                                 bool same_seats,
                                 TimePoint now) {
  const std::optional<SeatAllocation>& old = endpoint->share.allocation();
  endpoint->share.Set(
      same_seats && old ? plan_.AllocationFor(endpoint->record, *old)
                        : plan_.AllocationFor(endpoint->record, options_.seat),
      now + options_.share_transition);
}

void EndpointRegistry::ApplyConfigurationTo(Endpoint* endpoint,
                                            bool returning) {
  endpoint->configured = IsConfigured(endpoint->record);
  const DataCentre* data_centre =
      configuration_.FindDataCentre(endpoint->record.data_centre);
  const bool open = data_centre != nullptr && !data_centre->drained;
  if (returning && open && !endpoint->data_centre_open) {
    endpoint->health.RestartWarmUp();
  }
  endpoint->data_centre_open = open;
  LogDraining(endpoint);
}

bool EndpointRegistry::IsConfigured(const EndpointRecord& record) const {
  if (record.kind == EndpointKind::kPlainService) {
    return configuration_.FindService(record.service) != nullptr;
  }
  const ModelVersion* version =
      configuration_.FindVersion(record.model, record.version);
  return version != nullptr && !version->withdrawn;
}

void EndpointRegistry::LogDraining(Endpoint* endpoint) {
  const bool draining = IsDraining(*endpoint);
  if (draining && !endpoint->draining) {
    const char* reason = "data centre is drained or not configured";
    if (!endpoint->listed) {
      reason = "no longer in the instance list";
    } else if (endpoint->record.leaving) {
      reason = "marked as leaving in the instance list";
    }
    log_.Write(EventId::kEndpointDraining,
               ContextFor(endpoint->record.endpoint), reason);
  }
  endpoint->draining = draining;
}

void EndpointRegistry::RebuildIndex() {
  index_.Clear(endpoints_.size());
  for (EndpointSlot slot = 0; slot < endpoints_.size(); ++slot) {
    if (endpoints_[slot].share.HasSeat()) {
      index_.Add(endpoints_[slot].record, slot);
    }
  }
  index_.Finish();
}

// Drops expired past plans and allocations, which may increase shares.
void EndpointRegistry::RefreshShares(TimePoint now) {
  past_plans_.erase(
      std::remove_if(past_plans_.begin(), past_plans_.end(),
                     [now](const PastPlan& past) { return past.until <= now; }),
      past_plans_.end());
  next_share_change_ = TimePoint::max();
  for (Endpoint& endpoint : endpoints_) {
    endpoint.share.DropExpired(now);
    next_share_change_ =
        std::min(next_share_change_, endpoint.share.NextChange());
  }
  RebuildIndex();
}

bool EndpointRegistry::OnProbe(const ProbeResult& probe, TimePoint now) {
  Endpoint* endpoint = Find(probe.endpoint);
  if (endpoint == nullptr) {
    return false;
  }
  const EventContext context = ContextFor(probe.endpoint);
  const EndpointHealth::Change change = endpoint->health.OnProbe(probe, now);
  if (change.restarted) {
    endpoint->load.Reset();
    endpoint->paused_until = TimePoint();
    log_.Write(EventId::kEndpointRestarted, context,
               fmt::format("uptime {} ms", probe.uptime.count()));
  }
  if (probe.reachable) {
    endpoint->load.OnReport(probe, now);
    index_.MakeAvailable(slots_.at(probe.endpoint));
  }
  if (change.suspected) {
    log_.Write(EventId::kEndpointSuspected, context, "probe failed");
  }
  if (change.trusted) {
    log_.Write(EventId::kEndpointTrusted, context, "probe succeeded");
  }
  return change.restarted;
}

void EndpointRegistry::OnConnectionLost(const EndpointId& endpoint) {
  if (Endpoint* found = Find(endpoint)) {
    found->health.OnConnectionLost();
  }
}

void EndpointRegistry::Suspect(const EndpointId& endpoint,
                               const std::string& reason) {
  Endpoint* found = Find(endpoint);
  if (found != nullptr && found->health.Suspect()) {
    log_.Write(EventId::kEndpointSuspected, ContextFor(endpoint), reason);
  }
}

bool EndpointRegistry::Pause(const EndpointId& endpoint,
                             Incarnation incarnation,
                             TimePoint until,
                             TimePoint now) {
  Endpoint* found = Find(endpoint);
  if (found == nullptr || found->health.incarnation() != incarnation) {
    return false;
  }
  const bool begins = found->paused_until <= now;
  found->paused_until = std::max(found->paused_until, until);
  return begins;
}

void EndpointRegistry::Reserve(const EndpointId& endpoint,
                               const AttemptId& attempt,
                               Fingerprint fingerprint,
                               const EndpointQuery& query,
                               TimePoint now) {
  Endpoint* found = Find(endpoint);
  if (found == nullptr) {
    RefuseReservation(endpoint, attempt, "unknown endpoint");
  }
  if (attempts_.count(attempt) > 0) {
    RefuseReservation(endpoint, attempt, "attempt is already reserved");
  }
  const int share = ShareOf(*found, now);
  if (found->load.in_flight() >= share) {
    RefuseReservation(endpoint, attempt,
                      fmt::format("share limit of {} reached", share));
  }
  if (query.suspect && found->load.suspects() > 0) {
    RefuseReservation(endpoint, attempt,
                      "another crash suspect is running on the endpoint");
  }
  found->load.OnReserve(query.prompt_tokens, query.suspect, query.prefix_hash);
  attempts_[attempt] = {endpoint, fingerprint, query.suspect,
                        query.prompt_tokens};
}

void EndpointRegistry::RefuseReservation(const EndpointId& endpoint,
                                         const AttemptId& attempt,
                                         const std::string& reason) {
  ++violations_;
  EventContext context = ContextFor(endpoint);
  context.attempt = attempt;
  log_.Write(EventId::kInvariantViolated, context, reason);
  throw std::logic_error("cannot reserve endpoint " + endpoint.value() + ": " +
                         reason);
}

void EndpointRegistry::OnFirstToken(const AttemptId& attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  Attempt& state = found->second;
  Find(state.endpoint)->load.OnPromptProcessed(state.prompt_tokens);
  state.prompt_tokens = 0;
}

void EndpointRegistry::Release(const AttemptId& attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  const Attempt& state = found->second;
  const EndpointSlot slot = slots_.at(state.endpoint);
  endpoints_[slot].load.OnRelease(state.prompt_tokens, state.suspect);
  index_.MakeAvailable(slot);
  attempts_.erase(found);
}

std::vector<Fingerprint> EndpointRegistry::InFlight(
    const EndpointId& endpoint) const {
  std::vector<Fingerprint> fingerprints;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.endpoint == endpoint) {
      fingerprints.push_back(attempt.fingerprint);
    }
  }
  return fingerprints;
}

std::vector<EndpointChoice> EndpointRegistry::DueProbes(
    TimePoint now,
    std::chrono::milliseconds interval) {
  std::vector<EndpointChoice> due;
  for (Endpoint& endpoint : endpoints_) {
    const bool used = endpoint.share.HasSeat() || endpoint.load.in_flight() > 0;
    if (used &&
        endpoint.health.ProbeDue(now, interval, options_.max_probe_age)) {
      due.push_back(ChoiceOf(endpoint, now));
      endpoint.health.OnProbeRequested(now);
      endpoint.load.OnProbeRequested();
    }
  }
  return due;
}

std::vector<EndpointView> EndpointRegistry::Views(TimePoint now) const {
  std::vector<EndpointView> views;
  for (const Endpoint& endpoint : endpoints_) {
    EndpointView view;
    view.record = endpoint.record;
    view.incarnation = endpoint.health.incarnation();
    view.uptime = endpoint.health.Uptime(now, options_.max_probe_age);
    view.verified = endpoint.health.IsVerified(now, options_.max_probe_age);
    view.suspected = endpoint.health.suspected();
    view.draining = IsDraining(endpoint);
    view.paused = now < endpoint.paused_until;
    view.share = ShareOf(endpoint, now);
    view.in_flight = endpoint.load.in_flight();
    view.running = endpoint.load.running();
    view.waiting = endpoint.load.waiting();
    views.push_back(std::move(view));
  }
  std::sort(views.begin(), views.end(),
            [](const EndpointView& a, const EndpointView& b) {
              return a.record.endpoint < b.record.endpoint;
            });
  return views;
}

EndpointRegistry::Endpoint* EndpointRegistry::Find(const EndpointId& endpoint) {
  const auto found = slots_.find(endpoint);
  return found == slots_.end() ? nullptr : &endpoints_[found->second];
}

const EndpointRegistry::Endpoint* EndpointRegistry::Find(
    const EndpointId& endpoint) const {
  const auto found = slots_.find(endpoint);
  return found == slots_.end() ? nullptr : &endpoints_[found->second];
}

}  // namespace filbertshift
