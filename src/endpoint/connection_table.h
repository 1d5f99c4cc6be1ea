// The open connections to endpoints and the incarnation that each was verified
// to reach.

#ifndef SRC_ENDPOINT_CONNECTION_TABLE_H_
#define SRC_ENDPOINT_CONNECTION_TABLE_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/ports/endpoint_port.h"

namespace filbertshift {

// Identifies one use of libcurl for a probe or a request.
enum class TransferId : std::uint64_t { kNone = 0 };

struct Connection {
  int descriptor = -1;
  EndpointId endpoint;
  // IP number and port of the endpoint.
  std::string address;
  // Zero until the connection is established and looked up.
  int local_port = 0;
  // Zero until a probe over this connection has read a start time.
  Incarnation verified;
  // The transfer that uses it, or kNone while it is idle.
  TransferId transfer = TransferId::kNone;
  // Shut down by this process or closed by the other side; never used again.
  bool dead = false;
};

// Entries are added when a socket is opened and removed when it is closed, so
// that a local port that the system assigns again is never taken for an old,
// verified connection.
class ConnectionTable {
 public:
  void Add(int descriptor, const EndpointId& endpoint, std::string address);
  void Remove(int descriptor);
  // Returns nullptr if the descriptor is not a connection to an endpoint.
  Connection* Find(int descriptor);
  // Finds an established connection by its local port.
  Connection* FindByPort(const std::string& address, int local_port);
  // Whether an idle connection reaches that incarnation.
  bool HasIdle(const std::string& address, Incarnation incarnation) const;
  // Shuts down all idle connections of the endpoint, or with `kept` only those
  // that reach another incarnation. libcurl then finds them closed and drops
  // them.
  void ShutDownIdle(const EndpointId& endpoint, Incarnation kept);
  void ShutDown(Connection* connection);

 private:
  std::unordered_map<int, Connection> connections_;
  // Invariant: holds exactly the descriptors in connections_, none twice.
  std::unordered_map<std::string, std::vector<int>> by_address_;
};

// Whether the other side has closed the connection, or has sent bytes that
// nobody asked for. `in_use` allows for unread bytes.
bool PeerHasClosed(int descriptor, bool in_use);

}  // namespace filbertshift

#endif  // SRC_ENDPOINT_CONNECTION_TABLE_H_
