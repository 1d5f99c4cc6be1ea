#include "src/http1/stream_event.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>

namespace filbertshift {

namespace {

// Value of the first line that starts with `field`; not set if there is none.
std::optional<std::string_view> FindField(std::string_view event,
                                          std::string_view field) {
  std::size_t at = 0;
  while (at < event.size()) {
    std::size_t end = event.find_first_of("\r\n", at);
    std::string_view line = event.substr(at, end - at);
    if (line.substr(0, field.size()) == field) {
      line.remove_prefix(field.size());
      line.remove_prefix(!line.empty() && line.front() == ' ' ? 1 : 0);
      return line;
    }
    if (end == std::string_view::npos) {
      break;
    }
    at = end + 1;
  }
  return std::nullopt;
}

}  // namespace

std::string EventIdOf(std::string_view event) {
  return std::string(FindField(event, "id:").value_or(std::string_view()));
}

bool AdvancesStream(std::string_view event) {
  return FindField(event, "data:").has_value() ||
         FindField(event, "id:").has_value();
}

bool IsNotAfter(const std::string& id, const std::string& last) {
  std::int64_t a = 0;
  std::int64_t b = 0;
  auto read_a = std::from_chars(id.data(), id.data() + id.size(), a);
  auto read_b = std::from_chars(last.data(), last.data() + last.size(), b);
  if (read_a.ec != std::errc() || read_b.ec != std::errc()) {
    return id == last;
  }
  return a <= b;
}

std::string_view TakeEvent(std::string_view* events) {
  std::size_t end = events->size();
  for (std::string_view separator : {"\n\n", "\r\n\r\n", "\r\r"}) {
    std::size_t at = events->find(separator);
    if (at != std::string_view::npos) {
      end = std::min(end, at + separator.size());
    }
  }
  std::string_view event = events->substr(0, end);
  events->remove_prefix(end);
  return event;
}

}  // namespace filbertshift
