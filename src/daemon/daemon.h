// One entry instance: builds the adapters and the core from the settings and
// runs them until the shutdown is complete.

#ifndef SRC_DAEMON_DAEMON_H_
#define SRC_DAEMON_DAEMON_H_

#include <prometheus/registry.h>

#include <atomic>
#include <string>
#include <thread>

#include "src/admin/admin.h"
#include "src/backing_services/backing_services.h"
#include "src/config/config.h"
#include "src/core/core.h"
#include "src/daemon/core_metrics_adapter.h"
#include "src/endpoint/endpoint.h"
#include "src/frontend/frontend.h"
#include "src/peer/peer.h"

namespace filbertshift {

class Daemon {
 public:
  // Opens all ports and starts all threads. Throws std::exception types of the
  // adapters if a port cannot be opened.
  explicit Daemon(const ProcessSettings& settings);
  ~Daemon();

  // Asks for the end: nothing new is accepted, what was accepted finishes.
  void RequestShutdown();
  // Waits for the end of the core thread. True if everything was finished,
  // false if the shutdown timeout passed first.
  bool Join();

 private:
  CorePorts MakePorts();
  void RunCore();

  const ProcessSettings settings_;
  SystemClock clock_;
  SystemRandom random_;
  // Random numbers of the peer thread; generators are not thread-safe.
  SystemRandom peer_random_;
  const std::string incarnation_;
  std::atomic<bool> ready_{false};
  std::atomic<bool> shutdown_requested_{false};
  std::atomic<bool> drained_{false};

  StderrEventLog stderr_log_;
  prometheus::Registry registry_;
  Metrics metrics_;
  CountingEventLog log_;
  CoreMetricsAdapter core_metrics_;
  CoreRing ring_;
  Frontend frontend_;
  EndpointClient endpoints_;
  PlatformClient platform_;
  PeerMesh peers_;
  AdminServer admin_;
  Core core_;
  std::thread core_thread_;
};

}  // namespace filbertshift

#endif  // SRC_DAEMON_DAEMON_H_
