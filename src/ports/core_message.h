// Messages that the core thread receives.

#ifndef SRC_PORTS_CORE_MESSAGE_H_
#define SRC_PORTS_CORE_MESSAGE_H_

#include <variant>

#include "src/common/common.h"
#include "src/ports/caller_port.h"
#include "src/ports/endpoint_port.h"
#include "src/ports/instance_list.h"
#include "src/ports/object_port.h"
#include "src/ports/operator_port.h"
#include "src/ports/peer_port.h"
#include "src/ports/rating_port.h"
#include "src/ports/table_port.h"

namespace filbertshift {

// Asks the core to finish accepted requests and to accept no new ones.
struct ShutdownRequested {};

using CoreMessage = std::variant<CallerRequest,
                                 CallerDisconnected,
                                 AttemptSent,
                                 AttemptHead,
                                 AttemptData,
                                 AttemptEnd,
                                 ProbeResult,
                                 ConnectionLost,
                                 TableReply,
                                 ObjectReply,
                                 RatingReply,
                                 PeerReceived,
                                 PeerUp,
                                 PeerDown,
                                 InstanceListRead,
                                 OperatorRequest,
                                 ShutdownRequested>;

using CoreRing = BoundedRing<CoreMessage>;

}  // namespace filbertshift

#endif  // SRC_PORTS_CORE_MESSAGE_H_
