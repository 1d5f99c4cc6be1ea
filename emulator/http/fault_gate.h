// The faults that all emulated platform services share.

#ifndef EMULATOR_HTTP_FAULT_GATE_H_
#define EMULATOR_HTTP_FAULT_GATE_H_

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
  // Every request is answered with 503.
  kAnswering503,
  // Requests are accepted and never answered.
  kHanging,
};

struct FaultSettings {
  Availability availability = Availability::kUp;
  // Passes before the operation takes effect.
  std::chrono::milliseconds delay{0};
  // Passes between the effect and the reply.
  std::chrono::milliseconds reply_delay{0};
  // This number of replies to writes is lost after the write took effect.
  int drop_replies = 0;
  // 0 is unbounded.
  double writes_per_second = 0;
  double reads_per_second = 0;
};

enum class Admission { kAdmitted, kUnavailable, kThrottled, kHanging };

// Thread-safe.
class FaultGate {
 public:
  // Keys: down (false, true, "refuse", "503", "hang"), delay_ms,
  // reply_delay_ms, drop_replies, writes_per_s, reads_per_s. Throws
  // ControlError.
  void Apply(ControlReader* control);

  Admission Admit(bool write, std::chrono::steady_clock::time_point now);
  // True if the reply to this operation is to be lost.
  bool TakeDroppedReply(bool write);

  FaultSettings settings() const;

 private:
  // Holds at most the operations of one second.
  struct Bucket {
    double tokens = 0;
    std::chrono::steady_clock::time_point filled;
  };
  static bool Take(Bucket* bucket,
                   double rate,
                   std::chrono::steady_clock::time_point now);

  mutable std::mutex mutex_;
  FaultSettings settings_;
  Bucket writes_;
  Bucket reads_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_HTTP_FAULT_GATE_H_
