#include "src/common/tcp_socket.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <system_error>

namespace filbertshift {

namespace {

std::uint16_t ParsePort(const std::string& text) {
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, port);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    throw std::invalid_argument("invalid port: " + text);
  }
  return port;
}

[[noreturn]] void ThrowAndClose(int descriptor, const char* what) {
  const int error = errno;
  if (descriptor >= 0) {
    close(descriptor);
  }
  throw std::system_error(error, std::generic_category(), what);
}

}  // namespace

std::uint16_t TcpAddress::port() const {
  return ntohs(storage.ss_family == AF_INET6
                   ? reinterpret_cast<const sockaddr_in6*>(&storage)->sin6_port
                   : reinterpret_cast<const sockaddr_in*>(&storage)->sin_port);
}

TcpAddress ParseTcpAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    throw std::invalid_argument("missing port in address: " + text);
  }
  const std::uint16_t port = htons(ParsePort(text.substr(colon + 1)));
  std::string host = text.substr(0, colon);
  // inet_pton would read it to the first NUL only.
  if (host.find('\0') != std::string::npos) {
    throw std::invalid_argument("NUL in address: " + text);
  }
  TcpAddress address;
  if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    sockaddr_in6 ipv6{};
    ipv6.sin6_family = AF_INET6;
    ipv6.sin6_port = port;
    if (inet_pton(AF_INET6, host.c_str(), &ipv6.sin6_addr) != 1) {
      throw std::invalid_argument("invalid IPv6 address: " + text);
    }
    std::memcpy(&address.storage, &ipv6, sizeof(ipv6));
    address.size = sizeof(ipv6);
    return address;
  }
  sockaddr_in ipv4{};
  ipv4.sin_family = AF_INET;
  ipv4.sin_port = port;
  if (inet_pton(AF_INET, host.c_str(), &ipv4.sin_addr) != 1) {
    throw std::invalid_argument("invalid IPv4 address: " + text);
  }
  std::memcpy(&address.storage, &ipv4, sizeof(ipv4));
  address.size = sizeof(ipv4);
  return address;
}

int ListenTcp(const std::string& address) {
  constexpr int kBacklog = 1024;
  const TcpAddress parsed = ParseTcpAddress(address);
  const int descriptor = socket(parsed.get()->sa_family,
                                SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    ThrowAndClose(descriptor, "socket");
  }
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(descriptor, parsed.get(), parsed.size) != 0 ||
      listen(descriptor, kBacklog) != 0) {
    ThrowAndClose(descriptor, address.c_str());
  }
  return descriptor;
}

std::string BoundTcpAddress(int descriptor) {
  sockaddr_storage storage{};
  socklen_t size = sizeof(storage);
  if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&storage), &size) !=
      0) {
    throw std::system_error(errno, std::generic_category(), "getsockname");
  }
  std::array<char, INET6_ADDRSTRLEN> host{};
  if (storage.ss_family == AF_INET6) {
    const auto* ipv6 = reinterpret_cast<const sockaddr_in6*>(&storage);
    inet_ntop(AF_INET6, &ipv6->sin6_addr, host.data(), host.size());
    return fmt::format("[{}]:{}", host.data(), ntohs(ipv6->sin6_port));
  }
  const auto* ipv4 = reinterpret_cast<const sockaddr_in*>(&storage);
  inet_ntop(AF_INET, &ipv4->sin_addr, host.data(), host.size());
  return fmt::format("{}:{}", host.data(), ntohs(ipv4->sin_port));
}

}  // namespace filbertshift
