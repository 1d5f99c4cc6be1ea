// Exports the measurements of the core as Prometheus metrics.

#ifndef SRC_DAEMON_CORE_METRICS_ADAPTER_H_
#define SRC_DAEMON_CORE_METRICS_ADAPTER_H_

#include <string>
#include <vector>

#include "src/admin/admin.h"
#include "src/core/core.h"

namespace filbertshift {

class CoreMetricsAdapter : public CoreMetrics {
 public:
  explicit CoreMetricsAdapter(Metrics& metrics) : metrics_(metrics) {}

  void OnRequestEnd(const std::string& quality_class,
                    const std::string& code,
                    std::chrono::microseconds duration) override;
  void OnAttemptEnd(AttemptOutcome outcome) override;
  void OnFirstToken(const std::string& quality_class,
                    std::chrono::microseconds delay) override;
  void OnTokenGap(const std::string& quality_class,
                  std::chrono::microseconds gap) override;
  void OnInvariantViolated(const std::string& invariant) override;
  void SetRequests(std::size_t in_progress) override;
  void SetQueueLength(const std::string& quality_class,
                      std::size_t queued) override;
  void SetEndpoints(const std::vector<EndpointView>& endpoints) override;
  void SetCharges(std::size_t unstored) override;
  void SetRevisions(const std::vector<std::uint64_t>& revisions) override;

 private:
  Metrics& metrics_;
};

}  // namespace filbertshift

#endif  // SRC_DAEMON_CORE_METRICS_ADAPTER_H_
