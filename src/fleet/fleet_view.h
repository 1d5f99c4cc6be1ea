// An instance's view of the fleet, built from store rows that it reads directly
// or through other instances. A row never replaces a newer one.
//
// When the store returns from an older copy, its era rises: its rows are read
// anew, and those that it has only lost keep their effect until they are
// written again (fleet_view_era.cc).

#ifndef SRC_FLEET_FLEET_VIEW_H_
#define SRC_FLEET_FLEET_VIEW_H_

#include <array>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/fleet/document_codec.h"
#include "src/fleet/finding_log.h"
#include "src/fleet/member_clock.h"
#include "src/fleet/member_state.h"
#include "src/fleet/quarantine_row.h"
#include "src/fleet/rollout_driver.h"
#include "src/fleet/rollout_records.h"
#include "src/fleet/store_row.h"

namespace filbertshift {

class FleetViewListener {
 public:
  virtual ~FleetViewListener() = default;
  virtual void OnConfiguration(const FleetConfiguration& configuration) = 0;
  virtual void OnEndpoint(const RoutedEndpoint& record) = 0;
  virtual void OnEndpointRemoved(const EndpointId& endpoint) = 0;
};

// The complete contents of a table at a store version.
struct TableSnapshot {
  StoreTable table = StoreTable::kOperator;
  StoreVersion as_of;
  std::vector<StoreRow> rows;
  // Rows up to this number may come from the copy with which the era began;
  // not set: up to `as_of`.
  std::optional<std::int64_t> copied_until = std::nullopt;
};

// Changes that bring the view of another instance up to date with this one.
struct TableChanges {
  StoreTable table = StoreTable::kOperator;
  StoreVersion as_of;
  // `rows` holds the complete table; otherwise only changes and removals.
  bool full_table = false;
  std::vector<StoreRow> rows;
  // As in TableSnapshot.
  std::optional<std::int64_t> copied_until = std::nullopt;
};

// Key prefixes in the table kInstances.
constexpr std::string_view kMemberKeyPrefix = "instance/";
constexpr std::string_view kProgressKeyPrefix = "rollout/";
constexpr std::string_view kQuarantineKeyPrefix = "quarantine/";

// Where rows were read from.
enum class RowSource { kStore, kPeer };

class FleetView {
 public:
  FleetView(const DocumentCodec& codec,
            EventLog* log,
            FleetViewListener* listener);

  // Applies changes after which the table is current as of version `as_of`, in
  // the era of the known contents.
  void ApplyChanges(StoreTable table,
                    const std::vector<StoreRow>& rows,
                    const StoreVersion& as_of,
                    RowSource source,
                    TimePoint now);
  // Replaces the table unless the known contents are newer. Returns whether the
  // snapshot was applied.
  bool ReplaceTable(const TableSnapshot& snapshot,
                    RowSource source,
                    TimePoint now);
  // The store did not respond. For a grace period, records that the store lists
  // as removed are treated as lapsed, because their endpoints may only have
  // been unable to renew them. Removals reported by a peer are applied at once.
  void OnStoreFailure(TimePoint now);
  // Removes lapsed endpoints whose grace period is over, and what the store has
  // lost if the operator has not written it again in time.
  void ExpireLapsed(TimePoint now);
  // Logs how many findings were left out of the log, if any were.
  void ReportOmittedFindings(TimePoint now);

  // Every table has been read at least once.
  bool complete() const;
  const StoreVersion& as_of(StoreTable table) const;
  // Time at which the table was last confirmed to be current.
  TimePoint confirmed_at(StoreTable table) const;
  // Changes after a version, except for rows in which only the heartbeat
  // changed.
  TableChanges ChangesSince(StoreTable table,
                            const StoreVersion& version) const;
  // Applies changes from another instance that were current at `confirmed_at`.
  // Returns whether they contained a newer version.
  bool ApplyPeerChanges(const TableChanges& changes, TimePoint confirmed_at);

  // nullptr until a configuration has been applied.
  std::shared_ptr<const FleetConfiguration> configuration() const {
    return configuration_;
  }
  const std::unordered_map<EndpointId, RoutedEndpoint>& endpoints() const {
    return endpoints_;
  }
  bool IsEvacuated(const DataCentreId& data_centre) const {
    return evacuated_.count(data_centre) > 0;
  }
  const std::map<ServiceId, RolloutOrder>& orders() const {
    return rollouts_.orders();
  }
  // nullptr if no progress of the service is known.
  const RolloutProgress* FindProgress(const ServiceId& service) const {
    return rollouts_.FindProgress(service);
  }
  const RolloutRecords& rollouts() const { return rollouts_; }
  RolloutRecords& rollouts() { return rollouts_; }
  // Number of the version of the progress row; 0 if there is none.
  std::int64_t ProgressRowVersion(const ServiceId& service) const;

  struct Member {
    MemberState state;
    std::int64_t row_version = 0;
    // Member time at which the row last changed.
    std::chrono::milliseconds changed_after{0};
  };
  const std::map<InstanceId, Member>& members() const { return members_; }
  // Blocked causes of crashes.
  const std::map<CauseId, QuarantineRow>& quarantine_rows() const {
    return quarantine_rows_;
  }
  // Time in which instances could show that they are live.
  std::chrono::milliseconds member_time() const {
    return member_clock_.elapsed();
  }

 private:
  struct KnownRow {
    // Invariant: the value is empty if the row names no endpoint; other
    // instances then get no document that they cannot use either.
    StoreRow row;
    // Latest version at which anything but the heartbeat changed.
    std::int64_t content_version = 0;
  };

  struct Table {
    StoreVersion as_of;
    TimePoint confirmed_at{};
    // Rows up to this number may come from the copy with which the era began,
    // and this instance has known a later state of them; negative: none.
    std::int64_t superseded_until = -1;
    // As in TableSnapshot; not set in the first era.
    std::optional<std::int64_t> copied_until;
    // Largest number of any era. A copy may be of a history that an earlier
    // return has already lost.
    std::int64_t largest_number = 0;
    std::unordered_map<std::string, KnownRow> rows;
    // Recent removals, oldest first.
    std::deque<StoreRow> removals;
    // `removals` is complete only for versions after this one.
    std::int64_t removals_complete_after = 0;
  };

  Table& TableFor(StoreTable table) { return tables_[static_cast<int>(table)]; }
  const Table& TableFor(StoreTable table) const {
    return tables_[static_cast<int>(table)];
  }
  void Apply(StoreTable table,
             const StoreRow& row,
             RowSource source,
             TimePoint now);
  static void RecordRemoval(Table* table, const StoreRow& row);
  // Replaces the table by a snapshot of a later era.
  void StartEra(const TableSnapshot& snapshot, RowSource source, TimePoint now);
  // The operator may write its orders again within some seconds.
  void ExpectOrdersAgain(TimePoint now);
  void KeepLostEndpoints(const Table& known,
                         const TableSnapshot& snapshot,
                         TimePoint now);
  // Whether the record is an older state of a known endpoint, or that of one
  // that has left.
  bool IsSuperseded(const RoutedEndpoint& record) const;
  // Gives up, step by step, what the store has lost and nobody has written
  // again, and takes what its copy has.
  void SettleRows(TimePoint now);
  void SettleEvacuations();
  void SettleOperatorRows(TimePoint now);
  // Rows of which a later state was known; from now on, none is.
  std::vector<StoreRow> TakeSuperseded(StoreTable table);
  // Evacuations that the store has, with the versions of their rows.
  std::map<DataCentreId, std::int64_t> ListedEvacuations() const;
  // `superseded`: a later state of the row is known.
  void ApplyOperatorRow(const StoreRow& row, bool superseded, TimePoint now);
  void SetEvacuated(const DataCentreId& data_centre,
                    bool evacuated,
                    std::int64_t row_version);
  void ApplyConfiguration(const StoreRow& row, TimePoint now);
  void ApplyOrder(const ServiceId& service,
                  const StoreRow& row,
                  bool superseded,
                  TimePoint now);
  enum class RowEffect {
    kChanged,
    // Nothing but the heartbeat changed.
    kUnchanged,
    // The row names no endpoint.
    kUnusable,
  };
  RowEffect ApplyEndpointRow(const StoreRow& row,
                             bool superseded,
                             RowSource source,
                             TimePoint now);
  void ApplyInstanceRow(const StoreRow& row, bool superseded);
  void AdvanceMemberClock(TimePoint now);
  bool IsOlderBeat(const InstanceId& instance, const MemberState& state) const;
  // Removes the endpoint, or lets it lapse during a store outage.
  void LapseEndpoint(const EndpointId& endpoint,
                     RowSource source,
                     TimePoint now);
  void RemoveEndpoint(const EndpointId& endpoint);

  const DocumentCodec& codec_;
  EventLog* const log_;
  FindingLog finding_log_;
  FleetViewListener* const listener_;
  std::array<Table, kStoreTableCount> tables_;
  // Invariant: the configuration version never decreases.
  std::shared_ptr<const FleetConfiguration> configuration_;
  std::unordered_map<EndpointId, RoutedEndpoint> endpoints_;
  std::set<DataCentreId> evacuated_;
  RolloutRecords rollouts_;
  std::map<InstanceId, Member> members_;
  MemberClock member_clock_;
  // Members whose row has changed since the member clock last advanced.
  std::vector<InstanceId> changed_members_;
  std::map<CauseId, QuarantineRow> quarantine_rows_;
  std::optional<TimePoint> last_store_failure_;
  // Endpoints whose record has lapsed, with the time at which they are removed
  // unless the record returns. Invariant: each is in endpoints_.
  std::map<EndpointId, TimePoint> lapsed_;
  // Endpoints that had left before the store returned from a copy that has them
  // again.
  std::set<std::string> departed_;
  // When rows of the store's copy, or their absence, begin to count against
  // what was known before.
  std::optional<TimePoint> evacuations_settle_at_;
  std::optional<TimePoint> operator_settles_at_;
  std::optional<TimePoint> endpoints_settle_at_;
};

}  // namespace filbertshift

#endif  // SRC_FLEET_FLEET_VIEW_H_
