// Choice of an endpoint by the load of all instances.

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "src/dispatch/endpoint_pool.h"

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

// Assumed share of a shared prompt prefix that is cached at the first endpoints
// in ring order.
constexpr double kCachedShares[] = {1.0, 0.35};
constexpr std::size_t kSuccessors = std::size(kCachedShares);
// Candidates beside the successors. Few, because views are 0.6 s old: if all
// instances took the emptiest of all endpoints, it would be overloaded before
// they see it.
constexpr std::uint64_t kSamples = 3;
// Endpoints that are looked at for usable successors.
constexpr std::size_t kMaxVisited = 24;
// The service is left to the choice by own load from this number of slots of an
// endpoint for each instance on: own requests then tell enough.
constexpr int kMaxSlotsPerInstance = 2;
// Seeds of hashes of the request: of the samples, each with its number, of the
// decision to leave, and of the order of other data centres.
constexpr std::uint64_t kSampleSeed = 100;
constexpr std::uint64_t kLeaveSeed = 1;
constexpr std::uint64_t kOrderSeed = 2;
// A request computes the plan itself if nothing else has for this long.
constexpr milliseconds kMaxPlanAge = 2 * OverflowPlan::kStepInterval;
// Time over which the mean time that a request holds a slot is measured.
constexpr double kHoldWindowMs = 10000;
constexpr double kDefaultHoldMs = 1000;
// Weights of a faster and of a slower response in the low quantile of response
// times: about one in thirty is below it.
constexpr double kFasterWeight = 0.3;
constexpr double kSlowerWeight = 0.01;
// The same for the time for each prompt token: about one in four is below it,
// since some prompts are cached and most have waited.
constexpr double kFasterTokenWeight = 0.06;
constexpr double kSlowerTokenWeight = 0.02;
// The time of shorter prompts is mostly that of the path and of a queue.
constexpr double kMinMeasuredTokens = 500;
// The least time to connect grows by this part with each slower connection, so
// that a path that has become longer is noticed.
constexpr double kConnectGrowth = 0.002;
// An endpoint counts as full when reading the prompts that wait there takes
// this long, however many slots are free: callers wait for 1.5 s or more.
constexpr double kFullBacklogMs = 1000;
// Room of a data centre that is full, relative to its capacity.
constexpr double kMinRoom = 0.02;

std::uint64_t Hash(std::uint64_t value, std::uint64_t seed) {
  return XXH64(&value, sizeof(value), seed);
}

// From 0 to 1, without 1.
double Position(std::uint64_t hash) {
  constexpr int kUnusedBits = 11;
  constexpr double kScale = 1.0 / static_cast<double>(std::uint64_t{1} << 53);
  return static_cast<double>(hash >> kUnusedBits) * kScale;
}

double Milliseconds(std::chrono::nanoseconds time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

void FollowQuantile(double value,
                    double faster_weight,
                    double slower_weight,
                    double* quantile) {
  double weight = value < *quantile ? faster_weight : slower_weight;
  *quantile = *quantile == 0 ? value : *quantile + weight * (value - *quantile);
}

}  // namespace

void EndpointPool::SetPlacement(PlacementSettings settings) {
  placement_ = std::move(settings);
  for (const auto& [endpoint, entry] : entries_) {
    if (placement_.enabled) {
      service_endpoints_.Put(endpoint, entry.record.service,
                             entry.record.data_centre);
    } else {
      service_endpoints_.Remove(endpoint);
    }
  }
}

CandidateLoad EndpointPool::LoadOf(const Entry& entry,
                                   double ms_per_token,
                                   TimePoint now) const {
  OwnLoad own;
  own.in_flight = entry.in_flight;
  own.running = entry.running_weight;
  own.waiting_tokens = entry.waiting_tokens;
  for (auto send = entry.recent_sends.rbegin();
       send != entry.recent_sends.rend() && send->at > load_table_->as_of();
       ++send) {
    own.new_requests += 1;
    own.new_tokens += send->tokens;
  }
  ReportedEndpointLoad others =
      load_table_->OthersAt(entry.hash, now).value_or(ReportedEndpointLoad());
  double pace = now < entry.pace_unknown_until ? 1 : PaceOf(others);
  double read_tokens =
      TokensIn(Milliseconds(now - load_table_->as_of()), ms_per_token) / pace;
  CandidateLoad load = EstimateLoad(others, own, instances_, read_tokens);
  load.slots = std::max(entry.record.slots, 1);
  load.pace = pace;
  return load;
}

DataCentreLoad EndpointPool::LoadOf(const DataCentreId& data_centre,
                                    const EndpointRing& ring,
                                    double ms_per_token,
                                    TimePoint now) {
  DataCentreLoad sum;
  sum.data_centre = data_centre;
  auto centre = data_centres_.find(data_centre);
  if (evacuated_(data_centre) ||
      (centre != data_centres_.end() && centre->second.losses.IsCutOff())) {
    return sum;
  }
  for (const EndpointId& id : ring.members()) {
    const Entry& entry = entries_.at(id);
    bool avoided = entry.avoid_until > now;
    if (entry.record.state != EndpointState::kReady || notices_.IsLeaving(id) ||
        notices_.PausedUntil(id, now).has_value() || IsCold(entry, now) ||
        (avoided && entry.consecutive_breaks > 0)) {
      continue;
    }
    ReportedEndpointLoad others =
        load_table_->OthersAt(entry.hash, now).value_or(ReportedEndpointLoad());
    double pace = now < entry.pace_unknown_until ? 1 : PaceOf(others);
    double capacity = entry.record.slots / pace;
    double backlog_ms = pace * (others.waiting_tokens + entry.waiting_tokens) /
                        TokensIn(1, ms_per_token);
    double load = std::max(others.in_flight + entry.in_flight,
                           capacity * backlog_ms / kFullBacklogMs);
    sum.capacity += capacity;
    // It may be full before its slots are, for want of memory.
    sum.load += avoided ? std::max(load, capacity) : load;
  }
  return sum;
}

void EndpointPool::UpdatePlans(TimePoint now) {
  if (!placement_.enabled || load_table_ == nullptr ||
      !load_table_->IsCurrent(now)) {
    return;
  }
  for (auto& [service, state] : placed_services_) {
    const ServiceEndpoints::RingsByDataCentre* rings =
        service_endpoints_.Find(service);
    if (rings != nullptr) {
      UpdatePlan(*rings, OverflowPlan::kStepInterval, &state, now);
    }
  }
}

void EndpointPool::UpdatePlan(const ServiceEndpoints::RingsByDataCentre& rings,
                              milliseconds max_age,
                              PlacedService* service,
                              TimePoint now) {
  if (service->updated_at != TimePoint() &&
      now - service->updated_at < max_age) {
    return;
  }
  double passed_ms = service->updated_at == TimePoint()
                         ? 0
                         : Milliseconds(now - service->updated_at);
  service->updated_at = now;
  double own_requests = 0;
  double failure_rates = 0;
  double endpoints = 0;
  service->max_slots = 0;
  service->loads.clear();
  for (const auto& [data_centre, ring] : rings) {
    service->loads.push_back(
        LoadOf(data_centre, ring, service->ms_per_token, now));
    for (const EndpointId& id : ring.members()) {
      const Entry& entry = entries_.at(id);
      own_requests += entry.in_flight;
      failure_rates += entry.failure_rate;
      endpoints += 1;
      service->max_slots = std::max(service->max_slots, entry.record.slots);
    }
  }
  service->mean_failure_rate = endpoints > 0 ? failure_rates / endpoints : 0;
  double decay = std::exp(-passed_ms / kHoldWindowMs);
  service->held_ms_sum =
      service->held_ms_sum * decay + own_requests * passed_ms;
  service->send_sum = service->send_sum * decay + service->sends;
  service->sends = 0;
  double hold_ms = service->send_sum >= 1
                       ? service->held_ms_sum / service->send_sum
                       : kDefaultHoldMs;
  OverflowInputs inputs;
  inputs.local = placement_.data_centre;
  inputs.hold_time = milliseconds(
      std::max<std::int64_t>(1, static_cast<std::int64_t>(hold_ms)));
  for (DataCentreLoad& load : service->loads) {
    if (load.data_centre != placement_.data_centre) {
      load.path_cost =
          RemoteCostMs(DistanceMs(load.data_centre), service->bytes.value(),
                       placement_.remote_cost_ms_per_mb) /
          std::max(hold_ms, 1.0);
    }
  }
  inputs.data_centres = service->loads;
  service->plan.Step(inputs, now);
}

bool EndpointPool::IsUsable(Entry* entry,
                            const DispatchQuery& query,
                            double mean_failure_rate,
                            TimePoint now) {
  return !notices_.PausedUntil(entry->record.endpoint, now).has_value() &&
         !ColdLimitReached(entry, now) &&
         !IsAvoided(entry, query, mean_failure_rate, now);
}

EndpointPool::Pick EndpointPool::PickFrom(const EndpointRing& ring,
                                          const DispatchQuery& query,
                                          const PlacedService& service,
                                          TimePoint now) {
  TimeScale scale{service.ms_per_token, service.service_ms};
  Pick best;
  std::vector<const Entry*> seen;
  auto consider = [&](Entry* entry, double cached_share) {
    seen.push_back(entry);
    CandidateLoad load = LoadOf(*entry, service.ms_per_token, now);
    double score = PlacementScore(load, query.work, cached_share);
    if (best.entry == nullptr || score < best.score) {
      best = {entry, score,
              ExpectedWaitMs(load, query.work, cached_share, scale)};
    }
  };
  // A small ring is looked at as a whole.
  constexpr std::size_t kCandidates = kSuccessors + kSamples;
  bool small = ring.members().size() <= kCandidates;
  std::size_t rank = 0;
  std::uint64_t start =
      query.affinity != 0 ? query.affinity : query.request_hash;
  ring.Visit(start, kMaxVisited, [&](const EndpointId& id) {
    Entry* entry = &entries_.at(id);
    if (!IsCandidate(*entry, query)) {
      return true;
    }
    double cached_share = query.affinity != 0 && rank < std::size(kCachedShares)
                              ? kCachedShares[rank]
                              : 0;
    ++rank;
    if (IsUsable(entry, query, service.mean_failure_rate, now)) {
      consider(entry, cached_share);
    }
    return small || seen.size() < kSuccessors;
  });
  for (std::uint64_t i = 0; i < kSamples && !small; ++i) {
    // A repeated request looks at other endpoints.
    std::uint64_t seed = kSampleSeed + i + kSamples * query.excluded.size();
    Entry* entry = &entries_.at(ring.At(Hash(query.request_hash, seed)));
    if (std::find(seen.begin(), seen.end(), entry) == seen.end() &&
        IsCandidate(*entry, query) &&
        IsUsable(entry, query, service.mean_failure_rate, now)) {
      consider(entry, 0);
    }
  }
  return best;
}

std::vector<DataCentreId> EndpointPool::OtherCentres(
    const DispatchQuery& query,
    const PlacedService& service) const {
  // Weighted rendezvous hashing: the first is drawn with a probability
  // proportional to its room.
  std::vector<std::pair<double, DataCentreId>> ranked;
  std::uint64_t number = 0;
  for (const DataCentreLoad& load : service.loads) {
    double room =
        std::max(load.capacity - load.load, kMinRoom * (load.capacity + 1));
    double position =
        Position(Hash(query.request_hash, kOrderSeed + kSampleSeed * ++number));
    if (load.data_centre != query.local_data_centre) {
      ranked.emplace_back(std::log(std::max(position, 1e-12)) / room,
                          load.data_centre);
    }
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<DataCentreId> centres;
  for (const auto& entry : ranked) {
    centres.push_back(entry.second);
  }
  return centres;
}

std::optional<DispatchChoice> EndpointPool::Place(const DispatchQuery& query,
                                                  TimePoint now) {
  if (!placement_.enabled || load_table_ == nullptr ||
      query.max_endpoints != 0 || !load_table_->IsCurrent(now)) {
    return std::nullopt;
  }
  const ServiceEndpoints::RingsByDataCentre* rings =
      service_endpoints_.Find(query.service);
  if (rings == nullptr) {
    return std::nullopt;
  }
  PlacedService& service = placed_services_[query.service];
  UpdatePlan(*rings, kMaxPlanAge, &service, now);
  if (service.max_slots == 0 ||
      service.max_slots >= kMaxSlotsPerInstance * std::max(instances_, 1)) {
    return std::nullopt;
  }
  service.bytes.Add(query.bytes);
  auto pick_in = [&](const DataCentreId& data_centre) {
    auto ring = rings->find(data_centre);
    return ring == rings->end() ? Pick()
                                : PickFrom(ring->second, query, service, now);
  };
  auto choice = [&](const Pick& pick, RemoteReason reason) {
    return DispatchChoice{pick.entry->record.endpoint, false,       false,
                          NoEndpointReason::kNone,     TimePoint(), reason};
  };
  Pick local = pick_in(query.local_data_centre);
  const DataCentreId* destination = service.plan.DestinationOf(
      query.local_data_centre, Position(Hash(query.request_hash, kLeaveSeed)));
  if (destination != nullptr) {
    Pick remote = pick_in(*destination);
    double cost = RemoteCostMs(DistanceMs(*destination), query.bytes,
                               placement_.remote_cost_ms_per_mb);
    if (remote.entry != nullptr &&
        (local.entry == nullptr || local.wait_ms - remote.wait_ms > cost)) {
      return choice(remote, RemoteReason::kOverflow);
    }
  }
  if (local.entry != nullptr) {
    return choice(local, RemoteReason::kLocal);
  }
  for (const DataCentreId& other : OtherCentres(query, service)) {
    Pick remote = pick_in(other);
    if (remote.entry != nullptr) {
      return choice(remote, RemoteReason::kNoLocalEndpoint);
    }
  }
  return std::nullopt;
}

std::vector<OverflowState> EndpointPool::Overflows(TimePoint now) const {
  std::vector<OverflowState> states;
  for (const auto& [service, state] : placed_services_) {
    if (now - state.updated_at > kMaxLoadAge) {
      continue;
    }
    for (const OverflowPlan::Share& share :
         state.plan.SharesOf(placement_.data_centre)) {
      states.push_back({service, share.destination, share.share,
                        state.plan.SendToEachOther(placement_.data_centre,
                                                   share.destination, now)});
    }
  }
  return states;
}

double EndpointPool::DistanceMs(const DataCentreId& data_centre) const {
  auto connect_ms = [this](const DataCentreId& id) {
    auto found = data_centres_.find(id);
    return found == data_centres_.end() ? 0 : found->second.connect_ms;
  };
  return std::max(connect_ms(data_centre) - connect_ms(placement_.data_centre),
                  0.0);
}

void EndpointPool::OnConnected(const EndpointId& endpoint,
                               std::chrono::microseconds time) {
  auto found = entries_.find(endpoint);
  if (found == entries_.end()) {
    return;
  }
  double& least = data_centres_[found->second.record.data_centre].connect_ms;
  double value = Milliseconds(time);
  least = least == 0 ? value : std::min(value, least * (1 + kConnectGrowth));
}

void EndpointPool::RecordSend(Entry* entry,
                              const WorkEstimate& work,
                              TimePoint now) {
  if (!placement_.enabled) {
    return;
  }
  auto& sends = entry->recent_sends;
  auto old = std::find_if(sends.begin(), sends.end(), [now](const auto& send) {
    return now - send.at <= kMaxLoadAge;
  });
  sends.erase(sends.begin(), old);
  sends.push_back({now, work.prompt_tokens * work.model_weight});
  placed_services_[entry->record.service].sends += 1;
}

void EndpointPool::RecordResponse(const Entry& entry,
                                  const WorkEstimate& work,
                                  std::chrono::microseconds time) {
  if (!placement_.enabled) {
    return;
  }
  PlacedService& service = placed_services_[entry.record.service];
  double tokens = work.prompt_tokens * work.model_weight;
  if (work.prompt_tokens <= 0) {
    FollowQuantile(Milliseconds(time), kFasterWeight, kSlowerWeight,
                   &service.service_ms);
  } else if (tokens >= kMinMeasuredTokens) {
    FollowQuantile(Milliseconds(time) / tokens, kFasterTokenWeight,
                   kSlowerTokenWeight, &service.ms_per_token);
  }
}

}  // namespace filbertshift
