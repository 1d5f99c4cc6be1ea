#include "src/common/retry_after.h"

#include <charconv>

namespace filbertshift {

std::optional<std::chrono::milliseconds> ParseRetryAfter(
    std::string_view text) {
  double number = 0;
  auto result = std::from_chars(text.data(), text.data() + text.size(), number,
                                std::chars_format::fixed);
  std::chrono::duration<double> seconds(number);
  bool valid = result.ec == std::errc() &&
               result.ptr == text.data() + text.size() && number > 0 &&
               seconds <= kMaxRetryAfter;
  if (!valid) {
    return std::nullopt;
  }
  return std::chrono::ceil<std::chrono::milliseconds>(seconds);
}

}  // namespace filbertshift
