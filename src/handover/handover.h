// Public header of the handover library: what an instance that reaches no
// endpoint needs to know to give its requests to another instance. Performs no
// I/O; callers pass in the current time. See docs/design/handover.md.

#ifndef SRC_HANDOVER_HANDOVER_H_
#define SRC_HANDOVER_HANDOVER_H_

#include "src/handover/endpoint_contact.h"
#include "src/handover/handover_message.h"
#include "src/handover/handover_peers.h"

#endif  // SRC_HANDOVER_HANDOVER_H_
