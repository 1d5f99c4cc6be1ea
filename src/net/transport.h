// Interface to TCP connections and timers. Both are identified by ids that are
// never reused; a call with the id of one that has ended does nothing.

#ifndef SRC_NET_TRANSPORT_H_
#define SRC_NET_TRANSPORT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "src/common/common.h"

namespace filbertshift {

enum class ConnectionId : std::uint64_t {};
enum class TimerId : std::uint64_t {};

enum class ConnectionEnd {
  // The peer closed its side of the connection without an error.
  kClosed,
  // As kClosed, on a connection that this side opened, before all bytes were
  // sent to the peer. What it has sent may be cut short.
  kClosedEarly,
  kReset,
  // The peer has acknowledged nothing for the silence timeout.
  kSilent,
  // No connection was established.
  kConnectFailed,
  // As kConnectFailed: the host answered that nothing listens at the address.
  kRefused,
};

std::string_view ConnectionEndName(ConnectionEnd end);

// All callbacks run on the thread of the transport. A listener may call the
// transport from within a callback.
class ConnectionListener {
 public:
  virtual ~ConnectionListener() = default;
  virtual void OnConnected(ConnectionId connection) = 0;
  virtual void OnData(ConnectionId connection, std::string_view data) = 0;
  // The connection ended without a call of Close or Abort; its id is no longer
  // valid.
  virtual void OnEnd(ConnectionId connection, ConnectionEnd end) = 0;
};

class AcceptListener : public ConnectionListener {
 public:
  virtual void OnAccepted(ConnectionId connection) = 0;
  void OnConnected(ConnectionId connection) final { OnAccepted(connection); }
};

class Transport {
 public:
  virtual ~Transport() = default;
  // `address` is "ip:port". The result is reported to the listener, never
  // from within this call. A malformed address is reported as kConnectFailed.
  virtual ConnectionId Connect(const std::string& address,
                               std::chrono::milliseconds timeout,
                               ConnectionListener* listener) = 0;
  // Buffers the bytes that the socket does not accept at once and sends them
  // later.
  virtual void Send(ConnectionId connection, std::string_view data) = 0;
  // As Send, for bytes that need not be copied: they are kept until then.
  virtual void SendShared(ConnectionId connection,
                          std::shared_ptr<const std::string> data) {
    Send(connection, *data);
  }
  // Number of buffered bytes; 0 for a connection that has ended.
  virtual std::size_t UnsentBytes(ConnectionId connection) const = 0;
  // Whether bytes, or the end of the connection, have arrived that the listener
  // has not been told of yet.
  virtual bool HasUnreadData(ConnectionId connection) = 0;
  // Ends the connection after the buffered bytes are sent. The listener is not
  // called any more.
  virtual void Close(ConnectionId connection) = 0;
  // As Close, for a peer that may still be sending: what it sends is discarded
  // until it closes, for a bounded time. Closing a socket with unread bytes
  // resets the connection, which drops what the peer has not received yet.
  virtual void CloseLingering(ConnectionId connection) = 0;
  // Number of closed connections that still have bytes to send or to discard.
  virtual std::size_t ClosingCount() const = 0;
  // Delivers what has already arrived, data or the end of the connection,
  // before it returns. A decision that rests on a peer's silence calls this
  // first, because timers run before sockets are read. Not from within OnData.
  virtual void ReadArrived(ConnectionId connection) = 0;
  // Resets the connection, so that the peer cannot mistake a truncated message
  // for a complete one.
  virtual void Abort(ConnectionId connection) = 0;

  virtual TimerId After(std::chrono::milliseconds delay,
                        std::function<void()> action) = 0;
  virtual void Cancel(TimerId timer) = 0;
  virtual TimePoint Now() const = 0;
};

}  // namespace filbertshift

#endif  // SRC_NET_TRANSPORT_H_
