// The bytes that wait for one direction of a proxied connection.

#ifndef EMULATOR_PROXY_PROXY_FLOW_H_
#define EMULATOR_PROXY_PROXY_FLOW_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace filbertshift::emulator {

enum class FlowResult { kOk, kReset };

// Moves bytes between two non-blocking sockets that it does not own. Not
// thread-safe.
class ProxyFlow {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // Reads what `source` has, up to a bound. Each block is due after `delay`.
  FlowResult Read(int source, Time now, std::chrono::milliseconds delay);
  // Writes what is due. The end of the source shuts down the direction.
  FlowResult Write(int destination, Time now);

  bool wants_read() const;
  // True if bytes or the end are due and have not been taken by the socket.
  bool wants_write(Time now) const;
  // When the first block is due; nothing without blocks.
  std::optional<Time> next_due() const;
  // The end of the source has been passed on.
  bool finished() const { return finished_; }
  std::uint64_t bytes_read() const { return bytes_read_; }

 private:
  struct Block {
    Time due;
    std::string bytes;
    bool end = false;
  };

  std::deque<Block> blocks_;
  std::size_t queued_bytes_ = 0;
  std::uint64_t bytes_read_ = 0;
  bool ended_ = false;
  bool finished_ = false;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_PROXY_PROXY_FLOW_H_
