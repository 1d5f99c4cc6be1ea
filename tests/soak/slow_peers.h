// Peers of an instance that read slowly, on plain sockets: a TcpLoop reads
// whatever arrives. And an endpoint that streams without end.

#ifndef TESTS_SOAK_SLOW_PEERS_H_
#define TESTS_SOAK_SLOW_PEERS_H_

#include <map>
#include <string>
#include <vector>

#include "src/gateway/caller_server.h"
#include "src/net/net.h"
#include "tests/unit/support/loopback.h"

namespace filbertshift {

// Head of a request without a body, or of one with `body_bytes`.
std::string SlowRequestHead(const std::string& path,
                            const std::string& id,
                            std::size_t body_bytes);

// Streams events without end: 4 KB each 40 ms for /flow/, 200 bytes each 100 ms
// for /drip/.
class FlowEndpoint : public HttpRequestHandler {
 public:
  explicit FlowEndpoint(Transport* transport)
      : transport_(transport), server_(transport, this) {}
  AcceptListener* listener() { return &server_; }

  void OnRequest(ConnectionId caller,
                 HttpRequestHead head,
                 std::string body) override;
  void OnCallerDisconnected(ConnectionId caller, ConnectionEnd end) override;
  void OnRejected(int /*status*/, std::string_view /*reason*/) override {}

 private:
  void SendEvents(ConnectionId caller, int number, bool flows);

  Transport* const transport_;
  CallerServer server_;
  std::map<ConnectionId, TimerId> timers_;
};

// Accepts all connections, reads a little of each when told, and never answers.
class SlowEndpoint {
 public:
  SlowEndpoint();
  int port() const { return LocalPortOf(listener_); }
  void Read();
  // Ids of the requests whose heads were read since the last call.
  std::vector<std::string> TakeSeen();

 private:
  struct Connection {
    TestSocket socket;
    // Until the head is complete.
    std::string start;
    bool seen = false;
  };
  void FindId(Connection* connection);

  TestSocket listener_;
  std::vector<Connection> connections_;
  std::vector<std::string> seen_;
};

// A caller that reads at most so many bytes when told.
class SlowCaller {
 public:
  // "ip:port". The connection counts as ended if it cannot be opened.
  SlowCaller(const std::string& address, const std::string& request);
  void Read(std::size_t bytes);
  bool ended() const { return ended_; }

 private:
  TestSocket socket_;
  bool ended_ = false;
};

}  // namespace filbertshift

#endif  // TESTS_SOAK_SLOW_PEERS_H_
