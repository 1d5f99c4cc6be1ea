#include "src/gateway/store_era.h"

#include <utility>
#include <vector>

namespace filbertshift {

StoreEra::StoreEra(const StoreProtocol& protocol,
                   EventLog* log,
                   GatewayMetrics* metrics)
    : protocol_(protocol), log_(log), metrics_(metrics) {}

bool StoreEra::Observe(const HttpResponseHead& head) {
  std::vector<Finding> findings;
  std::optional<std::int64_t> era = protocol_.DecodeEra(head, &findings);
  if (!era.has_value()) {
    if (!std::exchange(missing_, true)) {
      log_->Write(EventId::kStoreEraRejected, FormatFinding(findings.front()));
    }
    return true;
  }
  missing_ = false;
  if (*era < current()) {
    metrics_->CountStoreCall("any", "earlier_era");
    return false;
  }
  Observe(*era);
  return true;
}

void StoreEra::Observe(std::int64_t era) {
  if (era <= current()) {
    return;
  }
  bool rises = current_.has_value();
  current_ = era;
  metrics_->SetStoreEra(era);
  if (rises) {
    if (on_risen_) {
      on_risen_();
    }
  }
}

}  // namespace filbertshift
