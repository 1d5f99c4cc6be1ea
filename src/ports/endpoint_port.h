// Port between the core and the streaming HTTP client to endpoints.

#ifndef SRC_PORTS_ENDPOINT_PORT_H_
#define SRC_PORTS_ENDPOINT_PORT_H_

#include <chrono>
#include <string>
#include <vector>

#include "src/ports/caller_port.h"

namespace filbertshift {

// One run of an endpoint process, identified by its start time; 0 is unknown.
struct Incarnation {
  std::chrono::milliseconds start_time{0};

  friend bool operator==(Incarnation a, Incarnation b) {
    return a.start_time == b.start_time;
  }
  friend bool operator!=(Incarnation a, Incarnation b) { return !(a == b); }
};

struct AttemptSpec {
  AttemptId attempt;
  EndpointId endpoint;
  // IP address and port.
  std::string address;
  std::string method;
  // Path with query string.
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;
  // The request is sent only over a connection that was verified to reach this
  // incarnation; otherwise the attempt ends unsent with kIncarnationChanged.
  Incarnation incarnation;
  std::chrono::milliseconds connect_timeout{0};
  // The adapter ends the attempt with kTooLarge above this size.
  std::size_t max_response_bytes = 0;
};

// The first byte of the request is about to be written. From now on the attempt
// may have side effects.
struct AttemptSent {
  AttemptId attempt;
};

struct AttemptHead {
  AttemptId attempt;
  int http_status = 0;
  std::vector<HttpHeader> headers;
  // The connection has carried no other attempt, so that the response can only
  // be the one to this attempt.
  bool own_connection = false;
};

// A chunk of the response body. Events of a text/event-stream answer are never
// split between messages.
struct AttemptData {
  AttemptId attempt;
  std::string bytes;
};

enum class AttemptOutcome {
  // The response is complete by HTTP framing.
  kComplete,
  // No byte of the request was written.
  kNotSent,
  // Not sent: no connection reaches the required incarnation.
  kIncarnationChanged,
  // The connection broke after the request was sent.
  kBroken,
  // The response is not valid HTTP.
  kGarbage,
  kTooLarge,
  kCancelled,
};

std::string_view AttemptOutcomeName(AttemptOutcome outcome);

// The last message of an attempt.
struct AttemptEnd {
  AttemptId attempt;
  EndpointId endpoint;
  AttemptOutcome outcome = AttemptOutcome::kComplete;
  std::string detail;
};

// Result of a health probe, including the start time of the endpoint.
struct ProbeResult {
  EndpointId endpoint;
  bool reachable = false;
  Incarnation incarnation;
  // Time since the start of the endpoint process by the endpoint's clock.
  std::chrono::milliseconds uptime{0};
  // Running and waiting requests as reported by the endpoint; may lag.
  int running = 0;
  int waiting = 0;
  std::chrono::microseconds round_trip{0};
};

// The endpoint closed a connection, whether idle or in use.
struct ConnectionLost {
  EndpointId endpoint;
  Incarnation incarnation;
};

// Methods are called by the core thread and do not block.
class EndpointPort {
 public:
  virtual ~EndpointPort() = default;

  // Returns false if the adapter cannot take the attempt; then nothing is sent
  // and no message follows.
  virtual bool Start(AttemptSpec attempt) = 0;
  // An AttemptEnd still follows, with kCancelled unless the attempt had ended.
  virtual void Cancel(const AttemptId& attempt) = 0;
  // A ProbeResult follows within `timeout`.
  virtual void Probe(const EndpointId& endpoint,
                     const std::string& address,
                     std::chrono::milliseconds timeout) = 0;
  // Closes the idle connections of an endpoint that left the instance list.
  virtual void Forget(const EndpointId& endpoint) = 0;
};

}  // namespace filbertshift

#endif  // SRC_PORTS_ENDPOINT_PORT_H_
