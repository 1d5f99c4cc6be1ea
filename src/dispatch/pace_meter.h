// Learns how slowly each endpoint streams, compared with what this instance
// sees of the same service and model elsewhere.

#ifndef SRC_DISPATCH_PACE_METER_H_
#define SRC_DISPATCH_PACE_METER_H_

#include <chrono>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>

#include "src/dispatch/endpoint_load_table.h"
#include "src/dispatch/endpoint_notices.h"
#include "src/dispatch/moving_average.h"

namespace filbertshift {

class PaceMeter {
 public:
  // Returns the endpoint's record, or nullptr.
  using RecordFinder = std::function<const RoutedEndpoint*(const EndpointId&)>;

  // `mean_pause` between the event blocks of one stream.
  void OnStream(const EndpointId& endpoint,
                const EndpointIncarnation& incarnation,
                const ServiceId& service,
                const ModelId& model,
                std::chrono::microseconds mean_pause,
                TimePoint now);
  // Adds the decayed samples of each endpoint. Forgets those that have decayed,
  // and those of endpoints that have restarted or are gone.
  void Export(TimePoint now,
              const RecordFinder& find_record,
              LoadReport* report);

 private:
  struct Mean {
    MovingAverage pause_us{0.05};
    int samples = 0;
  };
  struct Samples {
    EndpointIncarnation incarnation;
    // Invariant: both are as of `as_of`.
    double sum = 0;
    double count = 0;
    TimePoint as_of{};
  };

  static void Decay(Samples* samples, TimePoint now);

  // Invariant: at most kMaxMeans entries; callers may name models.
  std::map<std::pair<ServiceId, ModelId>, Mean> means_;
  std::unordered_map<EndpointId, Samples> endpoints_;
};

}  // namespace filbertshift

#endif  // SRC_DISPATCH_PACE_METER_H_
