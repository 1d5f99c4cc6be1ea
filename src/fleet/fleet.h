// Public header of the fleet library: what an instance believes about the
// configuration, the endpoints, the orders of operators and the other
// instances, with its age, and the decisions that all instances share.

#ifndef SRC_FLEET_FLEET_H_
#define SRC_FLEET_FLEET_H_

#include "src/fleet/document_codec.h"
#include "src/fleet/fleet_documents.h"
#include "src/fleet/fleet_view.h"
#include "src/fleet/member_state.h"
#include "src/fleet/rate_meter.h"
#include "src/fleet/relay_choice.h"
#include "src/fleet/rollout_driver.h"
#include "src/fleet/rollout_evidence.h"
#include "src/fleet/store_row.h"

#endif  // SRC_FLEET_FLEET_H_
