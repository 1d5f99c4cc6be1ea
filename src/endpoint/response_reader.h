// Assembles the head of a response from the lines that libcurl delivers, and
// bounds its size.

#ifndef SRC_ENDPOINT_RESPONSE_READER_H_
#define SRC_ENDPOINT_RESPONSE_READER_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "src/ports/caller_port.h"

namespace filbertshift {

class ResponseReader {
 public:
  // `head_method` is true for HEAD, whose responses have no body.
  ResponseReader(std::size_t max_bytes, bool head_method);

  // Takes one line with its line end. Returns true when it ends the head of
  // the final response; interim (1xx) responses and trailers are ignored.
  bool AddHeaderLine(std::string_view line);
  // Counts bytes of head or body. Returns false beyond the bound.
  bool Count(std::size_t bytes);

  int http_status() const { return http_status_; }
  const std::vector<HttpHeader>& headers() const { return headers_; }
  bool head_complete() const { return head_complete_; }
  bool too_large() const { return too_large_; }
  bool is_event_stream() const;
  // False if only the end of the connection marks the end of the body. Such a
  // body cannot be told from a truncated one.
  bool has_framing() const;

 private:
  void BeginHead(std::string_view status_line);

  const std::size_t max_bytes_;
  const bool head_method_;
  std::size_t bytes_ = 0;
  bool too_large_ = false;
  bool head_complete_ = false;
  int http_status_ = 0;
  std::vector<HttpHeader> headers_;
};

}  // namespace filbertshift

#endif  // SRC_ENDPOINT_RESPONSE_READER_H_
