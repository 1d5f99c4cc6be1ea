#include "src/dispatch/silence_policy.h"

#include <algorithm>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

// Percentages of the allowed pause. The probe starts early enough that its
// result is known when the endpoint counts as silent.
constexpr int kProbePercent = 60;
constexpr int kSilentPercent = 90;
// The endpoint may have preempted a stream for more urgent requests.
constexpr int kMaxPausePercent = 250;
// A response that is not streamed is asked for elsewhere after this percentage
// of its objective without progress.
constexpr int kSlowResponsePercent = 70;
// A sound endpoint may send nothing for a second or so.
constexpr milliseconds kMaxSoundSilence{2000};
// Callers leave a stream after the longest of these without an event.
constexpr milliseconds kMinCallerWait{2000};
constexpr int kCallerWaitObjectives = 4;
constexpr int kCallerWaitGaps = 8;
// Share of the callers' wait after which there is still time for another
// endpoint to answer.
constexpr int kCallerWaitPercent = 75;

}  // namespace

std::string_view SilenceReasonName(SilenceReason reason) {
  switch (reason) {
    case SilenceReason::kNone:
      return "none";
    case SilenceReason::kGone:
      return "gone";
    case SilenceReason::kLost:
      return "lost";
    case SilenceReason::kPaused:
      return "paused";
    case SilenceReason::kSlow:
      return "slow";
  }
  return "none";
}

milliseconds AllowedPause(const SilenceQuery& query) {
  bool has_gap = query.head_seen && query.gap_objective.count() > 0;
  return has_gap ? query.gap_objective : query.objective;
}

milliseconds LostAfter(const SilenceQuery& query) {
  milliseconds wait =
      std::max({kMinCallerWait, query.objective * kCallerWaitObjectives,
                query.gap_objective * kCallerWaitGaps});
  return std::min(
      std::max(kMaxSoundSilence, AllowedPause(query) * kSilentPercent / 100),
      wait * kCallerWaitPercent / 100);
}

SilenceDecision DecideOnSilence(const SilenceQuery& query) {
  if (!query.streamed) {
    bool slow = query.response > query.objective * kSlowResponsePercent / 100;
    return {false, slow ? SilenceReason::kSlow : SilenceReason::kNone};
  }
  milliseconds allowed = AllowedPause(query);
  milliseconds lost_after = LostAfter(query);
  SilenceDecision decision;
  decision.probe = query.data_centre_stalled ||
                   query.endpoint > allowed * kProbePercent / 100;
  bool silent = query.data_centre_stalled ||
                query.endpoint > allowed * kSilentPercent / 100;
  milliseconds max_pause =
      std::max(allowed * kMaxPausePercent / 100, lost_after);
  if (silent && query.reachability == Reachability::kGone) {
    decision.leave = SilenceReason::kGone;
  } else if (query.endpoint > lost_after) {
    decision.leave = SilenceReason::kLost;
  } else if (query.head_seen && query.response > max_pause) {
    decision.leave = SilenceReason::kPaused;
  }
  return decision;
}

}  // namespace filbertshift
