// Follows a store table: lists all rows, then long-polls for changes. Lists
// them again if the store has lost the changes or has returned from an older
// copy.

#ifndef SRC_GATEWAY_STORE_FOLLOWER_H_
#define SRC_GATEWAY_STORE_FOLLOWER_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "src/gateway/gateway_metrics.h"
#include "src/gateway/gateway_ports.h"
#include "src/gateway/http_client.h"
#include "src/gateway/store_era.h"

namespace filbertshift {

std::string_view StoreTableName(StoreTable table);

// Receives what the followers read.
class StoreFollowerListener {
 public:
  virtual ~StoreFollowerListener() = default;
  virtual StoreVersion KnownVersion(StoreTable table) const = 0;
  // Returns false if the snapshot was refused as older than the known contents.
  virtual bool OnTable(const TableSnapshot& snapshot) = 0;
  // The store does not have the changes after the known version.
  virtual void OnHistoryLost(StoreTable table) = 0;
  virtual void OnChanges(StoreTable table, const RowsResponse& response) = 0;
  // Reports the current value of the store's monotonic clock.
  virtual void OnStoreTime(std::chrono::milliseconds store_time) = 0;
  virtual void OnStoreError(StoreTable table, std::string_view detail) = 0;
};

class StoreFollower : public CallListener {
 public:
  // `min_interval`: minimum time between two calls for changes. `changes_wait`:
  // how long the store holds a call for changes. It must be shorter than the
  // time within which changes must take effect, because a stalled feed cannot
  // be told apart from one without changes.
  StoreFollower(StoreTable table,
                std::chrono::milliseconds min_interval,
                std::chrono::milliseconds changes_wait,
                std::string store_address,
                Transport* transport,
                HttpClient* client,
                const StoreProtocol& protocol,
                GatewayMetrics* metrics,
                StoreEra* era,
                StoreFollowerListener* listener);
  StoreFollower(const StoreFollower&) = delete;
  StoreFollower& operator=(const StoreFollower&) = delete;
  void Start();
  // A shorter interval also ends a wait in progress.
  void SetMinInterval(std::chrono::milliseconds interval);
  // Maximum delay after failed calls.
  void SetMaxRetryDelay(std::chrono::milliseconds delay) {
    max_retry_delay_ = delay;
  }
  void SetChangesWait(std::chrono::milliseconds wait) { changes_wait_ = wait; }
  // Delay before the table is listed in a new era.
  void SetRelistDelay(std::chrono::milliseconds delay) {
    relist_delay_ = delay;
  }
  // The era has risen: ends a wait for changes of the earlier one.
  void OnEraRisen();
  // While paused, no new call starts; a call in progress completes.
  void SetPaused(bool paused);

  HeadDecision OnHead(CallId call, const HttpResponseHead& head) override;
  void OnBody(CallId call, std::string_view data) override;
  void OnComplete(CallId call) override;
  void OnFailed(CallId call,
                CallFailure failure,
                std::string_view detail) override;

 private:
  void Call();
  // Whether the known contents are of an earlier era than the store.
  bool IsOutdated() const;
  // Returns false if the response must not be used; the next call is due then.
  bool CheckEra();
  void StartListing();
  void HandleResponse();
  void HandleListPage(RowsResponse response);
  void HandleChanges(const RowsResponse& response);
  // Reports the failure and retries with exponential backoff.
  void RetryAfterError(std::string_view detail);
  // Delay after as many earlier failures in succession.
  std::chrono::milliseconds RetryDelay(int earlier) const;
  void CallAfter(std::chrono::milliseconds delay);

  const StoreTable table_;
  std::chrono::milliseconds min_interval_;
  std::chrono::milliseconds changes_wait_;
  std::chrono::milliseconds max_retry_delay_{800};
  const std::string store_address_;
  Transport* const transport_;
  HttpClient* const client_;
  const StoreProtocol& protocol_;
  GatewayMetrics* const metrics_;
  StoreEra* const era_;
  StoreFollowerListener* const listener_;
  std::chrono::milliseconds relist_delay_{0};
  bool paused_ = false;
  // A call became due while paused.
  bool call_due_ = false;
  // The table is being listed, before its changes are polled.
  bool listing_ = true;
  // Pages listed so far.
  TableSnapshot pages_;
  CallId call_{};
  bool calling_ = false;
  TimerId timeout_{};
  // Set while the next call waits for `min_interval_`.
  std::optional<TimerId> interval_timer_;
  TimePoint called_at_{};
  HttpResponseHead head_;
  std::string body_;
  int consecutive_errors_ = 0;
  // Reads of changes that the store no longer had.
  int consecutive_losses_ = 0;
};

}  // namespace filbertshift

#endif  // SRC_GATEWAY_STORE_FOLLOWER_H_
