// Decides whether the lines of a response are those of a valid HTTP/1.1
// response (RFC 9112). The parsers in use, http-parser and libcurl, accept
// more: a status that does not exist, or lines that other receivers read as
// other fields. All clients pass each line through this check before they use
// it.

#ifndef SRC_HTTP1_RESPONSE_CHECK_H_
#define SRC_HTTP1_RESPONSE_CHECK_H_

#include <string_view>

namespace filbertshift {

// The first part of a response that is not valid.
enum class ResponseFault {
  kNone,
  // Not "HTTP/1.x" and three digits from 100 to 599.
  kStatusLine,
  // Not a token and a colon. Includes a line that continues the one before it,
  // which RFC 9112 section 5.2 allows to reject.
  kFieldName,
  // A control character in a value.
  kFieldValue,
  // More than one length, a length that is no number, a length with chunks, a
  // transfer coding that was not asked for, or the size of a chunk that is no
  // number.
  kFraming,
};

// For logs. kNone stands for a fault that another parser has found.
std::string_view DescribeFault(ResponseFault fault);

// Whether the name of a field is a token (RFC 9110 section 5.6.2).
bool IsFieldName(std::string_view name);
// A lenient receiver could take a control character in a field value as the end
// of the line.
bool HasControlCharacter(std::string_view text);

// Checks one response: the interim heads, the final head and the trailers.
class ResponseCheck {
 public:
  // Adds the next line, with its line break. Returns false if the response is
  // not valid up to here; it then stays so.
  bool AddLine(std::string_view line);
  // As AddLine, for the line of a chunk's size.
  bool AddChunkSize(std::string_view line);
  ResponseFault fault() const { return fault_; }
  // Why a response that another parser takes for a whole one is none; empty if
  // it is one. Without a length or chunks, the end of the connection ends it;
  // unless the request was sent by then, the peer may have stopped halfway.
  std::string_view DescribeIncomplete(bool request_sent) const;

 private:
  enum class Part { kStatusLine, kFields, kTrailers };

  // Each returns the fault of the line; `text` has no line break.
  ResponseFault CheckStatusLine(std::string_view text);
  ResponseFault CheckField(std::string_view text);
  ResponseFault CheckFraming(std::string_view name, std::string_view value);

  Part part_ = Part::kStatusLine;
  ResponseFault fault_ = ResponseFault::kNone;
  // Of the current head.
  bool interim_ = false;
  bool has_no_body_ = false;
  bool has_length_ = false;
  bool has_coding_ = false;
};

}  // namespace filbertshift

#endif  // SRC_HTTP1_RESPONSE_CHECK_H_
