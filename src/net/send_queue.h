// Bytes of a connection that wait until its socket accepts them. Their memory
// is released as they are sent.

#ifndef SRC_NET_SEND_QUEUE_H_
#define SRC_NET_SEND_QUEUE_H_

#include <cstddef>
#include <list>
#include <memory>
#include <string>
#include <string_view>

namespace filbertshift {

class SendQueue {
 public:
  void Append(std::string_view data);
  // Keeps a reference instead of a copy.
  void Append(std::shared_ptr<const std::string> data);
  bool empty() const { return blocks_.empty(); }
  // The bytes to be sent next; not all, but not empty unless the queue is.
  std::string_view front() const;
  // Removes bytes from the front; at most front().size().
  void Remove(std::size_t bytes);
  void Clear();
  std::size_t size() const { return size_; }
  // Memory of the blocks. A block is freed when all of it is sent, so this may
  // be far more than `size()`.
  std::size_t memory() const { return memory_; }

 private:
  struct Block {
    std::string_view bytes() const { return shared ? *shared : copied; }
    std::size_t memory() const {
      return shared ? shared->capacity() : copied.capacity();
    }
    std::string copied;
    std::shared_ptr<const std::string> shared;
  };

  std::list<Block> blocks_;
  // Bytes of the first block that are sent.
  std::size_t sent_ = 0;
  // Invariant: the bytes of all blocks less `sent_`.
  std::size_t size_ = 0;
  // Invariant: the sum of the blocks' memory.
  std::size_t memory_ = 0;
};

}  // namespace filbertshift

#endif  // SRC_NET_SEND_QUEUE_H_
