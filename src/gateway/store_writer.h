// Writes transactions to the store sequentially.

#ifndef SRC_GATEWAY_STORE_WRITER_H_
#define SRC_GATEWAY_STORE_WRITER_H_

#include <deque>
#include <functional>
#include <string>
#include <string_view>

#include "src/gateway/gateway_metrics.h"
#include "src/gateway/gateway_ports.h"
#include "src/gateway/http_client.h"
#include "src/gateway/store_era.h"

namespace filbertshift {

enum class StoreWriteResult {
  kCommitted,
  // An expected row version did not match; nothing was written.
  kConflict,
  // Another error status or no response: the write may still take effect.
  kUnknown,
};

std::string_view StoreWriteResultName(StoreWriteResult result);

class StoreWriter : public CallListener {
 public:
  using Done = std::function<void(StoreWriteResult)>;

  StoreWriter(std::string store_address,
              Transport* transport,
              HttpClient* client,
              const StoreProtocol& protocol,
              GatewayMetrics* metrics,
              StoreEra* era);
  StoreWriter(const StoreWriter&) = delete;
  StoreWriter& operator=(const StoreWriter&) = delete;

  // Returns false if the queue is full.
  bool Submit(StoreTransaction transaction, Done done);
  bool idle() const { return queue_.empty(); }

  HeadDecision OnHead(CallId call, const HttpResponseHead& head) override;
  void OnBody(CallId call, std::string_view data) override;
  void OnComplete(CallId call) override;
  void OnFailed(CallId call,
                CallFailure failure,
                std::string_view detail) override;

 private:
  struct Write {
    StoreTransaction transaction;
    Done done;
  };

  void Call();
  void Complete(StoreWriteResult result);

  const std::string store_address_;
  Transport* const transport_;
  HttpClient* const client_;
  const StoreProtocol& protocol_;
  GatewayMetrics* const metrics_;
  StoreEra* const era_;
  // The front element is in progress.
  std::deque<Write> queue_;
  CallId call_{};
  TimerId timeout_{};
  HttpResponseHead head_;
};

}  // namespace filbertshift

#endif  // SRC_GATEWAY_STORE_WRITER_H_
