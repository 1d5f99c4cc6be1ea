#include "src/dispatch/endpoint_pool.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

// One second of the cold limit plus a margin for requests in transit.
constexpr milliseconds kColdWindow{1100};
constexpr milliseconds kColdSlice{20};
// Share of the cold limit that is used.
constexpr double kColdLimitUsedShare = 0.85;
// An endpoint is avoided for this time after a broken connection; the time
// doubles with each consecutive one.
constexpr milliseconds kAvoidBase{250};
constexpr int kMaxAvoidDoublings = 4;
// A refusal means that the endpoint is at capacity; other endpoints may still
// have free slots.
constexpr milliseconds kAvoidAfterRefusal{60};
// The record of an endpoint that was replaced disappears or changes within a
// few heartbeats. The bound is for a false statement of a faulty endpoint.
constexpr milliseconds kAvoidReplaced{4000};
// An endpoint is avoided when its failure rate exceeds the mean by this much.
constexpr double kFailureRateExcess = 0.3;
constexpr milliseconds kAvoidAfterFailures{1500};
// Weights of the latest response in the moving averages of the time to the
// first byte and of the failure rate.
constexpr double kFirstByteWeight = 0.15;
constexpr double kFailureWeight = 0.15;
// Load attributed to a running request, in prompt tokens.
constexpr double kRunningRequestTokens = 250;
// Assumed share of a shared prompt prefix that is cached at the first endpoints
// in rendezvous hashing order.
constexpr double kCachedShares[] = {1.0, 0.35};
// Penalty for an endpoint in another data centre, in prompt tokens and
// requests.
constexpr double kRemotePenaltyTokens = 30;
constexpr double kRemotePenaltyRequests = 0.15;

// A data centre counts as stalled at the latest after this percentage of the
// allowed pause.
constexpr int kMaxStallPercent = 90;

// Half-life of reported paces: after it, most samples are of the new process.
constexpr milliseconds kPaceMemory{4000};

std::uint64_t Combine(std::uint64_t a, std::uint64_t b) {
  std::uint64_t values[] = {a, b};
  return XXH64(values, sizeof(values), 0);
}

}  // namespace

EndpointPool::Entry::Entry(RoutedEndpoint value)
    : record(std::move(value)), sends(kColdWindow, kColdSlice) {
  const std::string& id = record.endpoint.value();
  hash = XXH64(id.data(), id.size(), 0);
}

EndpointPool::EndpointPool(ColdLimits cold_limits, milliseconds max_pause)
    : cold_limits_(cold_limits),
      evacuated_([](const DataCentreId&) { return false; }),
      notices_(max_pause) {}

void EndpointPool::SetConfiguration(
    std::shared_ptr<const FleetConfiguration> value) {
  configuration_ = std::move(value);
}

void EndpointPool::SetEvacuated(
    std::function<bool(const DataCentreId&)> evacuated) {
  evacuated_ = std::move(evacuated);
}

void EndpointPool::Update(const RoutedEndpoint& record, TimePoint now) {
  notices_.OnRecord(record, now);
  auto found = entries_.find(record.endpoint);
  if (found == entries_.end()) {
    found = entries_.emplace(record.endpoint, Entry(record)).first;
  } else if (found->second.record.started_at != record.started_at ||
             found->second.record.address != record.address) {
    found->second.avoid_until = TimePoint();
    found->second.full_until = TimePoint();
    found->second.consecutive_breaks = 0;
    found->second.failure_rate = 0;
    found->second.first_byte_ms = MovingAverage(kFirstByteWeight);
    found->second.pace_unknown_until = now + kPaceMemory;
  }
  if (placement_.enabled) {
    service_endpoints_.Put(record.endpoint, record.service, record.data_centre);
  }
  Entry& entry = found->second;
  entry.record = record;
  if (record.cold_remaining.count() > 0) {
    entry.recorded_cold_until =
        std::max(entry.recorded_cold_until, now + record.cold_remaining);
    entry.cold_until = std::max(entry.cold_until, now + record.cold_remaining);
  }
}

void EndpointPool::Remove(const EndpointId& endpoint, TimePoint now) {
  notices_.OnRecordRemoved(endpoint, now);
  service_endpoints_.Remove(endpoint);
  auto found = entries_.find(endpoint);
  if (found != entries_.end()) {
    const Entry& entry = found->second;
    data_centres_[entry.record.data_centre].activity.OnResponseEnded(
        entry.activity.active_responses());
    entries_.erase(found);
  }
}

const RoutedEndpoint* EndpointPool::Find(const EndpointId& endpoint) const {
  auto found = entries_.find(endpoint);
  return found == entries_.end() ? nullptr : &found->second.record;
}

int EndpointPool::InFlight(const EndpointId& endpoint) const {
  auto found = entries_.find(endpoint);
  return found == entries_.end() ? 0 : found->second.in_flight;
}

bool EndpointPool::IsCold(const EndpointId& endpoint, TimePoint now) const {
  auto found = entries_.find(endpoint);
  return found != entries_.end() && IsCold(found->second, now);
}

EndpointSilence EndpointPool::SilenceOf(const EndpointId& endpoint,
                                        milliseconds allowed,
                                        const ObservedTime& observed) const {
  EndpointSilence silence;
  auto found = entries_.find(endpoint);
  if (found == entries_.end()) {
    return silence;
  }
  silence.known = true;
  silence.since = found->second.activity.latest_bytes_at();
  silence.endpoint = observed.Since(silence.since);
  auto centre = data_centres_.find(found->second.record.data_centre);
  silence.data_centre_stalled =
      centre != data_centres_.end() &&
      centre->second.activity.IsStalled(
          allowed * kMaxStallPercent / 100,
          observed.Since(centre->second.activity.latest_bytes_at()));
  return silence;
}

bool EndpointPool::IsCutOff(const Entry& entry) const {
  auto found = data_centres_.find(entry.record.data_centre);
  return found != data_centres_.end() && found->second.losses.IsCutOff();
}

int EndpointPool::CountReady(const ServiceId& service,
                             const VersionId& version,
                             bool same_version) const {
  return static_cast<int>(
      std::count_if(entries_.begin(), entries_.end(), [&](const auto& item) {
        const RoutedEndpoint& record = item.second.record;
        return record.service == service &&
               record.state == EndpointState::kReady &&
               !notices_.IsLeaving(record.endpoint) &&
               (record.version == version) == same_version;
      }));
}

const ServiceSettings* EndpointPool::SettingsOf(const Entry& entry) const {
  return configuration_ == nullptr
             ? nullptr
             : configuration_->FindService(entry.record.service);
}

bool EndpointPool::IsCandidate(const Entry& entry,
                               const DispatchQuery& query) const {
  const RoutedEndpoint& record = entry.record;
  return record.service == query.service &&
         record.state == EndpointState::kReady &&
         !notices_.IsLeaving(record.endpoint) &&
         (!query.allows_version || query.allows_version(record.version)) &&
         !evacuated_(record.data_centre) &&
         (query.model.empty() || record.models.empty() ||
          std::find(record.models.begin(), record.models.end(), query.model) !=
              record.models.end()) &&
         std::find(query.excluded.begin(), query.excluded.end(),
                   record.endpoint) == query.excluded.end();
}

bool EndpointPool::IsCold(const Entry& entry, TimePoint now) const {
  const ServiceSettings* settings = SettingsOf(entry);
  return settings != nullptr && settings->cold_requests_per_second > 0 &&
         now < entry.cold_until;
}

bool EndpointPool::ColdLimitReached(Entry* entry, TimePoint now) const {
  if (!IsCold(*entry, now)) {
    return false;
  }
  double rate = SettingsOf(*entry)->cold_requests_per_second;
  double bound = rate * cold_limits_.overshoot + cold_limits_.tolerance;
  double share = kColdLimitUsedShare * bound / std::max(instances_, 1);
  return !cold_allowed_ ||
         static_cast<double>(entry->sends.Count(now) + 1) > share;
}

double EndpointPool::MedianFirstByteMs(
    const std::vector<Entry*>& entries) const {
  std::vector<double> times;
  for (const Entry* entry : entries) {
    if (entry->first_byte_ms.value() > 0) {
      times.push_back(entry->first_byte_ms.value());
    }
  }
  if (times.empty()) {
    return 0;
  }
  auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

double EndpointPool::MeanFailureRate(const std::vector<Entry*>& entries) const {
  double sum = 0;
  for (const Entry* entry : entries) {
    sum += entry->failure_rate;
  }
  return entries.empty() ? 0 : sum / static_cast<double>(entries.size());
}

double EndpointPool::Score(const Entry& entry,
                           const DispatchQuery& query,
                           double cached_share,
                           double median_first_byte_ms) const {
  // Beyond twice the median first-byte time, the load is scaled by half the
  // ratio to the median.
  double slowness = 1;
  if (median_first_byte_ms > 0 && entry.first_byte_ms.value() > 0) {
    slowness =
        std::max(1.0, entry.first_byte_ms.value() / median_first_byte_ms / 2);
  }
  bool remote = entry.record.data_centre != query.local_data_centre;
  if (query.work.prompt_tokens <= 0) {
    double load = entry.in_flight + 1 + (remote ? kRemotePenaltyRequests : 0);
    return load * slowness;
  }
  // Assumes that each of the other instances puts the same load on the
  // endpoint.
  double own_load =
      entry.waiting_tokens + entry.running_weight * kRunningRequestTokens;
  double new_tokens =
      query.work.prompt_tokens - cached_share * query.work.shared_tokens;
  return (own_load * std::max(instances_, 1) +
          new_tokens * query.work.model_weight +
          (remote ? kRemotePenaltyTokens : 0)) *
         slowness;
}

bool EndpointPool::IsAvoided(Entry* entry,
                             const DispatchQuery& query,
                             double mean_failure_rate,
                             TimePoint now) const {
  bool failing = entry->failure_rate > mean_failure_rate + kFailureRateExcess;
  if (failing && entry->avoid_until < now) {
    entry->avoid_until = now + kAvoidAfterFailures;
    // Stays just below the threshold, so that after the pause one request
    // probes whether the endpoint still fails.
    entry->failure_rate = mean_failure_rate + kFailureRateExcess * 0.9;
  }
  if (entry->avoid_until > now) {
    return true;
  }
  auto found = data_centres_.find(entry->record.data_centre);
  if (found == data_centres_.end()) {
    return false;
  }
  const DataCentre& centre = found->second;
  // A request that has already lost time at an endpoint is no probe.
  bool cut_off = query.excluded.empty()
                     ? centre.losses.IsAvoided(query.may_probe, now)
                     : centre.losses.IsCutOff();
  return cut_off || centre.activity.IsUnreachable(now);
}

void EndpointPool::SortByAffinity(std::uint64_t affinity,
                                  std::vector<Entry*>* entries) {
  if (affinity != 0) {
    std::sort(entries->begin(), entries->end(),
              [affinity](const Entry* a, const Entry* b) {
                return Combine(a->hash, affinity) > Combine(b->hash, affinity);
              });
  }
}

DispatchChoice EndpointPool::Choose(const DispatchQuery& query, TimePoint now) {
  if (std::optional<DispatchChoice> placed = Place(query, now)) {
    return *placed;
  }
  std::vector<Entry*> candidates;
  for (auto& item : entries_) {
    if (IsCandidate(item.second, query)) {
      candidates.push_back(&item.second);
    }
  }
  if (candidates.empty()) {
    return {std::nullopt, false, false, NoEndpointReason::kNoCandidate};
  }
  auto max_usable = static_cast<std::size_t>(query.max_endpoints);
  if (max_usable > 0) {
    std::sort(candidates.begin(), candidates.end(),
              [](const Entry* a, const Entry* b) { return a->hash < b->hash; });
  } else {
    SortByAffinity(query.affinity, &candidates);
  }
  double median_first_byte = MedianFirstByteMs(candidates);
  double mean_failure_rate = MeanFailureRate(candidates);
  Entry* avoided = nullptr;
  bool avoided_cut_off = false;
  // In the order of preference; null where an endpoint cannot be used.
  std::vector<Entry*> ranked;
  std::size_t usable = 0;
  bool all_paused = true;
  TimePoint free_at = TimePoint::max();
  for (Entry* entry : candidates) {
    if (max_usable > 0 && usable == max_usable) {
      break;
    }
    std::optional<TimePoint> paused_until =
        notices_.PausedUntil(entry->record.endpoint, now);
    all_paused = all_paused && paused_until.has_value();
    if (paused_until.has_value()) {
      ranked.push_back(nullptr);
      free_at = std::min(free_at, *paused_until);
    } else if (ColdLimitReached(entry, now)) {
      ranked.push_back(nullptr);
    } else if (IsAvoided(entry, query, mean_failure_rate, now)) {
      ranked.push_back(nullptr);
      // An endpoint that has just refused is preferred to a lost data centre.
      bool cut_off = IsCutOff(*entry);
      if (avoided == nullptr || cut_off < avoided_cut_off ||
          (cut_off == avoided_cut_off &&
           entry->avoid_until < avoided->avoid_until)) {
        avoided = entry;
        avoided_cut_off = cut_off;
      }
    } else {
      ranked.push_back(entry);
      ++usable;
    }
  }
  if (max_usable > 0) {
    // All instances agree on the subset; within it, requests are spread.
    ranked.erase(std::remove(ranked.begin(), ranked.end(), nullptr),
                 ranked.end());
    SortByAffinity(query.affinity, &ranked);
  }
  const Entry* best = nullptr;
  double best_score = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    if (ranked[i] == nullptr) {
      continue;
    }
    double cached_share = query.affinity != 0 && i < std::size(kCachedShares)
                              ? kCachedShares[i]
                              : 0;
    double score = Score(*ranked[i], query, cached_share, median_first_byte);
    if (score < best_score) {
      best_score = score;
      best = ranked[i];
    }
  }
  bool only_avoided = best == nullptr;
  if (only_avoided) {
    best = avoided;
  }
  if (best == nullptr && all_paused) {
    return {std::nullopt, false, false, NoEndpointReason::kPaused, free_at};
  }
  if (best == nullptr) {
    return {std::nullopt, false, false, NoEndpointReason::kColdLimit};
  }
  bool remote = best->record.data_centre != query.local_data_centre;
  return {best->record.endpoint,
          only_avoided,
          best->full_until > now,
          NoEndpointReason::kNone,
          TimePoint(),
          remote ? RemoteReason::kScore : RemoteReason::kLocal};
}

void EndpointPool::OnStart(const EndpointId& endpoint,
                           const WorkEstimate& work,
                           TimePoint now) {
  auto found = entries_.find(endpoint);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.activity.OnRequest(now, entry.in_flight == 0);
  DataCentre& centre = data_centres_[entry.record.data_centre];
  centre.activity.OnRequest(now, false);
  centre.losses.OnRequest(now);
  ++entry.in_flight;
  entry.waiting_tokens += work.prompt_tokens * work.model_weight;
  entry.sends.Add(now);
  RecordSend(&entry, work, now);
}

void EndpointPool::OnActivity(const EndpointId& endpoint, TimePoint now) {
  auto found = entries_.find(endpoint);
  if (found != entries_.end()) {
    found->second.activity.OnBytes(now);
    connects_.OnBytes(now);
    DataCentre& centre = data_centres_[found->second.record.data_centre];
    centre.activity.OnBytes(now);
    centre.losses.OnBytes();
  }
}

void EndpointPool::OnFirstByte(const EndpointId& endpoint,
                               const WorkEstimate& work,
                               std::chrono::microseconds time,
                               TimePoint now) {
  auto found = entries_.find(endpoint);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  OnActivity(endpoint, now);
  entry.activity.OnResponseStarted();
  data_centres_[entry.record.data_centre].activity.OnResponseStarted();
  entry.waiting_tokens -= work.prompt_tokens * work.model_weight;
  entry.running_weight += work.model_weight;
  entry.first_byte_ms.Add(static_cast<double>(time.count()) / 1000);
  RecordResponse(entry, work, time);
}

void EndpointPool::OnEnd(const EndpointId& endpoint,
                         const WorkEstimate& work,
                         bool had_first_byte,
                         AttemptResult result,
                         TimePoint now) {
  auto found = entries_.find(endpoint);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.in_flight = std::max(entry.in_flight - 1, 0);
  if (had_first_byte) {
    entry.activity.OnResponseEnded();
    data_centres_[entry.record.data_centre].activity.OnResponseEnded();
    entry.running_weight =
        std::max(entry.running_weight - work.model_weight, 0.0);
  } else {
    entry.waiting_tokens = std::max(
        entry.waiting_tokens - work.prompt_tokens * work.model_weight, 0.0);
  }
  switch (result) {
    case AttemptResult::kAnswered:
    case AttemptResult::kFailed:
      entry.consecutive_breaks = 0;
      entry.failure_rate +=
          kFailureWeight *
          ((result == AttemptResult::kFailed ? 1.0 : 0.0) - entry.failure_rate);
      break;
    case AttemptResult::kRefused:
      entry.full_until = now + kAvoidAfterRefusal;
      entry.avoid_until = std::max(entry.avoid_until, entry.full_until);
      break;
    case AttemptResult::kUnreachable:
    case AttemptResult::kBroken:
      if (result == AttemptResult::kUnreachable) {
        DataCentre& centre = data_centres_[entry.record.data_centre];
        centre.activity.OnConnectFailed();
        centre.losses.OnHostGone(entry.record.address);
      }
      AvoidAfterBreak(&entry, now);
      AssumeCold(&entry, now);
      break;
    case AttemptResult::kSilent:
      // Requests that leave in the same silence count once.
      if (entry.avoid_until <= now) {
        AvoidAfterBreak(&entry, now);
      }
      break;
    case AttemptResult::kPaused:
    case AttemptResult::kCancelled:
      break;
  }
}

void EndpointPool::AvoidAfterBreak(Entry* entry, TimePoint now) {
  int doublings = std::min(entry->consecutive_breaks, kMaxAvoidDoublings);
  ++entry->consecutive_breaks;
  entry->avoid_until =
      std::max(entry->avoid_until, now + kAvoidBase * (1 << doublings));
}

void EndpointPool::AssumeCold(Entry* entry, TimePoint now) const {
  const ServiceSettings* settings = SettingsOf(*entry);
  if (settings != nullptr) {
    entry->cold_until = std::max(entry->cold_until, now + settings->cold_start);
  }
}

void EndpointPool::OnReplaced(const EndpointId& endpoint,
                              const EndpointIncarnation& incarnation,
                              TimePoint now) {
  auto found = entries_.find(endpoint);
  if (found == entries_.end() ||
      found->second.record.address != incarnation.address ||
      found->second.record.started_at != incarnation.started_at) {
    return;
  }
  Entry& entry = found->second;
  entry.avoid_until = std::max(entry.avoid_until, now + kAvoidReplaced);
}

void EndpointPool::OnHostGone(const EndpointId& endpoint, TimePoint now) {
  auto found = entries_.find(endpoint);
  if (found != entries_.end()) {
    const RoutedEndpoint& record = found->second.record;
    data_centres_[record.data_centre].losses.OnHostGone(record.address);
    AssumeCold(&found->second, now);
  }
}

void EndpointPool::OnConnectFailed(const EndpointId& endpoint, TimePoint now) {
  auto found = entries_.find(endpoint);
  if (found != entries_.end()) {
    connects_.OnFailed(found->second.record, now);
  }
}

CandidateCounts EndpointPool::CountCandidates(const DispatchQuery& query,
                                              TimePoint now) {
  CandidateCounts counts;
  for (auto& item : entries_) {
    Entry& entry = item.second;
    if (!IsCandidate(entry, query)) {
      continue;
    }
    ++counts.candidates;
    counts.paused +=
        notices_.PausedUntil(entry.record.endpoint, now).has_value() ? 1 : 0;
    counts.avoided += entry.avoid_until > now ? 1 : 0;
    counts.cut_off += IsCutOff(entry) ? 1 : 0;
    if (!ColdLimitReached(&entry, now)) {
      continue;
    }
    if (now < entry.recorded_cold_until) {
      ++counts.cold;
    } else {
      ++counts.assumed_cold;
      counts.assumed_cold_addresses.push_back(entry.record.address);
    }
  }
  return counts;
}

}  // namespace filbertshift
