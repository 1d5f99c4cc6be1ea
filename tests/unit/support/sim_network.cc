#include "tests/unit/support/sim_network.h"

#include <algorithm>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kDelay{2};
// How long sent bytes may stay unacknowledged.
constexpr milliseconds kSilence{1500};

std::uint64_t Number(ConnectionId id) {
  return static_cast<std::uint64_t>(id);
}

}  // namespace

void SimNode::Listen(const std::string& address, AcceptListener* listener) {
  network_->listeners_[address] = {this, listener};
}

ConnectionId SimNode::Connect(const std::string& address,
                              milliseconds timeout,
                              ConnectionListener* listener) {
  std::uint64_t id = ++network_->last_id_;
  network_->ends_[id] = {this, listener, 0};
  auto found = network_->listeners_.find(address);
  if (found == network_->listeners_.end() ||
      network_->refusal_(this, found->second.node) ||
      network_->refusal_(found->second.node, this)) {
    network_->EndLater(id, kDelay, ConnectionEnd::kRefused);
  } else if (network_->IsCut(this, found->second.node)) {
    network_->EndLater(id, timeout, ConnectionEnd::kConnectFailed);
  } else {
    network_->Schedule(found->second.node, kDelay,
                       [network = network_, id, address] {
                         network->FinishConnect(id, address);
                       });
  }
  return ConnectionId{id};
}

void SimNode::Send(ConnectionId connection, std::string_view data) {
  auto found = network_->ends_.find(Number(connection));
  if (found == network_->ends_.end()) {
    return;
  }
  std::uint64_t other = found->second.other;
  auto receiver = network_->ends_.find(other);
  if (receiver == network_->ends_.end()) {
    return;
  }
  if (network_->IsCut(this, receiver->second.node)) {
    network_->EndLater(Number(connection), kSilence, ConnectionEnd::kSilent);
    return;
  }
  network_->Schedule(receiver->second.node, kDelay,
                     [network = network_, other, bytes = std::string(data)] {
                       auto end = network->ends_.find(other);
                       if (end != network->ends_.end()) {
                         end->second.listener->OnData(ConnectionId{other},
                                                      bytes);
                       }
                     });
}

void SimNode::Close(ConnectionId connection) {
  network_->EndByNode(Number(connection), ConnectionEnd::kClosed);
}

void SimNode::Abort(ConnectionId connection) {
  network_->EndByNode(Number(connection), ConnectionEnd::kReset);
}

TimerId SimNode::After(milliseconds delay, std::function<void()> action) {
  return TimerId{network_->Schedule(this, delay, std::move(action))};
}

void SimNode::Cancel(TimerId timer) {
  auto found = network_->event_times_.find(static_cast<std::uint64_t>(timer));
  if (found != network_->event_times_.end()) {
    network_->events_.erase({found->second, found->first});
    network_->event_times_.erase(found);
  }
}

TimePoint SimNode::Now() const {
  return network_->now_;
}

SimNode* SimNetwork::AddNode() {
  nodes_.push_back(std::make_unique<SimNode>(this));
  return nodes_.back().get();
}

std::uint64_t SimNetwork::Schedule(const SimNode* node,
                                   milliseconds delay,
                                   std::function<void()> action) {
  std::uint64_t id = ++last_id_;
  TimePoint time = now_ + delay;
  auto suspended = suspended_until_.find(node);
  if (suspended != suspended_until_.end()) {
    time = std::max(time, suspended->second);
  }
  events_[{time, id}] = {node, std::move(action)};
  event_times_[id] = time;
  return id;
}

bool SimNetwork::IsCut(const SimNode* a, const SimNode* b) const {
  return cut_(a, b) || cut_(b, a);
}

void SimNetwork::FinishConnect(std::uint64_t id, const std::string& address) {
  auto caller = ends_.find(id);
  auto found = listeners_.find(address);
  if (caller == ends_.end() || found == listeners_.end()) {
    return;
  }
  std::uint64_t other = ++last_id_;
  caller->second.other = other;
  ends_[other] = {found->second.node, found->second.listener, id};
  found->second.listener->OnAccepted(ConnectionId{other});
  Schedule(caller->second.node, kDelay, [this, id] {
    auto end = ends_.find(id);
    if (end != ends_.end()) {
      end->second.listener->OnConnected(ConnectionId{id});
    }
  });
}

void SimNetwork::EndLater(std::uint64_t id,
                          milliseconds delay,
                          ConnectionEnd end) {
  Schedule(ends_.at(id).node, delay, [this, id, end] {
    auto found = ends_.find(id);
    if (found != ends_.end()) {
      ConnectionListener* listener = found->second.listener;
      ends_.erase(found);
      listener->OnEnd(ConnectionId{id}, end);
    }
  });
}

void SimNetwork::EndByNode(std::uint64_t id, ConnectionEnd end) {
  auto found = ends_.find(id);
  if (found == ends_.end()) {
    return;
  }
  auto other = ends_.find(found->second.other);
  if (other != ends_.end() && !IsCut(found->second.node, other->second.node)) {
    EndLater(other->first, kDelay, end);
  }
  ends_.erase(id);
}

void SimNetwork::SuspendUntil(const SimNode* node, TimePoint time) {
  suspended_until_[node] = time;
  std::vector<EventKey> moved;
  for (const auto& [key, event] : events_) {
    if (event.node == node && key.first < time) {
      moved.push_back(key);
    }
  }
  for (const EventKey& key : moved) {
    auto event = events_.extract(key);
    event.key().first = time;
    event_times_[key.second] = time;
    events_.insert(std::move(event));
  }
}

void SimNetwork::Stop(const SimNode* node) {
  for (auto it = events_.begin(); it != events_.end();) {
    if (it->second.node == node) {
      event_times_.erase(it->first.second);
      it = events_.erase(it);
    } else {
      ++it;
    }
  }
  std::vector<std::uint64_t> ended;
  for (const auto& [id, end] : ends_) {
    if (end.node == node) {
      ended.push_back(id);
    }
  }
  for (std::uint64_t id : ended) {
    EndByNode(id, ConnectionEnd::kReset);
  }
  for (auto it = listeners_.begin(); it != listeners_.end();) {
    it = it->second.node == node ? listeners_.erase(it) : std::next(it);
  }
}

void SimNetwork::ResetBetween(
    const std::function<bool(const SimNode*, const SimNode*)>& between) {
  std::vector<std::uint64_t> reset;
  for (const auto& [id, end] : ends_) {
    auto other = ends_.find(end.other);
    if (other != ends_.end() && (between(end.node, other->second.node) ||
                                 between(other->second.node, end.node))) {
      reset.push_back(id);
    }
  }
  for (std::uint64_t id : reset) {
    EndLater(id, kDelay, ConnectionEnd::kReset);
  }
}

void SimNetwork::RunFor(milliseconds time) {
  TimePoint end = now_ + time;
  while (!events_.empty() && events_.begin()->first.first <= end) {
    auto first = events_.begin();
    now_ = first->first.first;
    std::function<void()> action = std::move(first->second.action);
    event_times_.erase(first->first.second);
    events_.erase(first);
    action();
  }
  now_ = end;
}

}  // namespace filbertshift
