// The handling of requests: bounds, hand-over to the core, and the answer.

#include <fmt/format.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "src/frontend/frontend_loop.h"

namespace filbertshift {

namespace {

// The rest of a refused body is read up to this multiple of the limit, so that
// the caller has finished writing and reads the answer; beyond it the
// connection is closed.
constexpr std::size_t kDiscardFactor = 4;

// Zero if there is none or if it is not a number.
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

ssize_t ReadAnswerCallback(void* p,
                           std::uint64_t,
                           char* buffer,
                           std::size_t max) {
  auto* exchange = static_cast<CallerExchange*>(p);
  return exchange->loop->OnReadAnswer(exchange, buffer, max);
}

// The head of a response that is written past libmicrohttpd, which cannot
// answer before the end of the request.
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
  exchange->begun = clock_.Now();
  exchange->last_progress = exchange->begun;
  return exchange;
}

MHD_Result FrontendLoop::OnRequest(CallerExchange* exchange,
                                   const char* method,
                                   const char* upload,
                                   std::size_t* upload_size) {
  if (exchange->cut) {
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
      return Answer(exchange);
    case ExchangeState::kAnswering:
      break;
  }
  return MHD_NO;
}

void FrontendLoop::Refuse(CallerExchange* exchange, CallerError error) {
  log_.Write(EventId::kCallerConnectionRejected, error.code);
  exchange->refusal = std::move(error);
  exchange->body = std::string();
}

MHD_Result FrontendLoop::BeginRequest(CallerExchange* exchange) {
  exchange->state = ExchangeState::kReadingBody;
  exchange->last_progress = clock_.Now();
  const std::vector<HttpHeader> headers =
      ReadRequestHeaders(exchange->connection);
  const std::size_t length = ContentLength(headers);
  if (draining_) {
    // Not logged: the caller has passed no bound.
    exchange->refusal = MakeError(MHD_HTTP_SERVICE_UNAVAILABLE, "shutting_down",
                                  "this instance is shutting down");
  } else if (connection_count_ > options_.max_connections) {
    Refuse(exchange,
           MakeError(MHD_HTTP_SERVICE_UNAVAILABLE, "too_many_connections",
                     "too many open connections"));
  } else if (TotalSize(headers) > options_.max_header_bytes) {
    Refuse(
        exchange,
        MakeError(MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE, "headers_too_large",
                  fmt::format("the headers are larger than {} bytes",
                              options_.max_header_bytes)));
  } else if (length > options_.max_body_bytes) {
    Refuse(exchange, MakeError(MHD_HTTP_CONTENT_TOO_LARGE, "body_too_large",
                               fmt::format("the body is larger than {} bytes",
                                           options_.max_body_bytes)));
  }
  const bool expects = !FindHeader(headers, "Expect").empty();
  const bool too_long = length > kDiscardFactor * options_.max_body_bytes;
  if (exchange->refusal && (expects || too_long)) {
    return AnswerError(exchange, *exchange->refusal);
  }
  return MHD_YES;
}

MHD_Result FrontendLoop::AddUpload(CallerExchange* exchange,
                                   std::string_view bytes) {
  exchange->last_progress = clock_.Now();
  if (!exchange->refusal &&
      exchange->body.size() + bytes.size() > options_.max_body_bytes) {
    Refuse(exchange, MakeError(MHD_HTTP_CONTENT_TOO_LARGE, "body_too_large",
                               fmt::format("the body is larger than {} bytes",
                                           options_.max_body_bytes)));
  }
  if (!exchange->refusal) {
    exchange->body.append(bytes);
    return MHD_YES;
  }
  exchange->discarded_bytes += bytes.size();
  const std::size_t limit = kDiscardFactor * options_.max_body_bytes;
  return exchange->discarded_bytes > limit ? MHD_NO : MHD_YES;
}

MHD_Result FrontendLoop::EndRequest(CallerExchange* exchange,
                                    const char* method) {
  return exchange->refusal ? AnswerError(exchange, *exchange->refusal)
                           : HandOver(exchange, method);
}

MHD_Result FrontendLoop::HandOver(CallerExchange* exchange,
                                  const char* method) {
  CallerRequest request;
  request.caller = exchange->id;
  request.method = method;
  const std::size_t mark = exchange->target.find('?');
  request.path = exchange->target.substr(0, mark);
  if (mark != std::string::npos) {
    request.query = exchange->target.substr(mark + 1);
  }
  request.headers = ReadRequestHeaders(exchange->connection);
  request.body = std::move(exchange->body);
  request.received = clock_.Now();
  if (!core_ring_.TryPush(std::move(request))) {
    return AnswerError(exchange,
                       MakeError(MHD_HTTP_SERVICE_UNAVAILABLE, "overloaded",
                                 "this instance is overloaded"));
  }
  exchange->state = ExchangeState::kWaiting;
  exchange->core_waits = true;
  exchange->target = std::string();
  // Reports a hang-up only; the library does not watch suspended connections.
  epoll_event event{};
  event.events = EPOLLRDHUP | EPOLLET;
  event.data.u64 = static_cast<std::uint64_t>(exchange->id);
  epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, exchange->descriptor, &event);
  Suspend(exchange);
  return MHD_YES;
}

MHD_Result FrontendLoop::Answer(CallerExchange* exchange) {
  const bool ready =
      exchange->head && (exchange->head->streaming || exchange->finished);
  if (!ready) {
    Suspend(exchange);
    return MHD_YES;
  }
  constexpr std::size_t kBlockBytes = 4096;
  const AnswerHead& head = *exchange->head;
  ResponsePointer response(
      head.streaming ? MHD_create_response_from_callback(
                           MHD_SIZE_UNKNOWN, kBlockBytes, &ReadAnswerCallback,
                           exchange, nullptr)
                     : MHD_create_response_from_buffer(exchange->pending.size(),
                                                       exchange->pending.data(),
                                                       MHD_RESPMEM_MUST_COPY));
  AddResponseHeaders(response.get(), head.headers);
  const int http_status = head.http_status;
  exchange->head->headers.clear();
  return Queue(exchange, http_status, response.get());
}

MHD_Result FrontendLoop::AnswerError(CallerExchange* exchange,
                                     const CallerError& error) {
  return Queue(exchange, error.http_status, MakeErrorResponse(error).get());
}

MHD_Result FrontendLoop::Queue(CallerExchange* exchange,
                               int http_status,
                               MHD_Response* response) {
  exchange->state = ExchangeState::kAnswering;
  if (draining_ || exchange->refusal) {
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
  }
  return MHD_queue_response(exchange->connection,
                            static_cast<unsigned>(http_status), response);
}

ssize_t FrontendLoop::OnReadAnswer(CallerExchange* exchange,
                                   char* buffer,
                                   std::size_t max) {
  if (exchange->cut) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  if (exchange->BufferedBytes() > 0) {
    return static_cast<ssize_t>(exchange->Take(buffer, max));
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
    ReportGone(exchange);
  }
  exchanges_.erase(exchange->id);
}

void FrontendLoop::CheckSlowSenders() {
  constexpr std::chrono::milliseconds kLongestInterval{1000};
  constexpr int kChecksPerTimeout = 8;
  const TimePoint now = clock_.Now();
  if (now < next_check_) {
    return;
  }
  next_check_ = now + std::min(kLongestInterval,
                               options_.idle_timeout / kChecksPerTimeout +
                                   std::chrono::milliseconds(1));
  for (auto& [id, exchange] : exchanges_) {
    const bool reading = exchange.state == ExchangeState::kReadingHead ||
                         exchange.state == ExchangeState::kReadingBody;
    const bool slow = now - exchange.last_progress > options_.idle_timeout ||
                      now - exchange.begun > options_.receive_timeout;
    if (reading && slow && !exchange.cut) {
      CutSlowSender(&exchange);
    }
  }
}

void FrontendLoop::CutSlowSender(CallerExchange* exchange) {
  Refuse(exchange, MakeError(MHD_HTTP_REQUEST_TIMEOUT, "request_timeout",
                             "the request did not arrive in time"));
  const std::string response = RawErrorResponse(*exchange->refusal);
  send(exchange->descriptor, response.data(), response.size(),
       MSG_DONTWAIT | MSG_NOSIGNAL);
  Drop(exchange);
}

}  // namespace filbertshift
