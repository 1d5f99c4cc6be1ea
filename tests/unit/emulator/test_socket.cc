#include "tests/unit/emulator/test_socket.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace filbertshift::emulator {

namespace {

bool Readable(int fd, std::chrono::steady_clock::time_point deadline) {
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(
      deadline - std::chrono::steady_clock::now());
  pollfd descriptor{fd, POLLIN, 0};
  return left.count() > 0 &&
         poll(&descriptor, 1, static_cast<int>(left.count())) > 0;
}

}  // namespace

int TestSocket::Connect(const ListenAddress& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in name = ToSocketAddress(address);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) ==
      0) {
    return fd;
  }
  close(fd);
  return -1;
}

void TestSocket::Send(const std::string& text) const {
  [[maybe_unused]] const ssize_t count =
      send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
}

std::string TestSocket::Receive(std::size_t count,
                                std::chrono::milliseconds timeout) const {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  std::string text;
  while (text.size() < count && Readable(fd_, deadline)) {
    std::string buffer(count - text.size(), '\0');
    const ssize_t received = recv(fd_, buffer.data(), buffer.size(), 0);
    if (received <= 0) {
      break;
    }
    text.append(buffer, 0, static_cast<std::size_t>(received));
  }
  return text;
}

std::string TestSocket::ReceiveUntil(const std::string& text,
                                     std::chrono::milliseconds timeout) const {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  std::string received;
  while (received.find(text) == std::string::npos && Readable(fd_, deadline)) {
    const std::string byte = Receive(1, timeout);
    if (byte.empty()) {
      break;
    }
    received += byte;
  }
  return received;
}

bool TestSocket::ClosedWithin(std::chrono::milliseconds timeout) const {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (Readable(fd_, deadline)) {
    char buffer[4096];
    if (recv(fd_, buffer, sizeof(buffer), 0) <= 0) {
      return true;
    }
  }
  return false;
}

void TestSocket::Close() {
  if (fd_ >= 0) {
    close(std::exchange(fd_, -1));
  }
}

}  // namespace filbertshift::emulator
