// Bounded queue between threads. The consumer either blocks in Wait or polls
// the event descriptor together with its sockets.

#ifndef SRC_COMMON_BOUNDED_RING_H_
#define SRC_COMMON_BOUNDED_RING_H_

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <system_error>
#include <utility>
#include <vector>

namespace filbertshift {

// Multiple producers, one consumer. All methods are thread-safe.
template <class T>
class BoundedRing {
 public:
  // Throws std::system_error if the event descriptor cannot be created.
  explicit BoundedRing(std::size_t capacity)
      : capacity_(capacity), event_fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    if (event_fd_ < 0) {
      throw std::system_error(errno, std::generic_category(), "eventfd");
    }
  }
  ~BoundedRing() { close(event_fd_); }
  BoundedRing(const BoundedRing&) = delete;
  BoundedRing& operator=(const BoundedRing&) = delete;

  // Returns false and leaves `item` unchanged if the queue is full.
  bool TryPush(T&& item) {
    bool was_empty = false;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      if (items_.size() >= capacity_) {
        return false;
      }
      was_empty = items_.empty();
      items_.push_back(std::move(item));
    }
    if (was_empty) {
      NotifyConsumer();
    }
    return true;
  }

  // Appends all queued items to `out` and resets the event descriptor.
  void PopAll(std::vector<T>* out) {
    std::uint64_t event_count = 0;
    [[maybe_unused]] ssize_t read_bytes =
        read(event_fd_, &event_count, sizeof(event_count));
    std::lock_guard<std::mutex> lock(mutex_);
    if (out->empty()) {
      std::swap(*out, items_);
      return;
    }
    for (T& item : items_) {
      out->push_back(std::move(item));
    }
    items_.clear();
  }

  // Blocks until the queue is not empty or the timeout expires.
  void Wait(std::chrono::milliseconds timeout) {
    pollfd descriptor{event_fd_, POLLIN, 0};
    poll(&descriptor, 1, static_cast<int>(timeout.count()));
  }

  // Readable while the queue is not empty. Owned by this object.
  int event_fd() const { return event_fd_; }

  std::size_t Size() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return items_.size();
  }

 private:
  void NotifyConsumer() {
    std::uint64_t one = 1;
    [[maybe_unused]] ssize_t written = write(event_fd_, &one, sizeof(one));
  }

  const std::size_t capacity_;
  const int event_fd_;
  mutable std::mutex mutex_;
  // Invariant: at most capacity_ items; event_fd_ is readable whenever this is
  // not empty.
  std::vector<T> items_;
};

}  // namespace filbertshift

#endif  // SRC_COMMON_BOUNDED_RING_H_
