// The event loop of the peer adapter. It processes the commands of the core,
// the listening socket, all connections, pings, timeouts and reconnections.

#ifndef SRC_PEER_PEER_LOOP_H_
#define SRC_PEER_PEER_LOOP_H_

#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "src/peer/peer.h"
#include "src/peer/peer_connection.h"

namespace filbertshift {

struct SendCommand {
  // Empty for a broadcast to all peers.
  InstanceId to;
  PeerMessage message;
};
// Wakes the thread so that it checks for a stop request or a new list of peers.
struct PeerWakeUp {};

using PeerCommand = std::variant<SendCommand, PeerWakeUp>;

class PeerLoop {
 public:
  PeerLoop(const PeerMeshOptions& options,
           CoreRing& core_ring,
           const Clock& clock,
           Random& random,
           EventLog& log);
  ~PeerLoop();
  PeerLoop(const PeerLoop&) = delete;
  PeerLoop& operator=(const PeerLoop&) = delete;

  // Runs until a stop is requested.
  void Run();

  // Thread-safe, as are the methods below. The command is dropped if the ring
  // is full.
  void Submit(PeerCommand command);
  void SubmitPeers(std::vector<PeerAddress> peers);
  void RequestStop();
  const std::string& bound_address() const { return bound_address_; }

 private:
  struct Peer {
    std::string address;
    // The descriptor of the outgoing connection; -1 if there is none.
    int descriptor = -1;
    // Whether the core was last sent PeerUp for this peer.
    bool up = false;
    TimePoint next_connect;
    // Upper limit of the delay before the next reconnection.
    std::chrono::milliseconds reconnect_delay{0};
  };

  struct Entry {
    std::unique_ptr<PeerConnection> connection;
    // The instance at the other end; empty for an incoming connection that has
    // not sent its PeerHello.
    InstanceId instance;
    bool watches_write = false;
  };

  void PollOnce();
  void HandleEvent(int descriptor, unsigned events);
  void Push(CoreMessage message);
  bool FlushOutbox();
  void Watch(int descriptor, unsigned events);
  void UpdateWatch(Entry* entry);

  void RunCommands();
  void Execute(const SendCommand& command);
  void Execute(const PeerWakeUp& wake_up);
  void ApplyNewPeers();
  void ReplacePeers(std::vector<PeerAddress> peers);

  void AcceptConnections();
  void Connect(const InstanceId& instance, Peer* peer);
  Entry* AddConnection(PeerRole role, int descriptor);
  void ScheduleReconnect(Peer* peer);
  void SendTo(Peer* peer, const std::string& frame, bool droppable);
  // Delivers received messages, writes pending bytes, and closes the connection
  // if it failed.
  void ProcessConnection(int descriptor);
  // Returns false if a message arrived before the PeerHello.
  bool Deliver(Entry* entry);
  void MarkPeerUp(Entry* entry);
  void LogRejectedMessage(Entry* entry, const std::string& reason);
  // `reason` is passed by value because the original may belong to the
  // connection.
  void Close(int descriptor, std::string reason);
  void RunTimers();
  std::vector<int> Descriptors() const;

  const PeerMeshOptions options_;
  CoreRing& core_ring_;
  const Clock& clock_;
  Random& random_;
  EventLog& log_;
  BoundedRing<PeerCommand> commands_;
  std::atomic<bool> stop_requested_{false};
  std::mutex peers_mutex_;
  // The latest list passed to SubmitPeers that the thread has not applied yet.
  std::optional<std::vector<PeerAddress>> new_peers_;

  int epoll_fd_ = -1;
  int listener_ = -1;
  std::string bound_address_;
  TimePoint next_ping_;
  // Messages that did not fit into the core's ring yet.
  std::deque<CoreMessage> outbox_;
  std::map<InstanceId, Peer> peers_;
  // Keyed by descriptor.
  std::unordered_map<int, Entry> connections_;
};

}  // namespace filbertshift

#endif  // SRC_PEER_PEER_LOOP_H_
