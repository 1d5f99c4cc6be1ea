// Public header of the fleet library: an instance's view of the configuration,
// endpoints, operator orders and other instances, with its age, and the
// decisions that are common to all instances.

#ifndef SRC_FLEET_FLEET_H_
#define SRC_FLEET_FLEET_H_

#include "src/fleet/document_codec.h"
#include "src/fleet/fleet_documents.h"
#include "src/fleet/fleet_view.h"
#include "src/fleet/heartbeat_schedule.h"
#include "src/fleet/live_instances.h"
#include "src/fleet/member_clock.h"
#include "src/fleet/member_row_collector.h"
#include "src/fleet/member_state.h"
#include "src/fleet/quarantine_row.h"
#include "src/fleet/rate_meter.h"
#include "src/fleet/reader_selector.h"
#include "src/fleet/rollout_driver.h"
#include "src/fleet/rollout_evidence.h"
#include "src/fleet/rollout_records.h"
#include "src/fleet/store_row.h"

#endif  // SRC_FLEET_FLEET_H_
