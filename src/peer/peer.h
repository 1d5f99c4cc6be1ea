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
  // This instance; never connected to.
  InstanceId instance;
  // IP number and port; port 0 lets the system choose.
  std::string listen_address = "127.0.0.1:0";
  // Incoming connections beyond this are closed at once.
  std::size_t max_incoming = 1024;
  // Encoded size of one message; larger ones end the stream.
  std::size_t max_message_bytes = 4U << 20U;
  // Messages that wait for one peer. When full, the oldest heartbeat is
  // dropped, or else the new message.
  std::size_t max_queued_messages = 4096;
  // Encoded bytes that wait for one peer.
  std::size_t max_queued_bytes = 32U << 20U;
  // Commands of the core that wait for the peer thread.
  std::size_t command_capacity = 16384;
  std::chrono::milliseconds ping_interval{1000};
  // A connection on which nothing arrives for this long is closed.
  std::chrono::milliseconds read_timeout{3500};
  // The delay before a reconnection doubles from the first to the last value;
  // between half and all of it is waited.
  std::chrono::milliseconds min_reconnect_delay{100};
  std::chrono::milliseconds max_reconnect_delay{5000};
};

// Keeps one outgoing connection to each peer and accepts theirs, on a thread of
// its own. Messages are sent on the outgoing connection and received on the
// incoming ones. PeerUp and PeerDown tell of the outgoing one.
class PeerMesh : public PeerPort {
 public:
  // The references must outlive the mesh; `random` is used on its thread.
  // Throws std::invalid_argument or std::system_error if it cannot listen.
  PeerMesh(const PeerMeshOptions& options,
           CoreRing& core_ring,
           const Clock& clock,
           Random& random,
           EventLog& log);
  // Closes all connections; messages that wait are lost.
  ~PeerMesh() override;

  void Send(const InstanceId& to, PeerMessage message) override;
  void Broadcast(PeerMessage message) override;
  void SetPeers(std::vector<PeerAddress> peers) override;

  // The address in use, for a listen address with port 0.
  std::string BoundAddress() const;

 private:
  std::unique_ptr<PeerLoop> loop_;
  std::thread thread_;
};

}  // namespace filbertshift

#endif  // SRC_PEER_PEER_H_
