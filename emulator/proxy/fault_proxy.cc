#include "emulator/proxy/fault_proxy.h"

#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>
#include <utility>
#include <vector>

namespace filbertshift::emulator {

namespace {

constexpr int kListenBacklog = 1024;
constexpr int kEventsPerWait = 256;
constexpr std::uint32_t kReadable = EPOLLIN;
constexpr std::uint32_t kWritable = EPOLLOUT;
// Connections are numbered from 1, so their tags start at 2.
constexpr std::uint64_t kListenerTag = 0;
constexpr std::uint64_t kWakeupTag = 1;

void SetNoDelay(int fd) {
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

// Rounded up, so that `due` has passed after the wait. Returns -1, no timeout,
// for time_point::max().
int TimeoutMilliseconds(std::chrono::steady_clock::time_point due) {
  if (due == std::chrono::steady_clock::time_point::max()) {
    return -1;
  }
  const auto left = due - std::chrono::steady_clock::now();
  const auto count = std::chrono::ceil<std::chrono::milliseconds>(left).count();
  return static_cast<int>(std::max<std::int64_t>(0, count));
}

// Makes close() send a RST.
void SetResetOnClose(int fd) {
  const linger option{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

}  // namespace

FaultProxy::FaultProxy(ListenAddress listen, ListenAddress target)
    : listen_(std::move(listen)), target_(std::move(target)) {
  reserved_socket_ = BindTcpSocket(&listen_);
  epoll_fd_ = epoll_create1(EPOLL_CLOEXEC);
  wakeup_fd_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (epoll_fd_ < 0 || wakeup_fd_ < 0) {
    throw std::system_error(errno, std::generic_category(), "epoll");
  }
  std::uint32_t current = 0;
  Watch(wakeup_fd_, kReadable, &current, kWakeupTag);
  OpenListener();
  thread_ = std::thread([this] { Run(); });
}

FaultProxy::~FaultProxy() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  eventfd_write(wakeup_fd_, 1);
  thread_.join();
  CloseAll();
  CloseListener();
  close(wakeup_fd_);
  close(epoll_fd_);
  close(reserved_socket_);
}

void FaultProxy::SetFaults(const ProxyFaults& faults) {
  std::unique_lock<std::mutex> lock(mutex_);
  requested_faults_ = faults;
  change_pending_ = true;
  eventfd_write(wakeup_fd_, 1);
  faults_applied_.wait(lock, [this] { return !change_pending_ || stopping_; });
}

ProxyFaults FaultProxy::faults() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return requested_faults_;
}

ProxyCounters FaultProxy::counters() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return counters_;
}

void FaultProxy::Run() {
  for (;;) {
    Wait();
    std::lock_guard<std::mutex> lock(mutex_);
    if (stopping_) {
      faults_applied_.notify_all();
      return;
    }
    if (change_pending_) {
      ApplyFaults();
      change_pending_ = false;
      faults_applied_.notify_all();
    }
  }
}

void FaultProxy::Wait() {
  std::array<epoll_event, kEventsPerWait> events{};
  const Time due = NextDue();
  const int count = epoll_wait(epoll_fd_, events.data(), kEventsPerWait,
                               TimeoutMilliseconds(due));
  std::lock_guard<std::mutex> lock(mutex_);
  now_ = std::chrono::steady_clock::now();
  for (int i = 0; i < count; ++i) {
    HandleEvent(events[i].data.u64, events[i].events);
  }
  if (now_ >= due) {
    ProcessAllConnections();
  }
  counters_.open = connections_.size();
}

void FaultProxy::HandleEvent(std::uint64_t tag, std::uint32_t events) {
  if (tag == kListenerTag) {
    AcceptAll();
    return;
  }
  if (tag == kWakeupTag) {
    eventfd_t value = 0;
    eventfd_read(wakeup_fd_, &value);
    return;
  }
  const ConnectionNumber number = tag / 2;
  const auto found = connections_.find(number);
  if (found == connections_.end()) {
    return;
  }
  Connection& connection = found->second;
  const bool from_target = tag % 2 == 1;
  if (connection.target < 0 || (events & EPOLLERR) != 0) {
    // Without a target, any event on the client socket is answered with a
    // reset.
    Close(number, true);
    return;
  }
  if (from_target && (events & kWritable) != 0) {
    connection.connecting = false;
  }
  ProcessConnection(number);
}

void FaultProxy::ApplyFaults() {
  const ProxyFaults before = std::exchange(active_faults_, requested_faults_);
  if (active_faults_.cut) {
    CloseAll();
  }
  if (active_faults_.cut) {
    CloseListener();
  } else {
    OpenListener();
    const bool accepting =
        !active_faults_.freeze_to_target && !active_faults_.freeze_to_client;
    Watch(listener_, accepting ? kReadable : 0, &listener_events_,
          kListenerTag);
  }
  if (active_faults_.half_open && !before.half_open) {
    for (auto& [number, connection] : connections_) {
      CloseTarget(&connection);
    }
  }
  ProcessAllConnections();
}

void FaultProxy::OpenListener() {
  if (listener_ >= 0) {
    return;
  }
  ListenAddress address = listen_;
  listener_ = BindTcpSocket(&address);
  if (listen(listener_, kListenBacklog) != 0) {
    throw std::system_error(errno, std::generic_category(), "listen");
  }
  listener_events_ = 0;
  Watch(listener_, kReadable, &listener_events_, kListenerTag);
}

void FaultProxy::CloseListener() {
  if (listener_ >= 0) {
    close(std::exchange(listener_, -1));
  }
}

void FaultProxy::AcceptAll() {
  while (listener_ >= 0) {
    const int client =
        accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0) {
      return;
    }
    ++counters_.accepted;
    Connect(client);
  }
}

void FaultProxy::Connect(int client) {
  SetNoDelay(client);
  const ConnectionNumber number = ++last_number_;
  Connection& connection = connections_[number];
  connection.client = client;
  if (active_faults_.half_open) {
    return;
  }
  connection.target =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  SetNoDelay(connection.target);
  const sockaddr_in name = ToSocketAddress(target_);
  const int result =
      connect(connection.target, reinterpret_cast<const sockaddr*>(&name),
              sizeof(name));
  if (result != 0 && errno != EINPROGRESS) {
    Close(number, true);
    return;
  }
  UpdateInterest(number);
}

bool FaultProxy::ProcessConnection(ConnectionNumber number) {
  Connection& connection = connections_.at(number);
  if (connection.target < 0) {
    UpdateInterest(number);
    return true;
  }
  bool dropped = false;
  if (!TransferBytes(&connection, &dropped) || dropped) {
    Close(number, true);
    return false;
  }
  if (connection.to_target.finished() && connection.to_client.finished()) {
    Close(number, false);
    return false;
  }
  UpdateInterest(number);
  return true;
}

bool FaultProxy::TransferBytes(Connection* connection, bool* dropped) {
  bool ok = true;
  if (!active_faults_.freeze_to_target) {
    const std::uint64_t before = connection->to_target.bytes_read();
    ok = connection->to_target.Read(connection->client, now_,
                                    active_faults_.delay) == FlowResult::kOk;
    counters_.bytes_to_target += connection->to_target.bytes_read() - before;
    if (ok && !connection->connecting) {
      ok = connection->to_target.Write(connection->target, now_) ==
           FlowResult::kOk;
    }
  }
  if (ok && !active_faults_.freeze_to_client && !connection->connecting) {
    const std::uint64_t before = connection->to_client.bytes_read();
    ok = connection->to_client.Read(connection->target, now_,
                                    active_faults_.delay) == FlowResult::kOk;
    const std::uint64_t count = connection->to_client.bytes_read() - before;
    counters_.bytes_to_client += count;
    *dropped = count > 0 && ConsumeReplyDrop();
    if (ok && !*dropped) {
      ok = connection->to_client.Write(connection->client, now_) ==
           FlowResult::kOk;
    }
  }
  return ok;
}

bool FaultProxy::ConsumeReplyDrop() {
  if (active_faults_.drop_replies == 0) {
    return false;
  }
  if (active_faults_.drop_replies > 0) {
    requested_faults_.drop_replies = --active_faults_.drop_replies;
  }
  return true;
}

void FaultProxy::ProcessAllConnections() {
  std::vector<ConnectionNumber> numbers;
  numbers.reserve(connections_.size());
  for (const auto& [number, connection] : connections_) {
    numbers.push_back(number);
  }
  for (const ConnectionNumber number : numbers) {
    ProcessConnection(number);
  }
}

void FaultProxy::CloseTarget(Connection* connection) {
  if (connection->target >= 0) {
    close(std::exchange(connection->target, -1));
    connection->target_events = 0;
  }
}

void FaultProxy::Close(ConnectionNumber number, bool reset) {
  const auto found = connections_.find(number);
  if (reset) {
    ++counters_.resets;
  }
  for (const int fd : {found->second.client, found->second.target}) {
    if (fd < 0) {
      continue;
    }
    if (reset) {
      SetResetOnClose(fd);
    }
    close(fd);
  }
  connections_.erase(found);
}

void FaultProxy::CloseAll() {
  while (!connections_.empty()) {
    Close(connections_.begin()->first, true);
  }
}

void FaultProxy::UpdateInterest(ConnectionNumber number) {
  Connection& connection = connections_.at(number);
  std::uint32_t client = 0;
  std::uint32_t target = 0;
  if (connection.target < 0) {
    client = active_faults_.half_open ? 0 : kReadable;
  } else {
    const bool to_target = !active_faults_.freeze_to_target;
    const bool to_client = !active_faults_.freeze_to_client;
    if (to_target && connection.to_target.wants_read()) {
      client |= kReadable;
    }
    if (to_client && connection.to_client.wants_write(now_)) {
      client |= kWritable;
    }
    if (to_client && connection.to_client.wants_read()) {
      target |= kReadable;
    }
    if (connection.connecting ||
        (to_target && connection.to_target.wants_write(now_))) {
      target |= kWritable;
    }
    Watch(connection.target, target, &connection.target_events, number * 2 + 1);
  }
  Watch(connection.client, client, &connection.client_events, number * 2);
}

// A socket with no requested events is removed from epoll, because epoll would
// keep reporting EPOLLERR and EPOLLHUP for it.
void FaultProxy::Watch(int fd,
                       std::uint32_t wanted,
                       std::uint32_t* current,
                       std::uint64_t tag) {
  if (wanted == *current) {
    return;
  }
  epoll_event event{};
  event.events = wanted;
  event.data.u64 = tag;
  if (wanted == 0) {
    epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, fd, nullptr);
  } else {
    epoll_ctl(epoll_fd_, *current == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, fd,
              &event);
  }
  *current = wanted;
}

FaultProxy::Time FaultProxy::NextDue() const {
  Time earliest = Time::max();
  const auto consider = [this, &earliest](const ProxyFlow& flow) {
    const std::optional<Time> due = flow.next_due();
    // A block that is already due waits for the socket to become writable.
    if (due && *due > now_) {
      earliest = std::min(earliest, *due);
    }
  };
  for (const auto& [number, connection] : connections_) {
    if (!active_faults_.freeze_to_target && !connection.connecting) {
      consider(connection.to_target);
    }
    if (!active_faults_.freeze_to_client) {
      consider(connection.to_client);
    }
  }
  return earliest;
}

}  // namespace filbertshift::emulator
