#include "src/http1/response_check.h"

#include <algorithm>
#include <cctype>

#include "src/http1/http_message.h"

namespace filbertshift {

namespace {

constexpr std::string_view kVersion = "HTTP/1.";
// "HTTP/1.x " before the status.
constexpr std::size_t kStatusStart = kVersion.size() + 2;
constexpr std::size_t kStatusDigits = 3;
constexpr std::string_view kLineBreak = "\r\n";
// What the name of a field may hold besides letters and digits.
constexpr std::string_view kNameSymbols = "!#$%&'*+-.^_`|~";

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

bool AreDigits(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsDigit);
}

std::string_view WithoutLineBreak(std::string_view line) {
  if (!line.empty() && line.back() == '\n') {
    line.remove_suffix(1);
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
  }
  return line;
}

}  // namespace

std::string_view DescribeFault(ResponseFault fault) {
  switch (fault) {
    case ResponseFault::kNone:
      return "malformed answer";
    case ResponseFault::kStatusLine:
      return "malformed answer: status line";
    case ResponseFault::kFieldName:
      return "malformed answer: field name";
    case ResponseFault::kFieldValue:
      return "malformed answer: field value";
    case ResponseFault::kFraming:
      return "malformed answer: framing";
  }
  return "malformed answer";
}

bool IsFieldName(std::string_view name) {
  return !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || IsDigit(c) ||
           kNameSymbols.find(c) != std::string_view::npos;
  });
}

bool HasControlCharacter(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char c) {
    auto byte = static_cast<unsigned char>(c);
    return (byte < 0x20 && byte != '\t') || byte == 0x7f;
  });
}

bool ResponseCheck::AddLine(std::string_view line) {
  if (fault_ != ResponseFault::kNone) {
    return false;
  }
  std::string_view text = WithoutLineBreak(line);
  if (part_ == Part::kStatusLine) {
    // Some servers send an empty line after a body; it belongs to no response.
    if (!text.empty()) {
      fault_ = CheckStatusLine(text);
      part_ = Part::kFields;
    }
  } else if (!text.empty()) {
    fault_ = CheckField(text);
  } else if (part_ == Part::kFields) {
    part_ = interim_ ? Part::kStatusLine : Part::kTrailers;
  }
  return fault_ == ResponseFault::kNone;
}

std::string_view ResponseCheck::DescribeIncomplete(bool request_sent) const {
  if (fault_ != ResponseFault::kNone) {
    return DescribeFault(fault_);
  }
  if (part_ != Part::kTrailers) {
    return "the response ends within its head";
  }
  bool has_framing = has_no_body_ || has_length_ || has_coding_;
  return has_framing || request_sent
             ? std::string_view()
             : "the response ends before its request is sent";
}

bool ResponseCheck::AddChunkSize(std::string_view line) {
  constexpr std::string_view kDigits = "0123456789abcdefABCDEF";
  std::string_view text = WithoutLineBreak(line);
  // Extensions of a chunk are ignored, as RFC 9112 section 7.1.1 asks for.
  std::string_view size = TrimBlanks(text.substr(0, text.find(';')));
  bool valid = !size.empty() &&
               size.find_first_not_of(kDigits) == std::string_view::npos &&
               text.find_first_of(" \t") != 0 && !HasControlCharacter(text) &&
               line.size() == text.size() + kLineBreak.size();
  if (!valid) {
    fault_ = ResponseFault::kFraming;
  }
  return fault_ == ResponseFault::kNone;
}

ResponseFault ResponseCheck::CheckStatusLine(std::string_view text) {
  has_length_ = false;
  has_coding_ = false;
  if (text.size() < kStatusStart + kStatusDigits ||
      text.substr(0, kVersion.size()) != kVersion ||
      !IsDigit(text[kVersion.size()]) || text[kStatusStart - 1] != ' ') {
    return ResponseFault::kStatusLine;
  }
  std::string_view status = text.substr(kStatusStart, kStatusDigits);
  std::string_view rest = text.substr(kStatusStart + kStatusDigits);
  bool exists =
      AreDigits(status) && status.front() >= '1' && status.front() <= '5';
  if (!exists || (!rest.empty() && rest.front() != ' ') ||
      HasControlCharacter(rest)) {
    return ResponseFault::kStatusLine;
  }
  interim_ = status.front() == '1';
  has_no_body_ = status == "204" || status == "304";
  return ResponseFault::kNone;
}

ResponseFault ResponseCheck::CheckField(std::string_view text) {
  std::size_t colon = text.find(':');
  if (colon == std::string_view::npos || !IsFieldName(text.substr(0, colon))) {
    return ResponseFault::kFieldName;
  }
  std::string_view value = text.substr(colon + 1);
  if (HasControlCharacter(value)) {
    return ResponseFault::kFieldValue;
  }
  return part_ == Part::kFields
             ? CheckFraming(text.substr(0, colon), TrimBlanks(value))
             : ResponseFault::kNone;
}

ResponseFault ResponseCheck::CheckFraming(std::string_view name,
                                          std::string_view value) {
  bool valid = true;
  if (EqualsIgnoringCase(name, "Content-Length")) {
    valid = !has_length_ && AreDigits(value);
    has_length_ = true;
  } else if (EqualsIgnoringCase(name, "Transfer-Encoding")) {
    valid = !has_coding_ && EqualsIgnoringCase(value, "chunked");
    has_coding_ = true;
  }
  valid = valid && !(has_length_ && has_coding_);
  return valid ? ResponseFault::kNone : ResponseFault::kFraming;
}

}  // namespace filbertshift
