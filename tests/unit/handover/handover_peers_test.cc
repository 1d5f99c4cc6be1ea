#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <set>

#include "src/handover/handover.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

struct Peers : HandoverPeers {
  Peers() : HandoverPeers(DataCentreId("a")) {
    SetPeers(
        {Peer("a1", "a"), Peer("a2", "a"), Peer("b1", "b"), Peer("old", "")});
  }
  static HandoverPeer Peer(const std::string& name, const std::string& centre) {
    return {InstanceId(name), name + ":2", DataCentreId(centre)};
  }
  std::string Next(std::uint64_t hash,
                   const std::vector<InstanceId>& tried,
                   milliseconds at = milliseconds(0)) const {
    std::optional<HandoverPeer> peer = Choose(hash, tried, kStart + at);
    return peer.has_value() ? peer->instance.value() : "";
  }
};

TEST_CASE("near peers come first, and each is asked once", "[handover]") {
  Peers peers;
  std::set<std::string> first;
  for (std::uint64_t hash = 0; hash < 50; ++hash) {
    std::vector<InstanceId> tried;
    std::vector<std::string> order;
    for (std::string name = peers.Next(hash, tried); !name.empty();
         name = peers.Next(hash, tried)) {
      order.push_back(name);
      tried.emplace_back(name);
    }
    REQUIRE(order.size() == 4);
    first.insert(order[0]);
    CHECK(order[0][0] == 'a');
    CHECK(order[1][0] == 'a');
  }
  CHECK(first.size() == 2);
}

TEST_CASE("a peer in trouble is avoided for a while", "[handover]") {
  Peers peers;
  peers.OnTrouble(InstanceId("a1"), PeerTrouble::kRefused, kStart);
  peers.OnTrouble(InstanceId("a2"), PeerTrouble::kUnable, kStart);
  CHECK(peers.Next(1, {InstanceId("b1"), InstanceId("old")}).empty());
  CHECK(peers.Next(1, {}, milliseconds(1100)) == "a1");
  peers.OnAnswered(InstanceId("a2"));
  CHECK(peers.Next(1, {InstanceId("a1")}) == "a2");
}

}  // namespace
}  // namespace filbertshift
