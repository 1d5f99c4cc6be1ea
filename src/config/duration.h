// Durations as text: a whole number with a unit, as in "250ms" or "1h"; and
// the form of times in logs.

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

// True for a UTC time as in log lines, "2026-12-04T08:00:00.123456Z", or its
// leading part from the date on, with or without "Z".
bool IsUtcTimePrefix(std::string_view text);

}  // namespace filbertshift

#endif  // SRC_CONFIG_DURATION_H_
