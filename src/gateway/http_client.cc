#include "src/gateway/http_client.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

// An idle connection is not reused this close to the peer's idle limit, because
// the peer could close it while the request is in transit.
constexpr milliseconds kPeerIdleMargin{500};
// Assumed if the peer sends no idle limit.
constexpr milliseconds kDefaultPeerIdleLimit{4000};
// Maximum responses to other requests that are skipped before ours.
constexpr int kMaxSkippedResponses = 3;
// Maximum interim responses (1xx) before a final one.
constexpr int kMaxInterimResponses = 16;
// A connection is not reused after this many requests with ids, which bounds
// the memory of their hashes.
constexpr std::size_t kMaxRequestIds = 1024;

std::uint64_t Number(ConnectionId id) {
  return static_cast<std::uint64_t>(id);
}
std::uint64_t Number(CallId id) {
  return static_cast<std::uint64_t>(id);
}

// Parses "Keep-Alive: timeout=N" with N in whole seconds.
milliseconds PeerIdleLimit(const HttpHeaders& headers) {
  const std::string* value = headers.Find("Keep-Alive");
  constexpr std::string_view kName = "timeout=";
  std::size_t position =
      value == nullptr ? std::string::npos : value->find(kName);
  if (position == std::string::npos) {
    return kDefaultPeerIdleLimit;
  }
  int seconds = 0;
  const char* begin = value->data() + position + kName.size();
  auto result = std::from_chars(begin, value->data() + value->size(), seconds);
  return result.ec == std::errc() ? milliseconds(std::chrono::seconds(seconds))
                                  : kDefaultPeerIdleLimit;
}

}  // namespace

HttpClient::Connection::Connection(HttpParseLimits limits)
    : parser(HttpMessageParser::Kind::kResponse, limits) {}

HttpClient::HttpClient(Transport* transport,
                       milliseconds connect_timeout,
                       HttpParseLimits limits)
    : transport_(transport),
      connect_timeout_(connect_timeout),
      limits_(limits) {}

HttpClient::Connection* HttpClient::Find(ConnectionId id) {
  auto found = connections_.find(Number(id));
  return found == connections_.end() ? nullptr : found->second.get();
}

const HttpClient::Connection* HttpClient::Find(ConnectionId id) const {
  auto found = connections_.find(Number(id));
  return found == connections_.end() ? nullptr : found->second.get();
}

bool HttpClient::HasIdle(const std::string& address,
                         milliseconds max_idle) const {
  auto found = idle_.find(address);
  return found != idle_.end() &&
         std::any_of(
             found->second.begin(), found->second.end(), [&](ConnectionId id) {
               const Connection* connection = Find(id);
               return connection != nullptr && IsUsable(*connection, max_idle);
             });
}

bool HttpClient::IsUsable(const Connection& connection,
                          milliseconds max_idle) const {
  auto idle = transport_->Now() - connection.idle_since;
  return idle <= max_idle &&
         idle + kPeerIdleMargin <= connection.peer_idle_limit;
}

ConnectionId HttpClient::TakeIdle(const std::string& address,
                                  milliseconds max_idle,
                                  std::optional<std::uint64_t> request_id) {
  auto found = idle_.find(address);
  if (found == idle_.end()) {
    return ConnectionId{};
  }
  std::deque<ConnectionId>& idle_connections = found->second;
  ConnectionId taken{};
  // Connections that only this request may not use.
  std::vector<ConnectionId> passed_over;
  while (!idle_connections.empty() && taken == ConnectionId{}) {
    ConnectionId id = idle_connections.back();
    idle_connections.pop_back();
    Connection* connection = Find(id);
    if (connection == nullptr) {
      continue;
    }
    if (transport_->HasUnreadData(id)) {
      // Ends, and is reported, when the event loop reads it.
      continue;
    }
    if (!IsUsable(*connection, max_idle)) {
      Drop(id);
      continue;
    }
    const std::vector<std::uint64_t>& carried = connection->request_ids;
    if (request_id.has_value() && std::find(carried.begin(), carried.end(),
                                            *request_id) != carried.end()) {
      passed_over.push_back(id);
      continue;
    }
    taken = id;
  }
  idle_connections.insert(idle_connections.end(), passed_over.rbegin(),
                          passed_over.rend());
  if (idle_connections.empty()) {
    idle_.erase(found);
  }
  return taken;
}

CallId HttpClient::Start(const std::string& address,
                         std::string message,
                         milliseconds max_idle,
                         CallListener* listener) {
  return Start({address, std::move(message), nullptr, max_idle, std::string()},
               listener);
}

CallId HttpClient::Start(HttpCall request, CallListener* listener) {
  CallId call{++last_call_};
  std::optional<std::uint64_t> id_hash;
  if (!request.request_id.empty()) {
    id_hash = XXH64(request.request_id.data(), request.request_id.size(), 0);
  }
  ConnectionId id = TakeIdle(request.address, request.max_idle, id_hash);
  if (id == ConnectionId{}) {
    id = transport_->Connect(request.address, connect_timeout_, this);
    ++connections_opened_;
    connections_.emplace(Number(id), std::make_unique<Connection>(limits_));
    Find(id)->address = std::move(request.address);
    Find(id)->opened_at = transport_->Now();
  }
  Connection* connection = Find(id);
  connection->latest_request_id = std::move(request.request_id);
  if (id_hash.has_value()) {
    connection->request_ids.push_back(*id_hash);
  }
  connection->call = call;
  connection->listener = listener;
  connection->head_reported = false;
  connection->skipping = false;
  connection->skipped = 0;
  connection->interim = 0;
  connection->last = false;
  ++connection->requests;
  connection->parser.Reset();
  calls_[Number(call)] = id;
  connection->message = std::move(request.message);
  connection->body = std::move(request.body);
  if (connection->connected) {
    SendRequest(id, connection);
  }
  return call;
}

void HttpClient::SendRequest(ConnectionId id, Connection* connection) {
  transport_->Send(id, std::exchange(connection->message, std::string()));
  std::shared_ptr<const std::string> body = std::move(connection->body);
  if (body != nullptr) {
    transport_->SendShared(id, std::move(body));
  }
}

bool HttpClient::IsSent(CallId call) const {
  auto found = calls_.find(Number(call));
  return found != calls_.end() &&
         connections_.at(Number(found->second))->connected;
}

bool HttpClient::HasOwnConnection(CallId call) const {
  auto found = calls_.find(Number(call));
  if (found == calls_.end()) {
    return false;
  }
  const Connection& connection = *connections_.at(Number(found->second));
  return connection.requests == 1 && connection.skipped == 0;
}

CallConnection HttpClient::ConnectionOf(CallId call) const {
  auto found = calls_.find(Number(call));
  return found == calls_.end()
             ? CallConnection()
             : Describe(found->second, *connections_.at(Number(found->second)));
}

CallConnection HttpClient::Describe(ConnectionId id,
                                    const Connection& connection) const {
  return {id, connection.requests,
          std::chrono::duration_cast<milliseconds>(transport_->Now() -
                                                   connection.opened_at)};
}

void HttpClient::ReportUnsolicited(ConnectionId id,
                                   const Connection& connection,
                                   std::string_view bytes) const {
  if (on_unsolicited_) {
    on_unsolicited_({connection.address, connection.latest_request_id,
                     Describe(id, connection), bytes});
  }
}

void HttpClient::Cancel(CallId call) {
  auto found = calls_.find(Number(call));
  if (found == calls_.end()) {
    return;
  }
  ConnectionId id = found->second;
  calls_.erase(found);
  transport_->Abort(id);
  connections_.erase(Number(id));
}

void HttpClient::CloseIdle(const std::string& address) {
  auto found = idle_.find(address);
  if (found == idle_.end()) {
    return;
  }
  for (ConnectionId id : found->second) {
    Connection* connection = Find(id);
    if (connection != nullptr && connection->call == CallId{}) {
      Drop(id);
    }
  }
  idle_.erase(found);
}

void HttpClient::Drop(ConnectionId id) {
  connections_.erase(Number(id));
  transport_->Close(id);
}

void HttpClient::OnConnected(ConnectionId id) {
  Connection* connection = Find(id);
  if (connection != nullptr) {
    connection->connected = true;
    if (on_connected_ && connection->call != CallId{}) {
      on_connected_(connection->call,
                    std::chrono::duration_cast<std::chrono::microseconds>(
                        transport_->Now() - connection->opened_at));
    }
    SendRequest(id, connection);
  }
}

void HttpClient::OnData(ConnectionId id, std::string_view data) {
  Connection* connection = Find(id);
  if (connection == nullptr) {
    return;
  }
  if (connection->call == CallId{}) {
    ReportUnsolicited(id, *connection, data);
    Drop(id);
    return;
  }
  Parse(id, data);
}

void HttpClient::Parse(ConnectionId id, std::string_view data) {
  Connection* connection = Find(id);
  CallId call = connection->call;
  while (!data.empty()) {
    std::size_t consumed = connection->parser.Feed(data);
    data.remove_prefix(std::min(consumed, data.size()));
    if (connection->parser.error() != HttpParseError::kNone) {
      Fail(id, CallFailure::kBroken, DescribeFault(connection->parser.fault()));
      return;
    }
    if (connection->parser.head_complete() && !connection->parser.interim() &&
        !ReportHead(id, connection)) {
      return;
    }
    std::string body = connection->parser.TakeBody();
    if (!body.empty() && !connection->skipping) {
      connection->listener->OnBody(call, body);
      connection = Find(id);
      if (connection == nullptr || connection->call != call) {
        return;
      }
    }
    if (!connection->parser.complete()) {
      return;
    }
    if (!connection->parser.interim() && !connection->skipping) {
      if (!data.empty()) {
        ReportUnsolicited(id, *connection, data);
      }
      FinishMessage(id, connection, !data.empty());
      return;
    }
    if (!PassOver(id, connection)) {
      return;
    }
  }
}

bool HttpClient::PassOver(ConnectionId id, Connection* connection) {
  connection->interim += connection->parser.interim() ? 1 : 0;
  if (connection->interim > kMaxInterimResponses) {
    Fail(id, CallFailure::kBroken, "too many interim answers");
    return false;
  }
  connection->parser.Reset();
  connection->skipping = false;
  connection->head_reported = false;
  return true;
}

bool HttpClient::ReportHead(ConnectionId id, Connection* connection) {
  if (connection->head_reported) {
    return true;
  }
  connection->head_reported = true;
  CallId call = connection->call;
  HeadDecision decision =
      connection->listener->OnHead(call, connection->parser.response());
  connection = Find(id);
  if (connection == nullptr || connection->call != call) {
    return false;
  }
  connection->last = decision == HeadDecision::kAcceptLast;
  if (decision == HeadDecision::kSkip) {
    connection->skipping = true;
    if (++connection->skipped > kMaxSkippedResponses ||
        !connection->parser.has_framing()) {
      Fail(id, CallFailure::kBroken, "foreign answer");
      return false;
    }
  }
  return true;
}

void HttpClient::FinishMessage(ConnectionId id,
                               Connection* connection,
                               bool extra_bytes) {
  CallId call = connection->call;
  CallListener* listener = connection->listener;
  calls_.erase(Number(call));
  connection->call = CallId{};
  connection->listener = nullptr;
  bool sent = transport_->UnsentBytes(id) == 0;
  bool reusable = connection->parser.keep_alive() && !connection->last &&
                  !extra_bytes && sent &&
                  connection->request_ids.size() < kMaxRequestIds;
  if (!sent) {
    // A peer that responds before the end of the request needs no more of it,
    // and may take long to read it.
    connections_.erase(Number(id));
    transport_->Abort(id);
  } else if (reusable) {
    connection->idle_since = transport_->Now();
    connection->peer_idle_limit =
        PeerIdleLimit(connection->parser.response().headers);
    idle_[connection->address].push_back(id);
  } else {
    Drop(id);
  }
  listener->OnComplete(call);
}

void HttpClient::Fail(ConnectionId id,
                      CallFailure failure,
                      std::string_view detail) {
  Connection* connection = Find(id);
  CallId call = connection->call;
  CallListener* listener = connection->listener;
  calls_.erase(Number(call));
  connections_.erase(Number(id));
  transport_->Abort(id);
  listener->OnFailed(call, failure, detail);
}

void HttpClient::OnEnd(ConnectionId id, ConnectionEnd end) {
  Connection* connection = Find(id);
  if (connection == nullptr) {
    return;
  }
  if (connection->call == CallId{}) {
    connections_.erase(Number(id));
    return;
  }
  if (end == ConnectionEnd::kClosed && connection->head_reported &&
      !connection->skipping && !connection->parser.has_framing()) {
    connection->parser.FeedEnd();
    if (connection->parser.complete()) {
      FinishMessage(id, connection, false);
      return;
    }
  }
  bool sent = connection->connected;
  Fail(id, sent ? CallFailure::kBroken : CallFailure::kNotSent,
       ConnectionEndName(end));
}

}  // namespace filbertshift
