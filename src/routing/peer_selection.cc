#include "src/routing/peer_selection.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <utility>

namespace filbertshift {

namespace {

// Symmetric in its arguments, so that instances tend to select each other,
// which reduces the number of streams.
std::uint64_t PairRank(const InstanceId& a, const InstanceId& b) {
  const std::string& low = std::min(a, b).value();
  const std::string& high = std::max(a, b).value();
  std::string key = low + '\n' + high;
  return XXH64(key.data(), key.size(), 0);
}

// Returns true if `other` selects `self`: `self` is among the `count` best
// ranked instances of its data centre for `other`.
bool IsChosenBy(const InstanceId& other,
                const InstanceId& self,
                const std::vector<InstanceId>& own_data_centre,
                std::size_t count) {
  std::uint64_t own_rank = PairRank(other, self);
  std::size_t better = 0;
  for (const InstanceId& instance : own_data_centre) {
    if (instance != other && instance != self &&
        PairRank(other, instance) < own_rank) {
      ++better;
    }
  }
  return better < count;
}

}  // namespace

std::vector<PeerAddress> SelectPeers(
    const PeerSelectionOptions& options,
    const InstanceId& self,
    const DataCentreId& own_data_centre,
    const std::vector<EntryInstanceRecord>& instances) {
  using Ranked = std::pair<std::uint64_t, PeerAddress>;
  std::map<DataCentreId, std::vector<Ranked>> by_data_centre;
  std::vector<InstanceId> own_instances;
  std::size_t others = 0;
  for (const EntryInstanceRecord& record : instances) {
    if (record.data_centre == own_data_centre) {
      own_instances.push_back(record.instance);
    }
    if (record.instance == self) {
      continue;
    }
    ++others;
    by_data_centre[record.data_centre].push_back(
        {PairRank(self, record.instance),
         {record.instance, record.peer_address}});
  }
  std::vector<PeerAddress> peers;
  for (auto& [data_centre, ranked] : by_data_centre) {
    std::size_t count = data_centre == own_data_centre
                            ? options.own_data_centre_peers
                            : options.other_data_centre_peers;
    std::sort(ranked.begin(), ranked.end(),
              [](const Ranked& a, const Ranked& b) {
                return std::tie(a.first, a.second.instance) <
                       std::tie(b.first, b.second.instance);
              });
    for (std::size_t i = 0; i < ranked.size(); ++i) {
      // Include instances that select this one, so that both sides can reply.
      bool is_peer =
          others <= options.full_mesh_limit || i < count ||
          IsChosenBy(ranked[i].second.instance, self, own_instances, count);
      if (is_peer) {
        peers.push_back(std::move(ranked[i].second));
      }
    }
  }
  return peers;
}

}  // namespace filbertshift
