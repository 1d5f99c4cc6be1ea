// An IP number and port as given on the command line.

#ifndef EMULATOR_HTTP_LISTEN_ADDRESS_H_
#define EMULATOR_HTTP_LISTEN_ADDRESS_H_

#include <netinet/in.h>

#include <cstdint>
#include <string>

namespace filbertshift::emulator {

struct ListenAddress {
  std::string ip;
  // 0 lets the operating system choose.
  std::uint16_t port = 0;
};

// Reads "127.0.0.1:8080". Throws std::invalid_argument on anything else.
ListenAddress ParseListenAddress(const std::string& text);

// "127.0.0.1:8080".
std::string FormatListenAddress(const ListenAddress& address);

sockaddr_in ToSocketAddress(const ListenAddress& address);

// Returns a bound TCP socket that does not listen yet. `address` receives the
// port that was chosen. Throws std::system_error.
int BindTcpSocket(ListenAddress* address);

}  // namespace filbertshift::emulator

#endif  // EMULATOR_HTTP_LISTEN_ADDRESS_H_
