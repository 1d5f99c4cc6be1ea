// The choice of an endpoint for an attempt. Its cost does not grow with the
// number of endpoints: a bounded sample of the available ones is compared.

#include <algorithm>
#include <chrono>
#include <utility>

#include "src/routing/endpoint_registry.h"

namespace filbertshift {

namespace {

// Endpoints compared for one choice. Two would do to keep the load even; more
// make it likely that an idle or near one is among them.
constexpr std::size_t kSampledEndpoints = 8;

// A suspect may crash its endpoint and all requests beside it. Long enough to
// use such an endpoint only if there is no other.
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

bool EndpointRegistry::TakesWork(const Endpoint& endpoint) {
  return endpoint.configured && !IsDraining(endpoint);
}

int EndpointRegistry::ShareOf(const Endpoint& endpoint, TimePoint now) const {
  return endpoint.share.ShareAt(
      endpoint.health.Uptime(now, options_.max_probe_age), now);
}

bool EndpointRegistry::CanStart(const Endpoint& endpoint, TimePoint now) const {
  return TakesWork(endpoint) && !endpoint.health.suspected() &&
         endpoint.load.in_flight() < ShareOf(endpoint, now);
}

bool EndpointRegistry::CanStartSuspect(const Endpoint& endpoint,
                                       const EndpointQuery& query,
                                       TimePoint now) const {
  return endpoint.load.suspects() == 0 &&
         endpoint.share.HasTurn(query.suspect_turn, now) &&
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
    return NextInTurn(query, group, now);
  }
  return Sample(query, group, now);
}

// Suspects are rare, so that visiting all members does not matter.
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

// In the order of available(), which changes when endpoints fill up.
EndpointRegistry::Slots EndpointRegistry::NextInTurn(const EndpointQuery& query,
                                                     EndpointGroup* group,
                                                     TimePoint now) {
  std::size_t excluded = 0;
  while (excluded < group->available().size()) {
    const std::size_t position = group->NextTurn() % group->available().size();
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

// Draws without replacement by moving the drawn ones to the front. Endpoints
// that cannot start anything are dropped and come back with the event that
// frees them, so that each is visited once for each such event.
EndpointRegistry::Slots EndpointRegistry::Sample(const EndpointQuery& query,
                                                 EndpointGroup* group,
                                                 TimePoint now) {
  Slots sample;
  std::size_t drawn = 0;
  while (drawn < group->available().size() &&
         sample.size() < kSampledEndpoints) {
    const std::size_t left = group->available().size() - drawn;
    index_.SwapAvailable(group, drawn, drawn + random_.Next() % left);
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
  // A suspect goes where a crash would hit the fewest other requests.
  if (query.suspect || options_.policy != ChoicePolicy::kCostAware) {
    return endpoint.load.in_flight();
  }
  PrefixAffinity affinity = PrefixAffinity::kNone;
  if (endpoint.load.Remembers(query.prefix_hash)) {
    affinity = PrefixAffinity::kRemembered;
  } else if (hashed) {
    affinity = PrefixAffinity::kHashed;
  }
  std::chrono::duration<double, std::micro> delay = endpoint.load.ExpectedDelay(
      options_.delays, endpoint.share.basis()->limits.max_concurrency,
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
    return TakesWork(endpoint) && !IsExcluded(query, endpoint.record) &&
           endpoint.share.FullShare() > 0;
  });
}

}  // namespace filbertshift
