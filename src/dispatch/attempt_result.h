// How one attempt at an endpoint ended.

#ifndef SRC_DISPATCH_ATTEMPT_RESULT_H_
#define SRC_DISPATCH_ATTEMPT_RESULT_H_

#include <string_view>

namespace filbertshift {

enum class AttemptResult {
  kAnswered,
  // The endpoint said that it did not run the request.
  kRefused,
  // The endpoint itself reported a failure.
  kFailed,
  // Reset, closed, silent, or an answer that is none.
  kBroken,
  // No connection was made; nothing was sent.
  kUnreachable,
  // Ended by this instance for a reason that says nothing of the endpoint.
  kCancelled,
};

std::string_view AttemptResultName(AttemptResult result);

}  // namespace filbertshift

#endif  // SRC_DISPATCH_ATTEMPT_RESULT_H_
