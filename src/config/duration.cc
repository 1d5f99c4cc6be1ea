#include "src/config/duration.h"

#include <fmt/format.h>

#include <charconv>

namespace filbertshift {

namespace {

struct DurationUnit {
  std::string_view name;
  std::chrono::milliseconds length;
};

// In descending order, which FormatDuration relies on.
constexpr DurationUnit kDurationUnits[] = {
    {"h", std::chrono::hours(1)},
    {"m", std::chrono::minutes(1)},
    {"s", std::chrono::seconds(1)},
    {"ms", std::chrono::milliseconds(1)},
};

// Nine digits of hours fit into 64 bits of milliseconds.
constexpr std::size_t kMaxDigits = 9;

// "d" stands for a digit.
constexpr std::string_view kUtcTimePattern = "dddd-dd-ddTdd:dd:dd.dddddd";
constexpr std::size_t kDateLength = 10;

bool MatchesPattern(std::string_view text, std::string_view pattern) {
  for (std::size_t i = 0; i < text.size(); ++i) {
    bool is_digit = text[i] >= '0' && text[i] <= '9';
    if (pattern[i] == 'd' ? !is_digit : text[i] != pattern[i]) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::optional<std::chrono::milliseconds> ParseDuration(std::string_view text) {
  std::size_t digits = text.find_first_not_of("0123456789");
  if (digits == 0 || digits == std::string_view::npos || digits > kMaxDigits) {
    return std::nullopt;
  }
  int count = 0;
  std::from_chars(text.data(), text.data() + digits, count);
  for (const DurationUnit& unit : kDurationUnits) {
    if (text.substr(digits) == unit.name) {
      return unit.length * count;
    }
  }
  return std::nullopt;
}

std::string FormatDuration(std::chrono::milliseconds duration) {
  for (const DurationUnit& unit : kDurationUnits) {
    if (duration.count() != 0 && duration % unit.length == duration.zero()) {
      return fmt::format("{}{}", duration / unit.length, unit.name);
    }
  }
  return "0ms";
}

bool IsUtcTimePrefix(std::string_view text) {
  if (!text.empty() && text.back() == 'Z') {
    text.remove_suffix(1);
  }
  if (text.size() < kDateLength || text.size() > kUtcTimePattern.size() ||
      !MatchesPattern(text, kUtcTimePattern)) {
    return false;
  }
  // A prefix must not end within a two-digit field or after a separator.
  bool in_fraction = text.size() > kUtcTimePattern.rfind('.') + 1;
  bool at_field_end = text.size() == kUtcTimePattern.size() ||
                      kUtcTimePattern[text.size()] != 'd';
  return in_fraction || at_field_end;
}

}  // namespace filbertshift
