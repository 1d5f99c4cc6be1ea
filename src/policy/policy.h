// Public header of the policy library: decisions on models and versions from
// ratings and outcomes. Single-threaded, without sockets, deterministic.

#ifndef SRC_POLICY_POLICY_H_
#define SRC_POLICY_POLICY_H_

#include "src/policy/cascade_policy.h"
#include "src/policy/change_detector.h"
#include "src/policy/rollout_monitor.h"

#endif  // SRC_POLICY_POLICY_H_
