#include "tests/unit/support/fake_transport.h"

#include <algorithm>

namespace filbertshift {

namespace {

std::uint64_t Number(ConnectionId id) {
  return static_cast<std::uint64_t>(id);
}

}  // namespace

ConnectionId FakeTransport::Connect(const std::string& address,
                                    std::chrono::milliseconds timeout,
                                    ConnectionListener* listener) {
  ConnectionId id{++last_id_};
  connections_[Number(id)] =
      Connection{address, listener, "", "", false, false, false, false};
  At(id).slow = slow_.count(address) > 0;
  if (down_.count(address) > 0) {
    After(timeout, [this, id] { End(id, ConnectionEnd::kConnectFailed); });
    return id;
  }
  if (refusing_.count(address) > 0) {
    After(std::chrono::milliseconds(1),
          [this, id] { End(id, ConnectionEnd::kRefused); });
    return id;
  }
  After(std::chrono::milliseconds(1), [this, id] {
    if (IsOpen(id)) {
      At(id).connected = true;
      At(id).listener->OnConnected(id);
    }
  });
  return id;
}

void FakeTransport::Send(ConnectionId connection, std::string_view data) {
  if (IsOpen(connection)) {
    At(connection).sent.append(data);
  }
}

std::size_t FakeTransport::UnsentBytes(ConnectionId connection) const {
  auto found = connections_.find(Number(connection));
  if (found == connections_.end() || found->second.closed ||
      found->second.aborted) {
    return 0;
  }
  return found->second.slow ? found->second.sent.size() : 0;
}

void FakeTransport::Close(ConnectionId connection) {
  At(connection).closed = true;
}

void FakeTransport::ReadArrived(ConnectionId connection) {
  std::string arrived = std::exchange(At(connection).unread, std::string());
  if (!arrived.empty()) {
    Receive(connection, arrived);
  }
}

void FakeTransport::Abort(ConnectionId connection) {
  At(connection).aborted = true;
}

TimerId FakeTransport::After(std::chrono::milliseconds delay,
                             std::function<void()> action) {
  std::uint64_t id = ++last_id_;
  timers_.emplace(std::make_pair(now_ + delay, id), std::move(action));
  return TimerId{id};
}

void FakeTransport::Cancel(TimerId timer) {
  for (auto entry = timers_.begin(); entry != timers_.end(); ++entry) {
    if (entry->first.second == static_cast<std::uint64_t>(timer)) {
      timers_.erase(entry);
      return;
    }
  }
}

ConnectionId FakeTransport::Accept(AcceptListener* listener) {
  ConnectionId id{++last_id_};
  connections_[Number(id)] =
      Connection{"", listener, "", "", true, false, false, false};
  listener->OnAccepted(id);
  return id;
}

void FakeTransport::Receive(ConnectionId connection, std::string_view data) {
  if (IsOpen(connection)) {
    At(connection).listener->OnData(connection, data);
  }
}

void FakeTransport::Arrive(ConnectionId connection, std::string_view data) {
  At(connection).unread.append(data);
}

void FakeTransport::End(ConnectionId connection, ConnectionEnd end) {
  if (IsOpen(connection)) {
    bool opened_here = !At(connection).address.empty();
    if (end == ConnectionEnd::kClosed && opened_here &&
        UnsentBytes(connection) > 0) {
      end = ConnectionEnd::kClosedEarly;
    }
    At(connection).closed = true;
    At(connection).listener->OnEnd(connection, end);
  }
}

void FakeTransport::Advance(std::chrono::milliseconds time) {
  TimePoint end = now_ + time;
  while (!timers_.empty() && timers_.begin()->first.first <= end) {
    auto first = timers_.begin();
    now_ = std::max(now_, first->first.first);
    std::function<void()> action = std::move(first->second);
    timers_.erase(first);
    action();
  }
  now_ = end;
}

FakeTransport::Connection& FakeTransport::At(ConnectionId connection) {
  return connections_[Number(connection)];
}

bool FakeTransport::IsOpen(ConnectionId connection) {
  const Connection& found = At(connection);
  return !found.closed && !found.aborted;
}

std::vector<ConnectionId> FakeTransport::OpenTo(const std::string& address) {
  std::vector<ConnectionId> open;
  for (const auto& [number, connection] : connections_) {
    if (connection.address == address && !connection.closed &&
        !connection.aborted) {
      open.push_back(ConnectionId{number});
    }
  }
  return open;
}

std::string FakeTransport::TakeSent(ConnectionId connection,
                                    std::size_t bytes) {
  std::string* sent = &At(connection).sent;
  std::string taken = sent->substr(0, bytes);
  sent->erase(0, bytes);
  return taken;
}

std::string FakeTransport::TakeSent(ConnectionId connection) {
  return std::exchange(At(connection).sent, std::string());
}

}  // namespace filbertshift
