#include "emulator/proxy/proxy_flow.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <string>
#include <utility>

namespace filbertshift::emulator {

namespace {

constexpr std::size_t kReadBytes = 16'384;
// The source is not read beyond this, so that backpressure reaches the sender.
constexpr std::size_t kMaxQueuedBytes = 524'288;

}  // namespace

FlowResult ProxyFlow::Read(int source,
                           Time now,
                           std::chrono::milliseconds delay) {
  while (wants_read()) {
    std::array<char, kReadBytes> buffer;
    const ssize_t count = recv(source, buffer.data(), buffer.size(), 0);
    if (count < 0) {
      const bool retry = errno == EAGAIN || errno == EINTR;
      return retry ? FlowResult::kOk : FlowResult::kReset;
    }
    // Allocated at the exact size, because a delay can queue many small blocks
    // on each connection.
    std::string bytes(buffer.data(), static_cast<std::size_t>(count));
    ended_ = count == 0;
    bytes_read_ += bytes.size();
    queued_bytes_ += bytes.size();
    blocks_.push_back({now + delay, std::move(bytes), ended_});
  }
  return FlowResult::kOk;
}

FlowResult ProxyFlow::Write(int destination, Time now) {
  while (wants_write(now)) {
    Block& block = blocks_.front();
    if (block.end) {
      shutdown(destination, SHUT_WR);
      finished_ = true;
      blocks_.pop_front();
      continue;
    }
    const ssize_t count =
        send(destination, block.bytes.data(), block.bytes.size(), MSG_NOSIGNAL);
    if (count < 0) {
      const bool retry = errno == EAGAIN || errno == EINTR;
      return retry ? FlowResult::kOk : FlowResult::kReset;
    }
    block.bytes.erase(0, static_cast<std::size_t>(count));
    queued_bytes_ -= static_cast<std::size_t>(count);
    if (block.bytes.empty()) {
      blocks_.pop_front();
    }
  }
  return FlowResult::kOk;
}

bool ProxyFlow::wants_read() const {
  return !ended_ && queued_bytes_ < kMaxQueuedBytes;
}

bool ProxyFlow::wants_write(Time now) const {
  return !blocks_.empty() && blocks_.front().due <= now;
}

std::optional<ProxyFlow::Time> ProxyFlow::next_due() const {
  if (blocks_.empty()) {
    return std::nullopt;
  }
  return blocks_.front().due;
}

}  // namespace filbertshift::emulator
