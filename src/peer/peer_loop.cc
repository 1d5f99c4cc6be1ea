#include "src/peer/peer_loop.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
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

namespace filbertshift {

namespace {

// Maximum interval between checks of pings, timeouts and reconnections.
constexpr int kTimerIntervalMs = 50;

// Interval at which a full core ring is retried.
constexpr std::chrono::milliseconds kOutboxRetry{1};

void SetNoDelay(int descriptor) {
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

// Returns -1 and sets errno if the connection fails immediately.
int StartConnect(const std::string& text) {
  const TcpAddress address = ParseTcpAddress(text);
  const int descriptor = socket(address.get()->sa_family,
                                SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return -1;
  }
  SetNoDelay(descriptor);
  if (connect(descriptor, address.get(), address.size) != 0 &&
      errno != EINPROGRESS) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

}  // namespace

PeerLoop::PeerLoop(const PeerMeshOptions& options,
                   CoreRing& core_ring,
                   const Clock& clock,
                   Random& random,
                   EventLog& log)
    : options_(options),
      core_ring_(core_ring),
      clock_(clock),
      random_(random),
      log_(log),
      commands_(options.command_capacity),
      next_ping_(clock.Now()) {
  listener_ = ListenTcp(options_.listen_address);
  bound_address_ = BoundTcpAddress(listener_);
  epoll_fd_ = epoll_create1(EPOLL_CLOEXEC);
  if (epoll_fd_ < 0) {
    close(listener_);
    throw std::system_error(errno, std::generic_category(), "epoll_create1");
  }
  Watch(listener_, EPOLLIN);
  Watch(commands_.event_fd(), EPOLLIN);
}

PeerLoop::~PeerLoop() {
  connections_.clear();
  close(listener_);
  close(epoll_fd_);
}

void PeerLoop::Submit(PeerCommand command) {
  // Dropped when the ring is full, as PeerPort allows.
  commands_.TryPush(std::move(command));
}

void PeerLoop::SubmitPeers(std::vector<PeerAddress> peers) {
  {
    std::lock_guard<std::mutex> lock(peers_mutex_);
    new_peers_ = std::move(peers);
  }
  Submit(PeerWakeUp());
}

void PeerLoop::RequestStop() {
  stop_requested_ = true;
  Submit(PeerWakeUp());
}

void PeerLoop::Run() {
  while (!stop_requested_) {
    if (FlushOutbox()) {
      PollOnce();
    } else {
      std::this_thread::sleep_for(kOutboxRetry);
    }
  }
}

void PeerLoop::Push(CoreMessage message) {
  outbox_.push_back(std::move(message));
  FlushOutbox();
}

bool PeerLoop::FlushOutbox() {
  while (!outbox_.empty() && core_ring_.TryPush(std::move(outbox_.front()))) {
    outbox_.pop_front();
  }
  return outbox_.empty();
}

void PeerLoop::Watch(int descriptor, unsigned events) {
  epoll_event event{};
  event.events = events;
  event.data.fd = descriptor;
  if (epoll_ctl(epoll_fd_, EPOLL_CTL_MOD, descriptor, &event) != 0 &&
      errno == ENOENT) {
    epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, descriptor, &event);
  }
}

void PeerLoop::UpdateWatch(Entry* entry) {
  const bool wants_write = entry->connection->wants_write();
  if (wants_write != entry->watches_write) {
    entry->watches_write = wants_write;
    Watch(entry->connection->descriptor(),
          wants_write ? EPOLLIN | EPOLLOUT : EPOLLIN);
  }
}

void PeerLoop::PollOnce() {
  constexpr int kMaxEvents = 128;
  std::array<epoll_event, kMaxEvents> events{};
  const int count =
      epoll_wait(epoll_fd_, events.data(), kMaxEvents, kTimerIntervalMs);
  for (int i = 0; i < count; ++i) {
    HandleEvent(events[i].data.fd, events[i].events);
  }
  RunTimers();
}

void PeerLoop::HandleEvent(int descriptor, unsigned events) {
  if (descriptor == commands_.event_fd()) {
    RunCommands();
    return;
  }
  if (descriptor == listener_) {
    AcceptConnections();
    return;
  }
  auto found = connections_.find(descriptor);
  if (found == connections_.end()) {
    return;
  }
  if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
    found->second.connection->HandleReadable(clock_.Now());
  }
  ProcessConnection(descriptor);
}

void PeerLoop::RunCommands() {
  std::vector<PeerCommand> commands;
  commands_.PopAll(&commands);
  // Done for every wake-up, because the PeerWakeUp command may have been
  // dropped.
  ApplyNewPeers();
  for (const PeerCommand& command : commands) {
    std::visit([this](const auto& item) { Execute(item); }, command);
  }
  for (auto& [instance, peer] : peers_) {
    if (peer.descriptor >= 0) {
      ProcessConnection(peer.descriptor);
    }
  }
}

void PeerLoop::Execute(const PeerWakeUp&) {}

void PeerLoop::ApplyNewPeers() {
  std::optional<std::vector<PeerAddress>> peers;
  {
    std::lock_guard<std::mutex> lock(peers_mutex_);
    std::swap(peers, new_peers_);
  }
  if (peers) {
    ReplacePeers(std::move(*peers));
  }
}

void PeerLoop::Execute(const SendCommand& command) {
  const bool droppable = std::holds_alternative<PeerHeartbeat>(command.message);
  std::string frame;
  try {
    frame = EncodePeerFrame(command.message);
  } catch (const PeerCodecError& error) {
    log_.Write(EventId::kPeerMessageRejected, error.what());
    return;
  }
  if (!command.to.empty()) {
    auto found = peers_.find(command.to);
    if (found != peers_.end()) {
      SendTo(&found->second, frame, droppable);
    }
    return;
  }
  for (auto& [instance, peer] : peers_) {
    SendTo(&peer, frame, droppable);
  }
}

void PeerLoop::SendTo(Peer* peer, const std::string& frame, bool droppable) {
  if (peer->up) {
    connections_.at(peer->descriptor).connection->Send(frame, droppable);
  }
}

void PeerLoop::ReplacePeers(std::vector<PeerAddress> peers) {
  std::map<InstanceId, std::string> wanted;
  for (PeerAddress& peer : peers) {
    if (peer.instance != options_.instance) {
      wanted[peer.instance] = std::move(peer.address);
    }
  }
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    auto found = wanted.find(peer->first);
    const bool keep =
        found != wanted.end() && found->second == peer->second.address;
    if (!keep && peer->second.descriptor >= 0) {
      Close(peer->second.descriptor, "no longer in the list of instances");
    }
    peer = keep ? std::next(peer) : peers_.erase(peer);
  }
  for (auto& [instance, address] : wanted) {
    auto [position, inserted] = peers_.try_emplace(instance);
    if (inserted) {
      position->second.address = std::move(address);
      position->second.reconnect_delay = options_.min_reconnect_delay;
      Connect(instance, &position->second);
    }
  }
}

void PeerLoop::AcceptConnections() {
  while (true) {
    const int descriptor =
        accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
      return;
    }
    if (connections_.size() >= options_.max_incoming + peers_.size()) {
      close(descriptor);
      continue;
    }
    SetNoDelay(descriptor);
    AddConnection(PeerRole::kAccepting, descriptor);
    ProcessConnection(descriptor);
  }
}

PeerLoop::Entry* PeerLoop::AddConnection(PeerRole role, int descriptor) {
  Entry* entry = &connections_[descriptor];
  entry->connection = std::make_unique<PeerConnection>(role, descriptor,
                                                       options_, clock_.Now());
  Watch(descriptor, EPOLLIN);
  return entry;
}

void PeerLoop::Connect(const InstanceId& instance, Peer* peer) {
  int descriptor = -1;
  try {
    descriptor = StartConnect(peer->address);
  } catch (const std::invalid_argument& error) {
    log_.Write(EventId::kPeerDown, instance.value() + ": " + error.what());
  }
  ScheduleReconnect(peer);
  if (descriptor < 0) {
    return;
  }
  peer->descriptor = descriptor;
  Entry* entry = AddConnection(PeerRole::kConnecting, descriptor);
  entry->instance = instance;
  entry->connection->Send(EncodePeerFrame(PeerHello{options_.instance}), false);
  ProcessConnection(descriptor);
}

void PeerLoop::ScheduleReconnect(Peer* peer) {
  // Half of the delay is random, so that instances that lost the same peer do
  // not all reconnect at the same time.
  const auto half =
      std::max<std::int64_t>(peer->reconnect_delay.count() / 2, 1);
  const auto jitter = static_cast<std::int64_t>(
      random_.Next() % static_cast<std::uint64_t>(half + 1));
  peer->next_connect = clock_.Now() + std::chrono::milliseconds(half + jitter);
  peer->reconnect_delay =
      std::min(2 * peer->reconnect_delay, options_.max_reconnect_delay);
}

void PeerLoop::ProcessConnection(int descriptor) {
  auto found = connections_.find(descriptor);
  if (found == connections_.end()) {
    return;
  }
  Entry* entry = &found->second;
  MarkPeerUp(entry);
  if (!Deliver(entry)) {
    LogRejectedMessage(entry, "the first message does not name the sender");
    Close(descriptor, "the sender is unknown");
    return;
  }
  entry->connection->Flush();
  if (!entry->connection->failed()) {
    UpdateWatch(entry);
    return;
  }
  if (entry->connection->rejected()) {
    LogRejectedMessage(entry, entry->connection->failure());
  }
  Close(descriptor, entry->connection->failure());
}

void PeerLoop::MarkPeerUp(Entry* entry) {
  if (entry->connection->role() != PeerRole::kConnecting ||
      !entry->connection->ready() || entry->connection->failed()) {
    return;
  }
  Peer& peer = peers_.at(entry->instance);
  if (!peer.up) {
    peer.up = true;
    peer.reconnect_delay = options_.min_reconnect_delay;
    log_.Write(EventId::kPeerUp, entry->instance.value());
    Push(PeerUp{entry->instance});
  }
}

bool PeerLoop::Deliver(Entry* entry) {
  for (PeerFrame& frame : entry->connection->TakeReceived()) {
    if (auto* hello = std::get_if<PeerHello>(&frame)) {
      entry->instance = hello->instance;
    } else if (entry->instance.empty()) {
      return false;
    } else {
      Push(PeerReceived{entry->instance,
                        std::get<PeerMessage>(std::move(frame))});
    }
  }
  return true;
}

void PeerLoop::LogRejectedMessage(Entry* entry, const std::string& reason) {
  log_.Write(EventId::kPeerMessageRejected,
             entry->instance.value() + ": " + reason);
}

void PeerLoop::Close(int descriptor, std::string reason) {
  auto found = connections_.find(descriptor);
  const InstanceId instance = found->second.instance;
  const bool outgoing =
      found->second.connection->role() == PeerRole::kConnecting;
  connections_.erase(found);
  if (!outgoing) {
    return;
  }
  Peer& peer = peers_.at(instance);
  peer.descriptor = -1;
  if (peer.up) {
    peer.up = false;
    ScheduleReconnect(&peer);
    log_.Write(EventId::kPeerDown, instance.value() + ": " + std::move(reason));
    Push(PeerDown{instance});
  }
}

std::vector<int> PeerLoop::Descriptors() const {
  std::vector<int> descriptors;
  descriptors.reserve(connections_.size());
  for (const auto& [descriptor, entry] : connections_) {
    descriptors.push_back(descriptor);
  }
  return descriptors;
}

void PeerLoop::RunTimers() {
  const TimePoint now = clock_.Now();
  const bool ping = now >= next_ping_;
  if (ping) {
    next_ping_ = now + options_.ping_interval;
  }
  for (int descriptor : Descriptors()) {
    PeerConnection* connection = connections_.at(descriptor).connection.get();
    if (now - connection->last_received() > options_.read_timeout) {
      Close(descriptor, "nothing was received within the read timeout");
    } else if (ping && connection->role() == PeerRole::kConnecting &&
               connection->ready()) {
      connection->Ping();
      ProcessConnection(descriptor);
    }
  }
  for (auto& [instance, peer] : peers_) {
    if (peer.descriptor < 0 && now >= peer.next_connect) {
      Connect(instance, &peer);
    }
  }
}

}  // namespace filbertshift
