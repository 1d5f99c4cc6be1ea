#include "src/endpoint/connection_table.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace filbertshift {

namespace {

// Returns zero if the socket has no port yet.
int LocalPort(int descriptor) {
  sockaddr_storage address{};
  socklen_t size = sizeof(address);
  if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) !=
      0) {
    return 0;
  }
  if (address.ss_family == AF_INET6) {
    return ntohs(reinterpret_cast<sockaddr_in6*>(&address)->sin6_port);
  }
  return ntohs(reinterpret_cast<sockaddr_in*>(&address)->sin_port);
}

}  // namespace

void ConnectionTable::Add(int descriptor,
                          const EndpointId& endpoint,
                          std::string address) {
  Connection connection;
  connection.descriptor = descriptor;
  connection.endpoint = endpoint;
  connection.address = std::move(address);
  by_address_[connection.address].push_back(descriptor);
  connections_[descriptor] = std::move(connection);
}

void ConnectionTable::Remove(int descriptor) {
  auto found = connections_.find(descriptor);
  if (found == connections_.end()) {
    return;
  }
  auto same_address = by_address_.find(found->second.address);
  std::vector<int>& descriptors = same_address->second;
  descriptors.erase(
      std::remove(descriptors.begin(), descriptors.end(), descriptor),
      descriptors.end());
  if (descriptors.empty()) {
    by_address_.erase(same_address);
  }
  connections_.erase(found);
}

Connection* ConnectionTable::Find(int descriptor) {
  auto found = connections_.find(descriptor);
  return found == connections_.end() ? nullptr : &found->second;
}

Connection* ConnectionTable::FindByPort(const std::string& address,
                                        int local_port) {
  auto same_address = by_address_.find(address);
  if (same_address == by_address_.end()) {
    return nullptr;
  }
  for (int descriptor : same_address->second) {
    Connection& connection = connections_.at(descriptor);
    if (connection.local_port == 0) {
      connection.local_port = LocalPort(descriptor);
    }
    if (connection.local_port == local_port) {
      return &connection;
    }
  }
  return nullptr;
}

bool ConnectionTable::HasIdle(const std::string& address,
                              Incarnation incarnation) const {
  auto same_address = by_address_.find(address);
  if (same_address == by_address_.end()) {
    return false;
  }
  const std::vector<int>& descriptors = same_address->second;
  return std::any_of(
      descriptors.begin(), descriptors.end(), [&](int descriptor) {
        const Connection& connection = connections_.at(descriptor);
        return connection.transfer == TransferId::kNone && !connection.closed &&
               connection.verified_incarnation == incarnation;
      });
}

void ConnectionTable::ShutDownIdle(const EndpointId& endpoint,
                                   Incarnation except) {
  for (auto& [descriptor, connection] : connections_) {
    const bool keep =
        except != Incarnation() && connection.verified_incarnation == except;
    if (connection.endpoint == endpoint && !keep &&
        connection.transfer == TransferId::kNone) {
      ShutDown(&connection);
    }
  }
}

void ConnectionTable::ShutDown(Connection* connection) {
  connection->closed = true;
  shutdown(connection->descriptor, SHUT_RDWR);
}

bool PeerHasClosed(int descriptor, bool in_use) {
  char byte = 0;
  const ssize_t received =
      recv(descriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  if (received > 0) {
    return !in_use;
  }
  return received == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

std::uint64_t BytesReceived(int descriptor) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  return getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0
             ? info.tcpi_bytes_received
             : 0;
}

}  // namespace filbertshift
