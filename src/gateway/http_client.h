// HTTP/1.1 client calls over kept connections: to endpoints, to the store and
// to other instances.

#ifndef SRC_GATEWAY_HTTP_CLIENT_H_
#define SRC_GATEWAY_HTTP_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "src/http1/http1.h"
#include "src/net/net.h"

namespace filbertshift {

enum class CallId : std::uint64_t {};

enum class CallFailure {
  // No byte of the request was sent.
  kNotSent,
  // The connection ended, or what came is not an answer.
  kBroken,
};

enum class HeadDecision {
  kTake,
  // The answer belongs to another request; it is skipped.
  kSkip,
};

// The id of a call is invalid after OnComplete and OnFailed.
class CallListener {
 public:
  virtual ~CallListener() = default;
  virtual HeadDecision OnHead(CallId call, const HttpResponseHead& head) = 0;
  virtual void OnBody(CallId call, std::string_view data) = 0;
  virtual void OnComplete(CallId call) = 0;
  virtual void OnFailed(CallId call,
                        CallFailure failure,
                        std::string_view detail) = 0;
};

class HttpClient : public ConnectionListener {
 public:
  HttpClient(Transport* transport, std::chrono::milliseconds connect_timeout);

  // `address` is "ip:port". A kept connection is used again if it has been idle
  // for at most `max_idle`.
  CallId Start(const std::string& address,
               std::string message,
               std::chrono::milliseconds max_idle,
               CallListener* listener);
  // A byte of the request may have left.
  bool IsSent(CallId call) const;
  // Ends the call and its connection; no further call to the listener.
  void Cancel(CallId call);
  // Closes all idle connections to the address.
  void CloseIdle(const std::string& address);
  std::uint64_t connections_opened() const { return connections_opened_; }

  void OnConnected(ConnectionId connection) override;
  void OnData(ConnectionId connection, std::string_view data) override;
  void OnEnd(ConnectionId connection, ConnectionEnd end) override;

 private:
  struct Connection {
    Connection();
    std::string address;
    HttpMessageParser parser;
    // Sent when the connection is made.
    std::string message;
    bool connected = false;
    // The head of the current answer was handed to the listener.
    bool head_reported = false;
    bool skipping = false;
    int skipped = 0;
    // CallId{} while idle.
    CallId call{};
    CallListener* listener = nullptr;
    TimePoint idle_since{};
    // When the peer will close the idle connection.
    std::chrono::milliseconds peer_idle_limit{0};
  };

  Connection* Find(ConnectionId id);
  ConnectionId TakeIdle(const std::string& address,
                        std::chrono::milliseconds max_idle);
  void Parse(ConnectionId id, std::string_view data);
  bool ReportHead(ConnectionId id, Connection* connection);
  void FinishMessage(ConnectionId id, Connection* connection, bool extra_bytes);
  void Fail(ConnectionId id, CallFailure failure, std::string_view detail);
  void Drop(ConnectionId id);

  Transport* const transport_;
  const std::chrono::milliseconds connect_timeout_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  // Idle connections of each address, the latest used last. May hold ids of
  // ended ones.
  std::unordered_map<std::string, std::deque<ConnectionId>> idle_;
  std::unordered_map<std::uint64_t, ConnectionId> calls_;
  std::uint64_t last_call_ = 0;
  std::uint64_t connections_opened_ = 0;
};

}  // namespace filbertshift

#endif  // SRC_GATEWAY_HTTP_CLIENT_H_
