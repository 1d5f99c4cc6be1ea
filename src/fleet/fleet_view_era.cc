// What stays in force when the store has returned from an older copy.
//
// A row of the copy says what was true when the copy was made, and the instance
// may know better: an endpoint has left since, an evacuation was ordered, a
// rollout was decided. Such knowledge stays until the row is written in the new
// era. What nobody writes again is gone after a while.

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <utility>

#include "src/fleet/fleet_view.h"

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

// Endpoints that the copy lacks write their records again within about 2 s of
// the store's return, according to the platform's service discovery.
constexpr milliseconds kEndpointRewriteTime{2000};
constexpr milliseconds kOperatorRewriteTime{4000};
// An evacuation in the copy that is known to have ended. Short, because it may
// have been ordered again since.
constexpr milliseconds kEvacuationHoldTime{1000};
// By then, endpoints that are alive have written their records again and the
// store has removed those of the others.
constexpr milliseconds kEndpointSettleTime{10000};
// An instance that has not read the store for longer has missed more than its
// return.
constexpr milliseconds kMaxKnownAge{7000};
constexpr std::size_t kMaxDeparted = 1000;

}  // namespace

void FleetView::StartEra(const TableSnapshot& snapshot,
                         RowSource source,
                         TimePoint now) {
  Table& known = TableFor(snapshot.table);
  std::int64_t copied_until =
      snapshot.copied_until.value_or(snapshot.as_of.number);
  std::size_t known_rows = known.rows.size();
  StoreVersion known_as_of = known.as_of;
  // Others have followed the store since, and it has been written to.
  bool outdated = now - known.confirmed_at > kMaxKnownAge;
  switch (snapshot.table) {
    case StoreTable::kOperator:
      if (outdated) {
        rollouts_.ForgetOrders();
        operator_settles_at_ = now;
      } else {
        ExpectOrdersAgain(now);
        evacuations_settle_at_ = now + kEvacuationHoldTime;
      }
      break;
    case StoreTable::kEndpoints:
      KeepLostEndpoints(known, snapshot, now);
      endpoints_settle_at_ = now + kEndpointSettleTime;
      break;
    case StoreTable::kInstances:
      if (outdated) {
        rollouts_.ForgetProgress();
      } else {
        rollouts_.KeepProgress();
      }
      quarantine_rows_.clear();
      break;
  }
  known.rows.clear();
  known.removals.clear();
  known.removals_complete_after = snapshot.as_of.number;
  known.as_of = snapshot.as_of;
  known.copied_until = copied_until;
  // The numbers of the copy are those of an earlier era. A row beyond what was
  // known then is news, also if it was written before the store returned.
  known.superseded_until =
      outdated ? -1 : std::min(copied_until, known.largest_number);
  log_->Write(
      EventId::kStoreReturned,
      fmt::format("table={} era={} as_of={} rows={} known_era={} known={} "
                  "known_rows={} lapsing={} departed={} evacuated={} orders={}",
                  static_cast<int>(snapshot.table), snapshot.as_of.era,
                  snapshot.as_of.number, snapshot.rows.size(), known_as_of.era,
                  known_as_of.number, known_rows, lapsed_.size(),
                  departed_.size(), evacuated_.size(),
                  rollouts_.orders().size()));
  ApplyChanges(snapshot.table, snapshot.rows, snapshot.as_of, source, now);
  SettleRows(now);
}

void FleetView::ExpectOrdersAgain(TimePoint now) {
  rollouts_.ExpectOrdersAgain();
  operator_settles_at_ = now + kOperatorRewriteTime;
}

void FleetView::KeepLostEndpoints(const Table& known,
                                  const TableSnapshot& snapshot,
                                  TimePoint now) {
  std::set<std::string> present;
  for (const StoreRow& row : snapshot.rows) {
    present.insert(row.key);
  }
  for (const StoreRow& row : known.removals) {
    if (known.rows.count(row.key) == 0 &&
        endpoints_.count(EndpointId(row.key)) == 0) {
      departed_.insert(row.key);
    }
  }
  std::vector<EndpointId> lost;
  for (const auto& entry : endpoints_) {
    if (present.count(entry.first.value()) == 0) {
      lost.push_back(entry.first);
    }
  }
  for (const EndpointId& endpoint : lost) {
    if (endpoints_.at(endpoint).state == EndpointState::kReady) {
      lapsed_[endpoint] = now + kEndpointRewriteTime;
    } else {
      departed_.insert(endpoint.value());
      RemoveEndpoint(endpoint);
    }
  }
  // A second copy may have endpoints again that the first one lacked.
  while (departed_.size() > kMaxDeparted) {
    departed_.erase(departed_.begin());
  }
}

bool FleetView::IsSuperseded(const RoutedEndpoint& record) const {
  if (departed_.count(record.endpoint.value()) > 0) {
    return true;
  }
  auto known = endpoints_.find(record.endpoint);
  return known != endpoints_.end() &&
         (record.started_at < known->second.started_at ||
          (record.started_at == known->second.started_at &&
           record.state == EndpointState::kReady));
}

void FleetView::SettleRows(TimePoint now) {
  auto is_due = [now](std::optional<TimePoint>* time) {
    bool due = time->has_value() && **time <= now;
    if (due) {
      time->reset();
    }
    return due;
  };
  if (is_due(&evacuations_settle_at_)) {
    SettleEvacuations();
  }
  if (is_due(&operator_settles_at_)) {
    SettleOperatorRows(now);
  }
  if (is_due(&endpoints_settle_at_)) {
    departed_.clear();
    for (const StoreRow& row : TakeSuperseded(StoreTable::kEndpoints)) {
      ApplyEndpointRow(row, false, RowSource::kStore, now);
    }
  }
}

std::vector<StoreRow> FleetView::TakeSuperseded(StoreTable table) {
  Table& known = TableFor(table);
  std::vector<StoreRow> rows;
  for (const auto& entry : known.rows) {
    const StoreRow& row = entry.second.row;
    if (row.version <= known.superseded_until && !row.value.empty()) {
      rows.push_back(row);
    }
  }
  known.superseded_until = -1;
  return rows;
}

std::map<DataCentreId, std::int64_t> FleetView::ListedEvacuations() const {
  std::map<DataCentreId, std::int64_t> listed;
  for (const auto& [key, entry] : TableFor(StoreTable::kOperator).rows) {
    OperatorKey parsed = codec_.ParseOperatorKey(key);
    if (const auto* evacuation = std::get_if<EvacuationKey>(&parsed)) {
      listed[evacuation->data_centre] = entry.row.version;
    }
  }
  return listed;
}

void FleetView::SettleEvacuations() {
  for (const auto& [data_centre, version] : ListedEvacuations()) {
    if (!IsEvacuated(data_centre)) {
      SetEvacuated(data_centre, true, version);
    }
  }
}

void FleetView::SettleOperatorRows(TimePoint now) {
  rollouts_.Settle();
  SettleEvacuations();
  std::map<DataCentreId, std::int64_t> listed = ListedEvacuations();
  for (const DataCentreId& data_centre : std::set<DataCentreId>(evacuated_)) {
    if (listed.count(data_centre) == 0) {
      SetEvacuated(data_centre, false, 0);
    }
  }
  // An order that the store lacks stays: without it, nothing would limit the
  // requests to its candidate.
  for (const StoreRow& row : TakeSuperseded(StoreTable::kOperator)) {
    OperatorKey key = codec_.ParseOperatorKey(row.key);
    if (const auto* rollout = std::get_if<RolloutKey>(&key)) {
      ApplyOrder(rollout->service, row, false, now);
    }
  }
}

}  // namespace filbertshift
