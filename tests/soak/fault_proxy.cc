#include "tests/soak/fault_proxy.h"

#include <utility>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kConnectTimeout{1000};
constexpr milliseconds kDelay{120};

}  // namespace

FaultProxy::FaultProxy(Transport* transport, std::string upstream)
    : transport_(transport),
      upstream_(std::move(upstream)),
      upstream_listener_(this) {}

FaultProxy::Link* FaultProxy::Find(ConnectionId connection) {
  auto found = links_.find(connection);
  return found == links_.end() ? nullptr : &found->second;
}

void FaultProxy::SetFault(ProxyFault fault) {
  fault_ = fault;
  if (fault == ProxyFault::kReset) {
    for (const auto& entry : std::exchange(links_, {})) {
      transport_->Abort(entry.first);
    }
  }
}

void FaultProxy::OnAccepted(ConnectionId connection) {
  if (fault_ == ProxyFault::kReset) {
    transport_->Abort(connection);
    return;
  }
  ConnectionId other =
      transport_->Connect(upstream_, kConnectTimeout, &upstream_listener_);
  links_[connection].other = other;
  links_[other].other = connection;
}

void FaultProxy::OnData(ConnectionId connection, std::string_view data) {
  Forward(connection, data, false);
}

void FaultProxy::OnEnd(ConnectionId connection, ConnectionEnd end) {
  PropagateEnd(connection, end);
}

void FaultProxy::Forward(ConnectionId from,
                         std::string_view data,
                         bool is_response) {
  Link* link = Find(from);
  if (link == nullptr) {
    return;
  }
  link->silent = link->silent || fault_ == ProxyFault::kSilent ||
                 (fault_ == ProxyFault::kResponsesLost && is_response);
  if (link->silent) {
    return;
  }
  if (fault_ != ProxyFault::kDelay && link->delayed == 0) {
    transport_->Send(link->other, data);
    return;
  }
  ++link->delayed;
  transport_->After(kDelay, [this, from, bytes = std::string(data)] {
    Link* delayed_link = Find(from);
    if (delayed_link != nullptr) {
      --delayed_link->delayed;
      if (!delayed_link->silent) {
        transport_->Send(delayed_link->other, bytes);
      }
    }
  });
}

void FaultProxy::PropagateEnd(ConnectionId from, ConnectionEnd end) {
  Link* link = Find(from);
  if (link == nullptr) {
    return;
  }
  ConnectionId other = link->other;
  bool silent = link->silent;
  links_.erase(from);
  if (silent) {
    // The other side is not notified; its own end is ignored later.
    return;
  }
  links_.erase(other);
  if (end == ConnectionEnd::kClosed) {
    transport_->Close(other);
  } else {
    transport_->Abort(other);
  }
}

}  // namespace filbertshift
