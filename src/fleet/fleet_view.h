// What an instance believes, built from rows of the store that reach it
// directly or through other instances. A row never replaces a newer one.

#ifndef SRC_FLEET_FLEET_VIEW_H_
#define SRC_FLEET_FLEET_VIEW_H_

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/fleet/document_codec.h"
#include "src/fleet/member_state.h"
#include "src/fleet/rollout_driver.h"
#include "src/fleet/store_row.h"

namespace filbertshift {

class FleetViewListener {
 public:
  virtual ~FleetViewListener() = default;
  virtual void OnConfiguration(const FleetConfiguration& configuration) = 0;
  virtual void OnEndpoint(const RoutedEndpoint& record) = 0;
  virtual void OnEndpointRemoved(const EndpointId& endpoint) = 0;
};

// The whole of one table as of a store version.
struct TableSnapshot {
  StoreTable table = StoreTable::kOperator;
  std::int64_t as_of = 0;
  std::vector<StoreRow> rows;
};

// What another instance needs to be as current as this one.
struct TableChanges {
  StoreTable table = StoreTable::kOperator;
  std::int64_t as_of = 0;
  // The rows are the whole table. Otherwise removed rows are among them.
  bool whole = false;
  std::vector<StoreRow> rows;
};

// Key prefixes in the table kInstances.
constexpr std::string_view kMemberKeyPrefix = "instance/";
constexpr std::string_view kProgressKeyPrefix = "rollout/";

// How rows reached this instance.
enum class RowSource { kStore, kPeer };

class FleetView {
 public:
  FleetView(const DocumentCodec& codec,
            EventLog* log,
            FleetViewListener* listener);

  // Applies changes that make the table complete up to `as_of`.
  void ApplyChanges(StoreTable table,
                    const std::vector<StoreRow>& rows,
                    std::int64_t as_of,
                    RowSource source,
                    TimePoint now);
  // Takes the whole table, unless what is known is newer. Returns whether it
  // was taken.
  bool ReplaceTable(const TableSnapshot& snapshot,
                    RowSource source,
                    TimePoint now);
  // The store failed to answer; records that disappear from it for a while
  // after that may only have lapsed. Another instance that reads the store has
  // seen their real end.
  void OnStoreTrouble(TimePoint now);
  // Removes lapsed endpoints whose time to come back is over.
  void ExpireLapsed(TimePoint now);

  // Every table has been read at least once.
  bool complete() const;
  std::int64_t as_of(StoreTable table) const;
  // Time at which the table was last known to be current.
  TimePoint confirmed_at(StoreTable table) const;
  // What has changed after a version, without rows in which only a heartbeat
  // has changed.
  TableChanges ChangesSince(StoreTable table, std::int64_t version) const;
  // Takes what another instance knows; `confirmed_at`: when it was current.
  // Returns whether it was newer than what is known.
  bool TakeFromPeer(const TableChanges& changes, TimePoint confirmed_at);

  // nullptr before the first configuration.
  std::shared_ptr<const FleetConfiguration> configuration() const {
    return configuration_;
  }
  const std::unordered_map<EndpointId, RoutedEndpoint>& endpoints() const {
    return endpoints_;
  }
  bool IsEvacuated(const DataCentreId& data_centre) const {
    return evacuated_.count(data_centre) > 0;
  }
  const std::map<ServiceId, RolloutOrder>& orders() const { return orders_; }
  // nullptr if there is none for the service.
  const RolloutProgress* FindProgress(const ServiceId& service) const;
  // Version of the progress row, 0 if there is none.
  std::int64_t ProgressRowVersion(const ServiceId& service) const;

  struct Member {
    MemberState state;
    std::int64_t row_version = 0;
    // Local time of the latest change of the row.
    TimePoint changed_at{};
  };
  const std::map<InstanceId, Member>& members() const { return members_; }

 private:
  struct KnownRow {
    StoreRow row;
    // Version at which more than a heartbeat changed.
    std::int64_t content_version = 0;
  };

  struct Table {
    std::int64_t as_of = 0;
    TimePoint confirmed_at{};
    std::unordered_map<std::string, KnownRow> rows;
    // Latest removals, oldest first.
    std::deque<StoreRow> removals;
    // Removals at or before this version are not among them.
    std::int64_t removals_after = 0;
  };

  Table& At(StoreTable table) { return tables_[static_cast<int>(table)]; }
  const Table& At(StoreTable table) const {
    return tables_[static_cast<int>(table)];
  }
  void Apply(StoreTable table,
             const StoreRow& row,
             RowSource source,
             TimePoint now);
  static void KeepRemoval(Table* table, const StoreRow& row);
  void ApplyOperatorRow(const StoreRow& row);
  void ApplyConfiguration(const StoreRow& row);
  void ApplyOrder(const ServiceId& service, const StoreRow& row);
  // Returns whether more than a heartbeat changed.
  bool ApplyEndpointRow(const StoreRow& row, RowSource source, TimePoint now);
  void ApplyInstanceRow(const StoreRow& row, TimePoint now);
  void RemoveEndpoint(const EndpointId& endpoint,
                      RowSource source,
                      TimePoint now);
  void LogFindings(const std::string& key,
                   const std::vector<Finding>& findings);

  const DocumentCodec& codec_;
  EventLog* const log_;
  FleetViewListener* const listener_;
  std::array<Table, kStoreTableCount> tables_;
  // Invariant: its version never goes down.
  std::shared_ptr<const FleetConfiguration> configuration_;
  std::unordered_map<EndpointId, RoutedEndpoint> endpoints_;
  std::set<DataCentreId> evacuated_;
  std::map<ServiceId, RolloutOrder> orders_;
  std::map<InstanceId, Member> members_;
  std::map<ServiceId, RolloutProgress> progress_;
  std::optional<TimePoint> last_trouble_;
  // Endpoints whose record is gone but which may come back, with the time
  // at which they are given up. Invariant: each is in endpoints_.
  std::map<EndpointId, TimePoint> lapsed_;
};

}  // namespace filbertshift

#endif  // SRC_FLEET_FLEET_VIEW_H_
