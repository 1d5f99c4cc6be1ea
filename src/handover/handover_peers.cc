#include "src/handover/handover_peers.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
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
  for (auto it = avoided_.begin(); it != avoided_.end();) {
    bool is_live = std::any_of(
        peers_.begin(), peers_.end(),
        [&it](const HandoverPeer& peer) { return peer.instance == it->first; });
    it = is_live ? std::next(it) : avoided_.erase(it);
  }
}

std::optional<HandoverPeer> HandoverPeers::Choose(
    std::uint64_t request_hash,
    const std::vector<InstanceId>& tried,
    TimePoint now) const {
  const HandoverPeer* best = nullptr;
  std::tuple<bool, bool, std::uint64_t> best_rank;
  for (const HandoverPeer& peer : peers_) {
    auto found = avoided_.find(peer.instance);
    bool avoided = found != avoided_.end() && now < found->second.until;
    // One that was lost may be back, and is better than none.
    bool excluded =
        avoided &&
        (found->second.trouble != PeerTrouble::kUnreachable || !tried.empty());
    if (excluded ||
        std::find(tried.begin(), tried.end(), peer.instance) != tried.end()) {
      continue;
    }
    const std::string& name = peer.instance.value();
    std::tuple<bool, bool, std::uint64_t> rank{
        !avoided, !own_.value().empty() && peer.data_centre == own_,
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
  Avoided& avoided = avoided_[instance];
  TimePoint until = now + AvoidTime(trouble);
  if (until >= avoided.until) {
    avoided = {until, trouble};
  }
}

void HandoverPeers::OnAnswered(const InstanceId& instance) {
  avoided_.erase(instance);
}

}  // namespace filbertshift
