#include "emulator/http/listen_address.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <stdexcept>
#include <system_error>

namespace filbertshift::emulator {

ListenAddress ParseListenAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  ListenAddress address;
  if (colon != std::string::npos) {
    address.ip = text.substr(0, colon);
    const char* begin = text.data() + colon + 1;
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(begin, end, address.port);
    in_addr parsed{};
    if (result.ec == std::errc() && result.ptr == end && begin != end &&
        inet_pton(AF_INET, address.ip.c_str(), &parsed) == 1) {
      return address;
    }
  }
  throw std::invalid_argument(fmt::format(
      "invalid address '{}': expected an IPv4 address and port", text));
}

std::string FormatListenAddress(const ListenAddress& address) {
  return fmt::format("{}:{}", address.ip, address.port);
}

sockaddr_in ToSocketAddress(const ListenAddress& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

int BindTcpSocket(ListenAddress* address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    throw std::system_error(errno, std::generic_category(), "socket");
  }
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  sockaddr_in name = ToSocketAddress(*address);
  socklen_t length = sizeof(name);
  if (bind(fd, reinterpret_cast<sockaddr*>(&name), length) != 0) {
    const int error = errno;
    close(fd);
    throw std::system_error(error, std::generic_category(),
                            "bind " + FormatListenAddress(*address));
  }
  getsockname(fd, reinterpret_cast<sockaddr*>(&name), &length);
  address->port = ntohs(name.sin_port);
  return fd;
}

}  // namespace filbertshift::emulator
