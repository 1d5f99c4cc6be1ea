// Tests of peer selection.

#include <catch2/catch.hpp>

#include <map>
#include <set>

#include "src/routing/peer_selection.h"

namespace filbertshift {
namespace {

std::vector<EntryInstanceRecord> Fleet(int instances, int data_centres) {
  std::vector<EntryInstanceRecord> fleet;
  for (int i = 0; i < instances; ++i) {
    fleet.push_back({InstanceId("i" + std::to_string(i)),
                     "127.0.0.1:" + std::to_string(10000 + i),
                     DataCentreId("d" + std::to_string(i % data_centres)),
                     false});
  }
  return fleet;
}

std::set<InstanceId> PeersOf(const std::vector<EntryInstanceRecord>& fleet,
                             const EntryInstanceRecord& self) {
  std::set<InstanceId> peers;
  for (const PeerAddress& peer : SelectPeers(
           PeerSelectionOptions(), self.instance, self.data_centre, fleet)) {
    peers.insert(peer.instance);
  }
  return peers;
}

// Guards against a small fleet that is not fully connected.
TEST_CASE("few instances form a full mesh", "[routing]") {
  std::vector<EntryInstanceRecord> fleet = Fleet(4, 3);
  for (const EntryInstanceRecord& self : fleet) {
    std::set<InstanceId> peers = PeersOf(fleet, self);
    CHECK(peers.size() == 3);
    CHECK(peers.count(self.instance) == 0);
  }
}

// Guards against control traffic that grows with the fleet, and against a
// partition of the fleet, even when one data centre is lost. The budget of 4
// KB/s for control traffic allows 41 streams of 97 bytes/s.
TEST_CASE("a large fleet is connected with bounded degree", "[routing]") {
  constexpr std::size_t kMaxStreams = 41;
  std::vector<EntryInstanceRecord> fleet = Fleet(340, 9);
  std::map<InstanceId, std::set<InstanceId>> links;
  for (const EntryInstanceRecord& self : fleet) {
    std::set<InstanceId> peers = PeersOf(fleet, self);
    CHECK(peers.size() <= kMaxStreams);
    links[self.instance] = peers;
  }
  // Without a stream back, a peer could not acknowledge charge replicas.
  for (const auto& [self, peers] : links) {
    for (const InstanceId& peer : peers) {
      CHECK(links[peer].count(self) == 1);
    }
  }
  for (int lost = -1; lost < 9; ++lost) {
    std::set<InstanceId> alive;
    for (const EntryInstanceRecord& record : fleet) {
      if (record.data_centre != DataCentreId("d" + std::to_string(lost))) {
        alive.insert(record.instance);
      }
    }
    std::set<InstanceId> reached = {*alive.begin()};
    std::vector<InstanceId> frontier = {*alive.begin()};
    while (!frontier.empty()) {
      InstanceId next = frontier.back();
      frontier.pop_back();
      for (const InstanceId& peer : links[next]) {
        if (alive.count(peer) > 0 && reached.insert(peer).second) {
          frontier.push_back(peer);
        }
      }
    }
    CHECK(reached.size() == alive.size());
  }
}

}  // namespace
}  // namespace filbertshift
