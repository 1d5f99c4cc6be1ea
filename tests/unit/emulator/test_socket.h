// A blocking TCP client with timeouts, for tests of the emulated services.

#ifndef TESTS_UNIT_EMULATOR_TEST_SOCKET_H_
#define TESTS_UNIT_EMULATOR_TEST_SOCKET_H_

#include <string>

#include "emulator/http/http.h"

namespace filbertshift::emulator {

class TestSocket {
 public:
  // Takes ownership of `fd`; -1 represents a refused connection.
  explicit TestSocket(int fd) : fd_(fd) {}
  ~TestSocket() { Close(); }
  TestSocket(const TestSocket&) = delete;
  TestSocket& operator=(const TestSocket&) = delete;

  // Returns -1 if the connection fails.
  static int Connect(const ListenAddress& address);

  bool connected() const { return fd_ >= 0; }
  void Send(const std::string& text) const;
  // Reads until `count` bytes have arrived, the connection ends or `timeout`
  // expires.
  std::string Receive(std::size_t count,
                      std::chrono::milliseconds timeout) const;
  // Reads until `text` has arrived, the connection ends or `timeout` expires.
  std::string ReceiveUntil(const std::string& text,
                           std::chrono::milliseconds timeout) const;
  // Discards received data. Returns true if the peer closes or resets the
  // connection within `timeout`.
  bool ClosedWithin(std::chrono::milliseconds timeout) const;
  void Close();

 private:
  int fd_;
};

}  // namespace filbertshift::emulator

#endif  // TESTS_UNIT_EMULATOR_TEST_SOCKET_H_
