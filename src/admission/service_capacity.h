// Learns how long the endpoints of a service work on a request, from the times
// of their responses.

#ifndef SRC_ADMISSION_SERVICE_CAPACITY_H_
#define SRC_ADMISSION_SERVICE_CAPACITY_H_

#include <chrono>
#include <deque>
#include <optional>

#include "src/common/common.h"

namespace filbertshift {

class ServiceCapacity {
 public:
  // `time` from sending a request to its whole response.
  void OnAnswer(std::chrono::microseconds time, TimePoint now);
  // Mean over the responses of all instances in the latest second.
  void OnReportedMean(double ms, TimePoint now);
  // A low quantile of the response times, because most of a long one is spent
  // in the endpoint's queue, or the lowest reported mean if that is lower. Not
  // set before enough responses.
  std::optional<double> ServiceMs(TimePoint now);

 private:
  std::optional<double> QuantileMs(TimePoint now);

  struct Sample {
    TimePoint at{};
    double ms = 0;
  };
  // In the order of their times.
  std::deque<Sample> samples_;
  // Lowest mean of each second.
  std::deque<Sample> means_;
  // Valid until the next sample.
  std::optional<double> service_ms_;
};

}  // namespace filbertshift

#endif  // SRC_ADMISSION_SERVICE_CAPACITY_H_
