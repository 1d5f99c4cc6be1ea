// Counts this instance's traffic of each service over the latest second.

#ifndef SRC_DISPATCH_SERVICE_TRAFFIC_METER_H_
#define SRC_DISPATCH_SERVICE_TRAFFIC_METER_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <unordered_map>

#include "src/dispatch/endpoint_load_table.h"

namespace filbertshift {

// Counts are kept in slices of 100 ms, so that memory does not depend on the
// rate. A report covers the ten slices before the current one, which are
// complete: a partial slice would make the rate seem lower than it is.
class ServiceTrafficMeter {
 public:
  void OnArrival(const ServiceId& service, TimePoint now);
  // An arrival was sent to an endpoint for the first time.
  void OnAdmitted(const ServiceId& service, TimePoint now);
  // `time` from sending to the whole answer.
  void OnAnswer(const ServiceId& service,
                std::chrono::microseconds time,
                TimePoint now);
  // An endpoint rejected a request without running it.
  void OnRejection(const ServiceId& service, TimePoint now);
  // Adds the counts of all services with traffic, and forgets the others.
  void Export(TimePoint now, LoadReport* report);

 private:
  static constexpr std::int64_t kReportedSlices = 10;
  struct Slice {
    // Time since the clock's epoch in slices.
    std::int64_t index = 0;
    ReportedServiceLoad load;
  };
  // Invariant: a slice with index i is at position i % size.
  using Slices = std::array<Slice, kReportedSlices + 1>;

  ReportedServiceLoad& Current(const ServiceId& service, TimePoint now);

  std::unordered_map<ServiceId, Slices> services_;
};

}  // namespace filbertshift

#endif  // SRC_DISPATCH_SERVICE_TRAFFIC_METER_H_
