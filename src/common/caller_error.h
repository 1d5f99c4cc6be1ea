// Errors as callers see them: a stable code, a message and whether the request
// was run.

#ifndef SRC_COMMON_CALLER_ERROR_H_
#define SRC_COMMON_CALLER_ERROR_H_

#include <chrono>
#include <string>
#include <string_view>

namespace filbertshift {

// Whether the request had an effect at an endpoint.
enum class RunState {
  // No byte of the request reached an endpoint, or every endpoint refused it
  // before start.
  kNotRun,
  // The request was run.
  kRun,
  // It was sent and no complete answer is known.
  kUnknown,
};

std::string_view RunStateName(RunState state);

struct CallerError {
  int http_status = 500;
  std::string code;
  std::string message;
  RunState run = RunState::kNotRun;
  // Zero leaves out the Retry-After header.
  std::chrono::seconds retry_after{0};
};

// The JSON body of the error, in the shape that client libraries of language
// model services expect.
std::string CallerErrorBody(const CallerError& error);

}  // namespace filbertshift

#endif  // SRC_COMMON_CALLER_ERROR_H_
