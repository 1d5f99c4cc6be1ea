// Single-threaded Transport on non-blocking sockets with Boost.Asio.

#ifndef SRC_NET_TCP_LOOP_H_
#define SRC_NET_TCP_LOOP_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/net/send_queue.h"
#include "src/net/transport.h"

namespace filbertshift {

class TcpLoop : public Transport {
 public:
  // A connection ends when the peer acknowledges nothing for `silence_timeout`.
  // A peer may pause reading for longer if it still acknowledges.
  explicit TcpLoop(std::chrono::milliseconds silence_timeout);
  ~TcpLoop() override;
  TcpLoop(const TcpLoop&) = delete;
  TcpLoop& operator=(const TcpLoop&) = delete;

  // Limits the bytes that all peers of accepted connections, and of closed
  // ones, have yet to read. Beyond it, the connection with the most is reset.
  // No limit by default.
  void SetSendLimit(std::size_t bytes) { send_limit_ = bytes; }
  // Limits the bytes of each connection that have arrived and are not read yet;
  // the kernel may hold twice as many. For connections that are opened, and
  // addresses that are listened on, after this call. By default, the kernel
  // decides.
  void SetReceiveBuffer(std::size_t bytes) { receive_buffer_ = bytes; }
  // Accepts connections on "ip:port" until the loop ends. Throws
  // boost::system::system_error if the address cannot be bound.
  void Listen(const std::string& address, AcceptListener* listener);
  // Calls `action` with the number of each of `signals` that arrives.
  void OnSignals(const std::vector<int>& signals,
                 std::function<void(int)> action);
  // Blocks until Stop is called. May be called again afterwards.
  void Run();
  void Stop();

  ConnectionId Connect(const std::string& address,
                       std::chrono::milliseconds timeout,
                       ConnectionListener* listener) override;
  void Send(ConnectionId connection, std::string_view data) override;
  void SendShared(ConnectionId connection,
                  std::shared_ptr<const std::string> data) override;
  std::size_t UnsentBytes(ConnectionId connection) const override;
  bool HasUnreadData(ConnectionId connection) override;
  void Close(ConnectionId connection) override;
  void CloseLingering(ConnectionId connection) override;
  std::size_t ClosingCount() const override;
  void ReadArrived(ConnectionId connection) override;
  void Abort(ConnectionId connection) override;
  TimerId After(std::chrono::milliseconds delay,
                std::function<void()> action) override;
  void Cancel(TimerId timer) override;
  TimePoint Now() const override { return std::chrono::steady_clock::now(); }

  std::size_t connection_count() const { return connections_.size(); }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  struct Connection {
    explicit Connection(boost::asio::io_context& context) : socket(context) {}
    // The destructor of the socket would turn a reset into an orderly close.
    ~Connection() {
      boost::system::error_code ignored;
      socket.close(ignored);
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    Socket socket;
    ConnectionListener* listener = nullptr;
    SendQueue unsent;
    // What `held_bytes_` contains of `unsent`.
    std::size_t held_bytes = 0;
    // A write has failed, or the connection was reset for exceeding the send
    // limit; the listener is yet to be told.
    bool broken = false;
    bool accepted = false;
    // Bytes were sent that the peer had not acknowledged at the latest check.
    bool unacknowledged = false;
    // When the check first found them; not set for a peer that has acknowledged
    // everything in transit.
    std::optional<TimePoint> unacknowledged_since;
    bool connected = false;
    bool waiting_to_write = false;
    // Close was called: the connection ends once all of `unsent` is written,
    // and the listener is not called any more.
    bool closing = false;
    // CloseLingering was called; implies `closing`.
    bool lingers = false;
    // Everything is sent, and the peer has not closed yet; implies `lingers`.
    bool lingering = false;
    std::size_t discarded_bytes = 0;
    // The peer sends no more.
    bool peer_finished = false;
    // Limits the time to connect, to send the rest before the end or to linger.
    TimerId timer{};
  };

  struct Listener {
    explicit Listener(boost::asio::io_context& context) : acceptor(context) {}
    boost::asio::ip::tcp::acceptor acceptor;
    AcceptListener* listener = nullptr;
  };

  Connection* Find(ConnectionId id);
  ConnectionId Add(std::unique_ptr<Connection> connection);
  void Accept(Listener* listener);
  void SetOptions(Socket* socket) const;
  // Has to precede the connection: the window is agreed on when it is opened.
  void LimitReceiveBuffer(int descriptor) const;
  // Replaces TCP_USER_TIMEOUT, which also ends connections whose peer only does
  // not read.
  void CheckAcknowledgements();
  void BeginClose(ConnectionId id, Connection* connection);
  void StartConnect(ConnectionId id, const std::string& address);
  void FinishConnect(ConnectionId id, const boost::system::error_code& error);
  void WaitToRead(ConnectionId id);
  // Returns whether there may be more to read.
  bool ReadOnce(ConnectionId id);
  void EndAfterFailedWrite(ConnectionId id);
  void WaitToWrite(ConnectionId id);
  void Flush(ConnectionId id);
  // Writes until the socket accepts no more, and removes from `data` what was
  // written. Returns false if the connection ends.
  bool Write(ConnectionId id, Connection* connection, std::string_view* data);
  void UpdateHeldBytes(Connection* connection);
  void KeepSendLimit();
  // The peer sees that what it has received is incomplete.
  static void SetReset(Connection* connection);
  void End(ConnectionId id, ConnectionEnd end);
  // Ends a connection that is closing and whose bytes are all written.
  void FinishClose(ConnectionId id);
  void Remove(ConnectionId id);
  void ArmTimer();
  void RunTimers();
  void WaitForSignal();

  const std::chrono::milliseconds silence_timeout_;
  boost::asio::io_context context_;
  boost::asio::steady_timer timer_;
  boost::asio::signal_set signals_;
  std::function<void(int)> on_signal_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::size_t send_limit_ = std::numeric_limits<std::size_t>::max();
  // 0: no limit.
  std::size_t receive_buffer_ = 0;
  // Memory of unsent bytes of accepted and of closing connections.
  std::size_t held_bytes_ = 0;
  // Connections that wait for their peers to close.
  std::size_t lingering_count_ = 0;
  std::uint64_t last_id_ = 0;
  // Ordered by time, then by id.
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> timers_;
  // Invariant: has exactly the ids of timers_.
  std::unordered_map<std::uint64_t, TimePoint> timer_times_;
  // Expiry time of timer_; max if it is not set.
  TimePoint timer_expiry_ = TimePoint::max();
  std::array<char, std::size_t{64} * 1024> read_buffer_{};
};

}  // namespace filbertshift

#endif  // SRC_NET_TCP_LOOP_H_
