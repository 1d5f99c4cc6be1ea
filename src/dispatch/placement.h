// Expected time of a request at an endpoint from the load that all instances
// put on it, and whether it pays to send the request to another data centre.
// Pure functions.

#ifndef SRC_DISPATCH_PLACEMENT_H_
#define SRC_DISPATCH_PLACEMENT_H_

#include <chrono>
#include <cstddef>
#include <string_view>

#include "src/dispatch/endpoint_load_table.h"

namespace filbertshift {

// Estimated cost of a request, in tokens of the largest model.
struct WorkEstimate {
  double prompt_tokens = 0;
  // Length of the prompt prefix that an endpoint may have cached.
  double shared_tokens = 0;
  // Cost per token relative to the largest model.
  double model_weight = 1;
};

struct PlacementSettings {
  // Whether endpoints with few slots for each instance are chosen by the load
  // of all instances.
  bool enabled = false;
  // Cost of sending a megabyte to another data centre, as waiting time.
  double remote_cost_ms_per_mb = 0;
  DataCentreId data_centre;
};

// Why a request goes to an endpoint in another data centre.
enum class RemoteReason {
  kLocal,
  // By the score of the endpoint, where placement does not apply.
  kScore,
  // The plan sends a share of the requests away.
  kOverflow,
  // No endpoint in this data centre can take it.
  kNoLocalEndpoint,
};

std::string_view RemoteReasonName(RemoteReason reason);

// Requests at an endpoint, of this and of all other instances.
struct CandidateLoad {
  double in_flight = 0;
  // Weighted by the cost of their models.
  double running = 0;
  double waiting_tokens = 0;
  int slots = 1;
  double pace = 1;
};

// Load that this instance has put on an endpoint.
struct OwnLoad {
  double in_flight = 0;
  double running = 0;
  double waiting_tokens = 0;
  // Of the requests above, those sent since the reports were made.
  double new_requests = 0;
  double new_tokens = 0;
};

// Load of the endpoint now: since their reports the others have probably also
// sent requests to where this instance has, and `read_tokens` of the prompts
// that waited then were read. `pace` and `slots` are left as they are.
CandidateLoad EstimateLoad(const ReportedEndpointLoad& others,
                           const OwnLoad& own,
                           int instances,
                           double read_tokens);

// How much slower the endpoint is than the mean, 1 if too little is known.
double PaceOf(const ReportedEndpointLoad& reported);

// Converts load to time. All values are measured by this instance.
struct TimeScale {
  double ms_per_token = 0;
  // Time that a request without a prompt takes at an idle endpoint.
  double service_ms = 0;
};

// Tokens that an endpoint of usual speed reads in the time.
double TokensIn(double ms, double ms_per_token);

// Work before the response of the request begins. `cached_share` of the shared
// prefix is cached at the endpoint.
double ExpectedTokens(const CandidateLoad& load,
                      const WorkEstimate& work,
                      double cached_share);
// Preference among endpoints, lower is better: tokens for requests with a
// prompt, otherwise requests for each slot.
double PlacementScore(const CandidateLoad& load,
                      const WorkEstimate& work,
                      double cached_share);
// Expected time until the response of the request begins, without the time that
// any free endpoint takes for a request without a prompt.
double ExpectedWaitMs(const CandidateLoad& load,
                      const WorkEstimate& work,
                      double cached_share,
                      const TimeScale& scale);
// Cost of a request in another data centre, as time: `distance_ms` there and
// back, and the bytes of request and response.
double RemoteCostMs(double distance_ms, double bytes, double cost_ms_per_mb);

}  // namespace filbertshift

#endif  // SRC_DISPATCH_PLACEMENT_H_
