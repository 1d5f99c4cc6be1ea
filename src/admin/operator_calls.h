// Operator calls that are waiting for a reply from the core thread.

#ifndef SRC_ADMIN_OPERATOR_CALLS_H_
#define SRC_ADMIN_OPERATOR_CALLS_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <map>
#include <mutex>
#include <optional>

#include "src/ports/ports.h"

namespace filbertshift {

enum class OperatorCallStatus {
  kReplied,
  // Not passed to the core because its queue is full, too many calls are
  // waiting or Close was called.
  kNotSent,
  // Passed to the core, but the timeout expired or Close was called before the
  // reply.
  kNoReply,
};

struct OperatorCallResult {
  OperatorCallStatus status = OperatorCallStatus::kNotSent;
  OperatorReply reply;
};

// Passes calls to the core and matches its replies to them. Thread-safe.
class OperatorCalls {
 public:
  OperatorCalls(CoreRing& ring,
                std::chrono::milliseconds timeout,
                std::size_t max_waiting);

  // Blocks until the reply arrives, the timeout expires or Close is called.
  OperatorCallResult Call(OperatorCommand command);
  // Ignores the reply if its call is no longer waiting.
  void Reply(OperatorReply reply);
  // Wakes all waiting calls without a reply and refuses new ones.
  void Close();

 private:
  CoreRing& ring_;
  const std::chrono::milliseconds timeout_;
  const std::size_t max_waiting_;
  std::mutex mutex_;
  std::condition_variable reply_or_close_;
  std::uint64_t next_call_id_ = 1;
  bool closed_ = false;
  // Invariant: one entry for each waiting call, at most max_waiting_. The value
  // is set by Reply.
  std::map<OperatorCallId, std::optional<OperatorReply>> waiting_;
};

}  // namespace filbertshift

#endif  // SRC_ADMIN_OPERATOR_CALLS_H_
