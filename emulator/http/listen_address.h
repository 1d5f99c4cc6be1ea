// An IPv4 address and port, as given on the command line.

#ifndef EMULATOR_HTTP_LISTEN_ADDRESS_H_
#define EMULATOR_HTTP_LISTEN_ADDRESS_H_

#include <netinet/in.h>

#include <cstdint>
#include <string>

namespace filbertshift::emulator {

struct ListenAddress {
  std::string ip;
  // 0 lets the operating system choose a port.
  std::uint16_t port = 0;
};

// Parses an address such as "127.0.0.1:8080". Throws std::invalid_argument if
// it is malformed.
ListenAddress ParseListenAddress(const std::string& text);

// Returns the address in the format that ParseListenAddress accepts.
std::string FormatListenAddress(const ListenAddress& address);

sockaddr_in ToSocketAddress(const ListenAddress& address);

// Returns a bound, non-blocking TCP socket that is not listening yet. Sets the
// port of `address` to the bound port. Throws std::system_error.
int BindTcpSocket(ListenAddress* address);

}  // namespace filbertshift::emulator

#endif  // EMULATOR_HTTP_LISTEN_ADDRESS_H_
