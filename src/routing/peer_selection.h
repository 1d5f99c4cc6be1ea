// Chooses the entry instances to which this one keeps a stream.

#ifndef SRC_ROUTING_PEER_SELECTION_H_
#define SRC_ROUTING_PEER_SELECTION_H_

#include <cstddef>
#include <vector>

#include "src/ports/ports.h"

namespace filbertshift {

struct PeerSelectionOptions {
  // Up to this many other instances, all of them are peers.
  std::size_t full_mesh_limit = 16;
  // Beyond it: peers in the own data centre, and in each other one. News spread
  // by being passed on, so a random graph of this degree reaches every instance
  // in a few steps, while traffic does not grow with the fleet.
  std::size_t own_data_centre_peers = 6;
  std::size_t other_data_centre_peers = 1;
};

// Rendezvous choice, so that a change of the list moves few streams, and the
// choice of either side counts: if one instance is a peer of another, the
// reverse holds as well. `self` is left out.
std::vector<PeerAddress> SelectPeers(
    const PeerSelectionOptions& options,
    const InstanceId& self,
    const DataCentreId& own_data_centre,
    const std::vector<EntryInstanceRecord>& instances);

}  // namespace filbertshift

#endif  // SRC_ROUTING_PEER_SELECTION_H_
