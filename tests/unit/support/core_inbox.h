// Collects the messages that an adapter sends to the core, for tests.

#ifndef TESTS_UNIT_SUPPORT_CORE_INBOX_H_
#define TESTS_UNIT_SUPPORT_CORE_INBOX_H_

#include <chrono>
#include <deque>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "src/ports/core_message.h"

namespace filbertshift {

class CoreInbox {
 public:
  explicit CoreInbox(std::size_t capacity = 65536) : ring_(capacity) {}

  CoreRing& ring() { return ring_; }

  // Removes and returns the first message of type T, waiting for it if
  // necessary; keeps messages of other types. Returns nullopt after the
  // timeout.
  template <class T>
  std::optional<T> Take(
      std::chrono::milliseconds timeout = std::chrono::seconds(5)) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (true) {
      Drain();
      for (auto item = messages_.begin(); item != messages_.end(); ++item) {
        if (T* found = std::get_if<T>(&*item)) {
          std::optional<T> result(std::move(*found));
          messages_.erase(item);
          return result;
        }
      }
      if (std::chrono::steady_clock::now() >= deadline) {
        return std::nullopt;
      }
      ring_.Wait(std::chrono::milliseconds(20));
    }
  }

  // Removes and returns the next message of any type, in order of arrival.
  std::optional<CoreMessage> Next(
      std::chrono::milliseconds timeout = std::chrono::seconds(5)) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    Drain();
    while (messages_.empty() && std::chrono::steady_clock::now() < deadline) {
      ring_.Wait(std::chrono::milliseconds(20));
      Drain();
    }
    if (messages_.empty()) {
      return std::nullopt;
    }
    std::optional<CoreMessage> result(std::move(messages_.front()));
    messages_.pop_front();
    return result;
  }

 private:
  void Drain() {
    std::vector<CoreMessage> batch;
    ring_.PopAll(&batch);
    for (CoreMessage& message : batch) {
      messages_.push_back(std::move(message));
    }
  }

  CoreRing ring_;
  std::deque<CoreMessage> messages_;
};

}  // namespace filbertshift

#endif  // TESTS_UNIT_SUPPORT_CORE_INBOX_H_
