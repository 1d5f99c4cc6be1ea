// The messages that wait to be written to one peer.

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

  // Adds an encoded message. When the queue is full, the oldest droppable
  // message that has not begun to be written makes room; returns false if the
  // new message was dropped for lack of one.
  bool Push(std::string bytes, bool droppable);
  // Copies the next bytes and removes them; returns their number.
  std::size_t Read(std::uint8_t* buffer, std::size_t max);
  bool empty() const { return messages_.empty(); }
  std::size_t size() const { return messages_.size(); }

 private:
  struct Message {
    std::string bytes;
    bool droppable = false;
  };

  bool HasRoom(std::size_t bytes) const;
  bool DropOldest();

  const std::size_t max_messages_;
  const std::size_t max_bytes_;
  std::deque<Message> messages_;
  // Sum of the sizes in messages_.
  std::size_t total_bytes_ = 0;
  // Bytes of the first message that have been read.
  std::size_t offset_ = 0;
};

}  // namespace filbertshift

#endif  // SRC_PEER_MESSAGE_QUEUE_H_
