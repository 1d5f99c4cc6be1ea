// The faults that the proxy injects.

#ifndef EMULATOR_PROXY_PROXY_FAULTS_H_
#define EMULATOR_PROXY_PROXY_FAULTS_H_

#include <chrono>

#include "emulator/http/http.h"

namespace filbertshift::emulator {

struct ProxyFaults {
  // Passes between reading and forwarding, in each direction.
  std::chrono::milliseconds delay{0};
  // Resets all connections and refuses new ones.
  bool cut = false;
  // Connections stay open and no byte moves in this direction. New connections
  // are not accepted; the kernel still completes the handshake of the first
  // ones.
  bool freeze_to_target = false;
  bool freeze_to_client = false;
  // Number of further connections whose first reply is swallowed and which are
  // then reset; -1 is all.
  int drop_replies = 0;
  // The target side of all connections is closed while the client side stays
  // open and silent, as after a loss of power. When this ends, the next bytes
  // of the client are answered with a reset.
  bool half_open = false;

  // Keys as the members, delay_ms, and freeze for both directions. Throws
  // ControlError.
  void Apply(ControlReader* control);
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_PROXY_PROXY_FAULTS_H_
