// A bounded queue of encoded messages to one peer.

#ifndef SRC_PEER_MESSAGE_QUEUE_H_
#define SRC_PEER_MESSAGE_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace filbertshift {

class MessageQueue {
 public:
  MessageQueue(std::size_t max_messages, std::size_t max_bytes)
      : max_messages_(max_messages), max_bytes_(max_bytes) {}

  // Adds an encoded message. If the queue is full, drops the oldest droppable
  // messages that have not been partly read until the new one fits. Returns
  // false if that is not enough; the new message is then dropped.
  bool Push(std::string bytes, bool droppable);
  // Moves up to `buffer_size` bytes to `buffer` and returns their number.
  std::size_t Read(std::uint8_t* buffer, std::size_t buffer_size);
  bool empty() const { return messages_.empty(); }
  std::size_t size() const { return messages_.size(); }

 private:
  struct Message {
    std::string bytes;
    bool droppable = false;
  };

  bool HasRoom(std::size_t bytes) const;
  bool DropOldestDroppable();

  const std::size_t max_messages_;
  const std::size_t max_bytes_;
  std::deque<Message> messages_;
  // Total size of the messages in messages_.
  std::size_t total_bytes_ = 0;
  // Number of bytes already read from the first message.
  std::size_t offset_ = 0;
};

}  // namespace filbertshift

#endif  // SRC_PEER_MESSAGE_QUEUE_H_
