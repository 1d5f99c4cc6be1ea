// A simulated network: every node is a transport, all share one clock, and
// nodes can be suspended, stopped or cut off from each other.

#ifndef TESTS_UNIT_SUPPORT_SIM_NETWORK_H_
#define TESTS_UNIT_SUPPORT_SIM_NETWORK_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/net/transport.h"

namespace filbertshift {

class SimNetwork;

class SimNode : public Transport {
 public:
  explicit SimNode(SimNetwork* network) : network_(network) {}
  SimNode(const SimNode&) = delete;
  SimNode& operator=(const SimNode&) = delete;

  void Listen(const std::string& address, AcceptListener* listener);

  ConnectionId Connect(const std::string& address,
                       std::chrono::milliseconds timeout,
                       ConnectionListener* listener) override;
  void Send(ConnectionId connection, std::string_view data) override;
  std::size_t UnsentBytes(ConnectionId) const override { return 0; }
  bool HasUnreadData(ConnectionId) override { return false; }
  void Close(ConnectionId connection) override;
  void CloseLingering(ConnectionId connection) override { Close(connection); }
  std::size_t ClosingCount() const override { return 0; }
  void ReadArrived(ConnectionId /*connection*/) override {}
  void Abort(ConnectionId connection) override;
  TimerId After(std::chrono::milliseconds delay,
                std::function<void()> action) override;
  void Cancel(TimerId timer) override;
  TimePoint Now() const override;

 private:
  SimNetwork* const network_;
};

class SimNetwork {
 public:
  SimNode* AddNode();
  // The node handles nothing until then; what happens meanwhile reaches it
  // afterwards, in order.
  void SuspendUntil(const SimNode* node, TimePoint time);
  // Ends the node's connections and timers for good.
  void Stop(const SimNode* node);
  // Nothing passes between nodes for which this returns true. Connections
  // between them end as silent once one of them sends.
  void SetCut(std::function<bool(const SimNode*, const SimNode*)> cut) {
    cut_ = std::move(cut);
  }
  // New connections between nodes for which this returns true are refused.
  void SetRefusal(std::function<bool(const SimNode*, const SimNode*)> refusal) {
    refusal_ = std::move(refusal);
  }
  // Resets the open connections between such nodes.
  void ResetBetween(
      const std::function<bool(const SimNode*, const SimNode*)>& between);
  void RunFor(std::chrono::milliseconds time);
  TimePoint now() const { return now_; }

 private:
  friend class SimNode;

  struct Listener {
    SimNode* node = nullptr;
    AcceptListener* listener = nullptr;
  };
  // One end of a connection.
  struct End {
    SimNode* node = nullptr;
    ConnectionListener* listener = nullptr;
    // The other end; 0 until connected.
    std::uint64_t other = 0;
  };
  struct Event {
    const SimNode* node = nullptr;
    std::function<void()> action;
  };
  using EventKey = std::pair<TimePoint, std::uint64_t>;

  std::uint64_t Schedule(const SimNode* node,
                         std::chrono::milliseconds delay,
                         std::function<void()> action);
  bool IsCut(const SimNode* a, const SimNode* b) const;
  void FinishConnect(std::uint64_t id, const std::string& address);
  // Ends one end and tells its listener later.
  void EndLater(std::uint64_t id,
                std::chrono::milliseconds delay,
                ConnectionEnd end);
  void EndByNode(std::uint64_t id, ConnectionEnd end);

  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t last_id_ = 0;
  std::vector<std::unique_ptr<SimNode>> nodes_;
  std::map<const SimNode*, TimePoint> suspended_until_;
  std::map<std::string, Listener> listeners_;
  std::map<std::uint64_t, End> ends_;
  std::map<EventKey, Event> events_;
  // Time of each event that is not done.
  std::map<std::uint64_t, TimePoint> event_times_;
  std::function<bool(const SimNode*, const SimNode*)> cut_ =
      [](const SimNode*, const SimNode*) { return false; };
  std::function<bool(const SimNode*, const SimNode*)> refusal_ =
      [](const SimNode*, const SimNode*) { return false; };
};

}  // namespace filbertshift

#endif  // TESTS_UNIT_SUPPORT_SIM_NETWORK_H_
