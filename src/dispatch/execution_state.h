// Whether an endpoint may have run a request. Every decision to send a request
// again, and every response that says "not run", rests on this.

#ifndef SRC_DISPATCH_EXECUTION_STATE_H_
#define SRC_DISPATCH_EXECUTION_STATE_H_

#include <string_view>

namespace filbertshift {

enum class ExecutionState {
  // No byte of the request was sent: it has not run and never will.
  kNotSent,
  // The endpoint has said that it has not run the request and never will.
  kRefused,
  kMayHaveRun,
};

// What is known when an attempt ends.
struct AttemptEvidence {
  // The connection stood, so that bytes of the request may have been sent.
  bool sent = true;
  // A whole response has arrived, and it says that the request was refused.
  bool refused = false;
  // The response can only be the one to this attempt.
  bool own_response = false;
};

ExecutionState ExecutionStateOf(const AttemptEvidence& evidence);

std::string_view ExecutionStateName(ExecutionState state);

}  // namespace filbertshift

#endif  // SRC_DISPATCH_EXECUTION_STATE_H_
