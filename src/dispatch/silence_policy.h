// Decides when a request leaves an endpoint that sends nothing. Asked for each
// request in progress, 20 times a second; performs no I/O.

#ifndef SRC_DISPATCH_SILENCE_POLICY_H_
#define SRC_DISPATCH_SILENCE_POLICY_H_

#include <chrono>
#include <string_view>

#include "src/dispatch/endpoint_reachability.h"

namespace filbertshift {

struct SilenceQuery {
  bool streamed = false;
  // Whether the response has begun.
  bool head_seen = false;
  std::chrono::milliseconds objective{0};
  // Longest pause between two events that is in time; 0: not declared.
  std::chrono::milliseconds gap_objective{0};
  // Observed time since the response advanced.
  std::chrono::nanoseconds response{0};
  // Observed time since any byte from the endpoint, on any connection.
  std::chrono::nanoseconds endpoint{0};
  // All endpoints of the data centre fell silent together.
  bool data_centre_stalled = false;
  Reachability reachability = Reachability::kUnknown;
};

enum class SilenceReason {
  // The request stays.
  kNone,
  // The host of the endpoint is gone.
  kGone,
  // The host accepts connections, and the endpoint has been silent for longer
  // than a sound one.
  kLost,
  // The endpoint serves others, and this response does not advance.
  kPaused,
  // A response that is not streamed would come late.
  kSlow,
};

std::string_view SilenceReasonName(SilenceReason reason);

struct SilenceDecision {
  // Find out whether the host of the endpoint still accepts connections.
  bool probe = false;
  SilenceReason leave = SilenceReason::kNone;
};

// Longest silence of the endpoint from which the response would be in time.
std::chrono::milliseconds AllowedPause(const SilenceQuery& query);
// Silence after which an endpoint counts as lost although its host accepts
// connections.
std::chrono::milliseconds LostAfter(const SilenceQuery& query);
SilenceDecision DecideOnSilence(const SilenceQuery& query);

}  // namespace filbertshift

#endif  // SRC_DISPATCH_SILENCE_POLICY_H_
