// HTTP/1.1 client with persistent connections, used for endpoints, the store
// and other instances.

#ifndef SRC_GATEWAY_HTTP_CLIENT_H_
#define SRC_GATEWAY_HTTP_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/http1/http1.h"
#include "src/net/net.h"

namespace filbertshift {

enum class CallId : std::uint64_t {};

enum class CallFailure {
  // No byte of the request was sent.
  kNotSent,
  // The connection ended or the response was malformed.
  kBroken,
};

enum class HeadDecision {
  kAccept,
  // As kAccept, but the connection is not reused: a second copy of this
  // response could not be told apart from the response to a later request.
  kAcceptLast,
  // The response belongs to another request and is skipped.
  kSkip,
};

// A call id is invalid after OnComplete or OnFailed.
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

struct HttpCall {
  // "ip:port".
  std::string address;
  // The head, and the body unless it is shared.
  std::string message;
  // Sent after `message` without being copied; may be null.
  std::shared_ptr<const std::string> body;
  // An open connection is reused if it has been idle for at most this long.
  std::chrono::milliseconds max_idle{0};
  // Id that the peer repeats in its response; empty if it does not. A
  // connection that has carried a request with this id is not reused: a late
  // second copy of the earlier response could not be told apart from the
  // response to this call.
  std::string request_id;
};

// What a connection has carried up to a call, for the log.
struct CallConnection {
  ConnectionId connection{};
  // Requests since the connection opened, with that of the call.
  int requests = 0;
  std::chrono::milliseconds age{0};
};

// Bytes that arrived on a connection on which no response was due.
struct UnsolicitedBytes {
  std::string address;
  // Id of the latest request on the connection; empty if it had none.
  std::string request_id;
  CallConnection connection;
  std::string_view bytes;
};

class HttpClient : public ConnectionListener {
 public:
  using UnsolicitedListener = std::function<void(const UnsolicitedBytes&)>;
  // A connection was established for the call in this time.
  using ConnectListener =
      std::function<void(CallId, std::chrono::microseconds)>;

  // `limits` apply to each response.
  HttpClient(Transport* transport,
             std::chrono::milliseconds connect_timeout,
             HttpParseLimits limits = HttpParseLimits());

  CallId Start(HttpCall call, CallListener* listener);
  // For a peer whose responses name no request.
  CallId Start(const std::string& address,
               std::string message,
               std::chrono::milliseconds max_idle,
               CallListener* listener);
  // Whether any byte of the request may have been sent.
  bool IsSent(CallId call) const;
  // Whether the connection has carried no other request, and no response to
  // another one. A response is then to this call even if it names no request.
  bool HasOwnConnection(CallId call) const;
  // The connection of a call in progress.
  CallConnection ConnectionOf(CallId call) const;
  // The connection ends after the listener was called, which must not start or
  // cancel calls.
  void SetUnsolicitedListener(UnsolicitedListener listener) {
    on_unsolicited_ = std::move(listener);
  }
  // Must not start or cancel calls.
  void SetConnectListener(ConnectListener listener) {
    on_connected_ = std::move(listener);
  }
  // Aborts the call and its connection; the listener is not notified.
  void Cancel(CallId call);
  // Whether a request could be sent to the address on an open connection.
  bool HasIdle(const std::string& address,
               std::chrono::milliseconds max_idle) const;
  // Closes all idle connections to the address.
  void CloseIdle(const std::string& address);
  std::uint64_t connections_opened() const { return connections_opened_; }

  void OnConnected(ConnectionId connection) override;
  void OnData(ConnectionId connection, std::string_view data) override;
  void OnEnd(ConnectionId connection, ConnectionEnd end) override;

 private:
  struct Connection {
    explicit Connection(HttpParseLimits limits);
    std::string address;
    HttpMessageParser parser;
    // Request to send once connected; `body` may be null.
    std::string message;
    std::shared_ptr<const std::string> body;
    bool connected = false;
    // The listener has received the head of the current response.
    bool head_reported = false;
    bool skipping = false;
    // Responses skipped before the one to the current request.
    int skipped = 0;
    // Requests since the connection opened, with the current one.
    int requests = 0;
    // Hashes of the ids of these requests, where they have one.
    std::vector<std::uint64_t> request_ids;
    std::string latest_request_id;
    TimePoint opened_at{};
    // Interim responses to the current request.
    int interim = 0;
    // The connection ends with the current response.
    bool last = false;
    // CallId{} while idle.
    CallId call{};
    CallListener* listener = nullptr;
    TimePoint idle_since{};
    // How long the peer keeps the connection open while idle.
    std::chrono::milliseconds peer_idle_limit{0};
  };

  Connection* Find(ConnectionId id);
  const Connection* Find(ConnectionId id) const;
  CallConnection Describe(ConnectionId id, const Connection& connection) const;
  void ReportUnsolicited(ConnectionId id,
                         const Connection& connection,
                         std::string_view bytes) const;
  // `request_id` is a hash, or empty.
  ConnectionId TakeIdle(const std::string& address,
                        std::chrono::milliseconds max_idle,
                        std::optional<std::uint64_t> request_id);
  // Whether a request can be sent on an idle connection.
  bool IsUsable(const Connection& connection,
                std::chrono::milliseconds max_idle) const;
  // Sends the message and body of the connection.
  void SendRequest(ConnectionId id, Connection* connection);
  void Parse(ConnectionId id, std::string_view data);
  // Prepares for the next response after an interim or a foreign one. Returns
  // false if the call has failed.
  bool PassOver(ConnectionId id, Connection* connection);
  bool ReportHead(ConnectionId id, Connection* connection);
  void FinishMessage(ConnectionId id, Connection* connection, bool extra_bytes);
  void Fail(ConnectionId id, CallFailure failure, std::string_view detail);
  void Drop(ConnectionId id);

  Transport* const transport_;
  const std::chrono::milliseconds connect_timeout_;
  const HttpParseLimits limits_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  // Idle connections by address, most recently used last. May contain ids of
  // closed connections.
  std::unordered_map<std::string, std::deque<ConnectionId>> idle_;
  std::unordered_map<std::uint64_t, ConnectionId> calls_;
  UnsolicitedListener on_unsolicited_;
  ConnectListener on_connected_;
  std::uint64_t last_call_ = 0;
  std::uint64_t connections_opened_ = 0;
};

}  // namespace filbertshift

#endif  // SRC_GATEWAY_HTTP_CLIENT_H_
