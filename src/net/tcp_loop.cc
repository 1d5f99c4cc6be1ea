#include "src/net/tcp_loop.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace filbertshift {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

// A connection beyond the backlog waits seconds until its SYN is retransmitted.
constexpr int kListenBacklog = 1024;
// The first probe follows one second without data; two probes without a reply
// end the connection.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
// Delay after a failed accept, for example when the process has run out of file
// descriptors.
constexpr milliseconds kAcceptRetryDelay{20};
// Bytes that the kernel takes before it has sent those before them. Without
// this limit it takes up to 4 MB for a peer that does not read, which no limit
// of the process counts.
constexpr int kMaxKernelUnsentBytes = 64 * 1024;
// Limits of a connection that is closed while its peer may still be sending,
// and of the number of such connections, each of which holds a file descriptor.
constexpr milliseconds kMaxLingerTime{2000};
// Time to deliver the rest of a response on a connection that is closed.
constexpr milliseconds kMaxFlushTime{30000};
constexpr std::size_t kMaxLingerBytes = std::size_t{32} * 1024 * 1024;
constexpr std::size_t kMaxLingering = 128;
// Bounds what is read of a connection that cannot be written to any more, in
// buffers of `read_buffer_`. More than the kernel holds of one connection.
constexpr int kMaxFinalReads = 1024;

// Throws boost::system::system_error for a malformed address.
tcp::endpoint ParseAddress(const std::string& address) {
  try {
    TcpAddress parsed = ParseTcpAddress(address);
    tcp::endpoint endpoint;
    endpoint.resize(parsed.size);
    std::memcpy(endpoint.data(), parsed.get(), parsed.size);
    if (endpoint.port() > 0) {
      return endpoint;
    }
  } catch (const std::invalid_argument&) {
    // Reported as a system error like the failures of the socket calls.
  }
  throw boost::system::system_error(
      make_error_code(boost::system::errc::invalid_argument), address);
}

void SetTcpOption(int descriptor, int option, int value) {
  setsockopt(descriptor, IPPROTO_TCP, option, &value, sizeof(value));
}

// Returns nothing if the system does not tell.
std::optional<tcp_info> TcpInfo(int descriptor) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return std::nullopt;
  }
  return info;
}

// TCP_USER_TIMEOUT also ends connections whose peer acknowledges but does not
// read for a while. It stays where the system does not tell what
// CheckAcknowledgements needs.
void UseOwnSilenceCheck(int descriptor) {
  if (TcpInfo(descriptor).has_value()) {
    SetTcpOption(descriptor, TCP_USER_TIMEOUT, 0);
  }
}

bool WouldBlock(const error_code& error) {
  return error == asio::error::would_block || error == asio::error::try_again ||
         error == asio::error::interrupted;
}

ConnectionEnd ConnectionEndFromError(const error_code& error) {
  if (error == asio::error::eof) {
    return ConnectionEnd::kClosed;
  }
  return error == asio::error::timed_out ? ConnectionEnd::kSilent
                                         : ConnectionEnd::kReset;
}

std::uint64_t Number(ConnectionId id) {
  return static_cast<std::uint64_t>(id);
}

}  // namespace

std::string_view ConnectionEndName(ConnectionEnd end) {
  switch (end) {
    case ConnectionEnd::kClosed:
      return "closed";
    case ConnectionEnd::kClosedEarly:
      return "closed_early";
    case ConnectionEnd::kReset:
      return "reset";
    case ConnectionEnd::kSilent:
      return "silent";
    case ConnectionEnd::kConnectFailed:
      return "connect_failed";
    case ConnectionEnd::kRefused:
      return "connect_refused";
  }
  return "reset";
}

TcpLoop::TcpLoop(milliseconds silence_timeout)
    : silence_timeout_(silence_timeout),
      context_(1),
      timer_(context_),
      signals_(context_) {
  CheckAcknowledgements();
}

TcpLoop::~TcpLoop() {
  for (auto& entry : connections_) {
    // As for each connection that ends before all its bytes are sent.
    if (!entry.second->unsent.empty()) {
      SetReset(entry.second.get());
    }
  }
}

void TcpLoop::Listen(const std::string& address, AcceptListener* listener) {
  tcp::endpoint endpoint = ParseAddress(address);
  auto entry = std::make_unique<Listener>(context_);
  entry->listener = listener;
  entry->acceptor.open(endpoint.protocol());
  entry->acceptor.set_option(tcp::acceptor::reuse_address(true));
  // Accepted connections inherit it.
  LimitReceiveBuffer(entry->acceptor.native_handle());
  entry->acceptor.bind(endpoint);
  entry->acceptor.listen(kListenBacklog);
  entry->acceptor.non_blocking(true);
  listeners_.push_back(std::move(entry));
  Accept(listeners_.back().get());
}

void TcpLoop::Accept(Listener* listener) {
  auto connection = std::make_unique<Connection>(context_);
  Connection* accepted = connection.get();
  listener->acceptor.async_accept(
      accepted->socket,
      [this, listener, held = std::move(connection)](error_code error) mutable {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (error) {
          After(kAcceptRetryDelay, [this, listener] { Accept(listener); });
          return;
        }
        held->listener = listener->listener;
        held->accepted = true;
        held->connected = true;
        SetOptions(&held->socket);
        UseOwnSilenceCheck(held->socket.native_handle());
        ConnectionId id = Add(std::move(held));
        listener->listener->OnAccepted(id);
        WaitToRead(id);
        Accept(listener);
      });
}

void TcpLoop::SetOptions(Socket* socket) const {
  error_code ignored;  // The connection works without an unsupported option.
  socket->non_blocking(true, ignored);
  socket->set_option(tcp::no_delay(true), ignored);
  socket->set_option(asio::socket_base::keep_alive(true), ignored);
  int descriptor = socket->native_handle();
  SetTcpOption(descriptor, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetTcpOption(descriptor, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetTcpOption(descriptor, TCP_KEEPCNT, kKeepAliveProbes);
  SetTcpOption(descriptor, TCP_USER_TIMEOUT,
               static_cast<int>(silence_timeout_.count()));
  SetTcpOption(descriptor, TCP_NOTSENT_LOWAT, kMaxKernelUnsentBytes);
}

void TcpLoop::LimitReceiveBuffer(int descriptor) const {
  if (receive_buffer_ > 0) {
    int bytes = static_cast<int>(receive_buffer_);
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
  }
}

// A peer whose buffer is full acknowledges each retransmission, so its latest
// acknowledgement is about as old as the latest transmission.
void TcpLoop::CheckAcknowledgements() {
  TimePoint now = Now();
  std::vector<ConnectionId> silent;
  for (auto& [number, connection] : connections_) {
    if (!connection->connected || !connection->unacknowledged) {
      continue;
    }
    std::optional<tcp_info> info = TcpInfo(connection->socket.native_handle());
    if (!info.has_value() || info->tcpi_unacked == 0) {
      // What is left waits for the peer to read; the kernel asks for that.
      connection->unacknowledged = UnsentBytes(ConnectionId{number}) > 0;
      connection->unacknowledged_since.reset();
    } else if (!connection->unacknowledged_since.has_value()) {
      connection->unacknowledged_since = now;
    } else if (now - *connection->unacknowledged_since >= silence_timeout_ &&
               milliseconds(info->tcpi_last_ack_recv) >=
                   milliseconds(info->tcpi_last_data_sent) + silence_timeout_) {
      silent.push_back(ConnectionId{number});
    }
  }
  for (ConnectionId id : silent) {
    End(id, ConnectionEnd::kSilent);
  }
  After(silence_timeout_ / 4, [this] { CheckAcknowledgements(); });
}

void TcpLoop::OnSignals(const std::vector<int>& signals,
                        std::function<void(int)> action) {
  on_signal_ = std::move(action);
  for (int signal : signals) {
    signals_.add(signal);
  }
  WaitForSignal();
}

void TcpLoop::WaitForSignal() {
  signals_.async_wait([this](error_code error, int signal) {
    if (error) {
      return;
    }
    on_signal_(signal);
    WaitForSignal();
  });
}

void TcpLoop::Run() {
  auto guard = asio::make_work_guard(context_);
  context_.restart();
  context_.run();
}

void TcpLoop::Stop() {
  context_.stop();
}

TcpLoop::Connection* TcpLoop::Find(ConnectionId id) {
  auto found = connections_.find(Number(id));
  return found == connections_.end() ? nullptr : found->second.get();
}

ConnectionId TcpLoop::Add(std::unique_ptr<Connection> connection) {
  ConnectionId id{++last_id_};
  connections_.emplace(Number(id), std::move(connection));
  return id;
}

ConnectionId TcpLoop::Connect(const std::string& address,
                              milliseconds timeout,
                              ConnectionListener* listener) {
  auto connection = std::make_unique<Connection>(context_);
  connection->listener = listener;
  ConnectionId id = Add(std::move(connection));
  Find(id)->timer =
      After(timeout, [this, id] { End(id, ConnectionEnd::kConnectFailed); });
  asio::post(context_, [this, id, address] { StartConnect(id, address); });
  return id;
}

void TcpLoop::StartConnect(ConnectionId id, const std::string& address) {
  Connection* connection = Find(id);
  if (connection == nullptr) {
    return;
  }
  try {
    tcp::endpoint endpoint = ParseAddress(address);
    connection->socket.open(endpoint.protocol());
    LimitReceiveBuffer(connection->socket.native_handle());
    SetOptions(&connection->socket);
    connection->socket.async_connect(
        endpoint, [this, id](error_code error) { FinishConnect(id, error); });
  } catch (const boost::system::system_error&) {
    End(id, ConnectionEnd::kConnectFailed);
  }
}

void TcpLoop::FinishConnect(ConnectionId id, const error_code& error) {
  Connection* connection = Find(id);
  if (connection == nullptr) {
    return;
  }
  if (error) {
    End(id, error == asio::error::connection_refused
                ? ConnectionEnd::kRefused
                : ConnectionEnd::kConnectFailed);
    return;
  }
  Cancel(connection->timer);
  connection->connected = true;
  UseOwnSilenceCheck(connection->socket.native_handle());
  connection->listener->OnConnected(id);
  WaitToRead(id);
  Flush(id);
}

void TcpLoop::WaitToRead(ConnectionId id) {
  Connection* connection = Find(id);
  if (connection == nullptr || connection->peer_finished) {
    return;
  }
  connection->socket.async_wait(tcp::socket::wait_read,
                                [this, id](error_code error) {
                                  if (!error) {
                                    ReadOnce(id);
                                    WaitToRead(id);
                                  }
                                });
}

void TcpLoop::ReadArrived(ConnectionId id) {
  ReadOnce(id);
}

bool TcpLoop::ReadOnce(ConnectionId id) {
  Connection* connection = Find(id);
  if (connection == nullptr || !connection->connected ||
      connection->peer_finished) {
    return false;
  }
  error_code error;
  std::size_t size =
      connection->socket.read_some(asio::buffer(read_buffer_), error);
  if (error && !WouldBlock(error)) {
    // A socket reports its error once. After a failed write it reads as closed.
    End(id, connection->broken ? ConnectionEnd::kReset
                               : ConnectionEndFromError(error));
    return false;
  }
  if (connection->closing) {
    connection->discarded_bytes += size;
    if (connection->discarded_bytes > kMaxLingerBytes) {
      Remove(id);
    }
  } else if (size > 0) {
    connection->listener->OnData(id,
                                 std::string_view(read_buffer_.data(), size));
  }
  return size > 0;
}

void TcpLoop::EndAfterFailedWrite(ConnectionId id) {
  // A whole answer may have arrived before the reset.
  for (int reads = 0; reads < kMaxFinalReads && ReadOnce(id); ++reads) {
  }
  End(id, ConnectionEnd::kReset);
}

void TcpLoop::Send(ConnectionId id, std::string_view data) {
  Connection* connection = Find(id);
  if (connection == nullptr || connection->closing || connection->broken) {
    return;
  }
  if (connection->connected && connection->unsent.empty()) {
    Write(id, connection, &data);
  }
  connection->unsent.Append(data);
  UpdateHeldBytes(connection);
  KeepSendLimit();
}

void TcpLoop::SendShared(ConnectionId id,
                         std::shared_ptr<const std::string> data) {
  Connection* connection = Find(id);
  if (connection == nullptr || connection->closing || connection->broken) {
    return;
  }
  connection->unsent.Append(std::move(data));
  UpdateHeldBytes(connection);
  if (!connection->waiting_to_write) {
    Flush(id);
  }
  KeepSendLimit();
}

bool TcpLoop::Write(ConnectionId id,
                    Connection* connection,
                    std::string_view* data) {
  while (!data->empty()) {
    error_code error;
    std::size_t size = connection->socket.write_some(
        asio::buffer(data->data(), data->size()), error);
    data->remove_prefix(size);
    connection->unacknowledged = true;
    if (error && WouldBlock(error)) {
      WaitToWrite(id);
      return true;
    }
    if (error) {
      connection->broken = true;
      // Deferred: a caller of Send may hold iterators that OnEnd invalidates.
      asio::post(context_, [this, id] { EndAfterFailedWrite(id); });
      return false;
    }
  }
  return true;
}

void TcpLoop::Flush(ConnectionId id) {
  Connection* connection = Find(id);
  if (connection == nullptr || !connection->connected) {
    return;
  }
  while (!connection->unsent.empty()) {
    std::string_view front = connection->unsent.front();
    std::string_view rest = front;
    bool open = Write(id, connection, &rest);
    connection->unsent.Remove(front.size() - rest.size());
    UpdateHeldBytes(connection);
    if (!open || !rest.empty()) {
      return;
    }
  }
  if (connection->closing) {
    FinishClose(id);
  }
}

void TcpLoop::UpdateHeldBytes(Connection* connection) {
  std::size_t bytes = connection->accepted || connection->closing
                          ? connection->unsent.memory()
                          : 0;
  held_bytes_ += bytes - connection->held_bytes;
  connection->held_bytes = bytes;
}

void TcpLoop::KeepSendLimit() {
  while (held_bytes_ > send_limit_) {
    auto most =
        std::max_element(connections_.begin(), connections_.end(),
                         [](const auto& a, const auto& b) {
                           return a.second->held_bytes < b.second->held_bytes;
                         });
    ConnectionId id{most->first};
    Connection* connection = most->second.get();
    connection->unsent.Clear();
    connection->broken = true;
    UpdateHeldBytes(connection);
    SetReset(connection);
    asio::post(context_, [this, id] { End(id, ConnectionEnd::kReset); });
  }
}

void TcpLoop::SetReset(Connection* connection) {
  error_code ignored;  // The connection ends either way.
  connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
}

void TcpLoop::BeginClose(ConnectionId id, Connection* connection) {
  connection->closing = true;
  UpdateHeldBytes(connection);
  Cancel(connection->timer);
  connection->timer = After(kMaxFlushTime, [this, id] { Abort(id); });
}

void TcpLoop::FinishClose(ConnectionId id) {
  Connection* connection = Find(id);
  if (!connection->lingers || connection->peer_finished ||
      lingering_count_ >= kMaxLingering) {
    Remove(id);
    return;
  }
  error_code error;
  connection->socket.shutdown(tcp::socket::shutdown_send, error);
  if (error) {
    Remove(id);
    return;
  }
  connection->lingering = true;
  ++lingering_count_;
  Cancel(connection->timer);
  connection->timer = After(kMaxLingerTime, [this, id] { Remove(id); });
}

void TcpLoop::Remove(ConnectionId id) {
  auto found = connections_.find(Number(id));
  if (found == connections_.end()) {
    return;
  }
  const Connection& connection = *found->second;
  if (connection.lingering) {
    --lingering_count_;
  }
  held_bytes_ -= connection.held_bytes;
  Cancel(connection.timer);
  connections_.erase(found);
}

void TcpLoop::WaitToWrite(ConnectionId id) {
  Connection* connection = Find(id);
  connection->waiting_to_write = true;
  connection->socket.async_wait(tcp::socket::wait_write,
                                [this, id](error_code error) {
                                  Connection* waiting = Find(id);
                                  if (error || waiting == nullptr) {
                                    return;
                                  }
                                  waiting->waiting_to_write = false;
                                  Flush(id);
                                });
}

bool TcpLoop::HasUnreadData(ConnectionId id) {
  Connection* connection = Find(id);
  if (connection == nullptr || !connection->connected) {
    return false;
  }
  char byte = 0;
  ssize_t size = recv(connection->socket.native_handle(), &byte, sizeof(byte),
                      MSG_PEEK | MSG_DONTWAIT);
  return size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

std::size_t TcpLoop::UnsentBytes(ConnectionId id) const {
  auto found = connections_.find(Number(id));
  return found == connections_.end() ? 0 : found->second->unsent.size();
}

void TcpLoop::Close(ConnectionId id) {
  Connection* connection = Find(id);
  if (connection == nullptr) {
    return;
  }
  if (connection->connected && UnsentBytes(id) > 0) {
    BeginClose(id, connection);
    return;
  }
  Remove(id);
}

void TcpLoop::CloseLingering(ConnectionId id) {
  Connection* connection = Find(id);
  if (connection == nullptr || !connection->connected) {
    Close(id);
    return;
  }
  BeginClose(id, connection);
  connection->lingers = true;
  if (UnsentBytes(id) == 0) {
    FinishClose(id);
  }
}

std::size_t TcpLoop::ClosingCount() const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& entry) { return entry.second->closing; }));
}

void TcpLoop::Abort(ConnectionId id) {
  Connection* connection = Find(id);
  if (connection == nullptr) {
    return;
  }
  if (connection->connected) {
    SetReset(connection);
  }
  Remove(id);
}

void TcpLoop::End(ConnectionId id, ConnectionEnd end) {
  auto found = connections_.find(Number(id));
  if (found == connections_.end()) {
    return;
  }
  Connection* connection = found->second.get();
  ConnectionListener* listener = connection->listener;
  bool closing = connection->closing;
  if (end == ConnectionEnd::kClosed && !connection->accepted &&
      UnsentBytes(id) > 0) {
    end = ConnectionEnd::kClosedEarly;
  }
  if (end == ConnectionEnd::kClosed && connection->accepted &&
      UnsentBytes(id) > 0) {
    // The peer may have shut down only its sending side; if it has closed, the
    // next write fails.
    BeginClose(id, connection);
    connection->peer_finished = true;
  } else {
    if (end == ConnectionEnd::kSilent) {
      // A peer that comes back must not take what it has for the whole.
      SetReset(connection);
    }
    Remove(id);
  }
  if (!closing) {
    listener->OnEnd(id, end);
  }
}

TimerId TcpLoop::After(milliseconds delay, std::function<void()> action) {
  TimePoint time = Now() + std::clamp(delay, milliseconds(0), kMaxDuration);
  std::uint64_t number = ++last_id_;
  timers_.emplace(std::make_pair(time, number), std::move(action));
  timer_times_.emplace(number, time);
  ArmTimer();
  return TimerId{number};
}

void TcpLoop::Cancel(TimerId timer) {
  auto found = timer_times_.find(static_cast<std::uint64_t>(timer));
  if (found != timer_times_.end()) {
    timers_.erase(std::make_pair(found->second, found->first));
    timer_times_.erase(found);
  }
}

// Cancel does not set timer_ again, because a timer that expires too early only
// costs a wake-up.
void TcpLoop::ArmTimer() {
  if (timers_.empty() || timers_.begin()->first.first >= timer_expiry_) {
    return;
  }
  timer_expiry_ = timers_.begin()->first.first;
  timer_.expires_at(timer_expiry_);
  timer_.async_wait([this](error_code error) {
    if (!error) {
      RunTimers();
    }
  });
}

void TcpLoop::RunTimers() {
  timer_expiry_ = TimePoint::max();
  TimePoint now = Now();
  while (!timers_.empty() && timers_.begin()->first.first <= now) {
    auto first = timers_.begin();
    std::function<void()> action = std::move(first->second);
    timer_times_.erase(first->first.second);
    timers_.erase(first);
    action();
  }
  ArmTimer();
}

}  // namespace filbertshift
