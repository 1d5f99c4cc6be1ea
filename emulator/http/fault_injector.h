// Fault injection shared by all emulated platform services.

#ifndef EMULATOR_HTTP_FAULT_INJECTOR_H_
#define EMULATOR_HTTP_FAULT_INJECTOR_H_

#include <chrono>
#include <mutex>
#include <string>

#include "emulator/http/control_reader.h"
#include "emulator/http/http_message.h"

namespace filbertshift::emulator {

enum class Availability {
  kUp,
  // Connections are refused.
  kRefusing,
  // Every request is answered with status 503.
  kAnswering503,
  // Requests are accepted but never answered.
  kHanging,
};

struct FaultSettings {
  Availability availability = Availability::kUp;
  // Delay before the operation is executed.
  std::chrono::milliseconds delay{0};
  // Delay between the execution and the reply.
  std::chrono::milliseconds reply_delay{0};
  // Number of successful writes whose reply is still to be dropped.
  int drop_replies = 0;
  // 0 means no limit.
  double writes_per_second = 0;
  double reads_per_second = 0;
};

enum class Admission { kAdmitted, kUnavailable, kThrottled, kHanging };

// Thread-safe.
class FaultInjector {
 public:
  // Applies the keys down (false, true, "refuse", "503", "hang"), delay_ms,
  // reply_delay_ms, drop_replies, writes_per_s, reads_per_s. Throws
  // ControlError.
  void Apply(ControlReader* control);

  Admission Admit(bool write, std::chrono::steady_clock::time_point now);
  // Returns true if the reply to this operation must be dropped, and counts it.
  bool ConsumeReplyDrop(bool write);

  FaultSettings settings() const;

 private:
  // Token bucket with a capacity of one second's operations, at least 1.
  struct TokenBucket {
    double tokens = 0;
    std::chrono::steady_clock::time_point filled;
  };
  static bool TryConsume(TokenBucket* bucket,
                         double rate,
                         std::chrono::steady_clock::time_point now);

  mutable std::mutex mutex_;
  FaultSettings settings_;
  TokenBucket writes_;
  TokenBucket reads_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_HTTP_FAULT_INJECTOR_H_
