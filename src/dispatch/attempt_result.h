// Outcome of one attempt to send a request to an endpoint.

#ifndef SRC_DISPATCH_ATTEMPT_RESULT_H_
#define SRC_DISPATCH_ATTEMPT_RESULT_H_

#include <string_view>

namespace filbertshift {

enum class AttemptResult {
  kAnswered,
  // The endpoint reported that it did not execute the request.
  kRefused,
  // The endpoint refused the request and asked for no further ones for a while;
  // says nothing about its health.
  kPaused,
  // The endpoint itself returned an error.
  kFailed,
  // Connection reset, closed or timed out, or the response was malformed.
  kBroken,
  // The connection could not be established; no request data was sent.
  kUnreachable,
  // Aborted by this instance for a reason unrelated to the endpoint.
  kCancelled,
};

std::string_view AttemptResultName(AttemptResult result);

}  // namespace filbertshift

#endif  // SRC_DISPATCH_ATTEMPT_RESULT_H_
