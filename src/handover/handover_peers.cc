#include "src/handover/handover_peers.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kAvoidUnable{30000};
constexpr milliseconds kAvoidRefused{1000};
constexpr milliseconds kAvoidUnreachable{1000};

milliseconds AvoidTime(PeerTrouble trouble) {
  switch (trouble) {
    case PeerTrouble::kUnable:
      return kAvoidUnable;
    case PeerTrouble::kRefused:
      return kAvoidRefused;
    case PeerTrouble::kUnreachable:
      return kAvoidUnreachable;
  }
  return kAvoidUnreachable;
}

}  // namespace

void HandoverPeers::SetPeers(std::vector<HandoverPeer> peers) {
  peers_ = std::move(peers);
  for (auto it = avoided_until_.begin(); it != avoided_until_.end();) {
    bool is_live = std::any_of(
        peers_.begin(), peers_.end(),
        [&it](const HandoverPeer& peer) { return peer.instance == it->first; });
    it = is_live ? std::next(it) : avoided_until_.erase(it);
  }
}

std::optional<HandoverPeer> HandoverPeers::Choose(
    std::uint64_t request_hash,
    const std::vector<InstanceId>& tried,
    TimePoint now) const {
  const HandoverPeer* best = nullptr;
  std::pair<bool, std::uint64_t> best_rank;
  for (const HandoverPeer& peer : peers_) {
    auto avoided = avoided_until_.find(peer.instance);
    if ((avoided != avoided_until_.end() && now < avoided->second) ||
        std::find(tried.begin(), tried.end(), peer.instance) != tried.end()) {
      continue;
    }
    const std::string& name = peer.instance.value();
    std::pair<bool, std::uint64_t> rank{
        !own_.value().empty() && peer.data_centre == own_,
        XXH64(name.data(), name.size(), request_hash)};
    if (best == nullptr || rank > best_rank) {
      best = &peer;
      best_rank = rank;
    }
  }
  return best == nullptr ? std::nullopt : std::make_optional(*best);
}

void HandoverPeers::OnTrouble(const InstanceId& instance,
                              PeerTrouble trouble,
                              TimePoint now) {
  TimePoint& until = avoided_until_[instance];
  until = std::max(until, now + AvoidTime(trouble));
}

void HandoverPeers::OnAnswered(const InstanceId& instance) {
  avoided_until_.erase(instance);
}

}  // namespace filbertshift
