// Counts what this instance sends to other data centres, by destination and
// reason, and reports it in bounded volume.

#ifndef SRC_GATEWAY_REMOTE_TRAFFIC_H_
#define SRC_GATEWAY_REMOTE_TRAFFIC_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "src/common/common.h"
#include "src/dispatch/dispatch.h"
#include "src/gateway/gateway_metrics.h"

namespace filbertshift {

class RemoteTraffic {
 public:
  static constexpr std::chrono::seconds kReportInterval{10};

  RemoteTraffic(EventLog* log, GatewayMetrics* metrics);

  void OnSend(const DataCentreId& destination,
              RemoteReason reason,
              std::size_t request_bytes);
  void OnResponse(const DataCentreId& destination, std::size_t bytes);
  // Updates the metrics of the shares, and writes an event for each destination
  // and reason at most each kReportInterval.
  void Report(const std::vector<OverflowState>& overflows, TimePoint now);

 private:
  struct Count {
    std::uint64_t requests = 0;
    std::uint64_t bytes = 0;
  };
  void WriteCounts(const std::vector<OverflowState>& overflows);

  EventLog* const log_;
  GatewayMetrics* const metrics_;
  // Since the latest event.
  std::map<std::pair<DataCentreId, RemoteReason>, Count> counts_;
  std::map<DataCentreId, std::uint64_t> response_bytes_;
  // Shares that the metrics show, which are set to 0 when a flow ends.
  std::set<std::pair<ServiceId, DataCentreId>> shown_;
  TimePoint written_at_{};
  std::map<DataCentreId, TimePoint> warned_at_;
};

}  // namespace filbertshift

#endif  // SRC_GATEWAY_REMOTE_TRAFFIC_H_
