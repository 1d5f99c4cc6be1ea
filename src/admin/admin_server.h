// HTTP server for the operator interface, metrics and readiness.

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
  // Limit on a request body, which holds the text of one section.
  std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
  // Longest wait for a reply from the core.
  std::chrono::milliseconds reply_timeout{10000};
  // Maximum number of HTTP server threads.
  unsigned max_threads = 8;
};

// Forwards operator calls to the core thread and waits for its replies. The
// HTTP library closes a connection whose headers exceed 4 KiB, answers invalid
// HTTP with a plain-text 500 and does not limit the length of the request line
// while reading it, so only operators may be able to reach the address.
class AdminServer : public OperatorPort {
 public:
  // The references must outlive the server. /readyz reports `ready`.
  AdminServer(AdminServerOptions options,
              CoreRing& ring,
              const StderrEventLog& log,
              const prometheus::Registry& registry,
              const std::atomic<bool>& ready);
  ~AdminServer() override;
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  // Starts listening and starts the threads. Throws std::invalid_argument if
  // the address is malformed and std::runtime_error if it cannot be bound.
  void Start();
  // Fails waiting calls and stops the threads. The destructor calls it as well.
  void Stop();

  // Called on the core thread.
  void Reply(OperatorReply reply) override;

 private:
  struct Impl;
  const std::unique_ptr<Impl> impl_;
};

}  // namespace filbertshift

#endif  // SRC_ADMIN_ADMIN_SERVER_H_
