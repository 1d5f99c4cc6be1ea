#include "src/dispatch/pace_meter.h"

#include <algorithm>
#include <cmath>

namespace filbertshift {

namespace {

constexpr std::chrono::duration<double> kHalfLife{4};
// A mean of fewer streams says little about what is usual.
constexpr int kMinMeanSamples = 8;
constexpr std::size_t kMaxMeans = 256;
// One stream with a long stall must not outweigh all others.
constexpr double kMinRatio = 0.1;
constexpr double kMaxRatio = 10;
// Samples below this weight are forgotten.
constexpr double kMinCount = 0.01;

}  // namespace

void PaceMeter::Decay(Samples* samples, TimePoint now) {
  double factor = std::exp2(-((now - samples->as_of) / kHalfLife));
  samples->sum *= factor;
  samples->count *= factor;
  samples->as_of = now;
}

void PaceMeter::OnStream(const EndpointId& endpoint,
                         const EndpointIncarnation& incarnation,
                         const ServiceId& service,
                         const ModelId& model,
                         std::chrono::microseconds mean_pause,
                         TimePoint now) {
  auto key = std::pair(service, model);
  auto found = means_.find(key);
  if (found == means_.end()) {
    if (means_.size() >= kMaxMeans) {
      return;
    }
    found = means_.emplace(key, Mean()).first;
  }
  Mean& mean = found->second;
  auto pause = static_cast<double>(mean_pause.count());
  double usual = mean.pause_us.value();
  bool known = mean.samples >= kMinMeanSamples && usual > 0;
  mean.pause_us.Add(pause);
  ++mean.samples;
  if (!known) {
    return;
  }
  Samples& samples = endpoints_[endpoint];
  if (!IsSame(samples.incarnation, incarnation)) {
    samples = Samples();
    samples.incarnation = incarnation;
    samples.as_of = now;
  }
  Decay(&samples, now);
  samples.sum += std::clamp(pause / usual, kMinRatio, kMaxRatio);
  ++samples.count;
}

void PaceMeter::Export(TimePoint now,
                       const RecordFinder& find_record,
                       LoadReport* report) {
  for (auto entry = endpoints_.begin(); entry != endpoints_.end();) {
    Samples& samples = entry->second;
    Decay(&samples, now);
    const RoutedEndpoint* record = find_record(entry->first);
    if (samples.count < kMinCount || record == nullptr ||
        !IsSame(samples.incarnation, IncarnationOf(*record))) {
      entry = endpoints_.erase(entry);
      continue;
    }
    ReportedEndpointLoad& load = report->endpoints[EndpointKey(entry->first)];
    load.pace_sum += samples.sum;
    load.pace_count += samples.count;
    ++entry;
  }
}

}  // namespace filbertshift
