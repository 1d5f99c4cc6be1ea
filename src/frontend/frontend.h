// Public header of the caller adapter: the streaming HTTP server for callers.

#ifndef SRC_FRONTEND_FRONTEND_H_
#define SRC_FRONTEND_FRONTEND_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "src/ports/core_message.h"

namespace filbertshift {

class FrontendLoop;

struct FrontendOptions {
  // IP address and port; with port 0 the system assigns a free port.
  std::string listen_address = "127.0.0.1:0";
  // Requests that arrive while more connections are open get 503
  // `too_many_connections`.
  std::size_t max_connections = 4096;
  // Limit on the total size of all header names and values.
  std::size_t max_header_bytes = 16U << 10U;
  std::size_t max_body_bytes = 4U << 20U;
  // A connection that is idle for this long is closed, unless it is waiting for
  // the core. If part of a request has been read, a 408 response is sent first.
  std::chrono::milliseconds idle_timeout{15000};
  // Limit on the total time for reading a request. It also covers callers that
  // send single bytes, which never reach the idle timeout.
  std::chrono::milliseconds receive_timeout{60000};
  // Streamed bytes buffered for a caller that reads slowly; above this limit
  // its connection is closed.
  std::size_t max_buffered_bytes = 1U << 20U;
  // Commands of the core that can be queued for the server thread.
  std::size_t command_capacity = 65536;
};

// Serves callers on a dedicated thread.
//
// Each request gets a new CallerId, even on a keep-alive connection, so that a
// late call for one request cannot affect the next one on the same connection.
// Invariant: each CallerRequest is followed by at most one CallerDisconnected,
// and by none if the response was written completely or aborted by the core.
class Frontend : public CallerPort {
 public:
  // The references must outlive the server. Throws std::invalid_argument,
  // std::system_error or std::runtime_error if it cannot listen.
  Frontend(const FrontendOptions& options,
           CoreRing& core_ring,
           const Clock& clock,
           EventLog& log);
  // Closes all open connections.
  ~Frontend() override;

  void SendHead(CallerId caller,
                int http_status,
                std::vector<HttpHeader> headers,
                bool streaming) override;
  void SendBody(CallerId caller, std::string bytes) override;
  void Finish(CallerId caller) override;
  void Abort(CallerId caller) override;

  // The actual listen address, with the port that the system assigned.
  std::string BoundAddress() const;
  // Closes the listening socket. New requests on open connections get 503
  // `shutting_down`; responses in progress continue.
  void StopAccepting();
  // Whether all responses in progress were complete after StopAccepting.
  bool HasEnded() const;
  // Waits until all responses in progress are complete and the thread has
  // ended. StopAccepting must have been called, and the core must keep serving
  // the requests that it has.
  void Join();

 private:
  std::unique_ptr<FrontendLoop> loop_;
  std::thread thread_;
};

}  // namespace filbertshift

#endif  // SRC_FRONTEND_FRONTEND_H_
