// Public header of the caller adapter: the streaming HTTP server.

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
  // IP number and port; port 0 lets the system choose.
  std::string listen_address = "127.0.0.1:0";
  // Connections beyond this are answered 503 `too_many_connections`.
  std::size_t max_connections = 4096;
  // Sum of the sizes of all header names and values.
  std::size_t max_header_bytes = 16U << 10U;
  std::size_t max_body_bytes = 4U << 20U;
  // A connection is cut when it has been idle for this long, except while it
  // waits for the core. Within a request it is answered 408 first.
  std::chrono::milliseconds idle_timeout{15000};
  // Bound on the whole time for reading a request, which also catches a sender
  // of single bytes.
  std::chrono::milliseconds receive_timeout{60000};
  // Streamed bytes held for a caller that reads slowly; beyond this its
  // connection is cut.
  std::size_t max_buffered_bytes = 1U << 20U;
  // Commands of the core that wait for the server thread.
  std::size_t command_capacity = 65536;
};

// Serves callers on a thread of its own.
//
// Each request gets a new CallerId, also on a connection that is kept alive, so
// that a late call for an earlier request cannot reach a later one.
// Invariant: after a CallerRequest there is at most one CallerDisconnected, and
// none if the whole answer was written or the core aborted the answer.
class Frontend : public CallerPort {
 public:
  // The references must outlive the server. Throws std::invalid_argument,
  // std::system_error or std::runtime_error if it cannot listen.
  Frontend(const FrontendOptions& options,
           CoreRing& core_ring,
           const Clock& clock,
           EventLog& log);
  // Cuts all open connections.
  ~Frontend() override;

  void SendHead(CallerId caller,
                int http_status,
                std::vector<HttpHeader> headers,
                bool streaming) override;
  void SendBody(CallerId caller, std::string bytes) override;
  void Finish(CallerId caller) override;
  void Abort(CallerId caller) override;

  // The address in use, for a listen address with port 0.
  std::string BoundAddress() const;
  // Closes the listening socket. Requests that arrive later on open connections
  // are answered 503 `shutting_down`; open answers go on.
  void StopAccepting();
  // Waits for the end of all open answers and of the thread. StopAccepting must
  // have been called; the core must go on answering.
  void Join();

 private:
  std::unique_ptr<FrontendLoop> loop_;
  std::thread thread_;
};

}  // namespace filbertshift

#endif  // SRC_FRONTEND_FRONTEND_H_
