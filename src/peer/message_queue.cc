#include "src/peer/message_queue.h"

#include <algorithm>
#include <utility>

namespace filbertshift {

bool MessageQueue::HasRoom(std::size_t bytes) const {
  return messages_.size() < max_messages_ && total_bytes_ + bytes <= max_bytes_;
}

bool MessageQueue::DropOldestDroppable() {
  for (auto message = messages_.begin(); message != messages_.end();
       ++message) {
    const bool partly_read = message == messages_.begin() && offset_ > 0;
    if (message->droppable && !partly_read) {
      total_bytes_ -= message->bytes.size();
      messages_.erase(message);
      return true;
    }
  }
  return false;
}

bool MessageQueue::Push(std::string bytes, bool droppable) {
  while (!HasRoom(bytes.size())) {
    if (!DropOldestDroppable()) {
      return false;
    }
  }
  total_bytes_ += bytes.size();
  messages_.push_back(Message{std::move(bytes), droppable});
  return true;
}

std::size_t MessageQueue::Read(std::uint8_t* buffer, std::size_t buffer_size) {
  std::size_t count = 0;
  while (count < buffer_size && !messages_.empty()) {
    const std::string& bytes = messages_.front().bytes;
    const std::size_t chunk_size =
        std::min(buffer_size - count, bytes.size() - offset_);
    std::copy_n(bytes.data() + offset_, chunk_size, buffer + count);
    count += chunk_size;
    offset_ += chunk_size;
    if (offset_ == bytes.size()) {
      total_bytes_ -= bytes.size();
      messages_.pop_front();
      offset_ = 0;
    }
  }
  return count;
}

}  // namespace filbertshift
