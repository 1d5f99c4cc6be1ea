// Declares and updates every Prometheus metric of the daemon.

#ifndef SRC_ADMIN_METRICS_H_
#define SRC_ADMIN_METRICS_H_

#include <prometheus/registry.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "src/config/config.h"
#include "src/ports/ports.h"

namespace filbertshift {

enum class MetricKind { kCounter, kGauge, kHistogram };

struct MetricDefinition {
  // Follows the Prometheus conventions: base units, "_total" for counters.
  std::string name;
  MetricKind kind = MetricKind::kCounter;
  std::vector<std::string> labels;
  std::string help;
  // Upper bounds of histogram buckets in seconds.
  std::vector<double> buckets;
};

std::string_view MetricKindName(MetricKind kind);

// All metrics, in the order of the table in docs/OPERATIONS.md.
const std::vector<MetricDefinition>& MetricDefinitions();

// Updates the metrics. Thread-safe. Label values come only from the
// configuration and from enumerations, which limits the number of time series.
class Metrics {
 public:
  // Registers all metrics with the registry, which must outlive this object.
  explicit Metrics(prometheus::Registry& registry);
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // `outcome` is "ok" or the error code returned to the caller.
  void CountRequest(const std::string& quality_class,
                    const std::string& outcome);
  void CountAttempt(AttemptOutcome outcome);
  void ObserveFirstToken(const std::string& quality_class,
                         std::chrono::nanoseconds delay);
  void ObserveTokenGap(const std::string& quality_class,
                       std::chrono::nanoseconds gap);
  // Time a request spent in this process, excluding time in the queue and time
  // waiting for an endpoint.
  void ObserveAddedDelay(std::chrono::nanoseconds delay);
  void SetInFlight(std::size_t requests);
  void SetQueueLength(const std::string& quality_class, std::size_t requests);
  // `state` is "up", "suspected", "draining" or "unverified".
  void SetEndpoints(const std::string& state, std::size_t endpoints);
  // Attempts in flight and this instance's concurrency share, each summed over
  // all endpoints.
  void SetShare(std::size_t used, std::size_t total);
  void SetChargesBuffered(std::size_t charges);
  void CountChargesStored(std::size_t charges);
  void CountTableCall(TableOutcome outcome);
  void SetConfigurationRevision(Section section, std::uint64_t revision);
  // `invariant` is the identifier of the invariant, such as "I4".
  void CountInvariantViolation(const std::string& invariant);
  void CountEvent(EventId event);

 private:
  struct Families;
  const std::unique_ptr<Families> families_;
};

}  // namespace filbertshift

#endif  // SRC_ADMIN_METRICS_H_
