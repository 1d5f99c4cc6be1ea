// Public header of the endpoint adapter: the streaming HTTP client to model
// engines and plain services.

#ifndef SRC_ENDPOINT_ENDPOINT_H_
#define SRC_ENDPOINT_ENDPOINT_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>

#include "src/ports/core_message.h"
#include "src/ports/endpoint_port.h"

namespace filbertshift {

class EndpointLoop;

struct EndpointClientOptions {
  // Limit on concurrent attempts; Start rejects attempts above it.
  std::size_t max_attempts = 4096;
  // Limit on open connections to all endpoints together; above it, the
  // connection that has been idle longest is closed.
  std::size_t max_connections = 8192;
  // Size limit of a probe response. Engines report a few hundred kilobytes.
  std::size_t max_probe_bytes = 4U << 20U;
  // Used for attempts and probes that specify no timeout.
  std::chrono::milliseconds default_connect_timeout{1000};
};

// Runs attempts and probes on a dedicated thread.
//
// Invariant: a request is written only to a connection over which a probe has
// read the incarnation that the attempt requires. Only probes open connections.
// If libcurl has no verified connection for a request, the open-socket callback
// or the check before the first byte stops the transfer, and the request is
// sent after a probe has verified a new connection.
class EndpointClient : public EndpointPort {
 public:
  // `core_ring` and `clock` must outlive the client. Throws std::system_error
  // or std::runtime_error if the resources of its thread cannot be created.
  EndpointClient(const EndpointClientOptions& options,
                 CoreRing& core_ring,
                 const Clock& clock);
  // Closes all connections; attempts in progress end without a message.
  ~EndpointClient() override;

  bool Start(AttemptSpec attempt) override;
  void Cancel(const AttemptId& attempt) override;
  void Probe(const EndpointId& endpoint,
             const std::string& address,
             std::chrono::milliseconds timeout) override;
  void Forget(const EndpointId& endpoint) override;

 private:
  CoreRing& core_ring_;
  std::unique_ptr<EndpointLoop> loop_;
  std::thread thread_;
};

}  // namespace filbertshift

#endif  // SRC_ENDPOINT_ENDPOINT_H_
