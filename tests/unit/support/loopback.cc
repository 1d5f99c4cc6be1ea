#include "tests/unit/support/loopback.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdlib>
#include <system_error>
#include <utility>

namespace filbertshift {

namespace {

sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

void Check(int result, const char* what) {
  if (result < 0) {
    throw std::system_error(errno, std::generic_category(), what);
  }
}

bool WaitReadable(int descriptor, std::chrono::milliseconds timeout) {
  pollfd item{descriptor, POLLIN, 0};
  return poll(&item, 1, static_cast<int>(timeout.count())) > 0;
}

std::size_t ContentLength(const std::string& head) {
  const std::size_t found = head.find("Content-Length:");
  if (found == std::string::npos) {
    return 0;
  }
  return std::strtoul(head.c_str() + found + 15, nullptr, 10);
}

}  // namespace

TestSocket::TestSocket(TestSocket&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)) {}

TestSocket& TestSocket::operator=(TestSocket&& other) noexcept {
  if (this != &other) {
    Close();
    descriptor_ = std::exchange(other.descriptor_, -1);
  }
  return *this;
}

void TestSocket::Close() {
  if (descriptor_ >= 0) {
    close(descriptor_);
    descriptor_ = -1;
  }
}

void TestSocket::Reset() {
  linger option{1, 0};
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  Close();
}

void TestSocket::Disconnect() const {
  sockaddr none{};
  none.sa_family = AF_UNSPEC;
  Check(connect(descriptor_, &none, sizeof(none)), "connect");
}

bool TestSocket::Write(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t sent =
        send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

std::string TestSocket::ReadSome(std::chrono::milliseconds timeout) const {
  constexpr std::size_t kBufferBytes = 65536;
  if (!WaitReadable(descriptor_, timeout)) {
    return std::string();
  }
  std::string buffer(kBufferBytes, '\0');
  const ssize_t received =
      recv(descriptor_, buffer.data(), buffer.size(), MSG_DONTWAIT);
  buffer.resize(received > 0 ? static_cast<std::size_t>(received) : 0);
  return buffer;
}

std::string TestSocket::ReadUntil(std::string_view end,
                                  std::chrono::milliseconds timeout) const {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  std::string text;
  while (text.find(end) == std::string::npos) {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(
        deadline - std::chrono::steady_clock::now());
    if (left.count() <= 0) {
      break;
    }
    const std::string piece = ReadSome(left);
    if (piece.empty()) {
      break;
    }
    text += piece;
  }
  return text;
}

std::string TestSocket::ReadMessage() const {
  std::string text = ReadUntil("\r\n\r\n");
  const std::size_t head_end = text.find("\r\n\r\n");
  if (head_end == std::string::npos) {
    return std::string();
  }
  const std::size_t size =
      head_end + 4 + ContentLength(text.substr(0, head_end));
  while (text.size() < size) {
    const std::string piece = ReadSome();
    if (piece.empty()) {
      break;
    }
    text += piece;
  }
  return text;
}

TestSocket ListenOnLoopback(int port) {
  constexpr int kBacklog = 512;
  TestSocket listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  Check(listener.descriptor(), "socket");
  const int on = 1;
  setsockopt(listener.descriptor(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = LoopbackAddress(port);
  Check(bind(listener.descriptor(), reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)),
        "bind");
  Check(listen(listener.descriptor(), kBacklog), "listen");
  return listener;
}

int LocalPortOf(const TestSocket& socket) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  Check(getsockname(socket.descriptor(), reinterpret_cast<sockaddr*>(&address),
                    &size),
        "getsockname");
  return ntohs(address.sin_port);
}

TestSocket ConnectToLoopback(int port) {
  TestSocket client(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  Check(client.descriptor(), "socket");
  const sockaddr_in address = LoopbackAddress(port);
  Check(connect(client.descriptor(),
                reinterpret_cast<const sockaddr*>(&address), sizeof(address)),
        "connect");
  return client;
}

TestSocket AcceptFrom(const TestSocket& listener,
                      std::chrono::milliseconds timeout) {
  if (!WaitReadable(listener.descriptor(), timeout)) {
    return TestSocket();
  }
  TestSocket socket(
      accept4(listener.descriptor(), nullptr, nullptr, SOCK_CLOEXEC));
  // Without TCP_NODELAY, delayed acknowledgements add 40 ms.
  const int on = 1;
  setsockopt(socket.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return socket;
}

}  // namespace filbertshift
