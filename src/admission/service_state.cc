#include "src/admission/service_state.h"

#include <algorithm>

namespace filbertshift {

void ServiceTraffic::Add(const ServiceTraffic& other, double factor) {
  arrivals += factor * other.arrivals;
  admitted += factor * other.admitted;
  answers += factor * other.answers;
  answer_ms += factor * other.answer_ms;
  rejections += factor * other.rejections;
}

double ServiceTraffic::MeanMs(double rejection_ms) const {
  double attempts = answers + rejections;
  return attempts > 0 ? (answer_ms + rejections * rejection_ms) / attempts : 0;
}

int ServiceState::Slots() const {
  int slots = 0;
  for (const EndpointOccupancy& entry : endpoints) {
    slots += entry.slots;
  }
  return slots;
}

double ServiceState::FreeSlots() const {
  double free = 0;
  for (const EndpointOccupancy& entry : endpoints) {
    free += std::max(0.0, entry.slots - entry.in_flight);
  }
  return free;
}

double ServiceState::InFlight() const {
  double in_flight = 0;
  for (const EndpointOccupancy& entry : endpoints) {
    in_flight += entry.in_flight;
  }
  return in_flight;
}

}  // namespace filbertshift
