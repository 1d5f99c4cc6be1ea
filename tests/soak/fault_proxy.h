// A loopback TCP proxy that injects faults into the connections through it.

#ifndef TESTS_SOAK_FAULT_PROXY_H_
#define TESTS_SOAK_FAULT_PROXY_H_

#include <chrono>
#include <map>
#include <string>
#include <string_view>

#include "src/net/net.h"

namespace filbertshift {

enum class ProxyFault {
  kNone,
  // All data is delayed.
  kDelay,
  // Drops all data in both directions. A connection used during this fault
  // stays silent after the fault is cleared.
  kSilent,
  // Forwards requests and drops responses; permanent for a connection, as with
  // kSilent.
  kResponsesLost,
  // Resets open and new connections.
  kReset,
};

class FaultProxy : public AcceptListener {
 public:
  FaultProxy(Transport* transport, std::string upstream);

  // kReset resets the open connections immediately.
  void SetFault(ProxyFault fault);

  void OnAccepted(ConnectionId connection) override;
  void OnData(ConnectionId connection, std::string_view data) override;
  void OnEnd(ConnectionId connection, ConnectionEnd end) override;

 private:
  // The upstream side of all connections.
  class Upstream : public ConnectionListener {
   public:
    explicit Upstream(FaultProxy* proxy) : proxy_(proxy) {}
    void OnConnected(ConnectionId /*connection*/) override {}
    void OnData(ConnectionId connection, std::string_view data) override {
      proxy_->Forward(connection, data, true);
    }
    void OnEnd(ConnectionId connection, ConnectionEnd end) override {
      proxy_->PropagateEnd(connection, end);
    }

   private:
    FaultProxy* const proxy_;
  };

  struct Link {
    ConnectionId other{};
    // No more data is forwarded to `other`.
    bool silent = false;
    // Number of delayed chunks; later chunks queue behind them to keep the
    // order.
    int delayed = 0;
  };

  void Forward(ConnectionId from, std::string_view data, bool is_response);
  void PropagateEnd(ConnectionId from, ConnectionEnd end);
  Link* Find(ConnectionId connection);

  Transport* const transport_;
  const std::string upstream_;
  Upstream upstream_listener_;
  ProxyFault fault_ = ProxyFault::kNone;
  // Both ends of each connection.
  std::map<ConnectionId, Link> links_;
};

}  // namespace filbertshift

#endif  // TESTS_SOAK_FAULT_PROXY_H_
