// HTTP server for operators, metrics and readiness.

#ifndef SRC_ADMIN_ADMIN_SERVER_H_
#define SRC_ADMIN_ADMIN_SERVER_H_

#include <prometheus/registry.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

#include "src/common/common.h"
#include "src/ports/ports.h"

namespace filbertshift {

struct AdminServerOptions {
  // "ip:port".
  std::string listen;
  InstanceId instance;
  DataCentreId data_centre;
  // Bound on the text of one section.
  std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
  // Longest wait for a reply of the core.
  std::chrono::milliseconds reply_timeout{10000};
  // Threads of the HTTP server.
  unsigned max_threads = 8;
};

// Passes calls of operators to the core thread and waits for its replies. The
// HTTP library closes a connection whose headers exceed 4 KiB, answers invalid
// HTTP with a plain-text 500, and sets no bound on the request line while it
// reads it, so the address must only be reachable for operators.
class AdminServer : public OperatorPort {
 public:
  // The references must outlive the server. `ready` is what /readyz reports.
  AdminServer(AdminServerOptions options,
              CoreRing& ring,
              const StderrEventLog& log,
              const prometheus::Registry& registry,
              const std::atomic<bool>& ready);
  ~AdminServer() override;
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  // Opens the address and starts the threads. Throws std::invalid_argument for
  // an address of the wrong form and std::runtime_error if it cannot be used.
  void Start();
  // Ends waiting calls with an error and stops the threads. Also done by the
  // destructor.
  void Stop();

  // Called by the core thread.
  void Reply(OperatorReply reply) override;

 private:
  struct Impl;
  const std::unique_ptr<Impl> impl_;
};

}  // namespace filbertshift

#endif  // SRC_ADMIN_ADMIN_SERVER_H_
