// Public header of the admission library: the order in which requests wait, and
// which requests of a service with few slots are sent, wait or are refused.
// Performs no I/O; callers pass in the current time.

#ifndef SRC_ADMISSION_ADMISSION_H_
#define SRC_ADMISSION_ADMISSION_H_

#include "src/admission/account_shares.h"
#include "src/admission/admission_queue.h"
#include "src/admission/decayed_sum.h"
#include "src/admission/fleet_limit.h"
#include "src/admission/full_endpoint_tracker.h"
#include "src/admission/retry_after_planner.h"
#include "src/admission/service_admission.h"
#include "src/admission/service_capacity.h"
#include "src/admission/service_state.h"
#include "src/admission/top_accounts.h"

#endif  // SRC_ADMISSION_ADMISSION_H_
