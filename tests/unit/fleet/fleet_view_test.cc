// Tests of the fleet view: versions never decrease, and an invalid row affects
// only its own record.

#include <catch2/catch.hpp>

#include <random>

#include "platform/platform.h"
#include "src/fleet/fleet.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

class Listener : public FleetViewListener {
 public:
  void OnConfiguration(const FleetConfiguration& configuration) override {
    version = configuration.version;
  }
  void OnEndpoint(const RoutedEndpoint& record) override {
    seen.push_back(record.endpoint.value());
  }
  void OnEndpointRemoved(const EndpointId& endpoint) override {
    removed.push_back(endpoint.value());
  }
  std::int64_t version = 0;
  std::vector<std::string> seen;
  std::vector<std::string> removed;
};

class CountingLog : public EventLog {
 public:
  using EventLog::Write;
  void Write(EventId event, const EventContext&, std::string) override {
    ++counts[event];
  }
  std::map<EventId, int> counts;
};

struct Fixture {
  Fixture() : view(documents, &log, &listener) {}
  void Put(StoreTable table,
           const std::string& key,
           const std::string& value,
           std::int64_t version,
           RowSource source = RowSource::kStore) {
    view.ApplyChanges(table, {{key, value, version, value.empty()}},
                      {0, version}, source, now);
  }
  DocumentDecoder documents;
  CountingLog log;
  Listener listener;
  FleetView view;
  TimePoint now{std::chrono::hours(1)};
};

std::string Configuration(int version) {
  return "{\"version\":" + std::to_string(version) +
         ",\"routes\":[],\"services\":[]}";
}

std::string Endpoint(const std::string& state) {
  return R"({"service":"s","address":"1.2.3.4:5","zone":"a","version":"v1",)"
         R"("slots":4,"cold_remaining_ms":0,"sequence":1,"state":")" +
         state + "\"}";
}

// Guards against a stale copy from a peer or from a delayed store response.
TEST_CASE("a configuration never goes back", "[fleet]") {
  Fixture f;
  f.Put(StoreTable::kOperator, "config", Configuration(5), 10);
  f.Put(StoreTable::kOperator, "config", Configuration(4), 9);
  CHECK(f.listener.version == 5);
  f.Put(StoreTable::kOperator, "config", Configuration(4), 11);
  CHECK(f.view.configuration()->version == 5);
  CHECK_FALSE(f.view.ReplaceTable({StoreTable::kOperator, {0, 3}, {}},
                                  RowSource::kPeer, f.now));
  CHECK(f.view.configuration()->version == 5);
  f.Put(StoreTable::kOperator, "config", "{\"version\":", 12);
  CHECK(f.view.configuration()->version == 5);
  CHECK(f.log.counts[EventId::kStoreRowRejected] == 1);
}

// Guards against invalid rows that other writers put into the table.
TEST_CASE("an unreadable record names no endpoint", "[fleet]") {
  Fixture f;
  f.Put(StoreTable::kEndpoints, "e1", Endpoint("ready"), 1);
  f.Put(StoreTable::kEndpoints, "e2", "\xff\xfe", 2);
  f.Put(StoreTable::kEndpoints, "e3", Endpoint("sleeping"), 3);
  f.Put(StoreTable::kEndpoints, "e4", "{\"service\":7}", 4);
  CHECK(f.view.endpoints().size() == 1);
  CHECK(f.log.counts[EventId::kStoreRowRejected] == 3);
  f.Put(StoreTable::kEndpoints, "e1", "{}", 5);
  CHECK(f.view.endpoints().empty());
}

// Guards against losing all endpoints at once when their records lapse in a
// store outage.
TEST_CASE("records that lapse in an outage are kept for a while", "[fleet]") {
  Fixture f;
  f.Put(StoreTable::kEndpoints, "e1", Endpoint("ready"), 1);
  f.Put(StoreTable::kEndpoints, "e2", Endpoint("ready"), 2);
  f.view.OnStoreFailure(f.now);
  f.Put(StoreTable::kEndpoints, "e1", "", 3);
  f.Put(StoreTable::kEndpoints, "e2", "", 4);
  f.view.ExpireLapsed(f.now + milliseconds(1900));
  CHECK(f.view.endpoints().size() == 2);
  f.Put(StoreTable::kEndpoints, "e1", Endpoint("ready"), 5);
  f.view.ExpireLapsed(f.now + milliseconds(2000));
  CHECK(f.listener.removed == std::vector<std::string>{"e2"});
}

// Guards against sending requests to an endpoint whose removal another instance
// has read from the store.
TEST_CASE("an end that a peer has seen counts at once", "[fleet]") {
  Fixture f;
  f.Put(StoreTable::kEndpoints, "e1", Endpoint("ready"), 1);
  f.view.OnStoreFailure(f.now);
  f.view.ReplaceTable({StoreTable::kEndpoints, {0, 2}, {}}, RowSource::kPeer,
                      f.now);
  CHECK(f.view.endpoints().empty());
}

TEST_CASE("a draining record counts at once", "[fleet]") {
  Fixture f;
  f.Put(StoreTable::kEndpoints, "e1", Endpoint("ready"), 1);
  f.Put(StoreTable::kEndpoints, "e1", Endpoint("draining"), 2);
  CHECK(f.view.endpoints().at(EndpointId("e1")).state ==
        EndpointState::kDraining);
  CHECK(f.listener.seen.size() == 2);
}

// Guards against reporting a heartbeat as a change of the endpoint.
TEST_CASE("a heartbeat changes nothing", "[fleet]") {
  Fixture f;
  f.Put(StoreTable::kEndpoints, "e1", Endpoint("ready"), 1);
  f.Put(StoreTable::kEndpoints, "e1", Endpoint("ready"), 2);
  CHECK(f.listener.seen.size() == 1);
}

TEST_CASE("members and evacuations follow their rows", "[fleet]") {
  Fixture f;
  MemberState state;
  state.instance = InstanceId("i1");
  state.peer_address = "1.2.3.4:9";
  state.kept_sessions = {7, 9};
  state.evidence.OnAnswer({ServiceId("s"), VersionId("v2"), "r"}, true);
  f.Put(StoreTable::kInstances, "instance/i1", EncodeMemberState(state), 1);
  f.Put(StoreTable::kInstances, "instance/i2", "rubbish", 2);
  REQUIRE(f.view.members().size() == 1);
  const MemberState& read = f.view.members().at(InstanceId("i1")).state;
  CHECK(read.kept_sessions == state.kept_sessions);
  CHECK(read.evidence.counts().begin()->second.failures == 1);
  f.Put(StoreTable::kOperator, "evacuate/a", "{}", 3);
  CHECK(f.view.IsEvacuated(DataCentreId("a")));
  f.Put(StoreTable::kOperator, "evacuate/a", "", 4);
  CHECK_FALSE(f.view.IsEvacuated(DataCentreId("a")));
}

// Guards against forwarding every endpoint heartbeat, and against a removal
// that never reaches another instance.
TEST_CASE("another instance is told what has changed", "[fleet]") {
  Fixture f;
  f.view.ReplaceTable({StoreTable::kEndpoints,
                       {0, 10},
                       {{"e1", Endpoint("ready"), 3, false},
                        {"e2", Endpoint("ready"), 4, false}}},
                      RowSource::kStore, f.now);
  f.Put(StoreTable::kEndpoints, "e1", Endpoint("ready"), 11);
  TableChanges changes = f.view.ChangesSince(StoreTable::kEndpoints, {0, 10});
  CHECK_FALSE(changes.full_table);
  CHECK(changes.as_of == StoreVersion{0, 11});
  CHECK(changes.rows.empty());
  f.Put(StoreTable::kEndpoints, "e1", Endpoint("draining"), 12);
  f.Put(StoreTable::kEndpoints, "e2", "", 13);
  changes = f.view.ChangesSince(StoreTable::kEndpoints, {0, 11});
  REQUIRE(changes.rows.size() == 2);
  CHECK(f.view.ChangesSince(StoreTable::kEndpoints, {0, 12}).rows.size() == 1);
  // Version 9 precedes the first read of the table, so the complete table is
  // returned.
  CHECK(f.view.ChangesSince(StoreTable::kEndpoints, {0, 9}).full_table);

  Fixture other;
  other.Put(StoreTable::kEndpoints, "e1", Endpoint("ready"), 3);
  other.Put(StoreTable::kEndpoints, "e2", Endpoint("ready"), 11);
  CHECK(other.view.ApplyPeerChanges(changes, other.now));
  CHECK(other.view.as_of(StoreTable::kEndpoints) == StoreVersion{0, 13});
  CHECK(other.view.endpoints().count(EndpointId("e2")) == 0);
  CHECK(other.view.endpoints().at(EndpointId("e1")).state ==
        EndpointState::kDraining);
  CHECK_FALSE(other.view.ApplyPeerChanges(changes, other.now));
}

// Guards against an endpoint whose record lapsed and returned but stays removed
// on the instances that read this one's view.
TEST_CASE("a record that comes back is told again", "[fleet]") {
  Fixture f;
  f.Put(StoreTable::kEndpoints, "e1", Endpoint("ready"), 1);
  f.view.OnStoreFailure(f.now);
  f.Put(StoreTable::kEndpoints, "e1", "", 2);
  CHECK(f.view.endpoints().size() == 1);
  f.Put(StoreTable::kEndpoints, "e1", Endpoint("ready"), 3);
  TableChanges changes = f.view.ChangesSince(StoreTable::kEndpoints, {0, 2});
  REQUIRE(changes.rows.size() == 1);
  CHECK_FALSE(changes.rows.front().removed);
}

// Guards against a stale answer that hides that changes are missing.
TEST_CASE("an answer as of an earlier version confirms nothing", "[fleet]") {
  Fixture f;
  f.Put(StoreTable::kOperator, "config", Configuration(5), 10);
  TimePoint confirmed = f.now;
  f.now += milliseconds(500);
  f.view.ApplyChanges(StoreTable::kOperator, {}, {0, 9}, RowSource::kStore,
                      f.now);
  CHECK(f.view.confirmed_at(StoreTable::kOperator) == confirmed);
  f.view.ApplyChanges(StoreTable::kOperator, {}, {0, 10}, RowSource::kStore,
                      f.now);
  CHECK(f.view.confirmed_at(StoreTable::kOperator) == f.now);
}

// One instance reads the store and another reads the first one's view, at
// random times. Covers heartbeats, changes, removals and full reads after the
// store has dropped its change history.
TEST_CASE("an instance behind another one ends with the same endpoints",
          "[fleet]") {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    Fixture reader;
    Fixture behind;
    std::map<std::string, StoreRow> store;
    std::vector<StoreRow> unread;
    std::int64_t version = 0;
    reader.view.ReplaceTable({StoreTable::kEndpoints, {}, {}},
                             RowSource::kStore, reader.now);
    for (int step = 0; step < 300; ++step) {
      std::string key = "e" + std::to_string(random() % 6);
      StoreRow row{key, Endpoint(random() % 4 == 0 ? "draining" : "ready"),
                   ++version, random() % 5 == 0};
      if (row.removed) {
        store.erase(key);
      } else {
        store[key] = row;
      }
      unread.push_back(row);
      if (random() % 3 == 0) {
        reader.view.ApplyChanges(StoreTable::kEndpoints, unread, {0, version},
                                 RowSource::kStore, reader.now);
        unread.clear();
      } else if (random() % 20 == 0) {
        TableSnapshot listed{StoreTable::kEndpoints, {0, version}, {}};
        for (const auto& entry : store) {
          listed.rows.push_back(entry.second);
        }
        reader.view.ReplaceTable(listed, RowSource::kStore, reader.now);
        unread.clear();
      }
      if (random() % 4 == 0) {
        behind.view.ApplyPeerChanges(
            reader.view.ChangesSince(StoreTable::kEndpoints,
                                     behind.view.as_of(StoreTable::kEndpoints)),
            behind.now);
        REQUIRE(behind.view.endpoints().size() ==
                reader.view.endpoints().size());
        for (const auto& [endpoint, record] : reader.view.endpoints()) {
          REQUIRE(behind.view.endpoints().count(endpoint) == 1);
          REQUIRE(behind.view.endpoints().at(endpoint).state == record.state);
        }
      }
    }
  }
}

// Guards against a suspended writer that puts an earlier row of an instance
// after a newer one: an instance that has ended would count as live again, and
// its rollout evidence would shrink.
TEST_CASE("an earlier heartbeat does not replace a later one", "[fleet]") {
  Fixture f;
  auto put = [&f](std::uint64_t incarnation, std::uint64_t beat,
                  std::int64_t version) {
    MemberState state;
    state.instance = InstanceId("i");
    state.peer_address = "10.0.0.1:1";
    state.incarnation = incarnation;
    state.beat = beat;
    f.Put(StoreTable::kInstances, "instance/i", EncodeMemberState(state),
          version);
  };
  put(1, 8, 10);
  milliseconds seen = f.view.member_time();
  f.now += milliseconds(2000);
  put(1, 7, 11);
  put(1, 8, 12);
  CHECK(f.view.member_time() > seen);
  CHECK(f.view.members().at(InstanceId("i")).state.beat == 8);
  CHECK(f.view.members().at(InstanceId("i")).changed_after == seen);
  CHECK(LiveInstances(f.view, {InstanceId("self"), ""}).size() == 2);
  // A new process counts from 1 again.
  put(2, 1, 13);
  CHECK(f.view.members().at(InstanceId("i")).state.incarnation == 2);
  CHECK(f.view.members().at(InstanceId("i")).changed_after ==
        f.view.member_time());
}

}  // namespace
}  // namespace filbertshift
