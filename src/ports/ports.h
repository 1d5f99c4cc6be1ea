// Public header of the ports, the interfaces between the core thread and the
// adapters.

#ifndef SRC_PORTS_PORTS_H_
#define SRC_PORTS_PORTS_H_

#include "src/ports/caller_port.h"
#include "src/ports/core_message.h"
#include "src/ports/endpoint_port.h"
#include "src/ports/instance_list.h"
#include "src/ports/object_port.h"
#include "src/ports/operator_port.h"
#include "src/ports/peer_port.h"
#include "src/ports/rating_port.h"
#include "src/ports/table_port.h"

#endif  // SRC_PORTS_PORTS_H_
