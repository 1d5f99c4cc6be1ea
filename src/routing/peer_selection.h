// Selects the entry instances to which this instance keeps a stream.

#ifndef SRC_ROUTING_PEER_SELECTION_H_
#define SRC_ROUTING_PEER_SELECTION_H_

#include <cstddef>
#include <vector>

#include "src/ports/ports.h"

namespace filbertshift {

struct PeerSelectionOptions {
  // Up to this number of other instances, all are peers.
  std::size_t full_mesh_limit = 16;
  // Above the limit: number of peers in the own data centre and in each other
  // one. Messages spread by gossip, so a random graph of this degree reaches
  // every instance in a few hops, and the traffic of an instance does not grow
  // with the fleet.
  std::size_t own_data_centre_peers = 6;
  std::size_t other_data_centre_peers = 1;
};

// Uses rendezvous hashing, so that a change of the list moves few streams. The
// relation is symmetric: an instance that selects this one is its peer as well.
// `self` is never returned.
std::vector<PeerAddress> SelectPeers(
    const PeerSelectionOptions& options,
    const InstanceId& self,
    const DataCentreId& own_data_centre,
    const std::vector<EntryInstanceRecord>& instances);

}  // namespace filbertshift

#endif  // SRC_ROUTING_PEER_SELECTION_H_
