// HTTP/1.1 server. Each connection handles one request at a time; request
// bodies are buffered, responses are sent in one piece or streamed.

#ifndef SRC_GATEWAY_CALLER_SERVER_H_
#define SRC_GATEWAY_CALLER_SERVER_H_

#include <string>
#include <string_view>
#include <unordered_map>

#include "src/common/common.h"
#include "src/fleet/fleet_documents.h"
#include "src/http1/http1.h"
#include "src/net/net.h"

namespace filbertshift {

// Why a connection with a caller ended.
enum class CallerCloseReason {
  // No request began for the idle timeout.
  kIdle,
  // The response, or its request, said that the connection ends.
  kAnnounced,
  // Idle connections are closed at a planned stop.
  kShutdown,
  kRejected,
  // The caller does not read its response.
  kSlowCaller,
  // The response could not be completed.
  kBrokenOff,
  kCallerClosed,
  kCallerReset,
  kCallerSilent,
};

std::string_view CallerCloseReasonName(CallerCloseReason reason);

class HttpRequestHandler {
 public:
  virtual ~HttpRequestHandler() = default;
  // The handler responds exactly once, immediately or later.
  virtual void OnRequest(ConnectionId caller,
                         HttpRequestHead head,
                         std::string body) = 0;
  // The caller disconnected before its response was complete; the id is no
  // longer valid.
  virtual void OnCallerDisconnected(ConnectionId caller, ConnectionEnd end) = 0;
  // A malformed, oversized or late request was rejected with this status.
  virtual void OnRejected(int status, std::string_view reason) = 0;
  // A connection ended. `unanswered_bytes` is the size of a request of which
  // only a part had arrived; 0 if no request was affected.
  virtual void OnConnectionClosed(CallerCloseReason /*reason*/,
                                  std::size_t /*unanswered_bytes*/) {}
};

class CallerServer : public AcceptListener {
 public:
  CallerServer(Transport* transport, HttpRequestHandler* handler);

  void SetLimits(const CallerLimits& limits) { limits_ = limits; }
  // Requests beyond this memory are refused as not run, before their bodies are
  // read where their lengths are announced. Several servers may share it. No
  // bound by default.
  void SetRequestMemory(RequestMemory* memory) { memory_ = memory; }
  // Closes each connection after its next response.
  void BeginClosing() { closing_ = true; }
  // Closes connections that have no request in progress, except those whose
  // first request may still be on its way.
  void CloseIdle();
  // Whether a connection was accepted so recently that its first request may
  // still be on its way.
  bool AwaitsFirstRequest() const;

  // Adds the framing header fields; `head` must not contain any.
  void Respond(ConnectionId caller, HttpResponseHead head, std::string body);
  void BeginStream(ConnectionId caller, HttpResponseHead head);
  void SendStream(ConnectionId caller, std::string_view data);
  void EndStream(ConnectionId caller);
  // Resets the connection, so that the caller sees the response as incomplete.
  void AbortResponse(ConnectionId caller, CallerCloseReason reason);
  std::size_t UnsentBytes(ConnectionId caller) const;
  // Whether a response is still being sent on any connection.
  bool HasUnsentBytes() const;
  std::size_t connection_count() const { return connections_.size(); }

  void OnAccepted(ConnectionId connection) override;
  void OnData(ConnectionId connection, std::string_view data) override;
  void OnEnd(ConnectionId connection, ConnectionEnd end) override;

 private:
  struct Connection {
    explicit Connection(HttpParseLimits current)
        : parser(HttpMessageParser::Kind::kRequest, current), limits(current) {}
    HttpMessageParser parser;
    // The largest limits in force while the request arrives: a configuration
    // that lowers them does not break it off.
    HttpParseLimits limits;
    std::string body;
    // Bytes received after the request in progress.
    std::string pending;
    // More bytes arrived than `pending` may hold and were dropped: requests up
    // to there are served, the next one is refused.
    bool overflowed = false;
    // Bytes of the arriving request that are no longer in `pending`.
    std::size_t parsed_bytes = 0;
    // The handler has a request whose response is not complete.
    bool in_request = false;
    // There is memory for the arriving request as far as it is known.
    bool admitted = false;
    // The arriving request has been refused; the rest of its body is discarded.
    bool discarding = false;
    // Memory of the request in progress, which the handler has.
    std::size_t request_memory = 0;
    bool continue_sent = false;
    bool keep_alive = true;
    bool streaming = false;
    // Without chunks, the end of the connection ends a stream.
    bool accepts_chunks = true;
    bool parsing = false;
    // No request has started to arrive yet.
    bool unused = true;
    TimePoint accepted_at{};
    // End of the latest response, or `accepted_at`.
    TimePoint idle_since{};
    // First byte of the arriving request.
    TimePoint request_started_at{};
    // Bytes of the arriving body, and their number when the timer was started.
    std::size_t body_bytes = 0;
    std::size_t body_bytes_at_timer = 0;
    TimerId timer{};
  };

  Connection* Find(ConnectionId id);
  bool AwaitsFirstRequest(const Connection& connection) const;
  // Whether no byte of a request awaits its response.
  static bool IsIdle(const Connection& connection);
  // Rounded up; zero for a time in the past.
  std::chrono::milliseconds TimeLeft(TimePoint end) const;
  void UpdateLimits(Connection* connection) const;
  void Process(ConnectionId id);
  // Returns true if a complete request is ready for the handler.
  bool ParseRequest(ConnectionId id, Connection* connection);
  // Takes what the parser has of a body. Returns false if the request has been
  // refused.
  bool ReceiveBody(ConnectionId id, Connection* connection);
  void ResetRequest(Connection* connection);
  void SendContinue(ConnectionId id, Connection* connection);
  // Memory of the arriving request without its body, and of all that the
  // connection holds.
  static std::size_t ArrivingMemory(const Connection& connection);
  static std::size_t MemoryOf(const Connection& connection);
  // Whether there is memory for what the connection holds and for more bytes.
  bool HoldMemory(ConnectionId id,
                  const Connection& connection,
                  std::size_t more_bytes = 0);
  // Refuses the arriving request for want of memory. The connection stays open
  // if the rest of the body can be told from the next request.
  void RefuseForMemory(ConnectionId id, Connection* connection);
  void Reject(ConnectionId id, int status, std::string_view reason);
  void FinishResponse(ConnectionId id, Connection* connection);
  // Forgets the connection and reports why it ended.
  void Remove(ConnectionId id, CallerCloseReason reason);
  // The limits in force when a timer expires apply, as the limits may have been
  // raised meanwhile.
  void ArmIdleTimer(ConnectionId id, Connection* connection);
  void OnIdleTimer(ConnectionId id);
  void ArmHeadTimer(ConnectionId id, Connection* connection);
  void OnHeadTimer(ConnectionId id);
  // A body may take long, but must go on to arrive.
  void ArmBodyTimer(ConnectionId id, Connection* connection);
  void OnBodyTimer(ConnectionId id);
  // Reads what has arrived when a timer expires. Returns nullptr if the
  // connection has ended or another timer was started.
  Connection* ReadAtExpiry(ConnectionId id);
  void AddConnectionField(const Connection& connection,
                          HttpResponseHead* head) const;

  Transport* const transport_;
  HttpRequestHandler* const handler_;
  CallerLimits limits_;
  RequestMemory* memory_ = nullptr;
  bool closing_ = false;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
};

}  // namespace filbertshift

#endif  // SRC_GATEWAY_CALLER_SERVER_H_
