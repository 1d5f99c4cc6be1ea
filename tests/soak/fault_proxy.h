// A loopback proxy that harms the connections through it.

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
  // Every byte is late.
  kDelay,
  // Connections made or used now go silent for good, in both directions.
  kSilent,
  // Requests arrive and answers do not; for good, as above.
  kLostAnswers,
  // Connections are reset.
  kReset,
};

class FaultProxy : public AcceptListener {
 public:
  FaultProxy(Transport* transport, std::string upstream);

  // Open connections are reset at once by kReset.
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
      proxy_->Pass(connection, data, true);
    }
    void OnEnd(ConnectionId connection, ConnectionEnd end) override {
      proxy_->End(connection, end);
    }

   private:
    FaultProxy* const proxy_;
  };

  struct Link {
    ConnectionId other{};
    // Nothing passes any more towards `other`.
    bool silent = false;
    // Pieces that wait for their time; later ones must not overtake them.
    int delayed = 0;
  };

  void Pass(ConnectionId from, std::string_view data, bool is_answer);
  void End(ConnectionId from, ConnectionEnd end);
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
