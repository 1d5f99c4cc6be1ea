// Which model of a route answers a request, and when its answer is dropped for
// one of a larger model.

#ifndef SRC_DISPATCH_MODEL_CHOICE_H_
#define SRC_DISPATCH_MODEL_CHOICE_H_

#include <chrono>
#include <functional>
#include <optional>
#include <unordered_map>

#include "src/dispatch/moving_average.h"
#include "src/fleet/fleet_documents.h"

namespace filbertshift {

// How long requests of a service wait for their first byte at present.
class WaitGauge {
 public:
  void OnFirstByte(const ServiceId& service, std::chrono::microseconds time);
  // Mean time that requests in progress have waited so far.
  void SetWaiting(const ServiceId& service, std::chrono::microseconds mean);
  std::chrono::microseconds Wait(const ServiceId& service) const;

 private:
  struct Gauge {
    std::chrono::microseconds answered{0};
    std::chrono::microseconds waiting{0};
  };
  std::unordered_map<ServiceId, Gauge> gauges_;
};

// How long endpoints of a service take to read a prompt at present, learned
// from first bytes.
class PromptGauge {
 public:
  // `tokens` are those of the largest model that take as long.
  void OnFirstByte(const ServiceId& service,
                   double tokens,
                   std::chrono::microseconds time);
  // 0 if nothing is known.
  std::chrono::microseconds TimeFor(const ServiceId& service,
                                    double tokens) const;

 private:
  // Microseconds for each token.
  std::unordered_map<ServiceId, MovingAverage> gauges_;
};

// The model that a request starts on. `models` must not be empty.
ModelId FirstModel(const Route& route);

// An answer that has begun.
struct BegunAnswer {
  ModelId model;
  // 0 to 100.
  int confidence = 0;
  // Since the request arrived.
  std::chrono::microseconds elapsed{0};
};

// The model that answers instead; empty if the answer stands. Under load, the
// answers of less urgent routes stand first. `wait`: how long requests of the
// service wait for their first byte; `prompt_time`: how long a model would take
// to read the prompt.
std::optional<ModelId> LargerModel(
    const Route& route,
    const BegunAnswer& answer,
    std::chrono::microseconds wait,
    const std::function<std::chrono::microseconds(const ModelId&)>&
        prompt_time);

}  // namespace filbertshift

#endif  // SRC_DISPATCH_MODEL_CHOICE_H_
