// The event loop of the peer adapter: commands of the core, the listening
// socket, all connections, pings, timeouts and reconnections.

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
  // Empty for all peers.
  InstanceId to;
  PeerMessage message;
};
// Wakes the thread up, so that it looks at its flags.
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

  // Any thread.
  void Submit(PeerCommand command);
  void SubmitPeers(std::vector<PeerAddress> peers);
  void RequestStop();
  const std::string& bound_address() const { return bound_address_; }

 private:
  struct Peer {
    std::string address;
    // The descriptor of the outgoing connection; -1 if there is none.
    int descriptor = -1;
    // Whether the core was told PeerUp.
    bool up = false;
    TimePoint next_connect;
    std::chrono::milliseconds delay{0};
  };

  struct Entry {
    std::unique_ptr<PeerConnection> connection;
    // The other side; empty for an incoming connection before its hello.
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
  void TakeNewPeers();
  void ApplyPeers(std::vector<PeerAddress> peers);

  void AcceptConnections();
  void Connect(const InstanceId& instance, Peer* peer);
  Entry* AddConnection(PeerRole role, int descriptor);
  void ScheduleReconnect(Peer* peer);
  void SendTo(Peer* peer, const std::string& frame, bool droppable);
  // Delivers what has arrived, writes what is due, closes a failed connection.
  void Advance(int descriptor);
  // Returns false if a message comes before the name of its sender.
  bool Deliver(Entry* entry);
  void MarkUp(Entry* entry);
  void Reject(Entry* entry, const std::string& reason);
  // `reason` is a copy because it may belong to the connection.
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
  // The latest argument of SetPeers, until the thread applies it.
  std::optional<std::vector<PeerAddress>> new_peers_;

  int epoll_fd_ = -1;
  int listener_ = -1;
  std::string bound_address_;
  TimePoint next_ping_;
  std::deque<CoreMessage> outbox_;
  std::map<InstanceId, Peer> peers_;
  // By descriptor.
  std::unordered_map<int, Entry> connections_;
};

}  // namespace filbertshift

#endif  // SRC_PEER_PEER_LOOP_H_
