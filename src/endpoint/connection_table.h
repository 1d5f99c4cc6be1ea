// The open connections to endpoints, each with the incarnation of the endpoint
// that a probe has verified.

#ifndef SRC_ENDPOINT_CONNECTION_TABLE_H_
#define SRC_ENDPOINT_CONNECTION_TABLE_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/ports/endpoint_port.h"

namespace filbertshift {

// Identifies a libcurl transfer for a probe or a request.
enum class TransferId : std::uint64_t { kNone = 0 };

struct Connection {
  int descriptor = -1;
  EndpointId endpoint;
  // IP address and port of the endpoint.
  std::string address;
  // Zero until the first lookup after the connection was established.
  int local_port = 0;
  // Zero until a probe over this connection has returned a start time.
  Incarnation verified_incarnation;
  // The transfer that uses the connection, or kNone while it is idle.
  TransferId transfer = TransferId::kNone;
  // Requests of attempts since the connection opened; probes do not count.
  int attempts = 0;
  // Shut down by this process or closed by the endpoint; never used again.
  bool closed = false;
};

// Entries are added when a socket is opened and removed when it is closed, so
// that a connection that reuses the local port of an earlier one does not count
// as verified.
class ConnectionTable {
 public:
  void Add(int descriptor, const EndpointId& endpoint, std::string address);
  void Remove(int descriptor);
  // Returns nullptr if the descriptor is not a connection to an endpoint.
  Connection* Find(int descriptor);
  // Finds an established connection by its local port.
  Connection* FindByPort(const std::string& address, int local_port);
  // Whether there is an idle connection verified for that incarnation.
  bool HasIdle(const std::string& address, Incarnation incarnation) const;
  // Shuts down the idle connections of the endpoint except those verified for
  // `except`; with a zero `except`, shuts down all of them. libcurl then finds
  // them closed and discards them.
  void ShutDownIdle(const EndpointId& endpoint, Incarnation except);
  void ShutDown(Connection* connection);

 private:
  std::unordered_map<int, Connection> connections_;
  // Invariant: contains each descriptor in connections_ exactly once, and no
  // others.
  std::unordered_map<std::string, std::vector<int>> by_address_;
};

// Whether the endpoint has closed the connection or, unless `in_use`, has sent
// unsolicited bytes. A connection in use may have unread bytes.
bool PeerHasClosed(int descriptor, bool in_use);

// Bytes received on the connection since it opened; 0 if it has ended.
std::uint64_t BytesReceived(int descriptor);

}  // namespace filbertshift

#endif  // SRC_ENDPOINT_CONNECTION_TABLE_H_
