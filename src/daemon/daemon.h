// One entry instance: creates the adapters and the core from the settings and
// runs them until shutdown is complete.

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
  // Opens all listening sockets and starts all threads. If a socket cannot be
  // opened, throws the exception of the adapter, derived from std::exception.
  explicit Daemon(const ProcessSettings& settings);
  ~Daemon();

  // Starts a graceful shutdown: new requests are refused, accepted ones finish.
  void RequestShutdown();
  // Joins the core thread. Returns true if all accepted requests finished and
  // false if the shutdown timeout expired first.
  bool Join();

 private:
  CorePorts MakePorts();
  void RunCore();

  const ProcessSettings settings_;
  SystemClock clock_;
  SystemRandom random_;
  // Used only by the peer thread, because generators are not thread-safe.
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
  BackingServicesClient platform_;
  PeerMesh peers_;
  AdminServer admin_;
  Core core_;
  std::thread core_thread_;
};

}  // namespace filbertshift

#endif  // SRC_DAEMON_DAEMON_H_
