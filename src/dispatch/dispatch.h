// Public header of the dispatch library: selects the endpoint and the model for
// a request of a routed service, and enforces limits that hold across all
// instances. Performs no I/O; callers pass in the current time.

#ifndef SRC_DISPATCH_DISPATCH_H_
#define SRC_DISPATCH_DISPATCH_H_

#include "src/dispatch/attempt_result.h"
#include "src/dispatch/buffer_budget.h"
#include "src/dispatch/connect_outcomes.h"
#include "src/dispatch/endpoint_activity.h"
#include "src/dispatch/endpoint_load_table.h"
#include "src/dispatch/endpoint_notices.h"
#include "src/dispatch/endpoint_pool.h"
#include "src/dispatch/endpoint_reachability.h"
#include "src/dispatch/execution_state.h"
#include "src/dispatch/host_losses.h"
#include "src/dispatch/model_choice.h"
#include "src/dispatch/moving_average.h"
#include "src/dispatch/observed_time.h"
#include "src/dispatch/overflow_plan.h"
#include "src/dispatch/own_load_provider.h"
#include "src/dispatch/pace_meter.h"
#include "src/dispatch/placement.h"
#include "src/dispatch/prompt_quarantine.h"
#include "src/dispatch/repeat_budget.h"
#include "src/dispatch/service_endpoints.h"
#include "src/dispatch/service_traffic_meter.h"
#include "src/dispatch/silence_policy.h"
#include "src/dispatch/sliding_counter.h"
#include "src/dispatch/version_policy.h"

#endif  // SRC_DISPATCH_DISPATCH_H_
