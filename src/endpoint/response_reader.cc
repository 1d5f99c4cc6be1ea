#include "src/endpoint/response_reader.h"

#include <strings.h>

#include <charconv>
#include <string>

namespace filbertshift {

namespace {

constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
// A chunk of a few bytes takes about as many for its line.
constexpr std::uint64_t kMaxWireFactor = 8;

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) {
    return std::string_view();
  }
  const std::size_t last = text.find_last_not_of(" \t\r\n");
  return text.substr(first, last - first + 1);
}

}  // namespace

ResponseReader::ResponseReader(std::size_t max_bytes, bool head_method)
    : max_bytes_(max_bytes), head_method_(head_method) {}

void ResponseReader::BeginHead(std::string_view status_line) {
  headers_.clear();
  http_status_ = 0;
  const std::size_t space = status_line.find(' ');
  if (space != std::string_view::npos) {
    const std::string_view code = status_line.substr(space + 1);
    std::from_chars(code.data(), code.data() + code.size(), http_status_);
  }
}

bool ResponseReader::AddHeaderLine(std::string_view line) {
  if (!check_.AddLine(line) || head_complete_) {
    return false;
  }
  constexpr std::string_view kVersionPrefix = "HTTP/";
  if (line.substr(0, kVersionPrefix.size()) == kVersionPrefix) {
    BeginHead(line);
    return false;
  }
  const std::string_view text = Trim(line);
  if (text.empty()) {
    head_complete_ = http_status_ >= kFirstFinalStatus;
    return head_complete_;
  }
  const std::size_t colon = text.find(':');
  if (colon != std::string_view::npos) {
    headers_.push_back(HttpHeader{std::string(text.substr(0, colon)),
                                  std::string(Trim(text.substr(colon + 1)))});
  }
  return false;
}

bool ResponseReader::CountBytes(std::size_t bytes) {
  byte_count_ += bytes;
  too_large_ = too_large_ || byte_count_ > max_bytes_;
  return !too_large_;
}

bool ResponseReader::CheckReceived(std::uint64_t bytes) {
  too_large_ = too_large_ || bytes / kMaxWireFactor > max_bytes_;
  return !too_large_;
}

bool ResponseReader::is_event_stream() const {
  constexpr std::string_view kEventStream = "text/event-stream";
  const std::string type = FindHeader(headers_, "Content-Type");
  return strncasecmp(type.c_str(), kEventStream.data(), kEventStream.size()) ==
         0;
}

bool ResponseReader::has_framing() const {
  return head_method_ || http_status_ == kNoContent ||
         http_status_ == kNotModified ||
         !FindHeader(headers_, "Content-Length").empty() ||
         !FindHeader(headers_, "Transfer-Encoding").empty();
}

}  // namespace filbertshift
