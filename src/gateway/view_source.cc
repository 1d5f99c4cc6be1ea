#include "src/gateway/view_source.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace filbertshift {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Interval for reading the view of a peer instead of the store.
constexpr milliseconds kPeerReadInterval{300};
// If a table was confirmed longer ago than this, any peer is asked for it.
constexpr milliseconds kMaxTableAge{2300};
// Fractions of configuration_apply_ms: how long the store holds a call for
// changes, the same for an instance that peers read, and the maximum age of the
// operator table in a peer's view.
constexpr double kChangesWaitFraction = 0.75;
constexpr double kReaderChangesWaitFraction = 0.25;
constexpr double kMaxOperatorAgeFraction = 0.45;
// Upper limit on the endpoint poll interval of an instance that peers read.
constexpr milliseconds kMaxReaderEndpointInterval{500};
// Maximum age of the other tables in a peer's view, in addition to their poll
// interval and the time for which the store holds a call.
constexpr milliseconds kMaxExtraAge{300};
// Peers do not rely on this instance for this long after a store error, because
// records may have expired in its view meanwhile.
constexpr milliseconds kStoreErrorHoldTime{2500};
// Maximum delay after failed calls to the store. Longer if other instances read
// the store, and in a large fleet, so that all instances together do not press
// on a store in trouble; the readers notice its return.
constexpr milliseconds kMaxReaderRetryDelay{800};
constexpr milliseconds kMaxRetryDelay{1600};
constexpr milliseconds kMaxRetryDelayInLargeFleet{3200};
constexpr std::size_t kLargeFleet = 64;
constexpr milliseconds kFruitlessLogInterval{1000};
// Instances that are not readers list the tables of a store that has returned
// within so much time.
constexpr milliseconds kRelistWindowPerInstance{10};
constexpr milliseconds kMaxRelistWindow{1200};

}  // namespace

ViewSource::ViewSource(const GatewaySettings& settings,
                       const StoreProtocol& protocol,
                       Transport* transport,
                       HttpClient* store_client,
                       HttpClient* peer_client,
                       FleetView* view,
                       PromptQuarantine* quarantine,
                       EventLog* log,
                       GatewayMetrics* metrics)
    : settings_(settings),
      transport_(transport),
      store_client_(store_client),
      view_(view),
      quarantine_(quarantine),
      log_(log),
      era_(protocol, log, metrics),
      peer_reader_(transport, peer_client, this),
      relay_(settings.instance),
      // Instances start with different peers.
      next_peer_(std::hash<std::string>()(settings.instance.value())) {
  const std::pair<StoreTable, milliseconds> tables[] = {
      {StoreTable::kOperator, settings.operator_poll_interval},
      {StoreTable::kEndpoints, settings.endpoint_poll_interval},
      {StoreTable::kInstances, settings.instance_poll_interval}};
  for (const auto& [table, interval] : tables) {
    followers_.push_back(std::make_unique<StoreFollower>(
        table, interval, ApplyTimeFraction(settings, kChangesWaitFraction),
        settings.store_address, transport, store_client, protocol, metrics,
        &era_, this));
  }
  era_.SetListener([this] {
    for (const std::unique_ptr<StoreFollower>& follower : followers_) {
      follower->OnEraRisen();
    }
  });
}

void ViewSource::Start() {
  for (const std::unique_ptr<StoreFollower>& follower : followers_) {
    follower->Start();
  }
}

void ViewSource::Step(const std::vector<LiveInstance>& live, bool rollout) {
  TimePoint now = transport_->Now();
  live_ = live;
  relay_.SetInstances(live_);
  SetReader(view_->complete() ? relay_.CurrentReader(now) : std::nullopt);
  UpdatePollIntervals(rollout);
  ReadPeer();
}

void ViewSource::SetReader(std::optional<LiveInstance> reader) {
  bool had_reader = reader_.has_value();
  bool unchanged = had_reader == reader.has_value() &&
                   (!had_reader || reader_->instance == reader->instance);
  reader_ = std::move(reader);
  if (unchanged) {
    return;
  }
  log_->Write(EventId::kViewSourceChanged,
              fmt::format("source={}", SourceName()));
  if (!reader_.has_value()) {
    // Connections that were idle meanwhile may be dead.
    store_client_->CloseIdle(settings_.store_address);
  }
  for (const std::unique_ptr<StoreFollower>& follower : followers_) {
    follower->SetPaused(reader_.has_value());
  }
}

// Member rows carry rollout evidence and kept sessions, so they are read more
// often during a rollout.
void ViewSource::UpdatePollIntervals(bool rollout) {
  followers_[static_cast<std::size_t>(StoreTable::kInstances)]->SetMinInterval(
      rollout ? settings_.rollout_instance_poll_interval
              : settings_.instance_poll_interval);
  followers_[static_cast<std::size_t>(StoreTable::kEndpoints)]->SetMinInterval(
      relay_.IsReader() ? ReaderEndpointInterval()
                        : settings_.endpoint_poll_interval);
  milliseconds wait = ApplyTimeFraction(
      settings_,
      relay_.IsReader() ? kReaderChangesWaitFraction : kChangesWaitFraction);
  for (const std::unique_ptr<StoreFollower>& follower : followers_) {
    follower->SetChangesWait(wait);
    follower->SetMaxRetryDelay(MaxRetryDelay());
    follower->SetRelistDelay(RelistDelay());
  }
}

milliseconds ViewSource::MaxRetryDelay() const {
  if (relay_.IsReader()) {
    return kMaxReaderRetryDelay;
  }
  return live_.size() < kLargeFleet ? kMaxRetryDelay
                                    : kMaxRetryDelayInLargeFleet;
}

milliseconds ViewSource::RelistDelay() const {
  if (relay_.IsReader()) {
    return milliseconds(0);
  }
  auto window =
      std::min<std::size_t>(live_.size() * kRelistWindowPerInstance.count(),
                            kMaxRelistWindow.count());
  return milliseconds(
      window == 0
          ? 0
          : std::hash<std::string>()(settings_.instance.value()) % window);
}

milliseconds ViewSource::ReaderEndpointInterval() const {
  return std::min(kMaxReaderEndpointInterval, settings_.endpoint_poll_interval);
}

bool ViewSource::IsStale() const {
  for (int i = 0; i < kStoreTableCount; ++i) {
    if (transport_->Now() - view_->confirmed_at(static_cast<StoreTable>(i)) >
        kMaxTableAge) {
      return true;
    }
  }
  return false;
}

void ViewSource::ReadPeer() {
  TimePoint now = transport_->Now();
  if (peer_reader_.busy()) {
    return;
  }
  if (reader_.has_value()) {
    if (now >= next_read_) {
      next_read_ = now + kPeerReadInterval;
      peer_reader_.Read(reader_->peer_address,
                        std::exchange(offered_row_, std::string()));
    }
    return;
  }
  ReadStandbyPeer(now);
}

// The store does not serve this instance. A peer that it serves is read as long
// as it is current, so that it can also write this instance's row.
void ViewSource::ReadStandbyPeer(TimePoint now) {
  if (store_reachable_) {
    standby_peer_.clear();
  }
  if (!standby_peer_.empty()) {
    if (now >= next_read_) {
      next_read_ = now + kPeerReadInterval;
      peer_reader_.Read(standby_peer_,
                        std::exchange(offered_row_, std::string()));
    }
    return;
  }
  std::vector<std::string> addresses = PeerAddresses();
  if ((!store_reachable_ || IsStale()) && !addresses.empty()) {
    // Every other read goes to a reader, which is more likely to be current.
    std::size_t turn = next_peer_++;
    const std::vector<LiveInstance>& readers = relay_.readers();
    const std::string& address =
        turn % 2 == 0 && !readers.empty()
            ? readers[turn / 2 % readers.size()].peer_address
            : addresses[turn / 2 % addresses.size()];
    if (address != settings_.peer_listen) {
      peer_reader_.Read(address, std::string());
    }
  }
}

std::vector<std::string> ViewSource::PeerAddresses() const {
  std::vector<std::string> addresses;
  for (const auto& [instance, member] : view_->members()) {
    if (instance != settings_.instance) {
      addresses.push_back(member.state.peer_address);
    }
  }
  for (const std::string& seed : settings_.seed_peers) {
    if (seed != settings_.peer_listen &&
        std::find(addresses.begin(), addresses.end(), seed) ==
            addresses.end()) {
      addresses.push_back(seed);
    }
  }
  return addresses;
}

std::vector<std::string> ViewSource::ReaderAddresses() const {
  std::vector<std::string> addresses;
  for (const LiveInstance& reader : relay_.readers()) {
    if (reader.instance != settings_.instance) {
      addresses.push_back(reader.peer_address);
    }
  }
  return addresses;
}

std::optional<std::string> ViewSource::ReaderAddress() const {
  return reader_.has_value() ? std::make_optional(reader_->peer_address)
                             : std::nullopt;
}

std::optional<milliseconds> ViewSource::StoreTime() const {
  if (!store_clock_offset_.has_value()) {
    return std::nullopt;
  }
  return duration_cast<milliseconds>(transport_->Now().time_since_epoch()) +
         *store_clock_offset_;
}

std::string ViewSource::SourceName() const {
  return reader_.has_value() ? reader_->instance.value() : "store";
}

PeerSource ViewSource::Source() const {
  PeerSource source;
  source.store_time = StoreTime();
  bool recent_error =
      last_store_error_at_.has_value() &&
      transport_->Now() - *last_store_error_at_ < kStoreErrorHoldTime;
  source.reads_store =
      !reader_.has_value() && store_reachable_ && !recent_error;
  return source;
}

StoreVersion ViewSource::KnownVersion(StoreTable table) const {
  return view_->as_of(table);
}

bool ViewSource::OnTable(const TableSnapshot& snapshot) {
  StoreVersion known = view_->as_of(snapshot.table);
  if (view_->ReplaceTable(snapshot, RowSource::kStore, transport_->Now())) {
    return true;
  }
  LogFruitlessRead(
      EventId::kStoreSnapshotRefused, snapshot.table,
      fmt::format("era={} as_of={} known={} rows={}", snapshot.as_of.era,
                  snapshot.as_of.number, known.number, snapshot.rows.size()));
  return false;
}

void ViewSource::OnHistoryLost(StoreTable table) {
  LogFruitlessRead(EventId::kStoreHistoryLost, table,
                   fmt::format("after={}", view_->as_of(table).number));
}

void ViewSource::LogFruitlessRead(EventId event,
                                  StoreTable table,
                                  std::string detail) {
  TimePoint now = transport_->Now();
  auto logged = fruitless_logged_at_.find({event, table});
  if (logged != fruitless_logged_at_.end() &&
      now - logged->second < kFruitlessLogInterval) {
    return;
  }
  fruitless_logged_at_[{event, table}] = now;
  log_->Write(event, fmt::format("table={} {}", StoreTableName(table), detail));
}

void ViewSource::OnChanges(StoreTable table, const RowsResponse& response) {
  view_->ApplyChanges(table, response.rows, response.as_of, RowSource::kStore,
                      transport_->Now());
}

void ViewSource::OnStoreTime(milliseconds store_time) {
  if (!store_reachable_) {
    store_reachable_ = true;
    log_->Write(EventId::kStoreReachable, std::string());
  }
  store_clock_offset_ = store_time - duration_cast<milliseconds>(
                                         transport_->Now().time_since_epoch());
}

void ViewSource::OnStoreError(StoreTable table, std::string_view detail) {
  last_store_error_at_ = transport_->Now();
  if (store_reachable_) {
    store_reachable_ = false;
    log_->Write(EventId::kStoreUnreachable,
                fmt::format("table={} {}", StoreTableName(table), detail));
  }
  view_->OnStoreFailure(*last_store_error_at_);
}

std::string ViewSource::UnfitReason(const PeerView& view) const {
  if (!view.source.reads_store) {
    return "peer does not read the store";
  }
  if (view.tables.size() != static_cast<std::size_t>(kStoreTableCount)) {
    return "peer does not have all tables";
  }
  milliseconds wait = ApplyTimeFraction(settings_, kReaderChangesWaitFraction);
  const milliseconds limits[kStoreTableCount] = {
      ApplyTimeFraction(settings_, kMaxOperatorAgeFraction),
      ReaderEndpointInterval() + wait + kMaxExtraAge,
      settings_.instance_poll_interval + wait + kMaxExtraAge};
  for (const PeerTable& entry : view.tables) {
    StoreTable table = entry.changes.table;
    if (!IsCurrentEra(entry)) {
      return fmt::format("table={} era={} known_era={}", StoreTableName(table),
                         entry.changes.as_of.era, era_.current());
    }
    if (entry.age > limits[static_cast<int>(table)]) {
      return fmt::format("table={} age_ms={} as_of={} known={}",
                         StoreTableName(table), entry.age.count(),
                         entry.changes.as_of.number,
                         view_->as_of(table).number);
    }
  }
  return std::string();
}

bool ViewSource::IsCurrentEra(const PeerTable& table) const {
  return table.names_era ? table.changes.as_of.era >= era_.current()
                         : !era_.is_known();
}

void ViewSource::AbandonReader(std::string_view reason) {
  log_->Write(EventId::kPeerViewFailed,
              fmt::format("peer={} {}", reader_->peer_address, reason));
  SetReader(std::nullopt);
}

void ViewSource::OnPeerView(const std::string& address, const PeerView& view) {
  TimePoint now = transport_->Now();
  bool from_reader = reader_.has_value() && reader_->peer_address == address;
  committed_beat_ = std::max(committed_beat_, view.committed_beat);
  quarantine_->Merge(view.crash_evidence, now);
  quarantine_->Evaluate(now);
  std::string unfit_reason = UnfitReason(view);
  standby_peer_ =
      from_reader || store_reachable_ || !unfit_reason.empty() ? "" : address;
  if (from_reader) {
    if (!unfit_reason.empty()) {
      // Records may have expired only in that peer's view; read the store.
      relay_.OnReaderOutdated(reader_->instance, now);
      AbandonReader(unfit_reason);
      return;
    }
    if (view.source.store_time.has_value()) {
      OnStoreTime(*view.source.store_time);
    }
  }
  for (PeerTable table : view.tables) {
    if (!IsCurrentEra(table)) {
      continue;
    }
    std::int64_t known = view_->as_of(table.changes.table).number;
    if (table.names_era) {
      era_.Observe(table.changes.as_of.era);
    } else {
      table.changes.as_of.era = era_.current();
    }
    bool newer = view_->ApplyPeerChanges(table.changes, now - table.age);
    if (newer && !from_reader) {
      log_->Write(
          EventId::kPeerViewTaken,
          fmt::format("peer={} table={} from={} to={} age_ms={}", address,
                      StoreTableName(table.changes.table), known,
                      table.changes.as_of.number, table.age.count()));
    }
  }
}

void ViewSource::OnPeerFailed(const std::string& address,
                              std::string_view detail) {
  standby_peer_.clear();
  if (reader_.has_value() && reader_->peer_address == address) {
    relay_.OnReaderFailed(reader_->instance, transport_->Now());
    AbandonReader(detail);
    return;
  }
  log_->Write(EventId::kPeerViewFailed,
              fmt::format("peer={} {}", address, detail));
}

}  // namespace filbertshift
