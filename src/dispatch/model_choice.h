// Selects the model that serves a request of a route, and decides when its
// response is discarded in favour of one from a larger model.

#ifndef SRC_DISPATCH_MODEL_CHOICE_H_
#define SRC_DISPATCH_MODEL_CHOICE_H_

#include <chrono>
#include <functional>
#include <optional>
#include <unordered_map>

#include "src/dispatch/moving_average.h"
#include "src/fleet/fleet_documents.h"

namespace filbertshift {

// Estimates the current time to first byte for each service.
class FirstByteWaitEstimator {
 public:
  void OnFirstByte(const ServiceId& service, std::chrono::microseconds time);
  // Sets the mean time that requests without a first byte have waited so far.
  void SetPendingMean(const ServiceId& service, std::chrono::microseconds mean);
  std::chrono::microseconds Estimate(const ServiceId& service) const;

 private:
  struct Waits {
    std::chrono::microseconds first_byte_average{0};
    std::chrono::microseconds pending_mean{0};
  };
  std::unordered_map<ServiceId, Waits> estimates_;
};

// Estimates the current prompt processing time of a service's endpoints from
// observed times to first byte.
class PromptTimeEstimator {
 public:
  // `tokens`: prompt length, weighted to tokens of the largest model.
  void OnFirstByte(const ServiceId& service,
                   double tokens,
                   std::chrono::microseconds time);
  // 0 without observations.
  std::chrono::microseconds TimeFor(const ServiceId& service,
                                    double tokens) const;

 private:
  // Microseconds per token.
  std::unordered_map<ServiceId, MovingAverage> estimates_;
};

// The model that a request starts on: the smallest one if its response can be
// replaced, otherwise the largest. `route.models` must not be empty.
ModelId FirstModel(const Route& route);

// A response whose first bytes have arrived.
struct StartedResponse {
  ModelId model;
  // 0 to 100.
  int confidence = 0;
  // Time since the request arrived.
  std::chrono::microseconds elapsed{0};
};

// Returns the larger model to which the request escalates, or empty if the
// response is kept. Under load, less urgent routes stop escalating first.
// `wait`: current time to first byte of the service; `prompt_time`: estimated
// time that a model takes to process the prompt.
std::optional<ModelId> SelectEscalationModel(
    const Route& route,
    const StartedResponse& answer,
    std::chrono::microseconds wait,
    const std::function<std::chrono::microseconds(const ModelId&)>&
        prompt_time);

}  // namespace filbertshift

#endif  // SRC_DISPATCH_MODEL_CHOICE_H_
