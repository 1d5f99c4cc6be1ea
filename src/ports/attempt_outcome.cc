#include "src/ports/endpoint_port.h"

namespace filbertshift {

std::string_view AttemptOutcomeName(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kComplete:
      return "complete";
    case AttemptOutcome::kNotSent:
      return "not_sent";
    case AttemptOutcome::kIncarnationChanged:
      return "incarnation_changed";
    case AttemptOutcome::kBroken:
      return "broken";
    case AttemptOutcome::kGarbage:
      return "garbage";
    case AttemptOutcome::kTooLarge:
      return "too_large";
    case AttemptOutcome::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

}  // namespace filbertshift
