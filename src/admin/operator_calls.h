// Calls of operators that wait for the core thread.

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
  // Not passed to the core: its ring is full, too many calls wait, or the
  // interface is closed.
  kNotSent,
  // Passed to the core, which has not replied in time.
  kNoReply,
};

struct OperatorCallResult {
  OperatorCallStatus status = OperatorCallStatus::kNotSent;
  OperatorReply reply;
};

// Thread-safe.
class OperatorCalls {
 public:
  OperatorCalls(CoreRing& ring,
                std::chrono::milliseconds timeout,
                std::size_t max_waiting);

  // Blocks until the reply, the timeout or Close.
  OperatorCallResult Call(OperatorCommand command);
  // Drops the reply if no call waits for it any more.
  void Reply(OperatorReply reply);
  // Ends all waiting calls and refuses new ones.
  void Close();

 private:
  CoreRing& ring_;
  const std::chrono::milliseconds timeout_;
  const std::size_t max_waiting_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t next_call_ = 1;
  bool closed_ = false;
  // Invariant: one entry for each waiting call, at most max_waiting_; it is
  // filled by the reply.
  std::map<OperatorCallId, std::optional<OperatorReply>> waiting_;
};

}  // namespace filbertshift

#endif  // SRC_ADMIN_OPERATOR_CALLS_H_
