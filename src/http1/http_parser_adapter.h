// Incremental HTTP/1.1 parser on top of the http-parser library. It parses one
// message at a time and leaves the bytes after a message to its user. The lines
// of a response reach the library only after ResponseCheck has accepted them,
// and its chunks only with their line breaks.

#ifndef SRC_HTTP1_HTTP_PARSER_ADAPTER_H_
#define SRC_HTTP1_HTTP_PARSER_ADAPTER_H_

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "src/http1/http_message.h"
#include "src/http1/response_check.h"

namespace filbertshift {

enum class HttpParseError {
  kNone,
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
};

// Limits in bytes.
struct HttpParseLimits {
  std::size_t max_head_bytes = std::size_t{64} * 1024;
  std::size_t max_body_bytes = std::size_t{16} * 1024 * 1024;
};

class HttpMessageParser {
 public:
  enum class Kind { kRequest, kResponse };
  HttpMessageParser(Kind kind, HttpParseLimits limits);
  HttpMessageParser(const HttpMessageParser&) = delete;
  HttpMessageParser& operator=(const HttpMessageParser&) = delete;

  // Returns how many bytes belong to this message. Stops at the end of the
  // message or at the first error.
  std::size_t Feed(std::string_view data);
  // Signals that the peer closed its side without an error, which completes a
  // response without a length.
  void FeedEnd();
  // Applies to what is parsed from now on.
  void SetLimits(HttpParseLimits limits) { limits_ = limits; }
  // Discards all state, for the next message.
  void Reset();

  bool started() const { return started_; }
  bool head_complete() const { return head_complete_; }
  bool complete() const { return complete_; }
  HttpParseError error() const { return error_; }
  // Why a malformed response is not valid; kNone if the library found it.
  ResponseFault fault() const { return check_.fault(); }
  // False if the body ends when the connection closes. Valid once the head is
  // complete.
  bool has_framing() const { return has_framing_; }
  // True if the connection can be reused after this message.
  bool keep_alive() const { return keep_alive_; }
  // Whether the sender of a request understands chunks. Valid once the head is
  // complete.
  bool accepts_chunks() const {
    return parser_.http_major > 1 ||
           (parser_.http_major == 1 && parser_.http_minor >= 1);
  }
  // An interim response (1xx).
  bool interim() const {
    return kind_ == Kind::kResponse && response_.status / 100 == 1;
  }
  // Length of the body that the head announces; 0 if it announces none.
  std::size_t announced_bytes() const;
  // Memory of the head so far.
  std::size_t head_memory() const;
  const HttpRequestHead& request() const { return request_; }
  const HttpResponseHead& response() const { return response_; }
  // Returns the body bytes received since the last call.
  std::string TakeBody();

 private:
  // What comes next.
  enum class Part {
    // Bytes that need no check: a request, or a body without chunks.
    kBytes,
    // A line of the head or of the trailers of a response.
    kField,
    kChunkSize,
    kChunk,
    kChunkEnd,
  };

  static int OnUrl(http_parser* parser, const char* data, std::size_t size);
  static int OnReason(http_parser* parser, const char* data, std::size_t size);
  static int OnField(http_parser* parser, const char* data, std::size_t size);
  static int OnValue(http_parser* parser, const char* data, std::size_t size);
  static int OnHeadComplete(http_parser* parser);
  static int OnChunkHead(http_parser* parser);
  static int OnBody(http_parser* parser, const char* data, std::size_t size);
  static int OnComplete(http_parser* parser);
  static const http_parser_settings& Callbacks();
  static HttpMessageParser* Self(http_parser* parser);

  // Passes bytes on to the library. Returns how many of them it used.
  std::size_t Execute(std::string_view data);
  // Each of these passes the next part of a response on if it is valid, and
  // returns how many bytes it used. A line is passed on once it is complete.
  std::size_t FeedLine(std::string_view data);
  std::size_t FeedChunk(std::string_view data);
  std::size_t FeedChunkEnd(std::string_view data);
  bool AddHeadBytes(std::size_t size);
  bool CheckRequestFields() const;
  bool CheckRequestFraming() const;
  HttpHeaders& headers();

  const Kind kind_;
  HttpParseLimits limits_;
  http_parser parser_;
  HttpRequestHead request_;
  HttpResponseHead response_;
  std::string body_;
  ResponseCheck check_;
  Part next_ = Part::kBytes;
  // Start of the current line, of which the library has no byte yet.
  std::string line_;
  // Bytes of the current chunk that have not arrived, and how many of its line
  // break have.
  std::size_t chunk_left_ = 0;
  std::size_t chunk_end_bytes_ = 0;
  std::size_t head_bytes_ = 0;
  // Valid if the message has a Content-Length.
  std::size_t announced_bytes_ = 0;
  std::size_t body_bytes_ = 0;
  HttpParseError error_ = HttpParseError::kNone;
  // True while the latest callback was for a field value.
  bool in_value_ = false;
  bool started_ = false;
  bool head_complete_ = false;
  // Invariant: implies head_complete_.
  bool complete_ = false;
  bool has_framing_ = false;
  bool keep_alive_ = false;
};

}  // namespace filbertshift

#endif  // SRC_HTTP1_HTTP_PARSER_ADAPTER_H_
