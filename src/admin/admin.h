// Public header of the admin library: operator HTTP interface, metrics and
// readiness.

#ifndef SRC_ADMIN_ADMIN_H_
#define SRC_ADMIN_ADMIN_H_

#include "src/admin/admin_server.h"
#include "src/admin/counting_event_log.h"
#include "src/admin/metrics.h"

#endif  // SRC_ADMIN_ADMIN_H_
