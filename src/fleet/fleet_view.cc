#include "src/fleet/fleet_view.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

// Records that lapsed during a store outage return within about 2 s of its end,
// according to the platform's service discovery.
constexpr milliseconds kLapseGrace{2000};

// Number of removals retained for other instances. An instance that is further
// behind receives the complete table.
constexpr std::size_t kMaxRemovals = 1000;

bool StartsWith(const std::string& text, std::string_view prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

// Returns whether the records differ in nothing but the heartbeat.
bool EqualExceptHeartbeat(const RoutedEndpoint& a, const RoutedEndpoint& b) {
  return a.service == b.service && a.address == b.address &&
         a.data_centre == b.data_centre && a.version == b.version &&
         a.state == b.state && a.slots == b.slots &&
         a.cold_remaining == b.cold_remaining && a.started_at == b.started_at &&
         a.models == b.models;
}

}  // namespace

FleetView::FleetView(const DocumentCodec& codec,
                     EventLog* log,
                     FleetViewListener* listener)
    : codec_(codec), log_(log), finding_log_(log), listener_(listener) {}

void FleetView::ApplyChanges(StoreTable table,
                             const std::vector<StoreRow>& rows,
                             const StoreVersion& as_of,
                             RowSource source,
                             TimePoint now) {
  Table& known = TableFor(table);
  if (known.confirmed_at != TimePoint() && as_of.era != known.as_of.era) {
    return;
  }
  known.as_of.era = as_of.era;
  for (const StoreRow& row : rows) {
    Apply(table, row, source, now);
  }
  if (as_of < known.as_of) {
    return;
  }
  known.as_of = as_of;
  known.largest_number = std::max(known.largest_number, as_of.number);
  known.confirmed_at = std::max(known.confirmed_at, now);
  if (table == StoreTable::kInstances) {
    AdvanceMemberClock(now);
  }
}

bool FleetView::ReplaceTable(const TableSnapshot& snapshot,
                             RowSource source,
                             TimePoint now) {
  Table& known = TableFor(snapshot.table);
  if (snapshot.as_of < known.as_of) {
    return false;
  }
  if (known.confirmed_at == TimePoint()) {
    known.removals_complete_after = snapshot.as_of.number;
    if (snapshot.table == StoreTable::kOperator) {
      // The store may have returned just before this instance started.
      ExpectOrdersAgain(now);
    }
  } else if (snapshot.as_of.era > known.as_of.era) {
    StartEra(snapshot, source, now);
    return true;
  }
  std::set<std::string> present;
  for (const StoreRow& row : snapshot.rows) {
    present.insert(row.key);
  }
  std::vector<StoreRow> removed;
  for (const auto& entry : known.rows) {
    if (present.count(entry.first) == 0) {
      removed.push_back(
          {entry.first, std::string(), snapshot.as_of.number, true});
    }
  }
  for (const StoreRow& row : removed) {
    Apply(snapshot.table, row, source, now);
  }
  ApplyChanges(snapshot.table, snapshot.rows, snapshot.as_of, source, now);
  return true;
}

void FleetView::Apply(StoreTable table,
                      const StoreRow& row,
                      RowSource source,
                      TimePoint now) {
  Table& known = TableFor(table);
  auto found = known.rows.find(row.key);
  if (found != known.rows.end() && found->second.row.version >= row.version) {
    return;
  }
  if (row.removed && found == known.rows.end()) {
    return;
  }
  RowEffect effect = RowEffect::kChanged;
  bool superseded = row.version <= known.superseded_until;
  switch (table) {
    case StoreTable::kOperator:
      ApplyOperatorRow(row, superseded, now);
      break;
    case StoreTable::kEndpoints:
      effect = ApplyEndpointRow(row, superseded, source, now);
      break;
    case StoreTable::kInstances:
      ApplyInstanceRow(row, superseded);
      break;
  }
  if (row.removed) {
    known.rows.erase(found);
    RecordRemoval(&known, row);
    return;
  }
  // The row of a record that lapsed and returned is unchanged here but must be
  // sent to the other instances, which may have removed it. So must one that is
  // written for the first time since the store returned: others may have
  // ignored the copied one.
  bool is_new = found == known.rows.end() ||
                (known.copied_until.has_value() &&
                 found->second.row.version <= *known.copied_until &&
                 row.version > *known.copied_until);
  KnownRow& kept = known.rows[row.key];
  bool was_usable = !kept.row.value.empty();
  kept.row = row;
  if (effect == RowEffect::kUnusable) {
    kept.row.value = std::string();
  }
  bool changed = effect == RowEffect::kUnusable ? was_usable
                                                : effect == RowEffect::kChanged;
  if (changed || is_new) {
    kept.content_version = row.version;
  }
}

void FleetView::RecordRemoval(Table* table, const StoreRow& row) {
  table->removals.push_back(row);
  if (table->removals.size() > kMaxRemovals) {
    table->removals_complete_after = table->removals.front().version;
    table->removals.pop_front();
  }
}

void FleetView::ApplyOperatorRow(const StoreRow& row,
                                 bool superseded,
                                 TimePoint now) {
  OperatorKey key = codec_.ParseOperatorKey(row.key);
  if (std::holds_alternative<ConfigurationKey>(key)) {
    ApplyConfiguration(row, now);
  } else if (const auto* rollout = std::get_if<RolloutKey>(&key)) {
    ApplyOrder(rollout->service, row, superseded, now);
  } else if (const auto* evacuation = std::get_if<EvacuationKey>(&key)) {
    if (!superseded) {
      SetEvacuated(evacuation->data_centre, !row.removed, row.version);
    }
  }
}

void FleetView::SetEvacuated(const DataCentreId& data_centre,
                             bool evacuated,
                             std::int64_t row_version) {
  if (evacuated) {
    evacuated_.insert(data_centre);
  } else {
    evacuated_.erase(data_centre);
  }
  log_->Write(EventId::kEvacuationChanged,
              fmt::format("{} evacuated={} row={}", data_centre.value(),
                          evacuated, row_version));
}

void FleetView::ApplyConfiguration(const StoreRow& row, TimePoint now) {
  if (row.removed) {
    log_->Write(
        EventId::kConfigurationRejected,
        "the configuration row was removed; the current configuration stays "
        "in force");
    return;
  }
  std::vector<Finding> findings;
  std::optional<FleetConfiguration> decoded =
      codec_.DecodeConfiguration(row.value, &findings);
  finding_log_.Write(row.key, findings, now);
  if (!decoded.has_value()) {
    log_->Write(
        EventId::kConfigurationRejected,
        fmt::format("row={} is not a valid configuration", row.version));
    return;
  }
  if (configuration_ != nullptr && decoded->version < configuration_->version) {
    log_->Write(EventId::kConfigurationRejected,
                fmt::format("version={} is older than version {} in force",
                            decoded->version, configuration_->version));
    return;
  }
  configuration_ =
      std::make_shared<const FleetConfiguration>(std::move(*decoded));
  log_->Write(EventId::kConfigurationInForce,
              fmt::format("version={} row={} routes={} accounts={}",
                          configuration_->version, row.version,
                          configuration_->routes.size(),
                          configuration_->accounts.size()));
  listener_->OnConfiguration(*configuration_);
}

void FleetView::ApplyOrder(const ServiceId& service,
                           const StoreRow& row,
                           bool superseded,
                           TimePoint now) {
  if (row.removed) {
    rollouts_.RemoveOrder(service);
    return;
  }
  std::vector<Finding> findings;
  std::optional<RolloutOrder> order =
      codec_.DecodeRolloutOrder(row.value, &findings);
  finding_log_.Write(row.key, findings, now);
  if (!order.has_value()) {
    return;
  }
  order->service = service;
  if (superseded && rollouts_.Differs(*order)) {
    return;
  }
  bool is_new = rollouts_.SetOrder(
      *order, {TableFor(StoreTable::kOperator).as_of.era, row.version});
  log_->Write(
      EventId::kRolloutOrdered,
      fmt::format("service={} to={} deadline_ms={} row={}{}", service.value(),
                  order->to.value(), order->deadline.count(), row.version,
                  is_new ? "" : " written again"));
}

FleetView::RowEffect FleetView::ApplyEndpointRow(const StoreRow& row,
                                                 bool superseded,
                                                 RowSource source,
                                                 TimePoint now) {
  EndpointId endpoint(row.key);
  if (row.removed) {
    LapseEndpoint(endpoint, source, now);
    return RowEffect::kChanged;
  }
  if (!superseded) {
    departed_.erase(row.key);
  }
  std::vector<Finding> findings;
  std::optional<RoutedEndpoint> record =
      codec_.DecodeEndpoint(row.key, row.value, &findings);
  finding_log_.Write(row.key, findings, now);
  if (!record.has_value()) {
    if (!superseded) {
      RemoveEndpoint(endpoint);
    }
    return RowEffect::kUnusable;
  }
  if (superseded && endpoints_.count(endpoint) == 0) {
    // It had left, possibly before this instance first read the table.
    departed_.insert(row.key);
  }
  if (superseded && IsSuperseded(*record)) {
    lapsed_.erase(endpoint);
    return RowEffect::kUnchanged;
  }
  record->row_version = row.version;
  lapsed_.erase(endpoint);
  auto found = endpoints_.find(endpoint);
  if (found != endpoints_.end() &&
      EqualExceptHeartbeat(found->second, *record)) {
    return RowEffect::kUnchanged;
  }
  endpoints_[endpoint] = *record;
  listener_->OnEndpoint(*record);
  return RowEffect::kChanged;
}

void FleetView::LapseEndpoint(const EndpointId& endpoint,
                              RowSource source,
                              TimePoint now) {
  auto found = endpoints_.find(endpoint);
  if (found != endpoints_.end() && source == RowSource::kStore &&
      last_store_failure_.has_value() &&
      now - *last_store_failure_ < kLapseGrace &&
      found->second.state == EndpointState::kReady) {
    lapsed_[endpoint] = *last_store_failure_ + kLapseGrace;
    return;
  }
  RemoveEndpoint(endpoint);
}

void FleetView::RemoveEndpoint(const EndpointId& endpoint) {
  lapsed_.erase(endpoint);
  if (endpoints_.erase(endpoint) > 0) {
    listener_->OnEndpointRemoved(endpoint);
  }
}

// A writer that was suspended, or whose write was delayed, may put an earlier
// row of the instance after a newer one. It must not count as a heartbeat.
bool FleetView::IsOlderBeat(const InstanceId& instance,
                            const MemberState& state) const {
  auto found = members_.find(instance);
  return found != members_.end() &&
         found->second.state.incarnation == state.incarnation &&
         found->second.state.beat >= state.beat;
}

void FleetView::AdvanceMemberClock(TimePoint now) {
  member_clock_.OnRead(!changed_members_.empty(), now);
  for (const InstanceId& instance : std::exchange(changed_members_, {})) {
    auto found = members_.find(instance);
    if (found != members_.end()) {
      found->second.changed_after = member_clock_.elapsed();
    }
  }
}

void FleetView::ApplyInstanceRow(const StoreRow& row, bool superseded) {
  if (StartsWith(row.key, kMemberKeyPrefix)) {
    InstanceId instance(row.key.substr(kMemberKeyPrefix.size()));
    if (superseded && members_.count(instance) > 0) {
      return;
    }
    std::optional<MemberState> state =
        row.removed ? std::nullopt : DecodeMemberState(row.value);
    if (!state.has_value()) {
      members_.erase(instance);
    } else if (!IsOlderBeat(instance, *state)) {
      members_[instance] = Member{*state, row.version, member_clock_.elapsed()};
      changed_members_.push_back(instance);
    }
  } else if (StartsWith(row.key, kProgressKeyPrefix)) {
    ServiceId service(row.key.substr(kProgressKeyPrefix.size()));
    std::optional<RolloutProgress> progress =
        row.removed
            ? std::nullopt
            : DecodeRolloutProgress(row.value,
                                    TableFor(StoreTable::kInstances).as_of.era);
    rollouts_.SetProgressRow(service, progress);
    if (progress.has_value()) {
      log_->Write(EventId::kRolloutProgress,
                  fmt::format("service={} to={} exposure={} state={} row={}",
                              service.value(), progress->to.value(),
                              progress->exposure_permille,
                              static_cast<int>(progress->state), row.version));
    }
  } else if (StartsWith(row.key, kQuarantineKeyPrefix)) {
    CauseId cause(row.key.substr(kQuarantineKeyPrefix.size()));
    std::optional<QuarantineRow> entry =
        row.removed ? std::nullopt : DecodeQuarantineRow(row.value);
    if (entry.has_value()) {
      quarantine_rows_[cause] = *entry;
    } else {
      quarantine_rows_.erase(cause);
    }
  }
}

void FleetView::OnStoreFailure(TimePoint now) {
  last_store_failure_ = now;
}

void FleetView::ExpireLapsed(TimePoint now) {
  std::vector<EndpointId> expired;
  for (const auto& [endpoint, time] : lapsed_) {
    if (time <= now) {
      expired.push_back(endpoint);
    }
  }
  for (const EndpointId& endpoint : expired) {
    RemoveEndpoint(endpoint);
  }
  SettleRows(now);
}

void FleetView::ReportOmittedFindings(TimePoint now) {
  finding_log_.ReportOmitted(now);
}

bool FleetView::complete() const {
  return std::all_of(tables_.begin(), tables_.end(), [](const Table& table) {
    return table.confirmed_at != TimePoint();
  });
}

const StoreVersion& FleetView::as_of(StoreTable table) const {
  return TableFor(table).as_of;
}

TimePoint FleetView::confirmed_at(StoreTable table) const {
  return TableFor(table).confirmed_at;
}

TableChanges FleetView::ChangesSince(StoreTable table,
                                     const StoreVersion& version) const {
  const Table& known = TableFor(table);
  TableChanges changes{table,
                       known.as_of,
                       version.era != known.as_of.era ||
                           version.number < known.removals_complete_after,
                       {},
                       known.copied_until};
  if (!changes.full_table) {
    for (const StoreRow& row : known.removals) {
      if (row.version > version.number && known.rows.count(row.key) == 0) {
        changes.rows.push_back(row);
      }
    }
  }
  for (const auto& [key, entry] : known.rows) {
    bool departed = table == StoreTable::kEndpoints && departed_.count(key) > 0;
    if (!departed &&
        (changes.full_table || entry.content_version > version.number)) {
      changes.rows.push_back(entry.row);
    }
  }
  return changes;
}

bool FleetView::ApplyPeerChanges(const TableChanges& changes,
                                 TimePoint confirmed_at) {
  const Table& known = TableFor(changes.table);
  bool needs_full_table =
      known.confirmed_at != TimePoint() && changes.as_of.era != known.as_of.era;
  if ((needs_full_table && !changes.full_table) ||
      changes.as_of < known.as_of ||
      (changes.as_of == known.as_of && confirmed_at <= known.confirmed_at)) {
    return false;
  }
  bool newer = changes.as_of > known.as_of;
  if (changes.full_table) {
    ReplaceTable(
        {changes.table, changes.as_of, changes.rows, changes.copied_until},
        RowSource::kPeer, confirmed_at);
  } else {
    ApplyChanges(changes.table, changes.rows, changes.as_of, RowSource::kPeer,
                 confirmed_at);
  }
  return newer;
}

std::int64_t FleetView::ProgressRowVersion(const ServiceId& service) const {
  const Table& known = TableFor(StoreTable::kInstances);
  auto found =
      known.rows.find(std::string(kProgressKeyPrefix) + service.value());
  return found == known.rows.end() ? 0 : found->second.row.version;
}

}  // namespace filbertshift
