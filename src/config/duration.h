// Parses and formats durations, a whole number with a unit as in "250ms" or
// "1h", and checks the format of UTC times in logs.

#ifndef SRC_CONFIG_DURATION_H_
#define SRC_CONFIG_DURATION_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace filbertshift {

// Accepts the units ms, s, m and h. Returns std::nullopt for any other text.
std::optional<std::chrono::milliseconds> ParseDuration(std::string_view text);

// Uses the largest unit that gives a whole number.
std::string FormatDuration(std::chrono::milliseconds duration);

// True for a UTC time in the log format, "2026-12-04T08:00:00.123456Z", and for
// a prefix of one that includes at least the date. "Z" is optional.
bool IsUtcTimePrefix(std::string_view text);

}  // namespace filbertshift

#endif  // SRC_CONFIG_DURATION_H_
