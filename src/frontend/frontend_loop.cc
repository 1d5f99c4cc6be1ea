// Event handling and commands. Requests are handled in frontend_requests.cc.

#include "src/frontend/frontend_loop.h"

#include <fmt/format.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>
#include <system_error>
#include <utility>

namespace filbertshift {

namespace {

// Data values of epoll events that are not caller ids. Caller ids count up from
// 1, so they never reach these values.
constexpr std::uint64_t kCommandsMarker = ~std::uint64_t{0};
constexpr std::uint64_t kDaemonMarker = kCommandsMarker - 1;

// Poll timeout while the core's ring has no room for the outbox.
constexpr int kOutboxRetryMs = 1;

// Connections above the limit that are accepted only to send a 503 response.
constexpr unsigned kSpareConnections = 64;

// Size of the memory pool of a connection. Besides the request head,
// libmicrohttpd keeps its own state and the response head in it. Only pages
// that are used take physical memory.
unsigned ConnectionMemory(std::size_t max_header_bytes) {
  constexpr std::size_t kSpareBytes = 8U << 10U;
  return static_cast<unsigned>(2 * max_header_bytes + kSpareBytes);
}

void* RequestLineCallback(void* loop,
                          const char* target,
                          MHD_Connection* connection) {
  return static_cast<FrontendLoop*>(loop)->OnRequestLine(target, connection);
}

MHD_Result RequestCallback(void* loop,
                           MHD_Connection*,
                           const char*,
                           const char* method,
                           const char*,
                           const char* upload,
                           std::size_t* upload_size,
                           void** exchange) {
  return static_cast<FrontendLoop*>(loop)->OnRequest(
      static_cast<CallerExchange*>(*exchange), method, upload, upload_size);
}

void CompletedCallback(void* loop,
                       MHD_Connection*,
                       void** exchange,
                       MHD_RequestTerminationCode code) {
  if (*exchange != nullptr) {
    static_cast<FrontendLoop*>(loop)->OnCompleted(
        static_cast<CallerExchange*>(*exchange), code);
    *exchange = nullptr;
  }
}

void ConnectionCallback(void* loop,
                        MHD_Connection*,
                        void**,
                        MHD_ConnectionNotificationCode code) {
  static_cast<FrontendLoop*>(loop)->OnConnection(code ==
                                                 MHD_CONNECTION_NOTIFY_STARTED);
}

}  // namespace

FrontendLoop::FrontendLoop(const FrontendOptions& options,
                           CoreRing& core_ring,
                           const Clock& clock,
                           EventLog& log)
    : options_(options),
      core_ring_(core_ring),
      clock_(clock),
      log_(log),
      commands_(options.command_capacity),
      epoll_fd_(epoll_create1(EPOLL_CLOEXEC)),
      next_timeout_check_(clock.Now()) {
  if (epoll_fd_ < 0) {
    throw std::system_error(errno, std::generic_category(), "epoll_create1");
  }
  StartDaemon();
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = kCommandsMarker;
  epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, commands_.event_fd(), &event);
  event.data.u64 = kDaemonMarker;
  epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, daemon_fd_, &event);
}

FrontendLoop::~FrontendLoop() {
  // libmicrohttpd cannot close a suspended connection.
  for (auto& [id, exchange] : exchanges_) {
    exchange.closing = true;
    exchange.active_in_core = false;
    Resume(&exchange);
  }
  RunDaemon();
  daemon_.reset();
  close(epoll_fd_);
}

void FrontendLoop::StartDaemon() {
  const int listener = ListenTcp(options_.listen_address);
  bound_address_ = BoundTcpAddress(listener);
  const auto idle_seconds = static_cast<unsigned>(
      std::chrono::ceil<std::chrono::seconds>(options_.idle_timeout).count());
  daemon_.reset(MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr,
      &RequestCallback, this, MHD_OPTION_LISTEN_SOCKET, listener,
      MHD_OPTION_CONNECTION_LIMIT,
      static_cast<unsigned>(options_.max_connections) + kSpareConnections,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      static_cast<std::size_t>(ConnectionMemory(options_.max_header_bytes)),
      // One second more than the idle timeout, so that CheckSlowSenders sends
      // its 408 response first. This timeout closes connections that send no
      // request.
      MHD_OPTION_CONNECTION_TIMEOUT, idle_seconds + 1,
      MHD_OPTION_URI_LOG_CALLBACK, &RequestLineCallback, this,
      MHD_OPTION_NOTIFY_COMPLETED, &CompletedCallback, this,
      MHD_OPTION_NOTIFY_CONNECTION, &ConnectionCallback, this, MHD_OPTION_END));
  if (!daemon_) {
    close(listener);
    throw std::runtime_error("the HTTP server cannot be started");
  }
  daemon_fd_ =
      MHD_get_daemon_info(daemon_.get(), MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
}

void FrontendLoop::Submit(FrontendCommand command) {
  const CallerId caller = command.caller;
  if (commands_.TryPush(std::move(command))) {
    return;
  }
  std::lock_guard<std::mutex> lock(overflow_mutex_);
  overflowed_.insert(caller);
  has_overflowed_ = true;
}

void FrontendLoop::RequestDrain() {
  drain_requested_ = true;
  commands_.TryPush(FrontendCommand{CallerId{}, WakeUp()});
}

void FrontendLoop::RequestStop() {
  stop_requested_ = true;
  commands_.TryPush(FrontendCommand{CallerId{}, WakeUp()});
}

void FrontendLoop::Run() {
  while (!stop_requested_ &&
         !(draining_ && exchanges_.empty() && outbox_.empty())) {
    PollOnce();
    CheckFlags();
    RunDaemon();
    FlushOutbox();
    CheckSlowSenders();
  }
  ended_ = true;
}

void FrontendLoop::PollOnce() {
  constexpr int kMaxEvents = 256;
  std::array<epoll_event, kMaxEvents> events{};
  const int count =
      epoll_wait(epoll_fd_, events.data(), kMaxEvents, PollTimeout());
  for (int i = 0; i < count; ++i) {
    const std::uint64_t marker = events[i].data.u64;
    if (marker == kCommandsMarker) {
      RunCommands();
    } else if (marker != kDaemonMarker) {
      HandleDisconnect(static_cast<CallerId>(marker));
    }
  }
}

int FrontendLoop::PollTimeout() const {
  if (!outbox_.empty()) {
    return kOutboxRetryMs;
  }
  const auto check = std::chrono::ceil<std::chrono::milliseconds>(
      next_timeout_check_ - clock_.Now());
  std::int64_t timeout = std::max<std::int64_t>(check.count(), 0);
  MHD_UNSIGNED_LONG_LONG daemon_timeout = 0;
  if (MHD_get_timeout(daemon_.get(), &daemon_timeout) == MHD_YES) {
    timeout = std::min(timeout, static_cast<std::int64_t>(daemon_timeout));
  }
  return static_cast<int>(timeout);
}

void FrontendLoop::RunDaemon() {
  // A timeout of zero means that more connections are ready to be processed.
  constexpr int kMaxRounds = 16;
  MHD_UNSIGNED_LONG_LONG timeout = 0;
  int rounds = 0;
  do {
    MHD_run(daemon_.get());
  } while (++rounds < kMaxRounds &&
           MHD_get_timeout(daemon_.get(), &timeout) == MHD_YES && timeout == 0);
}

void FrontendLoop::FlushOutbox() {
  while (!outbox_.empty() && core_ring_.TryPush(std::move(outbox_.front()))) {
    outbox_.pop_front();
  }
}

void FrontendLoop::CheckFlags() {
  if (drain_requested_ && !draining_) {
    draining_ = true;
    const MHD_socket listener = MHD_quiesce_daemon(daemon_.get());
    if (listener != MHD_INVALID_SOCKET) {
      close(listener);
    }
  }
  if (has_overflowed_) {
    CloseOverflowed();
  }
}

void FrontendLoop::CloseOverflowed() {
  std::unordered_set<CallerId> callers;
  {
    std::lock_guard<std::mutex> lock(overflow_mutex_);
    std::swap(callers, overflowed_);
    has_overflowed_ = false;
  }
  for (CallerId caller : callers) {
    auto found = exchanges_.find(caller);
    if (found != exchanges_.end()) {
      CloseConnection(&found->second);
    }
  }
}

void FrontendLoop::RunCommands() {
  std::vector<FrontendCommand> commands;
  commands_.PopAll(&commands);
  for (FrontendCommand& command : commands) {
    auto found = exchanges_.find(command.caller);
    if (found == exchanges_.end() || found->second.closing) {
      continue;
    }
    CallerExchange* exchange = &found->second;
    std::visit([&](auto& action) { Apply(exchange, std::move(action)); },
               command.action);
  }
}

void FrontendLoop::Apply(CallerExchange* exchange, ResponseHead head) {
  exchange->head = std::move(head);
  if (exchange->head->streaming) {
    Resume(exchange);
  }
}

void FrontendLoop::Apply(CallerExchange* exchange, ResponseBody body) {
  exchange->Append(std::move(body.bytes));
  if (!exchange->head || !exchange->head->streaming) {
    return;
  }
  if (exchange->BufferedBytes() > options_.max_buffered_bytes) {
    CloseConnection(exchange);
  } else {
    Resume(exchange);
  }
}

void FrontendLoop::Apply(CallerExchange* exchange, ResponseEnd) {
  exchange->finished = true;
  Resume(exchange);
}

void FrontendLoop::Apply(CallerExchange* exchange, ResponseAbort) {
  exchange->active_in_core = false;
  CloseConnection(exchange);
}

void FrontendLoop::Apply(CallerExchange*, WakeUp) {}

void FrontendLoop::HandleDisconnect(CallerId caller) {
  auto found = exchanges_.find(caller);
  if (found != exchanges_.end()) {
    CloseConnection(&found->second);
  }
}

void FrontendLoop::CloseConnection(CallerExchange* exchange) {
  exchange->closing = true;
  ReportDisconnected(exchange);
  Resume(exchange);
  // Also unblocks a connection that waits for its socket to become writable.
  shutdown(exchange->descriptor, SHUT_RDWR);
}

void FrontendLoop::ReportDisconnected(CallerExchange* exchange) {
  if (exchange->active_in_core) {
    exchange->active_in_core = false;
    outbox_.push_back(CallerDisconnected{exchange->id});
    FlushOutbox();
  }
}

void FrontendLoop::Suspend(CallerExchange* exchange) {
  exchange->suspended = true;
  MHD_suspend_connection(exchange->connection);
}

void FrontendLoop::Resume(CallerExchange* exchange) {
  if (exchange->suspended) {
    exchange->suspended = false;
    MHD_resume_connection(exchange->connection);
  }
}

}  // namespace filbertshift
