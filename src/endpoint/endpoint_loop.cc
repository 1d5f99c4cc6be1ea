// Event handling, commands and the libcurl callbacks. Attempts are handled in
// endpoint_attempts.cc.

#include "src/endpoint/endpoint_loop.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

namespace filbertshift {

namespace {

// Interval at which a full core ring is retried.
constexpr std::chrono::milliseconds kOutboxRetry{1};

// Room for other commands besides one start and one cancellation per attempt.
constexpr std::size_t kSpareCommands = 4096;

int WatchSocketCallback(CURL*,
                        curl_socket_t descriptor,
                        int what,
                        void* loop,
                        void*) {
  static_cast<EndpointLoop*>(loop)->OnWatchSocket(descriptor, what);
  return 0;
}

int TimerCallback(CURLM*, long timeout_ms, void* loop) {
  static_cast<EndpointLoop*>(loop)->OnTimer(timeout_ms);
  return 0;
}

CURLM* CreateMulti() {
  curl_global_init(CURL_GLOBAL_DEFAULT);
  CURLM* multi = curl_multi_init();
  if (multi == nullptr) {
    throw std::bad_alloc();
  }
  return multi;
}

int ToCurlEvents(unsigned events) {
  int mask = 0;
  if ((events & (EPOLLIN | EPOLLHUP | EPOLLRDHUP)) != 0) {
    mask |= CURL_CSELECT_IN;
  }
  if ((events & EPOLLOUT) != 0) {
    mask |= CURL_CSELECT_OUT;
  }
  if ((events & EPOLLERR) != 0) {
    mask |= CURL_CSELECT_ERR;
  }
  return mask;
}

}  // namespace

bool IsTcpAddress(const std::string& address) {
  try {
    ParseTcpAddress(address);
    return true;
  } catch (const std::invalid_argument&) {
    return false;
  }
}

EndpointLoop::EndpointLoop(const EndpointClientOptions& options,
                           CoreRing& core_ring,
                           const Clock& clock)
    : options_(options),
      core_ring_(core_ring),
      clock_(clock),
      commands_(2 * options.max_attempts + kSpareCommands),
      epoll_fd_(epoll_create1(EPOLL_CLOEXEC)),
      multi_(CreateMulti()) {
  if (epoll_fd_ < 0) {
    throw std::system_error(errno, std::generic_category(), "epoll_create1");
  }
  SetWatch(commands_.event_fd(), EPOLLIN);
  curl_multi_setopt(multi_.get(), CURLMOPT_SOCKETFUNCTION,
                    &WatchSocketCallback);
  curl_multi_setopt(multi_.get(), CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi_.get(), CURLMOPT_TIMERFUNCTION, &TimerCallback);
  curl_multi_setopt(multi_.get(), CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(multi_.get(), CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  curl_multi_setopt(multi_.get(), CURLMOPT_MAXCONNECTS,
                    static_cast<long>(options.max_connections));
}

EndpointLoop::~EndpointLoop() {
  stopping_ = true;
  for (auto& [id, transfer] : transfers_) {
    curl_multi_remove_handle(multi_.get(), transfer.easy.get());
  }
  transfers_.clear();
  multi_.reset();
  close(epoll_fd_);
}

bool EndpointLoop::ReserveAttempt() {
  if (++attempt_count_ > options_.max_attempts) {
    --attempt_count_;
    return false;
  }
  return true;
}

void EndpointLoop::Run() {
  while (!stopping_) {
    if (FlushOutbox()) {
      PollOnce();
    } else {
      std::this_thread::sleep_for(kOutboxRetry);
      // A StopCommand must be executed even if the core no longer reads its
      // ring.
      if (commands_.Size() > 0) {
        RunCommands();
      }
    }
  }
}

void EndpointLoop::Push(CoreMessage message) {
  outbox_.push_back(std::move(message));
  FlushOutbox();
}

bool EndpointLoop::FlushOutbox() {
  while (!outbox_.empty() && core_ring_.TryPush(std::move(outbox_.front()))) {
    outbox_.pop_front();
  }
  return outbox_.empty();
}

int EndpointLoop::PollTimeout() const {
  if (!timer_) {
    return -1;
  }
  const auto left =
      std::chrono::ceil<std::chrono::milliseconds>(*timer_ - clock_.Now());
  return static_cast<int>(std::max<std::int64_t>(left.count(), 0));
}

void EndpointLoop::PollOnce() {
  constexpr int kMaxEvents = 256;
  std::array<epoll_event, kMaxEvents> events{};
  const int count =
      epoll_wait(epoll_fd_, events.data(), kMaxEvents, PollTimeout());
  for (int i = 0; i < count; ++i) {
    HandleEvent(events[i].data.fd, events[i].events);
  }
  RunTimers();
  CollectFinished();
}

void EndpointLoop::HandleEvent(int descriptor, unsigned events) {
  if (descriptor == commands_.event_fd()) {
    RunCommands();
    return;
  }
  Connection* connection = connections_.Find(descriptor);
  if (connection != nullptr && connection->transfer == TransferId::kNone &&
      connection->verified_incarnation != Incarnation()) {
    HandleIdleReadable(connection);
    return;
  }
  int running = 0;
  curl_multi_socket_action(multi_.get(), descriptor, ToCurlEvents(events),
                           &running);
  // Done immediately, so that a connection that was just probed is marked as
  // verified before libcurl can assign it to another transfer.
  CollectFinished();
}

void EndpointLoop::RunTimers() {
  if (timer_ && *timer_ <= clock_.Now()) {
    timer_.reset();
    int running = 0;
    curl_multi_socket_action(multi_.get(), CURL_SOCKET_TIMEOUT, 0, &running);
  }
}

void EndpointLoop::SetWatch(int descriptor, unsigned events) {
  epoll_event event{};
  event.events = events;
  event.data.fd = descriptor;
  if (epoll_ctl(epoll_fd_, EPOLL_CTL_MOD, descriptor, &event) != 0 &&
      errno == ENOENT) {
    epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, descriptor, &event);
  }
}

void EndpointLoop::OnWatchSocket(int descriptor, int what) {
  switch (what) {
    case CURL_POLL_IN:
      SetWatch(descriptor, EPOLLIN);
      break;
    case CURL_POLL_OUT:
      SetWatch(descriptor, EPOLLOUT);
      break;
    case CURL_POLL_INOUT:
      SetWatch(descriptor, EPOLLIN | EPOLLOUT);
      break;
    default:
      epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, descriptor, nullptr);
      break;
  }
}

void EndpointLoop::OnTimer(long timeout_ms) {
  if (timeout_ms < 0) {
    timer_.reset();
  } else {
    timer_ = clock_.Now() + std::chrono::milliseconds(timeout_ms);
  }
}

int EndpointLoop::OnOpenSocket(Transfer* transfer,
                               const curl_sockaddr& address) {
  if (transfer->kind == TransferKind::kSend) {
    transfer->unverified = true;
    return CURL_SOCKET_BAD;
  }
  const int descriptor =
      socket(address.family, address.socktype | SOCK_CLOEXEC, address.protocol);
  if (descriptor >= 0) {
    connections_.Add(descriptor, transfer->endpoint, transfer->address);
    // Marked as in use at once; otherwise it could be shut down as an
    // unverified idle connection before it is established.
    connections_.Find(descriptor)->transfer = transfer->id;
    transfer->descriptor = descriptor;
  }
  return descriptor;
}

void EndpointLoop::OnCloseSocket(int descriptor) {
  Connection* connection = connections_.Find(descriptor);
  if (connection != nullptr && !connection->closed && !stopping_ &&
      connection->verified_incarnation != Incarnation()) {
    const bool idle = connection->transfer == TransferId::kNone;
    const bool peer_closed = PeerHasClosed(descriptor, !idle);
    auto user_transfer = transfers_.find(connection->transfer);
    if (peer_closed && user_transfer != transfers_.end()) {
      // Whether it is reported as lost depends on the result of the transfer.
      user_transfer->second.lost_incarnation = connection->verified_incarnation;
    } else if (peer_closed && idle) {
      ReportLost(connection->endpoint, connection->verified_incarnation);
    }
  }
  connections_.Remove(descriptor);
  close(descriptor);
}

void EndpointLoop::HandleIdleReadable(Connection* connection) {
  if (!PeerHasClosed(connection->descriptor, false)) {
    return;
  }
  epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, connection->descriptor, nullptr);
  if (connection->closed) {
    return;
  }
  connections_.ShutDown(connection);
  ReportLost(connection->endpoint, connection->verified_incarnation);
}

void EndpointLoop::MakeIdle(int descriptor) {
  Connection* connection = connections_.Find(descriptor);
  if (connection == nullptr) {
    return;
  }
  connection->transfer = TransferId::kNone;
  if (connection->verified_incarnation == Incarnation()) {
    connections_.ShutDown(connection);
  } else {
    SetWatch(descriptor, EPOLLIN | EPOLLRDHUP);
  }
}

void EndpointLoop::ReportLost(const EndpointId& endpoint,
                              Incarnation incarnation) {
  ConnectionLost lost;
  lost.endpoint = endpoint;
  lost.incarnation = incarnation;
  Push(std::move(lost));
}

void EndpointLoop::RunCommands() {
  std::vector<EndpointCommand> commands;
  commands_.PopAll(&commands);
  for (EndpointCommand& command : commands) {
    std::visit([this](auto& item) { Execute(std::move(item)); }, command);
  }
}

void EndpointLoop::Execute(const StopCommand&) {
  stopping_ = true;
}

void EndpointLoop::Execute(const ForgetCommand& command) {
  connections_.ShutDownIdle(command.endpoint, Incarnation());
}

void EndpointLoop::Execute(const ProbeCommand& command) {
  if (!IsTcpAddress(command.address)) {
    ProbeResult result;
    result.endpoint = command.endpoint;
    Push(std::move(result));
    return;
  }
  Transfer* transfer =
      AddTransfer(TransferKind::kProbe, command.endpoint, command.address);
  // libcurl interprets zero as no timeout.
  const auto timeout = command.timeout.count() > 0
                           ? command.timeout
                           : options_.default_connect_timeout;
  PrepareProbe(transfer, timeout, options_.max_probe_bytes, false);
  StartTransfer(transfer);
}

Transfer* EndpointLoop::AddTransfer(TransferKind kind,
                                    const EndpointId& endpoint,
                                    const std::string& address) {
  const auto id = static_cast<TransferId>(next_transfer_++);
  Transfer* transfer = &transfers_[id];
  transfer->id = id;
  transfer->kind = kind;
  transfer->loop = this;
  transfer->endpoint = endpoint;
  transfer->address = address;
  return transfer;
}

void EndpointLoop::StartTransfer(Transfer* transfer) {
  curl_multi_add_handle(multi_.get(), transfer->easy.get());
}

void EndpointLoop::EndTransfer(Transfer* transfer) {
  curl_multi_remove_handle(multi_.get(), transfer->easy.get());
  Connection* connection = connections_.Find(transfer->descriptor);
  if (connection != nullptr && connection->transfer == transfer->id) {
    MakeIdle(transfer->descriptor);
  }
}

void EndpointLoop::CollectFinished() {
  int queued_messages = 0;
  while (CURLMsg* message =
             curl_multi_info_read(multi_.get(), &queued_messages)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    // Read first: the message is invalid once the handle has been removed.
    const CURLcode result = message->data.result;
    Transfer* transfer = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
    Finish(transfer, result);
  }
}

}  // namespace filbertshift
