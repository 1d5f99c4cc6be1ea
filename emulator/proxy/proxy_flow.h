// Buffered data of one direction of a proxied connection.

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

// Forwards data between two non-blocking sockets that it does not own. Not
// thread-safe.
class ProxyFlow {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // Reads the available data from `source`, up to the queue limit. Each block
  // becomes due after `delay`.
  FlowResult Read(int source, Time now, std::chrono::milliseconds delay);
  // Writes the blocks that are due. At the end of the source, shuts down
  // `destination` for writing.
  FlowResult Write(int destination, Time now);

  bool wants_read() const;
  // True if data or the end of the stream is due and has not been written.
  bool wants_write(Time now) const;
  // Due time of the first block, if any.
  std::optional<Time> next_due() const;
  // True if the end of the source has been forwarded.
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
