// Follows one table of the store: reads it whole, then its changes.

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

namespace filbertshift {

std::string_view StoreTableName(StoreTable table);

// Where the followers put what they read.
class StoreFollowerListener {
 public:
  virtual ~StoreFollowerListener() = default;
  virtual std::int64_t KnownVersion(StoreTable table) const = 0;
  virtual void OnTable(const TableSnapshot& snapshot) = 0;
  virtual void OnChanges(StoreTable table, const RowsAnswer& answer) = 0;
  // The store's steady clock, as of now.
  virtual void OnStoreTime(std::chrono::milliseconds store_time) = 0;
  virtual void OnStoreTrouble(StoreTable table, std::string_view detail) = 0;
};

class StoreFollower : public CallListener {
 public:
  // `min_interval`: least time between two calls for changes. `changes_wait`:
  // how long the store holds a call for changes; shorter than the bound for
  // changes to be in force, since a feed that is silent looks like one without
  // news.
  StoreFollower(StoreTable table,
                std::chrono::milliseconds min_interval,
                std::chrono::milliseconds changes_wait,
                std::string store_address,
                Transport* transport,
                HttpClient* client,
                const StoreProtocol& protocol,
                GatewayMetrics* metrics,
                StoreFollowerListener* listener);
  StoreFollower(const StoreFollower&) = delete;
  StoreFollower& operator=(const StoreFollower&) = delete;
  void Start();
  // A shorter interval also cuts short the wait in progress.
  void SetMinInterval(std::chrono::milliseconds interval);
  void SetChangesWait(std::chrono::milliseconds wait) { changes_wait_ = wait; }
  // While paused, no call is begun; the one in progress is taken.
  void SetPaused(bool paused);

  HeadDecision OnHead(CallId call, const HttpResponseHead& head) override;
  void OnBody(CallId call, std::string_view data) override;
  void OnComplete(CallId call) override;
  void OnFailed(CallId call,
                CallFailure failure,
                std::string_view detail) override;

 private:
  void Call();
  void TakeAnswer();
  void TakeListPage(RowsAnswer answer);
  void TakeChanges(const RowsAnswer& answer);
  void Trouble(std::string_view detail);
  void CallAfter(std::chrono::milliseconds delay);

  const StoreTable table_;
  std::chrono::milliseconds min_interval_;
  std::chrono::milliseconds changes_wait_;
  const std::string store_address_;
  Transport* const transport_;
  HttpClient* const client_;
  const StoreProtocol& protocol_;
  GatewayMetrics* const metrics_;
  StoreFollowerListener* const listener_;
  bool paused_ = false;
  // A call was due while paused.
  bool call_due_ = false;
  // The whole table has to be read.
  bool listing_ = true;
  // Pages read so far while listing_.
  TableSnapshot pages_;
  CallId call_{};
  TimerId timeout_{};
  // Set while the next call waits for the interval.
  std::optional<TimerId> interval_timer_;
  TimePoint called_at_{};
  int status_ = 0;
  std::string body_;
  int troubles_in_a_row_ = 0;
};

}  // namespace filbertshift

#endif  // SRC_GATEWAY_STORE_FOLLOWER_H_
