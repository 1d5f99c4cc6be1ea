// Chooses the instances to which requests are handed over.

#ifndef SRC_HANDOVER_HANDOVER_PEERS_H_
#define SRC_HANDOVER_HANDOVER_PEERS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

struct HandoverPeer {
  InstanceId instance;
  // "ip:port" at which other instances connect.
  std::string address;
  // Empty if unknown.
  DataCentreId data_centre;
};

// Why a peer is not asked for a while.
enum class PeerTrouble {
  // It does not take requests that are handed over: it is of an earlier
  // version.
  kUnable,
  // It has refused: it reaches no endpoint either, stops, or knows only an
  // older configuration.
  kRefused,
  // It cannot be reached, or the connection to it broke.
  kUnreachable,
};

class HandoverPeers {
 public:
  explicit HandoverPeers(DataCentreId own) : own_(std::move(own)) {}

  // All live instances without this one.
  void SetPeers(std::vector<HandoverPeer> peers);
  // The peer to ask next: near ones first, spread by the hash of the request. A
  // peer that was lost is asked by a request that has tried none and finds no
  // other. Empty if each was tried or is avoided.
  std::optional<HandoverPeer> Choose(std::uint64_t request_hash,
                                     const std::vector<InstanceId>& tried,
                                     TimePoint now) const;
  void OnTrouble(const InstanceId& instance,
                 PeerTrouble trouble,
                 TimePoint now);
  // It has answered a request.
  void OnAnswered(const InstanceId& instance);
  std::size_t size() const { return peers_.size(); }

 private:
  const DataCentreId own_;
  std::vector<HandoverPeer> peers_;
  struct Avoided {
    TimePoint until{};
    PeerTrouble trouble = PeerTrouble::kUnreachable;
  };
  std::map<InstanceId, Avoided> avoided_;
};

}  // namespace filbertshift

#endif  // SRC_HANDOVER_HANDOVER_PEERS_H_
