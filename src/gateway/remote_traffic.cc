#include "src/gateway/remote_traffic.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>

namespace filbertshift {

RemoteTraffic::RemoteTraffic(EventLog* log, GatewayMetrics* metrics)
    : log_(log), metrics_(metrics) {}

void RemoteTraffic::OnSend(const DataCentreId& destination,
                           RemoteReason reason,
                           std::size_t request_bytes) {
  metrics_->CountRemoteRequest(destination.value(), RemoteReasonName(reason));
  metrics_->CountRemoteBytes(destination.value(), "request", request_bytes);
  Count& count = counts_[{destination, reason}];
  ++count.requests;
  count.bytes += request_bytes;
}

void RemoteTraffic::OnResponse(const DataCentreId& destination,
                               std::size_t bytes) {
  metrics_->CountRemoteBytes(destination.value(), "response", bytes);
  response_bytes_[destination] += bytes;
}

void RemoteTraffic::Report(const std::vector<OverflowState>& overflows,
                           TimePoint now) {
  std::set<std::pair<ServiceId, DataCentreId>> ended = shown_;
  shown_.clear();
  for (const OverflowState& state : overflows) {
    metrics_->SetOverflowShare(state.service.value(), state.destination.value(),
                               state.share);
    shown_.insert({state.service, state.destination});
    ended.erase({state.service, state.destination});
    auto warned = warned_at_.find(state.destination);
    if (state.both_ways && (warned == warned_at_.end() ||
                            now - warned->second >= kReportInterval)) {
      warned_at_[state.destination] = now;
      log_->Write(EventId::kOverflowBothWays,
                  fmt::format("service={} destination={} share={:.2f}",
                              state.service.value(), state.destination.value(),
                              state.share));
    }
  }
  for (const auto& [service, destination] : ended) {
    metrics_->SetOverflowShare(service.value(), destination.value(), 0);
  }
  if (now - written_at_ >= kReportInterval) {
    written_at_ = now;
    WriteCounts(overflows);
  }
}

void RemoteTraffic::WriteCounts(const std::vector<OverflowState>& overflows) {
  for (const auto& [key, count] : counts_) {
    const auto& [destination, reason] = key;
    double share = 0;
    for (const OverflowState& state : overflows) {
      if (state.destination == destination) {
        share = std::max(share, state.share);
      }
    }
    log_->Write(EventId::kRequestsLeftDataCentre,
                fmt::format("destination={} reason={} requests={} "
                            "request_bytes={} response_bytes={} share={:.2f}",
                            destination.value(), RemoteReasonName(reason),
                            count.requests, count.bytes,
                            response_bytes_[destination], share));
  }
  counts_.clear();
  response_bytes_.clear();
}

}  // namespace filbertshift
