// Every metric of the daemon, declared once.

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

// All metrics in the order of the page docs/OPERATIONS.md.
const std::vector<MetricDefinition>& MetricDefinitions();

// Thread-safe. Label values come from the configuration and from enumerations,
// which bounds the number of time series.
class Metrics {
 public:
  // Adds all metrics to the registry, which must outlive this object.
  explicit Metrics(prometheus::Registry& registry);
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // `outcome` is "ok" or the error code that the caller got.
  void CountRequest(const std::string& quality_class,
                    const std::string& outcome);
  void CountAttempt(AttemptOutcome outcome);
  void ObserveFirstToken(const std::string& quality_class,
                         std::chrono::nanoseconds delay);
  void ObserveTokenGap(const std::string& quality_class,
                       std::chrono::nanoseconds gap);
  // Time that a request spent in this process without waiting for an endpoint
  // or in the queue.
  void ObserveAddedDelay(std::chrono::nanoseconds delay);
  void SetInFlight(std::size_t requests);
  void SetQueueLength(const std::string& quality_class, std::size_t requests);
  // `state` is "up", "suspected", "draining" or "unverified".
  void SetEndpoints(const std::string& state, std::size_t endpoints);
  // Attempts in flight and this instance's share, summed over all endpoints.
  void SetShare(std::size_t used, std::size_t total);
  void SetChargesBuffered(std::size_t charges);
  void CountChargesStored(std::size_t charges);
  void CountTableCall(TableOutcome outcome);
  void SetConfigurationRevision(Section section, std::uint64_t revision);
  // `invariant` is its number, as in "I4".
  void CountInvariantViolation(const std::string& invariant);
  void CountEvent(EventId event);

 private:
  struct Families;
  const std::unique_ptr<Families> families_;
};

}  // namespace filbertshift

#endif  // SRC_ADMIN_METRICS_H_
