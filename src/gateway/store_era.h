// The era of the store, from all of its answers: the readers and the writer
// share one, so that each learns of a new era from whichever notices it first.

#ifndef SRC_GATEWAY_STORE_ERA_H_
#define SRC_GATEWAY_STORE_ERA_H_

#include <cstdint>
#include <functional>
#include <optional>

#include "src/gateway/gateway_metrics.h"
#include "src/gateway/gateway_ports.h"

namespace filbertshift {

class StoreEra {
 public:
  StoreEra(const StoreProtocol& protocol,
           EventLog* log,
           GatewayMetrics* metrics);

  // `listener` is called after each rise.
  void SetListener(std::function<void()> listener) {
    on_risen_ = std::move(listener);
  }
  // Takes the era from the head of a response. Returns false if the response is
  // from an earlier era and must not be used.
  bool Observe(const HttpResponseHead& head);
  // Another instance has read the store in this era.
  void Observe(std::int64_t era);
  // 0 if no answer has named one yet.
  std::int64_t current() const { return current_.value_or(0); }
  // Whether any answer has named an era.
  bool is_known() const { return current_.has_value(); }

 private:
  const StoreProtocol& protocol_;
  EventLog* const log_;
  GatewayMetrics* const metrics_;
  std::optional<std::int64_t> current_;
  // The latest answer named no era.
  bool missing_ = false;
  std::function<void()> on_risen_;
};

}  // namespace filbertshift

#endif  // SRC_GATEWAY_STORE_ERA_H_
