// Selection of an endpoint for an attempt. Compares a bounded sample of the
// available endpoints, so that the cost does not grow with their number.

#include <algorithm>
#include <chrono>
#include <utility>

#include "src/routing/endpoint_registry.h"

namespace filbertshift {

namespace {

// Two samples suffice to balance the load; more make it likely that the sample
// contains an idle or local endpoint.
constexpr std::size_t kSampledEndpoints = 8;

// Delay added to endpoints that run a suspect, which may crash the endpoint and
// all its requests. Large enough to use them only if there is no alternative.
constexpr std::chrono::seconds kSuspectPenalty{60};

bool IsExcluded(const EndpointQuery& query, const EndpointRecord& record) {
  return query.excluded.count(record.endpoint) > 0;
}

GroupKey GroupKeyOf(const EndpointQuery& query) {
  GroupKey key;
  key.kind = query.kind;
  if (query.kind == EndpointKind::kPlainService) {
    key.service = query.service;
  } else {
    key.model = query.model;
    key.version = query.version;
  }
  return key;
}

}  // namespace

bool EndpointRegistry::IsDraining(const Endpoint& endpoint) {
  return !endpoint.listed || endpoint.record.leaving ||
         !endpoint.data_centre_open;
}

bool EndpointRegistry::AcceptsAttempts(const Endpoint& endpoint) {
  return endpoint.configured && !IsDraining(endpoint);
}

int EndpointRegistry::ShareOf(const Endpoint& endpoint, TimePoint now) const {
  return endpoint.share.ShareAt(
      endpoint.health.Uptime(now, options_.max_probe_age), now);
}

bool EndpointRegistry::CanStart(const Endpoint& endpoint, TimePoint now) const {
  return AcceptsAttempts(endpoint) && !endpoint.health.suspected() &&
         now >= endpoint.paused_until &&
         endpoint.load.in_flight() < ShareOf(endpoint, now);
}

bool EndpointRegistry::CanStartSuspect(const Endpoint& endpoint,
                                       const EndpointQuery& query,
                                       TimePoint now) const {
  return endpoint.load.suspects() == 0 &&
         endpoint.share.IsTurnOfSeat(query.suspect_turn, now) &&
         CanStart(endpoint, now);
}

std::optional<EndpointChoice> EndpointRegistry::Choose(
    const EndpointQuery& query,
    TimePoint now) {
  if (now >= next_share_change_) {
    RefreshShares(now);
  }
  EndpointGroup* group = index_.Find(GroupKeyOf(query));
  if (group == nullptr) {
    return std::nullopt;
  }
  Slots candidates = CandidatesFor(query, group, now);
  const auto hashed = PrefixEndpoint(query, *group, now);
  if (hashed) {
    candidates.push_back(*hashed);
  }
  const Endpoint* best = nullptr;
  double best_score = 0;
  for (EndpointSlot slot : candidates) {
    const Endpoint& endpoint = endpoints_[slot];
    const double score = ScoreOf(endpoint, query, hashed == slot, now);
    if (best == nullptr || score < best_score) {
      best = &endpoint;
      best_score = score;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return ChoiceOf(*best, now);
}

EndpointRegistry::Slots EndpointRegistry::CandidatesFor(
    const EndpointQuery& query,
    EndpointGroup* group,
    TimePoint now) {
  if (query.suspect) {
    return SuspectCandidates(query, *group, now);
  }
  if (options_.policy == ChoicePolicy::kRoundRobin) {
    return RoundRobinCandidate(query, group, now);
  }
  return Sample(query, group, now);
}

// Scans all members; suspects are rare enough for this not to matter.
EndpointRegistry::Slots EndpointRegistry::SuspectCandidates(
    const EndpointQuery& query,
    const EndpointGroup& group,
    TimePoint now) const {
  Slots candidates;
  for (EndpointSlot slot : group.members()) {
    const Endpoint& endpoint = endpoints_[slot];
    if (!IsExcluded(query, endpoint.record) &&
        CanStartSuspect(endpoint, query, now)) {
      candidates.push_back(slot);
    }
  }
  return candidates;
}

// Follows the order of available(), which changes as endpoints fill up.
EndpointRegistry::Slots EndpointRegistry::RoundRobinCandidate(
    const EndpointQuery& query,
    EndpointGroup* group,
    TimePoint now) {
  std::size_t excluded = 0;
  while (excluded < group->available().size()) {
    const std::size_t position =
        group->NextRoundRobin() % group->available().size();
    const EndpointSlot slot = group->available()[position];
    if (!CanStart(endpoints_[slot], now)) {
      index_.DropAvailable(group, position);
    } else if (IsExcluded(query, endpoints_[slot].record)) {
      ++excluded;
    } else {
      return {slot};
    }
  }
  return {};
}

// Partial Fisher-Yates shuffle: draws without replacement by swapping drawn
// endpoints to the front. Endpoints that cannot start an attempt are dropped
// until an event makes them available again, so each is visited at most once
// for each such event.
EndpointRegistry::Slots EndpointRegistry::Sample(const EndpointQuery& query,
                                                 EndpointGroup* group,
                                                 TimePoint now) {
  Slots sample;
  std::size_t drawn = 0;
  while (drawn < group->available().size() &&
         sample.size() < kSampledEndpoints) {
    const std::size_t remaining = group->available().size() - drawn;
    index_.SwapAvailableSlots(group, drawn, drawn + random_.Next() % remaining);
    const EndpointSlot slot = group->available()[drawn];
    const Endpoint& endpoint = endpoints_[slot];
    if (!CanStart(endpoint, now)) {
      index_.DropAvailable(group, drawn);
      continue;
    }
    ++drawn;
    if (!IsExcluded(query, endpoint.record)) {
      sample.push_back(slot);
    }
  }
  return sample;
}

std::optional<EndpointSlot> EndpointRegistry::PrefixEndpoint(
    const EndpointQuery& query,
    const EndpointGroup& group,
    TimePoint now) const {
  if (query.prefix_hash == 0 || query.suspect ||
      options_.policy != ChoicePolicy::kCostAware) {
    return std::nullopt;
  }
  for (EndpointSlot slot : group.PrefixEndpoints(query.prefix_hash)) {
    const Endpoint& endpoint = endpoints_[slot];
    if (!IsExcluded(query, endpoint.record) && CanStart(endpoint, now)) {
      return slot;
    }
  }
  return std::nullopt;
}

double EndpointRegistry::ScoreOf(const Endpoint& endpoint,
                                 const EndpointQuery& query,
                                 bool hashed,
                                 TimePoint now) const {
  // For a suspect this minimises the number of requests lost in a crash.
  if (query.suspect || options_.policy != ChoicePolicy::kCostAware) {
    return endpoint.load.in_flight();
  }
  PrefixAffinity affinity = PrefixAffinity::kNone;
  if (endpoint.load.HasRecentPrefix(query.prefix_hash)) {
    affinity = PrefixAffinity::kRecent;
  } else if (hashed) {
    affinity = PrefixAffinity::kHashed;
  }
  std::chrono::duration<double, std::micro> delay = endpoint.load.ExpectedDelay(
      options_.delays, endpoint.share.allocation()->limits.max_concurrency,
      query.prompt_tokens, affinity, now, options_.max_probe_age);
  if (endpoint.record.data_centre != options_.own_data_centre) {
    delay += options_.remote_penalty;
  }
  if (endpoint.load.suspects() > 0) {
    delay += kSuspectPenalty;
  }
  return delay.count();
}

EndpointChoice EndpointRegistry::ChoiceOf(const Endpoint& endpoint,
                                          TimePoint now) const {
  EndpointChoice choice;
  choice.endpoint = endpoint.record.endpoint;
  choice.address = endpoint.record.address;
  if (endpoint.health.IsVerified(now, options_.max_probe_age)) {
    choice.incarnation = endpoint.health.incarnation();
  }
  return choice;
}

bool EndpointRegistry::HasCandidate(const EndpointQuery& query) const {
  const EndpointGroup* group = index_.Find(GroupKeyOf(query));
  if (group == nullptr) {
    return false;
  }
  const Slots& members = group->members();
  return std::any_of(members.begin(), members.end(), [&](EndpointSlot slot) {
    const Endpoint& endpoint = endpoints_[slot];
    return AcceptsAttempts(endpoint) && !IsExcluded(query, endpoint.record) &&
           endpoint.share.FullShare() > 0;
  });
}

}  // namespace filbertshift
