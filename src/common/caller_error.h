// Errors returned to callers: a stable code, a message and whether the request
// was executed.

#ifndef SRC_COMMON_CALLER_ERROR_H_
#define SRC_COMMON_CALLER_ERROR_H_

#include <chrono>
#include <string>
#include <string_view>

namespace filbertshift {

// Whether an endpoint executed the request.
enum class RunState {
  // No byte of the request was sent to an endpoint, or every endpoint rejected
  // it
  // before executing it.
  kNotRun,
  // The request was executed.
  kRun,
  // The request was sent, but no complete answer was received.
  kUnknown,
};

std::string_view RunStateName(RunState state);

struct CallerError {
  int http_status = 500;
  std::string code;
  std::string message;
  RunState run = RunState::kNotRun;
  // The Retry-After header is omitted if this is zero.
  std::chrono::seconds retry_after{0};
};

// Returns the JSON body of the error response, in the format that client
// libraries for language model APIs expect.
std::string CallerErrorBody(const CallerError& error);

}  // namespace filbertshift

#endif  // SRC_COMMON_CALLER_ERROR_H_
