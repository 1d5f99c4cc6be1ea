// A blocking TCP client with timeouts, for tests of the stand-ins.

#ifndef TESTS_UNIT_EMULATOR_TEST_SOCKET_H_
#define TESTS_UNIT_EMULATOR_TEST_SOCKET_H_

#include <string>

#include "emulator/http/http.h"

namespace filbertshift::emulator {

class TestSocket {
 public:
  // Adopts a socket; -1 is a refused connection.
  explicit TestSocket(int fd) : fd_(fd) {}
  ~TestSocket() { Close(); }
  TestSocket(const TestSocket&) = delete;
  TestSocket& operator=(const TestSocket&) = delete;

  static int Connect(const ListenAddress& address);

  bool connected() const { return fd_ >= 0; }
  void Send(const std::string& text) const;
  // Reads until `count` bytes, the end or the time have come.
  std::string Receive(std::size_t count,
                      std::chrono::milliseconds timeout) const;
  // Reads until the text has come, or the end or the time.
  std::string ReceiveUntil(const std::string& text,
                           std::chrono::milliseconds timeout) const;
  // True if the other side closed or reset the connection within the time.
  bool ClosedWithin(std::chrono::milliseconds timeout) const;
  void Close();

 private:
  int fd_;
};

}  // namespace filbertshift::emulator

#endif  // TESTS_UNIT_EMULATOR_TEST_SOCKET_H_
