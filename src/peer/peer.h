// Public header of the peer adapter: HTTP/2 streams between entry instances.

#ifndef SRC_PEER_PEER_H_
#define SRC_PEER_PEER_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "src/ports/core_message.h"
#include "src/ports/peer_port.h"

namespace filbertshift {

class PeerLoop;

struct PeerMeshOptions {
  // The id of this instance. It is ignored in the list of peers.
  InstanceId instance;
  // IP address and port; with port 0 the system assigns a free port.
  std::string listen_address = "127.0.0.1:0";
  // Incoming connections above this limit are closed immediately.
  std::size_t max_incoming = 1024;
  // Limit on the encoded size of a received message. A larger one closes the
  // connection.
  std::size_t max_message_bytes = 4U << 20U;
  // Limit on the messages queued for one peer. If the queue is full, the oldest
  // heartbeats are dropped, or the new message if there are none.
  std::size_t max_queued_messages = 4096;
  // Limit on the encoded bytes queued for one peer.
  std::size_t max_queued_bytes = 32U << 20U;
  // Commands of the core that can be queued for the peer thread.
  std::size_t command_capacity = 16384;
  std::chrono::milliseconds ping_interval{1000};
  // A connection that receives nothing for this long is closed.
  std::chrono::milliseconds read_timeout{3500};
  // The delay before a reconnection doubles from the minimum to the maximum.
  // The actual delay is chosen at random between half of it and all of it.
  std::chrono::milliseconds min_reconnect_delay{100};
  std::chrono::milliseconds max_reconnect_delay{5000};
};

// Keeps one outgoing connection to each peer and accepts incoming connections,
// on a dedicated thread. Messages are sent on the outgoing connections and
// received on the incoming ones. PeerUp and PeerDown report the state of the
// outgoing connection.
class PeerMesh : public PeerPort {
 public:
  // The references must outlive the mesh; `random` is used on its thread.
  // Throws std::invalid_argument or std::system_error if it cannot listen.
  PeerMesh(const PeerMeshOptions& options,
           CoreRing& core_ring,
           const Clock& clock,
           Random& random,
           EventLog& log);
  // Closes all connections; queued messages are lost.
  ~PeerMesh() override;

  void Send(const InstanceId& to, PeerMessage message) override;
  void Broadcast(PeerMessage message) override;
  void SetPeers(std::vector<PeerAddress> peers) override;

  // The actual listen address, with the port that the system assigned.
  std::string BoundAddress() const;

 private:
  std::unique_ptr<PeerLoop> loop_;
  std::thread thread_;
};

}  // namespace filbertshift

#endif  // SRC_PEER_PEER_H_
