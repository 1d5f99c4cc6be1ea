// Public header of the routing library, which decides where and when a request
// runs. Single-threaded, without sockets, and deterministic for given inputs.

#ifndef SRC_ROUTING_ROUTING_H_
#define SRC_ROUTING_ROUTING_H_

#include "src/routing/crash_quarantine.h"
#include "src/routing/endpoint_registry.h"
#include "src/routing/failure_detector.h"
#include "src/routing/peer_selection.h"
#include "src/routing/retry_budget.h"
#include "src/routing/seat_share.h"

#endif  // SRC_ROUTING_ROUTING_H_
