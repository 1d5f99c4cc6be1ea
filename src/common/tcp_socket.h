// TCP addresses and listening sockets, shared by all adapters that listen.

#ifndef SRC_COMMON_TCP_SOCKET_H_
#define SRC_COMMON_TCP_SOCKET_H_

#include <sys/socket.h>

#include <cstdint>
#include <string>

namespace filbertshift {

struct TcpAddress {
  sockaddr_storage storage{};
  socklen_t size = 0;

  const sockaddr* get() const {
    return reinterpret_cast<const sockaddr*>(&storage);
  }
  std::uint16_t port() const;
};

// Parses a numeric address such as "127.0.0.1:80" or "[::1]:80"; host names are
// not resolved. Throws std::invalid_argument.
TcpAddress ParseTcpAddress(const std::string& text);

// Opens a non-blocking listening socket and returns its descriptor, which the
// caller owns. Throws std::invalid_argument or std::system_error.
int ListenTcp(const std::string& address);

// Returns the address that the socket is bound to, in the format that
// ParseTcpAddress accepts. Throws std::system_error.
std::string BoundTcpAddress(int descriptor);

}  // namespace filbertshift

#endif  // SRC_COMMON_TCP_SOCKET_H_
