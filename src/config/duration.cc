#include "src/config/duration.h"

#include <fmt/format.h>

#include <charconv>

namespace filbertshift {

namespace {

struct Unit {
  std::string_view name;
  std::chrono::milliseconds length;
};

// From long to short, as FormatDuration tries them.
constexpr Unit kUnits[] = {
    {"h", std::chrono::hours(1)},
    {"m", std::chrono::minutes(1)},
    {"s", std::chrono::seconds(1)},
    {"ms", std::chrono::milliseconds(1)},
};

// Nine digits of hours do not overflow 64 bits of milliseconds.
constexpr std::size_t kMaxDigits = 9;

}  // namespace

std::optional<std::chrono::milliseconds> ParseDuration(std::string_view text) {
  std::size_t digits = text.find_first_not_of("0123456789");
  if (digits == 0 || digits == std::string_view::npos || digits > kMaxDigits) {
    return std::nullopt;
  }
  int count = 0;
  std::from_chars(text.data(), text.data() + digits, count);
  for (const Unit& unit : kUnits) {
    if (text.substr(digits) == unit.name) {
      return unit.length * count;
    }
  }
  return std::nullopt;
}

std::string FormatDuration(std::chrono::milliseconds duration) {
  for (const Unit& unit : kUnits) {
    if (duration.count() != 0 && duration % unit.length == duration.zero()) {
      return fmt::format("{}{}", duration / unit.length, unit.name);
    }
  }
  return "0ms";
}

}  // namespace filbertshift
