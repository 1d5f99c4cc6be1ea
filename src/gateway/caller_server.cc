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
    case ConnectionEnd::kReset:
    case ConnectionEnd::kConnectFailed:
    case ConnectionEnd::kRefused:
      return CallerCloseReason::kCallerReset;
  }
  return CallerCloseReason::kCallerReset;
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
       connection->pending.size() + data.size() >
           kMaxPendingBytes + connection->limits.max_body_bytes);
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
    connection->body.clear();
    connection->keep_alive = connection->parser.keep_alive();
    connection->accepts_chunks = connection->parser.accepts_chunks();
    connection->continue_sent = false;
    connection->parsed_bytes = 0;
    connection->parser.Reset();
    connection->in_request = true;
    transport_->Cancel(connection->timer);
    handler_->OnRequest(id, std::move(head), std::move(body));
    connection = Find(id);
  }
  // A rejected request has removed the connection.
  connection = Find(id);
  if (connection != nullptr) {
    connection->parsing = false;
  }
}

bool CallerServer::ParseRequest(ConnectionId id, Connection* connection) {
  HttpMessageParser& parser = connection->parser;
  bool was_started = parser.started();
  std::size_t consumed = parser.Feed(connection->pending);
  connection->pending.erase(0, consumed);
  connection->parsed_bytes += consumed;
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
  connection->body += parser.TakeBody();
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

void CallerServer::SendContinue(ConnectionId id, Connection* connection) {
  connection->continue_sent = true;
  const std::string* expect =
      connection->parser.request().headers.Find("Expect");
  if (expect != nullptr && EqualsIgnoringCase(*expect, "100-continue")) {
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
                           std::string_view body) {
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
  message.append(has_no_body ? std::string_view() : body);
  transport_->Send(id, message);
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

void CallerServer::FinishResponse(ConnectionId id, Connection* connection) {
  connection->in_request = false;
  connection->streaming = false;
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
  connection->body_bytes_at_timer = connection->body.size();
  connection->timer =
      transport_->After(limits_.idle_timeout, [this, id] { OnBodyTimer(id); });
}

void CallerServer::OnBodyTimer(ConnectionId id) {
  Connection* connection = ReadAtExpiry(id);
  if (connection == nullptr || !connection->parser.started()) {
    return;
  }
  if (connection->body.size() - connection->body_bytes_at_timer >=
      kMinBodyProgressBytes) {
    ArmBodyTimer(id, connection);
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
