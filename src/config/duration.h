// Durations as text: a whole number with a unit, as in "250ms" or "1h".

#ifndef SRC_CONFIG_DURATION_H_
#define SRC_CONFIG_DURATION_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace filbertshift {

// Units are ms, s, m and h. Returns nothing for any other text.
std::optional<std::chrono::milliseconds> ParseDuration(std::string_view text);

// In the largest unit that gives a whole number.
std::string FormatDuration(std::chrono::milliseconds duration);

}  // namespace filbertshift

#endif  // SRC_CONFIG_DURATION_H_
