#include "src/common/caller_error.h"

#include <nlohmann/json.hpp>

namespace filbertshift {

namespace {

// Returns the error type that client libraries use. Apart from rate limits it
// only tells client errors from server errors.
std::string_view ErrorType(int http_status) {
  if (http_status == 429) {
    return "rate_limit_error";
  }
  return http_status < 500 ? "invalid_request_error" : "server_error";
}

}  // namespace

std::string_view RunStateName(RunState state) {
  switch (state) {
    case RunState::kNotRun:
      return "not_run";
    case RunState::kRun:
      return "run";
    case RunState::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string CallerErrorBody(const CallerError& error) {
  nlohmann::json body;
  body["error"] = {{"code", error.code},
                   {"message", error.message},
                   {"type", ErrorType(error.http_status)},
                   {"run", RunStateName(error.run)}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace filbertshift
