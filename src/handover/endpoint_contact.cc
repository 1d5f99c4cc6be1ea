#include "src/handover/endpoint_contact.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

// Contact is lost when connects to this many endpoints, hosts and services, and
// to endpoints of this many data centres, have failed, or to all if there are
// fewer. The own data centre must be among them.
constexpr std::size_t kMinEndpoints = 3;
// Those among them that were chosen for a probe: many may be down at once, and
// requests find these.
constexpr std::size_t kMinFailedProbes = 3;
constexpr std::size_t kMinServices = 3;
constexpr std::size_t kMinDataCentres = 4;
// Endpoints that must accept a connection before contact counts as regained.
constexpr std::size_t kMinSuccesses = 2;
// Or so many by one of them, which may be the only one.
constexpr int kMinRepeatedSuccesses = 3;
// An endpoint that accepted a connection within this time is probed first: if
// many endpoints are down, it probably is not, and at a cut it fails too.
constexpr milliseconds kAcceptedRetention{10000};
// Failures further apart than this are not one event.
constexpr milliseconds kFailureWindow{1000};
// A silence of all endpoints after which one of them is probed.
constexpr milliseconds kSilence{300};
// While requests wait in silence and endpoints accept connections.
constexpr milliseconds kSilenceProbeInterval{1000};
constexpr milliseconds kDoubtProbeInterval{100};
constexpr milliseconds kStrandedProbeInterval{250};
constexpr std::size_t kDoubtProbes = 4;
// Without contact, all endpoints are probed within this time, as far as the
// limits of a round of probes allow.
constexpr milliseconds kStrandedSweepTime{4000};
constexpr std::size_t kMinStrandedProbes = 2;
constexpr std::size_t kMaxStrandedProbes = 16;
// A probe without an outcome for this long is lost.
constexpr milliseconds kProbeLostAfter{2000};

// Probes of one round without contact.
std::size_t StrandedProbes(std::size_t targets) {
  auto rounds =
      static_cast<std::size_t>(kStrandedSweepTime / kStrandedProbeInterval);
  return std::clamp((targets + rounds - 1) / rounds, kMinStrandedProbes,
                    kMaxStrandedProbes);
}

// Distinct values among targets.
struct Spread {
  std::set<EndpointId> endpoints;
  std::set<std::string> hosts;
  std::set<ServiceId> services;
  std::set<DataCentreId> data_centres;

  void Add(const ContactTarget& target) {
    endpoints.insert(target.endpoint);
    hosts.insert(target.host);
    services.insert(target.service);
    data_centres.insert(target.data_centre);
  }
  // Whether this many of `all`, or all, are here.
  template <typename Values>
  static bool Covers(const Values& here, const Values& all, std::size_t least) {
    return here.size() >= std::min(least, all.size());
  }
};

}  // namespace

void EndpointContact::SetTargets(std::vector<ContactTarget> targets) {
  targets_ = std::move(targets);
  std::sort(targets_.begin(), targets_.end(),
            [](const ContactTarget& a, const ContactTarget& b) {
              return a.endpoint < b.endpoint;
            });
}

const ContactTarget* EndpointContact::Find(const EndpointId& endpoint) const {
  auto found =
      std::lower_bound(targets_.begin(), targets_.end(), endpoint,
                       [](const ContactTarget& target, const EndpointId& id) {
                         return target.endpoint < id;
                       });
  return found != targets_.end() && found->endpoint == endpoint ? &*found
                                                                : nullptr;
}

void EndpointContact::OnConnectFailed(const EndpointId& endpoint,
                                      TimePoint now) {
  bool by_probe = probing_since_.erase(endpoint) > 0;
  successes_.erase(endpoint);
  accepted_at_.erase(endpoint);
  Failure& failure = failures_[endpoint];
  failure = {now, failure.by_probe || by_probe};
  Evaluate(now);
}

void EndpointContact::OnConnected(const EndpointId& endpoint, TimePoint now) {
  probing_since_.erase(endpoint);
  latest_success_at_ = now;
  accepted_at_[endpoint] = now;
  if (!stranded()) {
    failures_.clear();
    return;
  }
  failures_.erase(endpoint);
  ++successes_[endpoint];
  next_probe_at_ = now;
  Evaluate(now);
}

void EndpointContact::OnProbeAbandoned(const EndpointId& endpoint) {
  probing_since_.erase(endpoint);
}

bool EndpointContact::IsInDoubt(TimePoint now) const {
  return stranded() ||
         std::any_of(failures_.begin(), failures_.end(),
                     [now](const auto& failure) {
                       return now - failure.second.at <= kFailureWindow;
                     });
}

bool EndpointContact::IsProbablyLost(TimePoint now) const {
  std::set<std::string> hosts;
  for (const auto& [endpoint, failure] : failures_) {
    const ContactTarget* target = Find(endpoint);
    if (target != nullptr && now - failure.at <= kFailureWindow) {
      hosts.insert(target->host);
    }
  }
  return !stranded() && hosts.size() > 1;
}

void EndpointContact::Forget(TimePoint now) {
  for (auto it = failures_.begin(); it != failures_.end();) {
    bool gone = Find(it->first) == nullptr;
    it = gone || now - it->second.at > kFailureWindow ? failures_.erase(it)
                                                      : std::next(it);
  }
  for (auto it = accepted_at_.begin(); it != accepted_at_.end();) {
    it = now - it->second > kAcceptedRetention ? accepted_at_.erase(it)
                                               : std::next(it);
  }
  for (auto it = probed_at_.begin(); it != probed_at_.end();) {
    it = Find(it->first) == nullptr ? probed_at_.erase(it) : std::next(it);
  }
  for (auto it = probing_since_.begin(); it != probing_since_.end();) {
    it = now - it->second > kProbeLostAfter ? probing_since_.erase(it)
                                            : std::next(it);
  }
}

void EndpointContact::Evaluate(TimePoint now) {
  if (targets_.empty()) {
    stranded_at_.reset();
    return;
  }
  if (stranded()) {
    bool repeated = std::any_of(
        successes_.begin(), successes_.end(), [](const auto& success) {
          return success.second >= kMinRepeatedSuccesses;
        });
    if (repeated ||
        successes_.size() >= std::min(kMinSuccesses, targets_.size())) {
      stranded_at_.reset();
      failures_.clear();
      successes_.clear();
    }
    return;
  }
  // A connect is refused sooner than another one is accepted.
  if (!probing_since_.empty()) {
    return;
  }
  Spread all;
  Spread failed;
  std::size_t failed_probes = 0;
  for (const ContactTarget& target : targets_) {
    all.Add(target);
    auto failure = failures_.find(target.endpoint);
    if (failure != failures_.end() &&
        now - failure->second.at <= kFailureWindow) {
      failed.Add(target);
      failed_probes += failure->second.by_probe ? 1 : 0;
    }
  }
  bool own_failed =
      all.data_centres.count(own_) == 0 || failed.data_centres.count(own_) > 0;
  bool probed = failed_probes >= kMinFailedProbes ||
                failed.endpoints.size() == targets_.size();
  if (own_failed && probed &&
      Spread::Covers(failed.endpoints, all.endpoints, kMinEndpoints) &&
      Spread::Covers(failed.hosts, all.hosts, kMinEndpoints) &&
      Spread::Covers(failed.services, all.services, kMinServices) &&
      Spread::Covers(failed.data_centres, all.data_centres, kMinDataCentres)) {
    stranded_at_ = now;
    successes_.clear();
    next_probe_at_ = now + kStrandedProbeInterval;
  }
}

int EndpointContact::GainOf(const ContactTarget& target,
                            const std::set<EndpointId>& covered) const {
  bool new_service = true;
  bool new_data_centre = true;
  bool new_host = true;
  for (const EndpointId& endpoint : covered) {
    const ContactTarget* other = Find(endpoint);
    if (other != nullptr) {
      new_service = new_service && other->service != target.service;
      new_data_centre =
          new_data_centre && other->data_centre != target.data_centre;
      new_host = new_host && other->host != target.host;
    }
  }
  bool own = target.data_centre == own_;
  // A second one near an endpoint that was reached is likely to be reached.
  for (const auto& success : successes_) {
    const ContactTarget* other = Find(success.first);
    own = own || (other != nullptr && other->data_centre == target.data_centre);
  }
  if (stranded()) {
    return (own ? 2 : 0) + (new_data_centre ? 1 : 0);
  }
  return (own && new_data_centre ? 8 : 0) + (new_service ? 4 : 0) +
         (new_data_centre ? 2 : 0) + (new_host ? 1 : 0);
}

bool EndpointContact::NeedsProbes(std::optional<TimePoint> waiting_since,
                                  TimePoint now) const {
  if (IsInDoubt(now)) {
    // While in contact, the outcome of each round decides about the next.
    return now >= next_probe_at_ && (stranded() || probing_since_.empty());
  }
  return now >= next_silence_probe_at_ && waiting_since.has_value() &&
         now - std::max(*waiting_since, latest_bytes_at_) >= kSilence;
}

std::vector<EndpointId> EndpointContact::TakeDueProbes(
    std::optional<TimePoint> waiting_since,
    TimePoint now) {
  Forget(now);
  Evaluate(now);
  std::vector<EndpointId> due;
  if (!NeedsProbes(waiting_since, now) || targets_.empty()) {
    return due;
  }
  std::size_t count = 1;
  if (stranded()) {
    count = StrandedProbes(targets_.size());
    next_probe_at_ = now + kStrandedProbeInterval;
  } else if (IsInDoubt(now)) {
    count = kDoubtProbes;
    next_probe_at_ = now + kDoubtProbeInterval;
  } else {
    next_silence_probe_at_ = now + kSilenceProbeInterval;
  }
  std::set<EndpointId> covered;
  for (const auto& failure : failures_) {
    if (!stranded()) {
      covered.insert(failure.first);
    }
  }
  for (const auto& probe : probing_since_) {
    covered.insert(probe.first);
  }
  // Endpoints with neighbouring ids may fail together.
  std::uint64_t round = probe_round_++;
  auto rank = [round](const ContactTarget& target) {
    const std::string& id = target.endpoint.value();
    return XXH64(id.data(), id.size(), round);
  };
  while (due.size() < count) {
    const ContactTarget* best = nullptr;
    // Without contact, one probe goes to where it is likely to return first,
    // and the others take all endpoints in turn.
    bool in_turn = stranded() && !due.empty();
    std::tuple<int, int, TimePoint::duration, std::uint64_t> best_value;
    for (const ContactTarget& target : targets_) {
      if (covered.count(target.endpoint) > 0) {
        continue;
      }
      auto probed = probed_at_.find(target.endpoint);
      auto age =
          now - (probed == probed_at_.end() ? TimePoint() : probed->second);
      std::tuple<int, int, TimePoint::duration, std::uint64_t> value{
          !in_turn && accepted_at_.count(target.endpoint) > 0 ? 1 : 0,
          in_turn ? 0 : GainOf(target, covered), age, rank(target)};
      if (best == nullptr || value > best_value) {
        best = &target;
        best_value = value;
      }
    }
    if (best == nullptr) {
      break;
    }
    covered.insert(best->endpoint);
    probing_since_[best->endpoint] = now;
    probed_at_[best->endpoint] = now;
    due.push_back(best->endpoint);
  }
  return due;
}

std::string EndpointContact::Describe() const {
  std::set<std::string> hosts;
  std::set<ServiceId> services;
  for (const auto& failure : failures_) {
    const ContactTarget* target = Find(failure.first);
    if (target != nullptr) {
      hosts.insert(target->host);
      services.insert(target->service);
    }
  }
  return fmt::format("failed_endpoints={} hosts={} services={} known={}",
                     failures_.size(), hosts.size(), services.size(),
                     targets_.size());
}

}  // namespace filbertshift
