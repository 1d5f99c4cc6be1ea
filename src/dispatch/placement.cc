#include "src/dispatch/placement.h"

#include <algorithm>

namespace filbertshift {

namespace {

// Load attributed to a running request, in prompt tokens.
constexpr double kRunningRequestTokens = 250;
// The mean of fewer pauses says little, as pauses differ by what else the
// endpoint does.
constexpr double kMinPaceSamples = 8;
// Engines differ by 0.6 to 1.6 times; what is beyond these bounds is a pause or
// a fault, which other rules handle.
constexpr double kMinPace = 0.5;
constexpr double kMaxPace = 3;
// Until prompts were measured: 10,000 tokens a second.
constexpr double kDefaultMsPerToken = 0.1;
// Part of this instance's sends since the reports that each other instance is
// assumed to have made as well. In simulations with 34 and 65 instances, 1 made
// the choice follow the chance of single sends: a third fewer prompts were
// found in a cache.
constexpr double kOthersSendAlike = 0.1;
// A prompt that is cached elsewhere and read again also delays the requests
// behind it and displaces other prompts from the cache. In simulations near the
// capacity, without this weight half of the shared prompts were read again, and
// with it a tenth to a fifth.
constexpr double kReadAgainWeight = 3;
constexpr double kBytesPerMegabyte = 1e6;

}  // namespace

std::string_view RemoteReasonName(RemoteReason reason) {
  switch (reason) {
    case RemoteReason::kLocal:
      return "local";
    case RemoteReason::kScore:
      return "score";
    case RemoteReason::kOverflow:
      return "overflow";
    case RemoteReason::kNoLocalEndpoint:
      return "no_local_endpoint";
  }
  return "local";
}

CandidateLoad EstimateLoad(const ReportedEndpointLoad& others,
                           const OwnLoad& own,
                           int instances,
                           double read_tokens) {
  double factor = kOthersSendAlike * std::max(instances - 1, 0);
  CandidateLoad load;
  load.in_flight = others.in_flight + own.in_flight +
                   factor * std::min(own.new_requests, own.in_flight);
  load.running = others.running + own.running +
                 factor * std::min(own.new_requests, own.running);
  load.waiting_tokens =
      std::max(others.waiting_tokens +
                   factor * std::min(own.new_tokens, own.waiting_tokens) -
                   read_tokens,
               0.0) +
      own.waiting_tokens;
  return load;
}

double PaceOf(const ReportedEndpointLoad& reported) {
  if (reported.pace_count < kMinPaceSamples) {
    return 1;
  }
  return std::clamp(reported.pace_sum / reported.pace_count, kMinPace,
                    kMaxPace);
}

double TokensIn(double ms, double ms_per_token) {
  return ms / (ms_per_token > 0 ? ms_per_token : kDefaultMsPerToken);
}

double ExpectedTokens(const CandidateLoad& load,
                      const WorkEstimate& work,
                      double cached_share) {
  double new_tokens = (work.prompt_tokens - cached_share * work.shared_tokens) *
                      work.model_weight;
  return (load.waiting_tokens + load.running * kRunningRequestTokens +
          new_tokens) *
         load.pace;
}

double PlacementScore(const CandidateLoad& load,
                      const WorkEstimate& work,
                      double cached_share) {
  if (work.prompt_tokens <= 0) {
    return (load.in_flight + 1) / std::max(load.slots, 1) * load.pace;
  }
  double read_again =
      (1 - cached_share) * work.shared_tokens * work.model_weight;
  return ExpectedTokens(load, work, cached_share) +
         kReadAgainWeight * read_again;
}

double ExpectedWaitMs(const CandidateLoad& load,
                      const WorkEstimate& work,
                      double cached_share,
                      const TimeScale& scale) {
  if (work.prompt_tokens <= 0) {
    double waiting = std::max(load.in_flight + 1 - load.slots, 0.0);
    return waiting / std::max(load.slots, 1) * load.pace * scale.service_ms;
  }
  return ExpectedTokens(load, work, cached_share) /
         TokensIn(1, scale.ms_per_token);
}

double RemoteCostMs(double distance_ms, double bytes, double cost_ms_per_mb) {
  return std::max(distance_ms, 0.0) +
         bytes / kBytesPerMegabyte * cost_ms_per_mb;
}

}  // namespace filbertshift
