// Public header of the policy library: selects models and versions based on
// ratings and outcomes. Single-threaded and deterministic; performs no I/O.

#ifndef SRC_POLICY_POLICY_H_
#define SRC_POLICY_POLICY_H_

#include "src/policy/cascade_policy.h"
#include "src/policy/change_detector.h"
#include "src/policy/rollout_monitor.h"

#endif  // SRC_POLICY_POLICY_H_
