#include "src/gateway/caller_server.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>
#include <vector>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

// Limit on buffered bytes of pipelined requests, in addition to the maximum
// body size.
constexpr std::size_t kMaxPendingBytes = std::size_t{256} * 1024;
// A body counts as still arriving if it grows by this much in the idle timeout.
constexpr std::size_t kMinBodyProgressBytes = 512;
// Larger buffers of a connection are freed when they are empty.
constexpr std::size_t kKeptBufferBytes = 4096;
// Memory of a request besides its head and body.
constexpr std::size_t kRequestOverheadBytes = 4096;
// Copies of a head: as it arrived, and as it is sent to an endpoint.
constexpr std::size_t kHeadCopies = 2;
// A response from one piece is sent together with its head up to this size.
constexpr std::size_t kMaxJoinedBytes = std::size_t{16} * 1024;
// Retry-After of a request that is refused for want of memory.
constexpr std::string_view kMemoryRetryAfterSeconds = "1";
// How long the first request of a new connection is waited for when idle
// connections are closed.
constexpr milliseconds kFirstRequestWait{500};

std::uint64_t Number(ConnectionId id) {
  return static_cast<std::uint64_t>(id);
}

CallerCloseReason ReasonOf(ConnectionEnd end) {
  switch (end) {
    case ConnectionEnd::kClosed:
      return CallerCloseReason::kCallerClosed;
    case ConnectionEnd::kSilent:
      return CallerCloseReason::kCallerSilent;
    case ConnectionEnd::kClosedEarly:
    case ConnectionEnd::kReset:
    case ConnectionEnd::kConnectFailed:
    case ConnectionEnd::kRefused:
      return CallerCloseReason::kCallerReset;
  }
  return CallerCloseReason::kCallerReset;
}

// Unlike an assignment, which keeps the capacity.
void Free(std::string* text) {
  std::string().swap(*text);
}

bool ExpectsContinue(const HttpRequestHead& head) {
  const std::string* expect = head.headers.Find("Expect");
  return expect != nullptr && EqualsIgnoringCase(*expect, "100-continue");
}

}  // namespace

std::string_view CallerCloseReasonName(CallerCloseReason reason) {
  switch (reason) {
    case CallerCloseReason::kIdle:
      return "idle";
    case CallerCloseReason::kAnnounced:
      return "announced";
    case CallerCloseReason::kShutdown:
      return "shutdown";
    case CallerCloseReason::kRejected:
      return "rejected";
    case CallerCloseReason::kSlowCaller:
      return "slow_caller";
    case CallerCloseReason::kBrokenOff:
      return "broken_off";
    case CallerCloseReason::kCallerClosed:
      return "caller_closed";
    case CallerCloseReason::kCallerReset:
      return "caller_reset";
    case CallerCloseReason::kCallerSilent:
      return "caller_silent";
  }
  return "broken_off";
}

CallerServer::CallerServer(Transport* transport, HttpRequestHandler* handler)
    : transport_(transport), handler_(handler) {}

CallerServer::Connection* CallerServer::Find(ConnectionId id) {
  auto found = connections_.find(Number(id));
  return found == connections_.end() ? nullptr : found->second.get();
}

void CallerServer::OnAccepted(ConnectionId id) {
  HttpParseLimits limits{limits_.max_head_bytes, limits_.max_body_bytes};
  auto connection = std::make_unique<Connection>(limits);
  Connection* added = connection.get();
  added->accepted_at = transport_->Now();
  added->idle_since = added->accepted_at;
  connections_.emplace(Number(id), std::move(connection));
  ArmIdleTimer(id, added);
}

void CallerServer::OnData(ConnectionId id, std::string_view data) {
  Connection* connection = Find(id);
  if (connection == nullptr) {
    return;
  }
  UpdateLimits(connection);
  connection->unused = false;
  connection->overflowed =
      connection->overflowed ||
      (connection->in_request &&
       (connection->pending.size() + data.size() >
            kMaxPendingBytes + connection->limits.max_body_bytes ||
        !HoldMemory(id, *connection, data.size())));
  if (!connection->overflowed) {
    connection->pending.append(data);
  }
  if (!connection->in_request) {
    Process(id);
  }
}

void CallerServer::UpdateLimits(Connection* connection) const {
  HttpParseLimits* limits = &connection->limits;
  if (connection->pending.empty() && !connection->parser.started()) {
    *limits = {limits_.max_head_bytes, limits_.max_body_bytes};
  } else {
    limits->max_head_bytes =
        std::max(limits->max_head_bytes, limits_.max_head_bytes);
    limits->max_body_bytes =
        std::max(limits->max_body_bytes, limits_.max_body_bytes);
  }
  connection->parser.SetLimits(*limits);
}

void CallerServer::OnEnd(ConnectionId id, ConnectionEnd end) {
  Connection* connection = Find(id);
  if (connection == nullptr) {
    return;
  }
  bool in_request = connection->in_request;
  Remove(id, ReasonOf(end));
  if (in_request) {
    handler_->OnCallerDisconnected(id, end);
  }
}

void CallerServer::Process(ConnectionId id) {
  Connection* connection = Find(id);
  // A handler that responds within OnRequest re-enters this function; the loop
  // below then continues.
  if (connection == nullptr || connection->parsing) {
    return;
  }
  connection->parsing = true;
  while (connection != nullptr && !connection->in_request &&
         ParseRequest(id, connection)) {
    HttpRequestHead head = connection->parser.request();
    std::string body = std::move(connection->body);
    connection->keep_alive = connection->parser.keep_alive();
    connection->accepts_chunks = connection->parser.accepts_chunks();
    connection->request_memory = ArrivingMemory(*connection) + body.capacity();
    ResetRequest(connection);
    connection->in_request = true;
    transport_->Cancel(connection->timer);
    handler_->OnRequest(id, std::move(head), std::move(body));
    connection = Find(id);
  }
  // A rejected request has removed the connection.
  connection = Find(id);
  if (connection != nullptr) {
    connection->parsing = false;
    if (connection->pending.empty() &&
        connection->pending.capacity() > kKeptBufferBytes) {
      Free(&connection->pending);
    }
  }
}

void CallerServer::ResetRequest(Connection* connection) {
  connection->parser.Reset();
  Free(&connection->body);
  connection->body_bytes = 0;
  connection->parsed_bytes = 0;
  connection->admitted = false;
  connection->discarding = false;
  connection->continue_sent = false;
}

bool CallerServer::ParseRequest(ConnectionId id, Connection* connection) {
  HttpMessageParser& parser = connection->parser;
  bool was_started = parser.started();
  std::size_t consumed = parser.Feed(connection->pending);
  connection->pending.erase(0, consumed);
  connection->parsed_bytes += consumed;
  if (connection->discarding && parser.error() != HttpParseError::kNone) {
    // The request has had its response.
    Remove(id, CallerCloseReason::kRejected);
    transport_->CloseLingering(id);
    return false;
  }
  switch (parser.error()) {
    case HttpParseError::kMalformed:
      Reject(id, 400, "malformed request");
      return false;
    case HttpParseError::kHeadTooLarge:
      Reject(id, 431, "head too large");
      return false;
    case HttpParseError::kBodyTooLarge:
      Reject(id, 413, "body too large");
      return false;
    case HttpParseError::kNone:
      break;
  }
  if (!ReceiveBody(id, connection)) {
    connection = Find(id);
    return connection != nullptr && !connection->pending.empty() &&
           ParseRequest(id, connection);
  }
  if (parser.complete()) {
    return true;
  }
  if (connection->overflowed) {
    Reject(id, 503, "too many pipelined bytes");
    return false;
  }
  if (parser.head_complete() && !connection->continue_sent) {
    SendContinue(id, connection);
  }
  if (parser.started() && !was_started) {
    connection->request_started_at = transport_->Now();
    ArmHeadTimer(id, connection);
  }
  return false;
}

bool CallerServer::ReceiveBody(ConnectionId id, Connection* connection) {
  HttpMessageParser& parser = connection->parser;
  std::string received = parser.TakeBody();
  connection->body_bytes += received.size();
  if (!connection->discarding) {
    if (parser.head_complete() && !connection->admitted) {
      connection->admitted =
          HoldMemory(id, *connection, parser.announced_bytes());
      if (connection->admitted) {
        connection->body.reserve(parser.announced_bytes());
      }
    }
    if (connection->admitted || !parser.head_complete()) {
      connection->body += received;
      if (HoldMemory(id, *connection)) {
        return true;
      }
    }
    RefuseForMemory(id, connection);
    connection = Find(id);
  }
  if (connection != nullptr && parser.complete()) {
    ResetRequest(connection);
    HoldMemory(id, *connection);
    connection->idle_since = transport_->Now();
    ArmIdleTimer(id, connection);
  }
  return false;
}

std::size_t CallerServer::ArrivingMemory(const Connection& connection) {
  return connection.parser.started()
             ? kRequestOverheadBytes +
                   kHeadCopies * connection.parser.head_memory()
             : 0;
}

std::size_t CallerServer::MemoryOf(const Connection& connection) {
  std::size_t bytes = connection.request_memory + ArrivingMemory(connection) +
                      connection.body.capacity() + connection.pending.size();
  // What a connection holds without a request is not worth counting.
  return bytes < kKeptBufferBytes ? 0 : bytes;
}

bool CallerServer::HoldMemory(ConnectionId id,
                              const Connection& connection,
                              std::size_t more_bytes) {
  return memory_ == nullptr ||
         memory_->TryHold(Number(id), MemoryOf(connection) + more_bytes);
}

void CallerServer::RefuseForMemory(ConnectionId id, Connection* connection) {
  const HttpMessageParser& parser = connection->parser;
  Free(&connection->body);
  if (!parser.head_complete()) {
    Reject(id, 503, "no memory for the head");
    return;
  }
  handler_->OnRejected(
      503, fmt::format("no memory for the request: {} bytes announced, {} of "
                       "{} held",
                       parser.announced_bytes(), memory_->total(),
                       memory_->max_bytes()));
  CallerError error;
  error.http_status = 503;
  error.code = "no_memory";
  error.message = std::string(ReasonPhrase(error.http_status));
  error.run = RunState::kNotRun;
  std::string body = CallerErrorBody(error);
  HttpResponseHead head{503, error.message, {}};
  head.headers.Add("Content-Type", "application/json");
  head.headers.Add("Retry-After", std::string(kMemoryRetryAfterSeconds));
  head.headers.Add("Content-Length", fmt::format("{}", body.size()));
  // A caller that waits to be told to go on sends no body now.
  bool awaits_continue = !parser.complete() && !connection->continue_sent &&
                         ExpectsContinue(parser.request());
  bool ends = closing_ || !parser.keep_alive() || awaits_continue;
  if (ends) {
    head.headers.Add("Connection", "close");
  }
  transport_->Send(id, SerializeResponseHead(head) + body);
  if (ends) {
    Remove(id, CallerCloseReason::kRejected);
    transport_->CloseLingering(id);
    return;
  }
  connection->discarding = true;
  HoldMemory(id, *connection);
  if (!parser.complete()) {
    ArmBodyTimer(id, connection);
  }
}

void CallerServer::SendContinue(ConnectionId id, Connection* connection) {
  connection->continue_sent = true;
  if (ExpectsContinue(connection->parser.request())) {
    transport_->Send(id, "HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void CallerServer::Reject(ConnectionId id,
                          int status,
                          std::string_view reason) {
  handler_->OnRejected(status, reason);
  HttpResponseHead head{status, std::string(ReasonPhrase(status)), {}};
  head.headers.Add("Content-Length", "0");
  head.headers.Add("Connection", "close");
  transport_->Send(id, SerializeResponseHead(head));
  Remove(id, CallerCloseReason::kRejected);
  transport_->CloseLingering(id);
}

void CallerServer::Remove(ConnectionId id, CallerCloseReason reason) {
  auto found = connections_.find(Number(id));
  const Connection& connection = *found->second;
  std::size_t unanswered_bytes =
      connection.parsed_bytes + connection.pending.size();
  transport_->Cancel(connection.timer);
  connections_.erase(found);
  if (memory_ != nullptr) {
    memory_->Release(Number(id));
  }
  handler_->OnConnectionClosed(reason, unanswered_bytes);
}

void CallerServer::AddConnectionField(const Connection& connection,
                                      HttpResponseHead* head) const {
  if (closing_ || !connection.keep_alive) {
    head->headers.Add("Connection", "close");
  }
}

void CallerServer::Respond(ConnectionId id,
                           HttpResponseHead head,
                           std::string body) {
  Connection* connection = Find(id);
  if (connection == nullptr || !connection->in_request) {
    return;
  }
  bool has_no_body = head.status == 204 || head.status == 304;
  if (!has_no_body) {
    head.headers.Add("Content-Length", fmt::format("{}", body.size()));
  }
  AddConnectionField(*connection, &head);
  std::string message = SerializeResponseHead(head);
  bool joined = !has_no_body && body.size() <= kMaxJoinedBytes;
  if (joined) {
    message += body;
  }
  transport_->Send(id, message);
  if (!has_no_body && !joined) {
    transport_->SendShared(
        id, std::make_shared<const std::string>(std::move(body)));
  }
  FinishResponse(id, connection);
}

void CallerServer::BeginStream(ConnectionId id, HttpResponseHead head) {
  Connection* connection = Find(id);
  if (connection == nullptr || !connection->in_request) {
    return;
  }
  if (connection->accepts_chunks) {
    head.headers.Add("Transfer-Encoding", "chunked");
  } else {
    connection->keep_alive = false;
  }
  AddConnectionField(*connection, &head);
  connection->streaming = true;
  transport_->Send(id, SerializeResponseHead(head));
}

void CallerServer::SendStream(ConnectionId id, std::string_view data) {
  Connection* connection = Find(id);
  if (connection != nullptr && connection->streaming && !data.empty()) {
    if (connection->accepts_chunks) {
      transport_->Send(id, SerializeChunk(data));
    } else {
      transport_->Send(id, data);
    }
  }
}

void CallerServer::EndStream(ConnectionId id) {
  Connection* connection = Find(id);
  if (connection != nullptr && connection->streaming) {
    if (connection->accepts_chunks) {
      transport_->Send(id, kLastChunk);
    }
    FinishResponse(id, connection);
  }
}

void CallerServer::AbortResponse(ConnectionId id, CallerCloseReason reason) {
  if (Find(id) != nullptr) {
    Remove(id, reason);
    transport_->Abort(id);
  }
}

std::size_t CallerServer::UnsentBytes(ConnectionId id) const {
  return transport_->UnsentBytes(id);
}

bool CallerServer::HasUnsentBytes() const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [this](const auto& entry) {
                       return UnsentBytes(ConnectionId{entry.first}) > 0;
                     });
}

void CallerServer::FinishResponse(ConnectionId id, Connection* connection) {
  connection->in_request = false;
  connection->streaming = false;
  connection->request_memory = 0;
  HoldMemory(id, *connection);
  if (closing_ || !connection->keep_alive) {
    Remove(id, CallerCloseReason::kAnnounced);
    transport_->CloseLingering(id);
    return;
  }
  connection->idle_since = transport_->Now();
  ArmIdleTimer(id, connection);
  if (!connection->pending.empty() || connection->overflowed) {
    Process(id);
  }
}

void CallerServer::ArmIdleTimer(ConnectionId id, Connection* connection) {
  transport_->Cancel(connection->timer);
  connection->timer =
      transport_->After(TimeLeft(connection->idle_since + limits_.idle_timeout),
                        [this, id] { OnIdleTimer(id); });
}

void CallerServer::OnIdleTimer(ConnectionId id) {
  Connection* connection = Find(id);
  if (TimeLeft(connection->idle_since + limits_.idle_timeout).count() > 0) {
    ArmIdleTimer(id, connection);
    return;
  }
  connection = ReadAtExpiry(id);
  if (connection != nullptr && IsIdle(*connection)) {
    Remove(id, CallerCloseReason::kIdle);
    transport_->Close(id);
  }
}

void CallerServer::ArmHeadTimer(ConnectionId id, Connection* connection) {
  transport_->Cancel(connection->timer);
  connection->timer = transport_->After(
      TimeLeft(connection->request_started_at + limits_.head_timeout),
      [this, id] { OnHeadTimer(id); });
}

void CallerServer::OnHeadTimer(ConnectionId id) {
  Connection* connection = Find(id);
  if (TimeLeft(connection->request_started_at + limits_.head_timeout).count() >
      0) {
    ArmHeadTimer(id, connection);
    return;
  }
  connection = ReadAtExpiry(id);
  if (connection == nullptr || !connection->parser.started()) {
    return;
  }
  if (connection->parser.head_complete()) {
    ArmBodyTimer(id, connection);
  } else {
    Reject(id, 408, "request timeout");
  }
}

void CallerServer::ArmBodyTimer(ConnectionId id, Connection* connection) {
  transport_->Cancel(connection->timer);
  connection->body_bytes_at_timer = connection->body_bytes;
  connection->timer =
      transport_->After(limits_.idle_timeout, [this, id] { OnBodyTimer(id); });
}

void CallerServer::OnBodyTimer(ConnectionId id) {
  Connection* connection = ReadAtExpiry(id);
  if (connection == nullptr || !connection->parser.started()) {
    return;
  }
  if (connection->body_bytes - connection->body_bytes_at_timer >=
      kMinBodyProgressBytes) {
    ArmBodyTimer(id, connection);
  } else if (connection->discarding) {
    Remove(id, CallerCloseReason::kRejected);
    transport_->CloseLingering(id);
  } else {
    Reject(id, 408, "body timeout");
  }
}

CallerServer::Connection* CallerServer::ReadAtExpiry(ConnectionId id) {
  TimerId expired = Find(id)->timer;
  transport_->ReadArrived(id);
  Connection* connection = Find(id);
  return connection != nullptr && connection->timer == expired ? connection
                                                               : nullptr;
}

milliseconds CallerServer::TimeLeft(TimePoint end) const {
  return std::max(std::chrono::ceil<milliseconds>(end - transport_->Now()),
                  milliseconds(0));
}

bool CallerServer::IsIdle(const Connection& connection) {
  return !connection.in_request && !connection.parser.started() &&
         connection.pending.empty();
}

bool CallerServer::AwaitsFirstRequest(const Connection& connection) const {
  return connection.unused &&
         transport_->Now() - connection.accepted_at < kFirstRequestWait;
}

bool CallerServer::AwaitsFirstRequest() const {
  return std::any_of(
      connections_.begin(), connections_.end(),
      [this](const auto& entry) { return AwaitsFirstRequest(*entry.second); });
}

void CallerServer::CloseIdle() {
  std::vector<ConnectionId> idle;
  for (const auto& entry : connections_) {
    const Connection& connection = *entry.second;
    if (IsIdle(connection) && !AwaitsFirstRequest(connection)) {
      idle.push_back(ConnectionId{entry.first});
    }
  }
  for (ConnectionId id : idle) {
    transport_->ReadArrived(id);
    Connection* connection = Find(id);
    if (connection != nullptr && IsIdle(*connection)) {
      Remove(id, CallerCloseReason::kShutdown);
      transport_->Close(id);
    }
  }
}

}  // namespace filbertshift
