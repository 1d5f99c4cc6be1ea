#include "src/routing/peer_selection.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace filbertshift {

namespace {

// Symmetric in its arguments, so that two instances tend to choose each other
// and fewer pairs need streams.
std::uint64_t PairRank(const InstanceId& a, const InstanceId& b) {
  const std::string& low = std::min(a, b).value();
  const std::string& high = std::max(a, b).value();
  std::string key = low + '\n' + high;
  return XXH64(key.data(), key.size(), 0);
}

}  // namespace

std::vector<PeerAddress> SelectPeers(
    const PeerSelectionOptions& options,
    const InstanceId& self,
    const DataCentreId& own_data_centre,
    const std::vector<EntryInstanceRecord>& instances) {
  using Ranked = std::pair<std::uint64_t, PeerAddress>;
  std::map<DataCentreId, std::vector<Ranked>> by_data_centre;
  std::size_t others = 0;
  for (const EntryInstanceRecord& record : instances) {
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
    std::size_t count = ranked.size();
    if (others > options.full_mesh_limit) {
      count = std::min(count, data_centre == own_data_centre
                                  ? options.own_data_centre_peers
                                  : options.other_data_centre_peers);
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const Ranked& a, const Ranked& b) {
                return std::tie(a.first, a.second.instance) <
                       std::tie(b.first, b.second.instance);
              });
    for (std::size_t i = 0; i < count; ++i) {
      peers.push_back(std::move(ranked[i].second));
    }
  }
  return peers;
}

}  // namespace filbertshift
