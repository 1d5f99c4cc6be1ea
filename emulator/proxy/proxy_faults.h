// Faults injected by the proxy.

#ifndef EMULATOR_PROXY_PROXY_FAULTS_H_
#define EMULATOR_PROXY_PROXY_FAULTS_H_

#include <chrono>

#include "emulator/http/http.h"

namespace filbertshift::emulator {

struct ProxyFaults {
  // Delay between reading and forwarding, in each direction.
  std::chrono::milliseconds delay{0};
  // Resets all connections and refuses new ones.
  bool cut = false;
  // Connections stay open, but no data is forwarded in this direction. New
  // connections are not accepted, although the kernel still completes
  // handshakes until the listen backlog is full.
  bool freeze_to_target = false;
  bool freeze_to_client = false;
  // Number of further connections that are reset instead of forwarding their
  // next reply; -1 for all connections.
  int drop_replies = 0;
  // Emulates a power failure of the target: its side of all connections is
  // closed, while the client side stays open and silent. After the fault is
  // cleared, the next data from the client is answered with a reset.
  bool half_open = false;

  // Applies keys named like the members, except that delay is delay_ms; freeze
  // sets both directions. Throws ControlError.
  void Apply(ControlReader* control);
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_PROXY_PROXY_FAULTS_H_
