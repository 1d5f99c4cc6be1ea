#include "src/dispatch/attempt_result.h"

namespace filbertshift {

std::string_view AttemptResultName(AttemptResult result) {
  switch (result) {
    case AttemptResult::kAnswered:
      return "answered";
    case AttemptResult::kRefused:
      return "refused";
    case AttemptResult::kPaused:
      return "paused";
    case AttemptResult::kFailed:
      return "failed";
    case AttemptResult::kBroken:
      return "broken";
    case AttemptResult::kUnreachable:
      return "unreachable";
    case AttemptResult::kCancelled:
      return "cancelled";
  }
  return "cancelled";
}

}  // namespace filbertshift
