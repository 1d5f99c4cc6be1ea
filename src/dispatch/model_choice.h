// Which model of a route answers a request, and when its answer is dropped for
// one of a larger model.

#ifndef SRC_DISPATCH_MODEL_CHOICE_H_
#define SRC_DISPATCH_MODEL_CHOICE_H_

#include <chrono>
#include <optional>
#include <unordered_map>

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

// The model that a request starts on. `models` must not be empty.
ModelId FirstModel(const Route& route);

// The model that answers instead of `current`, given the confidence (0 to 100)
// with which it began its answer; empty if the answer stands. Under load, the
// answers of less urgent routes stand first.
std::optional<ModelId> LargerModel(const Route& route,
                                   const ModelId& current,
                                   int confidence,
                                   std::chrono::microseconds wait);

}  // namespace filbertshift

#endif  // SRC_DISPATCH_MODEL_CHOICE_H_
