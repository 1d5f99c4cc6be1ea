#include "src/dispatch/execution_state.h"

namespace filbertshift {

ExecutionState ExecutionStateOf(const AttemptEvidence& evidence) {
  if (!evidence.sent) {
    return ExecutionState::kNotSent;
  }
  return evidence.refused && evidence.own_response
             ? ExecutionState::kRefused
             : ExecutionState::kMayHaveRun;
}

std::string_view ExecutionStateName(ExecutionState state) {
  switch (state) {
    case ExecutionState::kNotSent:
      return "not_sent";
    case ExecutionState::kRefused:
      return "refused";
    case ExecutionState::kMayHaveRun:
      return "may_have_run";
  }
  return "may_have_run";
}

}  // namespace filbertshift
