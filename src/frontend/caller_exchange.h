// One request of a caller and its answer.

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

struct AnswerHead {
  int http_status = 0;
  std::vector<HttpHeader> headers;
  bool streaming = false;
};

enum class ExchangeState {
  // The request line has been read.
  kReadingHead,
  kReadingBody,
  // The core has the request; its answer has not begun.
  kWaiting,
  // A response is queued with libmicrohttpd.
  kAnswering,
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
  TimePoint begun;
  TimePoint last_progress;
  // Set when a bound is exceeded; the rest of the body is then discarded.
  std::optional<CallerError> refusal;
  std::size_t discarded_bytes = 0;

  std::optional<AnswerHead> head;
  // Bytes of the answer; the first `written` ones have been taken.
  std::string pending;
  std::size_t written = 0;
  bool finished = false;
  // The connection is to be cut.
  bool cut = false;
  // libmicrohttpd does not look at the connection until it is resumed.
  bool suspended = false;
  // The core has the request and has not been told of its end.
  bool core_waits = false;

  std::size_t BufferedBytes() const { return pending.size() - written; }
  void Append(std::string bytes);
  // Moves up to `max` bytes to `buffer` and returns their number.
  std::size_t Take(char* buffer, std::size_t max);
};

struct ResponseDeleter {
  void operator()(MHD_Response* response) const {
    MHD_destroy_response(response);
  }
};
using ResponsePointer = std::unique_ptr<MHD_Response, ResponseDeleter>;

// Adds headers, except those by which libmicrohttpd frames the answer itself.
void AddResponseHeaders(MHD_Response* response,
                        const std::vector<HttpHeader>& headers);

// A complete response with the JSON body of the error.
ResponsePointer MakeErrorResponse(const CallerError& error);

std::vector<HttpHeader> ReadRequestHeaders(MHD_Connection* connection);

}  // namespace filbertshift

#endif  // SRC_FRONTEND_CALLER_EXCHANGE_H_
