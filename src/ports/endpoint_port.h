// Port between the core and the streaming HTTP client to endpoints.

#ifndef SRC_PORTS_ENDPOINT_PORT_H_
#define SRC_PORTS_ENDPOINT_PORT_H_

#include <chrono>
#include <string>
#include <vector>

#include "src/ports/caller_port.h"

namespace filbertshift {

// One life of an endpoint process, known by its start time. Zero is unknown.
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
  // IP number and port.
  std::string address;
  std::string method;
  // Path with query string.
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;
  // Only a connection that was verified to reach this incarnation may carry the
  // request; otherwise the attempt ends as kIncarnationChanged, unsent.
  Incarnation incarnation;
  std::chrono::milliseconds connect_timeout{0};
  // The adapter ends the attempt as kTooLarge beyond this size.
  std::size_t max_response_bytes = 0;
};

// The first byte of the request is about to be written. From here on the
// attempt may have an effect.
struct AttemptSent {
  AttemptId attempt;
};

struct AttemptHead {
  AttemptId attempt;
  int http_status = 0;
  std::vector<HttpHeader> headers;
};

// A piece of the response body. For text/event-stream answers each message
// holds whole events, so that no event is split.
struct AttemptData {
  AttemptId attempt;
  std::string bytes;
};

enum class AttemptOutcome {
  // The response is complete by HTTP framing.
  kComplete,
  // No byte of the request was written.
  kNotSent,
  // Not sent, because no connection reaches the required incarnation.
  kIncarnationChanged,
  // The connection broke after the request was sent.
  kBroken,
  // The response is not valid HTTP.
  kGarbage,
  kTooLarge,
  kCancelled,
};

std::string_view AttemptOutcomeName(AttemptOutcome outcome);

// The last message of each attempt; nothing of that attempt follows.
struct AttemptEnd {
  AttemptId attempt;
  EndpointId endpoint;
  AttemptOutcome outcome = AttemptOutcome::kComplete;
  std::string detail;
};

// The result of reading the health and start time of an endpoint.
struct ProbeResult {
  EndpointId endpoint;
  bool reachable = false;
  Incarnation incarnation;
  // Time since the start of the endpoint process, by the endpoint's own clock.
  std::chrono::milliseconds uptime{0};
  // Requests running and waiting as the endpoint reports them, with a lag.
  int running = 0;
  int waiting = 0;
  std::chrono::microseconds round_trip{0};
};

// An idle or used connection to an endpoint was closed by the other side.
struct ConnectionLost {
  EndpointId endpoint;
  Incarnation incarnation;
};

// Methods are called by the core thread and return at once.
class EndpointPort {
 public:
  virtual ~EndpointPort() = default;

  // Returns false, with nothing sent and no message to follow, when the
  // adapter cannot take the attempt.
  virtual bool Start(AttemptSpec attempt) = 0;
  // An AttemptEnd still follows, with kCancelled unless the end came first.
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
