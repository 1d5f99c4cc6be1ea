// Assembles the head of a response from the header lines that libcurl delivers,
// and enforces the size limit of the response.

#ifndef SRC_ENDPOINT_RESPONSE_READER_H_
#define SRC_ENDPOINT_RESPONSE_READER_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "src/http1/response_check.h"
#include "src/ports/caller_port.h"

namespace filbertshift {

class ResponseReader {
 public:
  // `head_method` is true for the method HEAD, whose responses have no body.
  ResponseReader(std::size_t max_bytes, bool head_method);

  // Adds one line, including its line break. Returns true if the line completes
  // the head of the final response. Interim (1xx) responses and trailers are
  // checked, but not kept.
  bool AddHeaderLine(std::string_view line);
  // Counts bytes of the head or body. Returns false above the limit.
  bool CountBytes(std::size_t bytes);
  // Returns false if the response takes many more bytes on the wire than its
  // limit, with the lines of its chunks.
  bool CheckReceived(std::uint64_t bytes);

  // Other than kNone once a line has made the response invalid.
  ResponseFault fault() const { return check_.fault(); }
  int http_status() const { return http_status_; }
  const std::vector<HttpHeader>& headers() const { return headers_; }
  bool head_complete() const { return head_complete_; }
  bool too_large() const { return too_large_; }
  bool is_event_stream() const;
  // False if the body ends only when the connection is closed. A complete body
  // then cannot be distinguished from a truncated one.
  bool has_framing() const;

 private:
  void BeginHead(std::string_view status_line);

  const std::size_t max_bytes_;
  const bool head_method_;
  ResponseCheck check_;
  std::size_t byte_count_ = 0;
  bool too_large_ = false;
  bool head_complete_ = false;
  int http_status_ = 0;
  std::vector<HttpHeader> headers_;
};

}  // namespace filbertshift

#endif  // SRC_ENDPOINT_RESPONSE_READER_H_
