// Port for TCP connections and timers. Connections and timers are addressed by
// ids that are never reused; calls with the id of an ended one do nothing.

#ifndef SRC_NET_TRANSPORT_H_
#define SRC_NET_TRANSPORT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "src/common/common.h"

namespace filbertshift {

enum class ConnectionId : std::uint64_t {};
enum class TimerId : std::uint64_t {};

enum class ConnectionEnd {
  // The peer has closed its side in order.
  kClosed,
  kReset,
  // The peer has acknowledged nothing for the silence timeout.
  kSilent,
  kConnectFailed,
};

std::string_view ConnectionEndName(ConnectionEnd end);

// All calls come from the thread of the transport. A listener may call the
// transport from within a call.
class ConnectionListener {
 public:
  virtual ~ConnectionListener() = default;
  virtual void OnConnected(ConnectionId connection) = 0;
  virtual void OnData(ConnectionId connection, std::string_view data) = 0;
  // The connection has ended by itself; its id is no longer valid.
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
  // `address` is "ip:port". The result arrives at the listener, never from
  // within this call. A malformed address ends with kConnectFailed.
  virtual ConnectionId Connect(const std::string& address,
                               std::chrono::milliseconds timeout,
                               ConnectionListener* listener) = 0;
  // What the socket does not take at once is kept and sent later.
  virtual void Send(ConnectionId connection, std::string_view data) = 0;
  // Bytes that wait for the peer; 0 for an ended connection.
  virtual std::size_t UnsentBytes(ConnectionId connection) const = 0;
  // Ends the connection after the bytes that wait; no further call to the
  // listener.
  virtual void Close(ConnectionId connection) = 0;
  // Ends the connection at once with a reset, so that the peer cannot take what
  // it has got as complete.
  virtual void Abort(ConnectionId connection) = 0;

  virtual TimerId After(std::chrono::milliseconds delay,
                        std::function<void()> action) = 0;
  virtual void Cancel(TimerId timer) = 0;
  virtual TimePoint Now() const = 0;
};

}  // namespace filbertshift

#endif  // SRC_NET_TRANSPORT_H_
