// Public header of the common library.

#ifndef SRC_COMMON_COMMON_H_
#define SRC_COMMON_COMMON_H_

#include "src/common/bounded_ring.h"
#include "src/common/buffered_event_log.h"
#include "src/common/caller_error.h"
#include "src/common/clock.h"
#include "src/common/document_reader.h"
#include "src/common/event_catalogue.h"
#include "src/common/event_log.h"
#include "src/common/finding.h"
#include "src/common/heap.h"
#include "src/common/ids.h"
#include "src/common/request_memory.h"
#include "src/common/retry_after.h"
#include "src/common/sha256.h"
#include "src/common/tcp_socket.h"

#endif  // SRC_COMMON_COMMON_H_
