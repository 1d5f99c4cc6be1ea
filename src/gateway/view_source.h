// Keeps the view current: from the store, from a peer that reads the store, or,
// while the store is unavailable, from any peer.

#ifndef SRC_GATEWAY_VIEW_SOURCE_H_
#define SRC_GATEWAY_VIEW_SOURCE_H_

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/gateway/gateway_settings.h"
#include "src/gateway/peer_exchange.h"
#include "src/gateway/store_follower.h"

namespace filbertshift {

class ViewSource : public StoreFollowerListener,
                   public PeerReaderListener,
                   public PeerSourceProvider {
 public:
  ViewSource(const GatewaySettings& settings,
             const StoreProtocol& protocol,
             Transport* transport,
             HttpClient* store_client,
             HttpClient* peer_client,
             FleetView* view,
             PromptQuarantine* quarantine,
             EventLog* log,
             GatewayMetrics* metrics);

  void Start();
  // Selects the source and reads it when due. `live`: all live instances.
  // `rollout`: whether a rollout is in progress, which shortens the poll
  // interval of member rows.
  void Step(const std::vector<LiveInstance>& live, bool rollout);
  // Monotonic clock of the store; not set if not known yet.
  std::optional<std::chrono::milliseconds> StoreTime() const;

  // Name of the instance whose view is read, or "store".
  std::string SourceName() const;
  // Whether a peer that reads the store takes this instance's row.
  bool CanOfferRow() const {
    return reader_.has_value() || !standby_peer_.empty();
  }
  // The latest call to the store for changes succeeded.
  bool store_reachable() const { return store_reachable_; }
  // Passes the row to that peer with the next read of its view.
  void OfferRow(std::string row) { offered_row_ = std::move(row); }
  // Latest heartbeat of this process that a reader has reported as committed;
  // 0 if none.
  std::uint64_t committed_beat() const { return committed_beat_; }
  // Peer addresses of the instances that read the store for others, without
  // this one.
  std::vector<std::string> ReaderAddresses() const;
  // Whether this instance reads the store for others.
  bool IsReader() const { return relay_.IsReader(); }
  // Peer address of the instance whose view is read; not set if it is the
  // store's.
  std::optional<std::string> ReaderAddress() const;
  StoreEra* store_era() { return &era_; }
  const StoreEra& store_era() const { return era_; }
  // All live instances as of the latest step.
  const std::vector<LiveInstance>& live() const { return live_; }

  PeerSource Source() const override;

  // StoreFollowerListener and PeerReaderListener:
  StoreVersion KnownVersion(StoreTable table) const override;
  bool OnTable(const TableSnapshot& snapshot) override;
  void OnHistoryLost(StoreTable table) override;
  void OnChanges(StoreTable table, const RowsResponse& response) override;
  void OnStoreTime(std::chrono::milliseconds store_time) override;
  void OnStoreError(StoreTable table, std::string_view detail) override;
  void OnPeerView(const std::string& address, const PeerView& view) override;
  void OnPeerFailed(const std::string& address,
                    std::string_view detail) override;

 private:
  void SetReader(std::optional<LiveInstance> reader);
  void UpdatePollIntervals(bool rollout);
  std::chrono::milliseconds ReaderEndpointInterval() const;
  std::chrono::milliseconds MaxRetryDelay() const;
  // Delay before this instance lists the tables of a store that has returned,
  // so that not all instances call it at once.
  std::chrono::milliseconds RelistDelay() const;
  void ReadPeer();
  void ReadStandbyPeer(TimePoint now);
  bool IsStale() const;
  // Returns why the peer's view cannot replace the store; empty if it can.
  std::string UnfitReason(const PeerView& view) const;
  // Whether the table can be compared with this instance's. Instances of
  // earlier versions name no era: they may have the history that the store has
  // lost.
  bool IsCurrentEra(const PeerTable& table) const;
  void AbandonReader(std::string_view reason);
  // Logs a read of the store that led to no change, at most once a second for
  // each table.
  void LogFruitlessRead(EventId event, StoreTable table, std::string detail);
  std::vector<std::string> PeerAddresses() const;

  const GatewaySettings settings_;
  Transport* const transport_;
  HttpClient* const store_client_;
  FleetView* const view_;
  PromptQuarantine* const quarantine_;
  EventLog* const log_;
  StoreEra era_;
  PeerReader peer_reader_;
  // In the order of StoreTable.
  std::vector<std::unique_ptr<StoreFollower>> followers_;
  ReaderSelector relay_;
  std::vector<LiveInstance> live_;
  // The instance whose view is read instead of the store.
  std::optional<LiveInstance> reader_;
  // Member row for the reader; empty if none is due.
  std::string offered_row_;
  std::uint64_t committed_beat_ = 0;
  TimePoint next_read_{};
  // Address of a peer that is served by the store while this instance is not;
  // empty if none is known.
  std::string standby_peer_;
  std::size_t next_peer_;
  // Store clock minus local clock.
  std::optional<std::chrono::milliseconds> store_clock_offset_;
  bool store_reachable_ = true;
  std::optional<TimePoint> last_store_error_at_;
  // When a fruitless read was last logged.
  std::map<std::pair<EventId, StoreTable>, TimePoint> fruitless_logged_at_;
};

}  // namespace filbertshift

#endif  // SRC_GATEWAY_VIEW_SOURCE_H_
