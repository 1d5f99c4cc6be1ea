// Blocking TCP sockets on the loopback interface, for tests.

#ifndef TESTS_UNIT_SUPPORT_LOOPBACK_H_
#define TESTS_UNIT_SUPPORT_LOOPBACK_H_

#include <chrono>
#include <string>
#include <string_view>

namespace filbertshift {

// Owns a file descriptor.
class TestSocket {
 public:
  TestSocket() = default;
  explicit TestSocket(int descriptor) : descriptor_(descriptor) {}
  ~TestSocket() { Close(); }
  TestSocket(TestSocket&& other) noexcept;
  TestSocket& operator=(TestSocket&& other) noexcept;
  TestSocket(const TestSocket&) = delete;
  TestSocket& operator=(const TestSocket&) = delete;

  int descriptor() const { return descriptor_; }
  void Close();
  // Makes the close send a TCP reset (RST) instead of a FIN.
  void Reset();
  // Sends a TCP reset at once and keeps the descriptor open.
  void Disconnect() const;
  // Returns false if the peer has closed the connection.
  bool Write(std::string_view bytes) const;
  // Reads once. Returns an empty string at the end of the stream, on an error
  // or after the timeout.
  std::string ReadSome(
      std::chrono::milliseconds timeout = std::chrono::seconds(5)) const;
  // Reads until `end` has arrived. Returns the data read so far if the stream
  // ends or the timeout expires first.
  std::string ReadUntil(
      std::string_view end,
      std::chrono::milliseconds timeout = std::chrono::seconds(5)) const;
  // Reads a request or response with a body of Content-Length bytes.
  std::string ReadMessage() const;

 private:
  int descriptor_ = -1;
};

// Listens on 127.0.0.1; with port 0 the kernel chooses the port. Throws
// std::system_error.
TestSocket ListenOnLoopback(int port = 0);
int LocalPortOf(const TestSocket& socket);
TestSocket ConnectToLoopback(int port);
// Waits for a connection. Returns a socket with descriptor -1 after the
// timeout.
TestSocket AcceptFrom(const TestSocket& listener,
                      std::chrono::milliseconds timeout);

}  // namespace filbertshift

#endif  // TESTS_UNIT_SUPPORT_LOOPBACK_H_
