#include "emulator/http/http_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace filbertshift::emulator {

namespace {

constexpr unsigned kConnectionLimit = 10000;
constexpr std::size_t kConnectionMemoryBytes = 65'536;
constexpr std::size_t kStreamBlockBytes = 16'384;
constexpr int kListenBacklog = 1024;

// Context of OnReadStream.
struct StreamContext {
  HttpServer* server;
  ExchangeId exchange;
};

void FreeStreamContext(void* context) {
  const std::unique_ptr<StreamContext> owned(
      static_cast<StreamContext*>(context));
}

MHD_Result AppendField(void* fields,
                       MHD_ValueKind,
                       const char* name,
                       const char* value) {
  static_cast<std::vector<HttpField>*>(fields)->push_back(
      {name, value == nullptr ? "" : value});
  return MHD_YES;
}

}  // namespace

HttpServer::HttpServer(ListenAddress address, HttpHandler& handler)
    : address_(std::move(address)), handler_(handler) {
  reserved_socket_ = BindTcpSocket(&address_);
}

HttpServer::~HttpServer() {
  Stop();
  close(reserved_socket_);
}

void HttpServer::Start() {
  if (daemon_ != nullptr) {
    return;
  }
  const int fd = BindTcpSocket(&address_);
  if (listen(fd, kListenBacklog) != 0) {
    close(fd);
    throw std::runtime_error("listen: " + std::string(std::strerror(errno)));
  }
  {
    std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = false;
  }
  daemon_ = MHD_start_daemon(
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr,
      nullptr, &HttpServer::OnAccess, this, MHD_OPTION_LISTEN_SOCKET, fd,
      MHD_OPTION_NOTIFY_COMPLETED, &HttpServer::OnCompleted, this,
      MHD_OPTION_CONNECTION_LIMIT, kConnectionLimit,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, kConnectionMemoryBytes,
      MHD_OPTION_END);
  if (daemon_ == nullptr) {
    close(fd);
    throw std::runtime_error("failed to start the HTTP server on " +
                             FormatListenAddress(address_));
  }
}

void HttpServer::Stop() {
  if (daemon_ == nullptr) {
    return;
  }
  {
    std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    // MHD_stop_daemon requires that no connection is suspended.
    for (auto& [id, exchange] : exchanges_) {
      exchange->state = State::kCut;
      ResumeLocked(exchange.get());
    }
  }
  MHD_stop_daemon(daemon_);
  daemon_ = nullptr;
}

void HttpServer::SetExtraHeaders(std::vector<HttpField> headers) {
  std::lock_guard<std::mutex> lock(mutex_);
  extra_headers_ = std::move(headers);
}

void HttpServer::Respond(ExchangeId exchange, HttpResponse response) {
  std::lock_guard<std::mutex> lock(mutex_);
  Exchange* found = Find(exchange);
  if (found == nullptr || found->state != State::kWaiting) {
    return;
  }
  found->response = std::move(response);
  found->response.headers.insert(found->response.headers.end(),
                                 extra_headers_.begin(), extra_headers_.end());
  found->state = State::kReady;
  ResumeLocked(found);
}

void HttpServer::StartStream(ExchangeId exchange,
                             int status,
                             std::vector<HttpField> headers) {
  std::lock_guard<std::mutex> lock(mutex_);
  Exchange* found = Find(exchange);
  if (found == nullptr || found->state != State::kWaiting) {
    return;
  }
  found->response.status = status;
  found->response.headers = std::move(headers);
  found->response.headers.insert(found->response.headers.end(),
                                 extra_headers_.begin(), extra_headers_.end());
  found->streaming = true;
  found->state = State::kStreaming;
  ResumeLocked(found);
}

void HttpServer::SendBytes(ExchangeId exchange, std::string_view bytes) {
  std::lock_guard<std::mutex> lock(mutex_);
  Exchange* found = Find(exchange);
  if (found == nullptr || found->state != State::kStreaming) {
    return;
  }
  found->pending.append(bytes);
  ResumeLocked(found);
}

void HttpServer::FinishStream(ExchangeId exchange) {
  std::lock_guard<std::mutex> lock(mutex_);
  Exchange* found = Find(exchange);
  if (found == nullptr || found->state != State::kStreaming) {
    return;
  }
  found->state = State::kFinished;
  ResumeLocked(found);
}

void HttpServer::Cut(ExchangeId exchange) {
  std::lock_guard<std::mutex> lock(mutex_);
  Exchange* found = Find(exchange);
  if (found == nullptr) {
    return;
  }
  found->state = State::kCut;
  ResumeLocked(found);
}

void HttpServer::DetectDisconnects() {
  std::lock_guard<std::mutex> lock(mutex_);
  for (auto& [id, exchange] : exchanges_) {
    // The socket stays open while the exchange is in exchanges_.
    if (!exchange->suspended) {
      continue;
    }
    const MHD_ConnectionInfo* info = MHD_get_connection_info(
        exchange->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    char byte = 0;
    const ssize_t count =
        recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR)) {
      exchange->state = State::kCut;
      ResumeLocked(exchange.get());
    }
  }
}

MHD_Result HttpServer::OnAccess(void* server,
                                MHD_Connection* connection,
                                const char* url,
                                const char* method,
                                const char*,
                                const char* upload_data,
                                std::size_t* upload_data_size,
                                void** context) {
  auto* self = static_cast<HttpServer*>(server);
  if (*context == nullptr) {
    *context = self->AddExchange(connection, url, method);
    return *context == nullptr ? MHD_NO : MHD_YES;
  }
  auto* exchange = static_cast<Exchange*>(*context);
  if (*upload_data_size > 0) {
    exchange->request.body.append(upload_data, *upload_data_size);
    *upload_data_size = 0;
    return MHD_YES;
  }
  return self->Dispatch(exchange);
}

HttpServer::Exchange* HttpServer::AddExchange(MHD_Connection* connection,
                                              const char* url,
                                              const char* method) {
  auto exchange = std::make_unique<Exchange>();
  exchange->connection = connection;
  exchange->request.method = method;
  exchange->request.path = url;
  MHD_get_connection_values(connection, MHD_HEADER_KIND, &AppendField,
                            &exchange->request.headers);
  MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &AppendField,
                            &exchange->request.query);
  std::lock_guard<std::mutex> lock(mutex_);
  if (stopping_) {
    return nullptr;
  }
  exchange->id = ExchangeId{++last_id_};
  Exchange* added = exchange.get();
  exchanges_.emplace(added->id, std::move(exchange));
  return added;
}

MHD_Result HttpServer::Dispatch(Exchange* exchange) {
  HttpRequest request;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (exchange->state != State::kReading) {
      return QueueResponse(exchange);
    }
    request = std::move(exchange->request);
    exchange->state = State::kWaiting;
    exchange->suspended = true;
    MHD_suspend_connection(exchange->connection);
  }
  handler_.OnRequest(*this, exchange->id, std::move(request));
  return MHD_YES;
}

MHD_Result HttpServer::QueueResponse(Exchange* exchange) {
  if (exchange->state == State::kCut) {
    return MHD_NO;
  }
  MHD_Response* response = nullptr;
  if (exchange->streaming) {
    auto context =
        std::make_unique<StreamContext>(StreamContext{this, exchange->id});
    response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, kStreamBlockBytes, &HttpServer::OnReadStream,
        context.release(), &FreeStreamContext);
  } else {
    response = MHD_create_response_from_buffer(exchange->response.body.size(),
                                               exchange->response.body.data(),
                                               MHD_RESPMEM_MUST_COPY);
  }
  for (const HttpField& field : exchange->response.headers) {
    MHD_add_response_header(response, field.name.c_str(), field.value.c_str());
  }
  const MHD_Result result = MHD_queue_response(
      exchange->connection, static_cast<unsigned>(exchange->response.status),
      response);
  MHD_destroy_response(response);
  return result;
}

ssize_t HttpServer::OnReadStream(void* context,
                                 std::uint64_t,
                                 char* buffer,
                                 std::size_t size) {
  const auto* stream = static_cast<StreamContext*>(context);
  HttpServer* self = stream->server;
  std::lock_guard<std::mutex> lock(self->mutex_);
  Exchange* exchange = self->Find(stream->exchange);
  if (exchange == nullptr || exchange->state == State::kCut) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  if (!exchange->pending.empty()) {
    const std::size_t count = std::min(size, exchange->pending.size());
    std::copy_n(exchange->pending.data(), count, buffer);
    exchange->pending.erase(0, count);
    return static_cast<ssize_t>(count);
  }
  if (exchange->state == State::kFinished) {
    return MHD_CONTENT_READER_END_OF_STREAM;
  }
  exchange->suspended = true;
  MHD_suspend_connection(exchange->connection);
  return 0;
}

void HttpServer::OnCompleted(void* server,
                             MHD_Connection*,
                             void** context,
                             MHD_RequestTerminationCode code) {
  auto* self = static_cast<HttpServer*>(server);
  auto* exchange = static_cast<Exchange*>(*context);
  *context = nullptr;
  if (exchange == nullptr) {
    return;
  }
  const ExchangeId id = exchange->id;
  bool dispatched = false;
  {
    std::lock_guard<std::mutex> lock(self->mutex_);
    dispatched = exchange->state != State::kReading;
    self->exchanges_.erase(id);
  }
  if (dispatched && code != MHD_REQUEST_TERMINATED_COMPLETED_OK) {
    self->handler_.OnBroken(*self, id);
  }
}

HttpServer::Exchange* HttpServer::Find(ExchangeId exchange) {
  const auto found = exchanges_.find(exchange);
  return found == exchanges_.end() ? nullptr : found->second.get();
}

void HttpServer::ResumeLocked(Exchange* exchange) {
  if (exchange->suspended) {
    exchange->suspended = false;
    MHD_resume_connection(exchange->connection);
  }
}

}  // namespace filbertshift::emulator
