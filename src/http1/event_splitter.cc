#include "src/http1/event_splitter.h"

#include <utility>

namespace filbertshift {

std::size_t EventSplitter::FindLastBoundary() {
  std::size_t boundary = 0;
  for (; scanned_ < pending_.size(); ++scanned_) {
    const char byte = pending_[scanned_];
    if (byte == '\n' && after_cr_) {
      // The LF of a CR LF belongs to the line that the CR ended.
      after_cr_ = false;
      if (boundary == scanned_ && boundary > 0) {
        boundary = scanned_ + 1;
      }
      continue;
    }
    const bool ends_line = byte == '\n' || byte == '\r';
    if (ends_line && line_empty_) {
      boundary = scanned_ + 1;
    }
    line_empty_ = ends_line;
    after_cr_ = byte == '\r';
  }
  return boundary;
}

std::string EventSplitter::Add(std::string_view bytes) {
  pending_.append(bytes);
  const std::size_t boundary = FindLastBoundary();
  if (boundary == 0) {
    return std::string();
  }
  std::string rest = pending_.substr(boundary);
  pending_.resize(boundary);
  scanned_ -= boundary;
  return std::exchange(pending_, std::move(rest));
}

std::string EventSplitter::TakeRest() {
  scanned_ = 0;
  return std::exchange(pending_, std::string());
}

}  // namespace filbertshift
