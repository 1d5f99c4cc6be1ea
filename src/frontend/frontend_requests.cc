// Request handling: enforces limits, forwards requests to the core and sends
// the responses.

#include <fmt/format.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "src/frontend/frontend_loop.h"

namespace filbertshift {

namespace {

// The rest of a rejected body is read and discarded up to this multiple of the
// body limit, because many callers read the response only after they have sent
// the whole body. Above it, the connection is closed.
constexpr std::size_t kDiscardFactor = 4;

// Returns zero if the header is missing or not a number.
std::size_t ContentLength(const std::vector<HttpHeader>& headers) {
  const std::string text = FindHeader(headers, "Content-Length");
  std::size_t length = 0;
  std::from_chars(text.data(), text.data() + text.size(), length);
  return length;
}

std::size_t TotalSize(const std::vector<HttpHeader>& headers) {
  std::size_t size = 0;
  for (const HttpHeader& header : headers) {
    size += header.name.size() + header.value.size();
  }
  return size;
}

CallerError MakeError(int http_status, std::string code, std::string message) {
  CallerError error;
  error.http_status = http_status;
  error.code = std::move(code);
  error.message = std::move(message);
  error.run = RunState::kNotRun;
  if (http_status == MHD_HTTP_SERVICE_UNAVAILABLE) {
    error.retry_after = std::chrono::seconds(1);
  }
  return error;
}

ssize_t ReadResponseCallback(void* user_data,
                             std::uint64_t,
                             char* buffer,
                             std::size_t max_bytes) {
  auto* exchange = static_cast<CallerExchange*>(user_data);
  return exchange->loop->OnReadResponse(exchange, buffer, max_bytes);
}

// Returns a complete 408 response that is written directly to the socket,
// because libmicrohttpd cannot send a response before the whole request has
// arrived.
std::string RawErrorResponse(const CallerError& error) {
  const std::string body = CallerErrorBody(error);
  return fmt::format(
      "HTTP/1.1 {} Request Timeout\r\nContent-Type: application/json\r\n"
      "Content-Length: {}\r\nConnection: close\r\n\r\n{}",
      error.http_status, body.size(), body);
}

}  // namespace

void FrontendLoop::OnConnection(bool opened) {
  connection_count_ += opened ? 1 : -1;
}

CallerExchange* FrontendLoop::OnRequestLine(const char* target,
                                            MHD_Connection* connection) {
  const auto id = static_cast<CallerId>(next_caller_++);
  CallerExchange* exchange = &exchanges_[id];
  exchange->id = id;
  exchange->loop = this;
  exchange->connection = connection;
  exchange->descriptor =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)
          ->connect_fd;
  exchange->target = target;
  exchange->started = clock_.Now();
  exchange->last_progress = exchange->started;
  return exchange;
}

MHD_Result FrontendLoop::OnRequest(CallerExchange* exchange,
                                   const char* method,
                                   const char* upload,
                                   std::size_t* upload_size) {
  if (exchange->closing) {
    return MHD_NO;
  }
  switch (exchange->state) {
    case ExchangeState::kReadingHead:
      return BeginRequest(exchange);
    case ExchangeState::kReadingBody:
      if (*upload_size == 0) {
        return EndRequest(exchange, method);
      }
      return AddUpload(
          exchange, std::string_view(
                        upload, std::exchange(*upload_size, std::size_t{0})));
    case ExchangeState::kWaiting:
      return StartResponse(exchange);
    case ExchangeState::kResponding:
      break;
  }
  return MHD_NO;
}

void FrontendLoop::RejectRequest(CallerExchange* exchange, CallerError error) {
  log_.Write(EventId::kCallerConnectionRejected, error.code);
  exchange->rejection = std::move(error);
  exchange->body = std::string();
}

MHD_Result FrontendLoop::BeginRequest(CallerExchange* exchange) {
  exchange->state = ExchangeState::kReadingBody;
  exchange->last_progress = clock_.Now();
  const std::vector<HttpHeader> headers =
      ReadRequestHeaders(exchange->connection);
  const std::size_t length = ContentLength(headers);
  if (draining_) {
    // Not logged as rejected, because the caller exceeded no limit.
    exchange->rejection =
        MakeError(MHD_HTTP_SERVICE_UNAVAILABLE, "shutting_down",
                  "this instance is shutting down");
  } else if (connection_count_ > options_.max_connections) {
    RejectRequest(exchange, MakeError(MHD_HTTP_SERVICE_UNAVAILABLE,
                                      "too_many_connections",
                                      "too many open connections"));
  } else if (TotalSize(headers) > options_.max_header_bytes) {
    RejectRequest(
        exchange,
        MakeError(MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE, "headers_too_large",
                  fmt::format("the headers are larger than {} bytes",
                              options_.max_header_bytes)));
  } else if (length > options_.max_body_bytes) {
    RejectRequest(exchange,
                  MakeError(MHD_HTTP_CONTENT_TOO_LARGE, "body_too_large",
                            fmt::format("the body is larger than {} bytes",
                                        options_.max_body_bytes)));
  }
  const bool expects_continue = !FindHeader(headers, "Expect").empty();
  const bool too_long = length > kDiscardFactor * options_.max_body_bytes;
  if (exchange->rejection && (expects_continue || too_long)) {
    return RespondWithError(exchange, *exchange->rejection);
  }
  return MHD_YES;
}

MHD_Result FrontendLoop::AddUpload(CallerExchange* exchange,
                                   std::string_view bytes) {
  exchange->last_progress = clock_.Now();
  if (!exchange->rejection &&
      exchange->body.size() + bytes.size() > options_.max_body_bytes) {
    RejectRequest(exchange,
                  MakeError(MHD_HTTP_CONTENT_TOO_LARGE, "body_too_large",
                            fmt::format("the body is larger than {} bytes",
                                        options_.max_body_bytes)));
  }
  if (!exchange->rejection) {
    exchange->body.append(bytes);
    return MHD_YES;
  }
  exchange->discarded_body_bytes += bytes.size();
  const std::size_t limit = kDiscardFactor * options_.max_body_bytes;
  return exchange->discarded_body_bytes > limit ? MHD_NO : MHD_YES;
}

MHD_Result FrontendLoop::EndRequest(CallerExchange* exchange,
                                    const char* method) {
  return exchange->rejection ? RespondWithError(exchange, *exchange->rejection)
                             : ForwardToCore(exchange, method);
}

MHD_Result FrontendLoop::ForwardToCore(CallerExchange* exchange,
                                       const char* method) {
  CallerRequest request;
  request.caller = exchange->id;
  request.method = method;
  const std::size_t query_mark = exchange->target.find('?');
  request.path = exchange->target.substr(0, query_mark);
  if (query_mark != std::string::npos) {
    request.query = exchange->target.substr(query_mark + 1);
  }
  request.headers = ReadRequestHeaders(exchange->connection);
  request.body = std::move(exchange->body);
  request.received = clock_.Now();
  if (!core_ring_.TryPush(std::move(request))) {
    return RespondWithError(
        exchange, MakeError(MHD_HTTP_SERVICE_UNAVAILABLE, "overloaded",
                            "this instance is overloaded"));
  }
  exchange->state = ExchangeState::kWaiting;
  exchange->active_in_core = true;
  exchange->target = std::string();
  // Reports only that the caller disconnected; libmicrohttpd does not watch
  // suspended connections.
  epoll_event event{};
  event.events = EPOLLRDHUP | EPOLLET;
  event.data.u64 = static_cast<std::uint64_t>(exchange->id);
  epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, exchange->descriptor, &event);
  Suspend(exchange);
  return MHD_YES;
}

MHD_Result FrontendLoop::StartResponse(CallerExchange* exchange) {
  const bool ready =
      exchange->head && (exchange->head->streaming || exchange->finished);
  if (!ready) {
    Suspend(exchange);
    return MHD_YES;
  }
  constexpr std::size_t kResponseBlockBytes = 4096;
  const ResponseHead& head = *exchange->head;
  ResponsePointer response(
      head.streaming ? MHD_create_response_from_callback(
                           MHD_SIZE_UNKNOWN, kResponseBlockBytes,
                           &ReadResponseCallback, exchange, nullptr)
                     : MHD_create_response_from_buffer(exchange->pending.size(),
                                                       exchange->pending.data(),
                                                       MHD_RESPMEM_MUST_COPY));
  AddResponseHeaders(response.get(), head.headers);
  const int http_status = head.http_status;
  exchange->head->headers.clear();
  return QueueResponse(exchange, http_status, response.get());
}

MHD_Result FrontendLoop::RespondWithError(CallerExchange* exchange,
                                          const CallerError& error) {
  return QueueResponse(exchange, error.http_status,
                       MakeErrorResponse(error).get());
}

MHD_Result FrontendLoop::QueueResponse(CallerExchange* exchange,
                                       int http_status,
                                       MHD_Response* response) {
  exchange->state = ExchangeState::kResponding;
  if (draining_ || exchange->rejection) {
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
  }
  return MHD_queue_response(exchange->connection,
                            static_cast<unsigned>(http_status), response);
}

ssize_t FrontendLoop::OnReadResponse(CallerExchange* exchange,
                                     char* buffer,
                                     std::size_t max_bytes) {
  if (exchange->closing) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  if (exchange->BufferedBytes() > 0) {
    return static_cast<ssize_t>(exchange->Consume(buffer, max_bytes));
  }
  if (exchange->finished) {
    return MHD_CONTENT_READER_END_OF_STREAM;
  }
  Suspend(exchange);
  return 0;
}

void FrontendLoop::OnCompleted(CallerExchange* exchange,
                               MHD_RequestTerminationCode code) {
  epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, exchange->descriptor, nullptr);
  if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK) {
    ReportDisconnected(exchange);
  }
  exchanges_.erase(exchange->id);
}

void FrontendLoop::CheckSlowSenders() {
  constexpr std::chrono::milliseconds kMaxCheckInterval{1000};
  constexpr int kChecksPerTimeout = 8;
  const TimePoint now = clock_.Now();
  if (now < next_timeout_check_) {
    return;
  }
  next_timeout_check_ =
      now +
      std::min(kMaxCheckInterval, options_.idle_timeout / kChecksPerTimeout +
                                      std::chrono::milliseconds(1));
  for (auto& [id, exchange] : exchanges_) {
    const bool reading = exchange.state == ExchangeState::kReadingHead ||
                         exchange.state == ExchangeState::kReadingBody;
    const bool slow = now - exchange.last_progress > options_.idle_timeout ||
                      now - exchange.started > options_.receive_timeout;
    if (reading && slow && !exchange.closing) {
      TimeOutSlowSender(&exchange);
    }
  }
}

void FrontendLoop::TimeOutSlowSender(CallerExchange* exchange) {
  RejectRequest(exchange, MakeError(MHD_HTTP_REQUEST_TIMEOUT, "request_timeout",
                                    "the request did not arrive in time"));
  const std::string response = RawErrorResponse(*exchange->rejection);
  send(exchange->descriptor, response.data(), response.size(),
       MSG_DONTWAIT | MSG_NOSIGNAL);
  CloseConnection(exchange);
}

}  // namespace filbertshift
