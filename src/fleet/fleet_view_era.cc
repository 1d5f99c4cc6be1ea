// What stays in force when the store has returned from an older copy.
//
// A row of the copy says what was true when the copy was made, and the instance
// may know better: an endpoint has left since, an evacuation was ordered, a
// rollout was decided. Such knowledge stays until the row is written in the new
// era. What nobody writes again is gone after a while.

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "src/fleet/fleet_view.h"

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

// Endpoints that the copy lacks write their records again within about 2 s of
// the store's return, according to the platform's service discovery.
constexpr milliseconds kEndpointRewriteTime{2000};
// Below the bounds within which an evacuation must take effect.
constexpr milliseconds kOperatorRewriteTime{4000};
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
  switch (snapshot.table) {
    case StoreTable::kOperator:
      rollouts_.ExpectOrdersAgain();
      operator_settles_at_ = now + kOperatorRewriteTime;
      break;
    case StoreTable::kEndpoints:
      KeepLostEndpoints(known, snapshot, now);
      break;
    case StoreTable::kInstances:
      rollouts_.ForgetProgressRows();
      quarantine_rows_.clear();
      break;
  }
  known.rows.clear();
  known.removals.clear();
  known.removals_complete_after = snapshot.as_of.number;
  known.as_of = snapshot.as_of;
  known.copied_until = copied_until;
  // The numbers of the copy are those of the earlier era. A row beyond what
  // was known then is news, also if it was written before the store returned.
  known.superseded_until = std::min(copied_until, known_as_of.number);
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

void FleetView::SettleOperatorRows(TimePoint now) {
  operator_settles_at_.reset();
  rollouts_.Settle();
  Table& known = TableFor(StoreTable::kOperator);
  std::set<DataCentreId> evacuated;
  std::vector<StoreRow> superseded;
  for (const auto& [key, entry] : known.rows) {
    OperatorKey parsed = codec_.ParseOperatorKey(key);
    if (const auto* evacuation = std::get_if<EvacuationKey>(&parsed)) {
      evacuated.insert(evacuation->data_centre);
    }
    if (entry.row.version <= known.superseded_until) {
      superseded.push_back(entry.row);
    }
  }
  known.superseded_until = -1;
  // An order that the store lacks stays: without it, nothing would limit the
  // requests to its candidate.
  for (const DataCentreId& data_centre : std::set<DataCentreId>(evacuated_)) {
    if (evacuated.count(data_centre) == 0) {
      SetEvacuated(data_centre, false, 0);
    }
  }
  for (const StoreRow& row : superseded) {
    ApplyOperatorRow(row, false, now);
  }
}

}  // namespace filbertshift
