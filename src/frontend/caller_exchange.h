// One HTTP request of a caller and the response to it.

#ifndef SRC_FRONTEND_CALLER_EXCHANGE_H_
#define SRC_FRONTEND_CALLER_EXCHANGE_H_

#include <microhttpd.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/ports/caller_port.h"

namespace filbertshift {

class FrontendLoop;

struct ResponseHead {
  int http_status = 0;
  std::vector<HttpHeader> headers;
  bool streaming = false;
};

enum class ExchangeState {
  // The request line has been read.
  kReadingHead,
  kReadingBody,
  // The core has the request; the response has not started.
  kWaiting,
  // A response is queued with libmicrohttpd.
  kResponding,
};

struct CallerExchange {
  CallerId id{};
  FrontendLoop* loop = nullptr;
  MHD_Connection* connection = nullptr;
  int descriptor = -1;
  ExchangeState state = ExchangeState::kReadingHead;

  // Path and query string as received.
  std::string target;
  std::string body;
  TimePoint started;
  TimePoint last_progress;
  // Set when the request is rejected; the rest of its body is then discarded.
  std::optional<CallerError> rejection;
  std::size_t discarded_body_bytes = 0;

  std::optional<ResponseHead> head;
  // Buffered response bytes; libmicrohttpd has read the first `written` ones.
  std::string pending;
  std::size_t written = 0;
  bool finished = false;
  // The connection is being closed; no more response bytes are sent.
  bool closing = false;
  // libmicrohttpd ignores the connection until it is resumed.
  bool suspended = false;
  // The core has the request and has not been notified that it ended.
  bool active_in_core = false;

  std::size_t BufferedBytes() const { return pending.size() - written; }
  void Append(std::string bytes);
  // Moves up to `max_bytes` of the buffered response to `buffer` and returns
  // their number.
  std::size_t Consume(char* buffer, std::size_t max_bytes);
};

struct ResponseDeleter {
  void operator()(MHD_Response* response) const {
    MHD_destroy_response(response);
  }
};
using ResponsePointer = std::unique_ptr<MHD_Response, ResponseDeleter>;

// Adds the headers except those for message framing, which libmicrohttpd sets
// itself.
void AddResponseHeaders(MHD_Response* response,
                        const std::vector<HttpHeader>& headers);

// Returns a complete response with the JSON body of the error.
ResponsePointer MakeErrorResponse(const CallerError& error);

std::vector<HttpHeader> ReadRequestHeaders(MHD_Connection* connection);

}  // namespace filbertshift

#endif  // SRC_FRONTEND_CALLER_EXCHANGE_H_
