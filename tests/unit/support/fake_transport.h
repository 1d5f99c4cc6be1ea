// A transport without sockets: tests act as the remote end of each connection
// and control the clock.

#ifndef TESTS_UNIT_SUPPORT_FAKE_TRANSPORT_H_
#define TESTS_UNIT_SUPPORT_FAKE_TRANSPORT_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/net/transport.h"

namespace filbertshift {

class FakeTransport : public Transport {
 public:
  struct Connection {
    std::string address;
    ConnectionListener* listener = nullptr;
    std::string sent;
    // Arrived but not yet delivered.
    std::string unread;
    bool connected = false;
    bool closed = false;
    bool aborted = false;
    // The remote end reads only what the test takes.
    bool slow = false;
  };

  ConnectionId Connect(const std::string& address,
                       std::chrono::milliseconds timeout,
                       ConnectionListener* listener) override;
  void Send(ConnectionId connection, std::string_view data) override;
  std::size_t UnsentBytes(ConnectionId connection) const override;
  bool HasUnreadData(ConnectionId connection) override {
    return IsOpen(connection) && !At(connection).unread.empty();
  }
  void Close(ConnectionId connection) override;
  void CloseLingering(ConnectionId connection) override { Close(connection); }
  std::size_t ClosingCount() const override { return closing_count_; }
  void ReadArrived(ConnectionId connection) override;
  void Abort(ConnectionId connection) override;
  TimerId After(std::chrono::milliseconds delay,
                std::function<void()> action) override;
  void Cancel(TimerId timer) override;
  TimePoint Now() const override { return now_; }

  void SetClosingCount(std::size_t count) { closing_count_ = count; }
  // Makes new connections to this address fail after their timeout.
  void SetDown(const std::string& address) { down_.insert(address); }
  // Makes new connections to this address be refused.
  void SetRefusing(const std::string& address) { refusing_.insert(address); }
  ConnectionId Accept(AcceptListener* listener);
  void Receive(ConnectionId connection, std::string_view data);
  // Lets data arrive that the node reads only when it asks for it.
  void Arrive(ConnectionId connection, std::string_view data);
  void End(ConnectionId connection, ConnectionEnd end);
  // Advances the clock and runs the timers that become due, in order.
  void Advance(std::chrono::milliseconds time);
  // Advances the clock without running timers, as if the event loop stood
  // still; overdue timers run with the next Advance.
  void Stall(std::chrono::milliseconds time) { now_ += time; }

  Connection& At(ConnectionId connection);
  bool IsOpen(ConnectionId connection);
  // Returns the open connections to the address, oldest first.
  std::vector<ConnectionId> OpenTo(const std::string& address);
  // Returns the data sent on the connection since the last call.
  std::string TakeSent(ConnectionId connection);
  // From now on, what is sent counts as unsent until the test takes it.
  void SetSlow(ConnectionId connection) { At(connection).slow = true; }
  // As SetSlow for each connection that will be opened to the address.
  void SetSlowAddress(const std::string& address) { slow_.insert(address); }
  // Takes at most so many bytes, from the front.
  std::string TakeSent(ConnectionId connection, std::size_t bytes);

 private:
  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t last_id_ = 0;
  std::size_t closing_count_ = 0;
  std::map<std::uint64_t, Connection> connections_;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> timers_;
  std::set<std::string> down_;
  std::set<std::string> refusing_;
  std::set<std::string> slow_;
};

}  // namespace filbertshift

#endif  // TESTS_UNIT_SUPPORT_FAKE_TRANSPORT_H_
