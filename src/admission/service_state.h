// What is known of a service when admission decides on its requests.

#ifndef SRC_ADMISSION_SERVICE_STATE_H_
#define SRC_ADMISSION_SERVICE_STATE_H_

#include <chrono>
#include <optional>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

// Traffic of a service in a second.
struct ServiceTraffic {
  double arrivals = 0;
  double admitted = 0;
  double answers = 0;
  // Sum of the times from sending to the whole answer.
  double answer_ms = 0;
  // Requests that endpoints rejected.
  double rejections = 0;

  void Add(const ServiceTraffic& other, double factor = 1);
  // Mean time of an attempt, where each rejection counts as `rejection_ms`; 0
  // without traffic.
  double MeanMs(double rejection_ms) const;
};

// An endpoint that can be used now.
struct EndpointOccupancy {
  EndpointId endpoint;
  int slots = 0;
  // Requests of all instances in progress there, waiting or running.
  // Meaningless if the state is not current.
  double in_flight = 0;
};

struct ServiceState {
  int instances = 1;
  std::vector<EndpointOccupancy> endpoints;
  // Whether the reports of the other instances are current.
  bool current = false;
  // Sum over the other instances; zero if not current.
  ServiceTraffic others;
  // Age of the oldest report, for the log; not set before the first one.
  std::optional<std::chrono::milliseconds> age;

  int Slots() const;
  // Slots without a request; an endpoint with a queue has none.
  double FreeSlots() const;
  double InFlight() const;
};

}  // namespace filbertshift

#endif  // SRC_ADMISSION_SERVICE_STATE_H_
