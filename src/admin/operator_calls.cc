#include "src/admin/operator_calls.h"

#include <utility>

namespace filbertshift {

OperatorCalls::OperatorCalls(CoreRing& ring,
                             std::chrono::milliseconds timeout,
                             std::size_t max_waiting)
    : ring_(ring), timeout_(timeout), max_waiting_(max_waiting) {}

OperatorCallResult OperatorCalls::Call(OperatorCommand command) {
  std::unique_lock<std::mutex> lock(mutex_);
  if (closed_ || waiting_.size() >= max_waiting_) {
    return {};
  }
  OperatorCallId call{next_call_id_++};
  // Added before the push because the core may reply at once.
  auto entry = waiting_.emplace(call, std::nullopt).first;
  if (!ring_.TryPush(OperatorRequest{call, std::move(command)})) {
    waiting_.erase(entry);
    return {};
  }
  reply_or_close_.wait_for(
      lock, timeout_, [&] { return entry->second.has_value() || closed_; });
  OperatorCallResult result;
  result.status = OperatorCallStatus::kNoReply;
  if (entry->second) {
    result.status = OperatorCallStatus::kReplied;
    result.reply = std::move(*entry->second);
  }
  waiting_.erase(entry);
  return result;
}

void OperatorCalls::Reply(OperatorReply reply) {
  std::lock_guard<std::mutex> lock(mutex_);
  auto entry = waiting_.find(reply.call);
  if (entry != waiting_.end()) {
    entry->second = std::move(reply);
    reply_or_close_.notify_all();
  }
}

void OperatorCalls::Close() {
  std::lock_guard<std::mutex> lock(mutex_);
  closed_ = true;
  reply_or_close_.notify_all();
}

}  // namespace filbertshift
