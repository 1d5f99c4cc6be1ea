// Parses the Retry-After field of an HTTP response.

#ifndef SRC_COMMON_RETRY_AFTER_H_
#define SRC_COMMON_RETRY_AFTER_H_

#include <chrono>
#include <optional>
#include <string_view>

namespace filbertshift {

// Longer times are taken for errors.
constexpr std::chrono::hours kMaxRetryAfter{24};

// Returns nothing for anything but a number of seconds above 0, which may have
// a fraction; dates are not supported. Rounds up.
std::optional<std::chrono::milliseconds> ParseRetryAfter(std::string_view text);

}  // namespace filbertshift

#endif  // SRC_COMMON_RETRY_AFTER_H_
