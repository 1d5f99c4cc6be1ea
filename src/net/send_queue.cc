#include "src/net/send_queue.h"

#include <utility>

namespace filbertshift {

namespace {

// Small pieces are gathered in blocks of up to this size. Each slow peer holds
// a block of which it may have read all but a byte.
constexpr std::size_t kBlockBytes = std::size_t{16} * 1024;

}  // namespace

void SendQueue::Append(std::string_view data) {
  if (data.empty()) {
    return;
  }
  size_ += data.size();
  if (!blocks_.empty()) {
    Block& last = blocks_.back();
    if (!last.shared && last.copied.size() + data.size() <= kBlockBytes) {
      memory_ -= last.memory();
      last.copied.append(data);
      memory_ += last.memory();
      return;
    }
  }
  blocks_.push_back({std::string(data), nullptr});
  memory_ += blocks_.back().memory();
}

void SendQueue::Append(std::shared_ptr<const std::string> data) {
  if (!data->empty()) {
    size_ += data->size();
    blocks_.push_back({std::string(), std::move(data)});
    memory_ += blocks_.back().memory();
  }
}

std::string_view SendQueue::front() const {
  return blocks_.empty() ? std::string_view()
                         : blocks_.front().bytes().substr(sent_);
}

void SendQueue::Remove(std::size_t bytes) {
  if (bytes == 0) {
    return;
  }
  sent_ += bytes;
  size_ -= bytes;
  if (sent_ == blocks_.front().bytes().size()) {
    memory_ -= blocks_.front().memory();
    blocks_.pop_front();
    sent_ = 0;
  }
}

void SendQueue::Clear() {
  blocks_.clear();
  sent_ = 0;
  size_ = 0;
  memory_ = 0;
}

}  // namespace filbertshift
