// In-memory peer port for tests of the ledgers.

#ifndef TESTS_UNIT_LEDGER_FAKE_PEERS_H_
#define TESTS_UNIT_LEDGER_FAKE_PEERS_H_

#include <string>
#include <utility>
#include <vector>

#include "src/ports/peer_port.h"

namespace filbertshift {

// Records the messages that one instance sends; the test delivers them.
class FakePeers : public PeerPort {
 public:
  struct Sent {
    InstanceId to;
    PeerMessage message;
  };

  void Send(const InstanceId& to, PeerMessage message) override {
    sent.push_back({to, std::move(message)});
  }
  void Broadcast(PeerMessage message) override {
    for (const InstanceId& peer : peers) {
      sent.push_back({peer, message});
    }
  }
  void SetPeers(std::vector<PeerAddress>) override {}

  std::vector<InstanceId> peers;
  std::vector<Sent> sent;
};

}  // namespace filbertshift

#endif  // TESTS_UNIT_LEDGER_FAKE_PEERS_H_
