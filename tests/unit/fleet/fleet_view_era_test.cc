// Tests of what a view keeps and takes over when the store has returned from an
// older copy.

#include <catch2/catch.hpp>

#include "platform/platform.h"
#include "src/fleet/fleet.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

class NullListener : public FleetViewListener {
 public:
  void OnConfiguration(const FleetConfiguration&) override {}
  void OnEndpoint(const RoutedEndpoint&) override {}
  void OnEndpointRemoved(const EndpointId&) override {}
};

class NullLog : public EventLog {
 public:
  using EventLog::Write;
  void Write(EventId, const EventContext&, std::string) override {}
};

std::string Endpoint(const std::string& state, int sequence, int born = 1000) {
  return R"({"service":"s","address":"1.2.3.4:5","zone":"a","version":"v1",)"
         R"("slots":4,"cold_remaining_ms":0,"born":)" +
         std::to_string(born) + R"(,"sequence":)" + std::to_string(sequence) +
         R"(,"state":")" + state + "\"}";
}

struct Instance {
  explicit Instance(const DocumentCodec& documents)
      : view(documents, &log, &listener) {}
  void List(const StoreVersion& as_of,
            std::vector<StoreRow> rows,
            TimePoint now) {
    bool applied =
        view.ReplaceTable({StoreTable::kEndpoints, as_of, std::move(rows)},
                          RowSource::kStore, now);
    REQUIRE(applied);
  }
  void Read(std::vector<StoreRow> rows,
            const StoreVersion& as_of,
            TimePoint now) {
    view.ApplyChanges(StoreTable::kEndpoints, rows, as_of, RowSource::kStore,
                      now);
  }
  void ReadPeer(const Instance& peer, TimePoint now) {
    view.ApplyPeerChanges(
        peer.view.ChangesSince(StoreTable::kEndpoints,
                               view.as_of(StoreTable::kEndpoints)),
        now);
  }
  bool Has(const std::string& id) const {
    return view.endpoints().count(EndpointId(id)) > 0;
  }
  NullLog log;
  NullListener listener;
  FleetView view;
};

struct Site {
  DocumentDecoder documents;
  Instance reader{documents};
  Instance other{documents};
  TimePoint now{std::chrono::hours(1)};
  void Beat(std::int64_t from, int count, int born = 1000) {
    for (int i = 0; i < count; ++i) {
      now += milliseconds(1000);
      reader.Read({{"e1", Endpoint("ready", 100 + i, born), from + i, false}},
                  {2, from + i}, now);
      other.ReadPeer(reader, now);
      reader.view.ExpireLapsed(now);
      other.view.ExpireLapsed(now);
    }
  }
};

TEST_CASE("an endpoint that left and started again is served by all",
          "[fleet]") {
  Site s;
  int born = GENERATE(1000, 2000);
  for (Instance* i : {&s.reader, &s.other}) {
    i->List({1, 50}, {{"e1", Endpoint("ready", 1), 40, false}}, s.now);
    i->Read({{"e1", "", 60, true}}, {1, 60}, s.now);
    REQUIRE_FALSE(i->Has("e1"));
  }
  // The reader lists before e1 writes again, the other one after.
  s.reader.List({2, 51}, {{"e1", Endpoint("ready", 1), 40, false}}, s.now);
  s.now += milliseconds(500);
  s.reader.Read({{"e1", Endpoint("ready", 9, born), 53, false}}, {2, 53},
                s.now);
  CHECK(s.reader.Has("e1"));
  s.other.List({2, 55}, {{"e1", Endpoint("ready", 9, born), 53, false}}, s.now);
  s.Beat(60, 60, born);
  CHECK(s.reader.Has("e1"));
  CHECK(s.other.Has("e1"));
}

TEST_CASE("an endpoint that left is served again with a reader that is new",
          "[fleet]") {
  Site s;
  s.other.List({1, 50}, {{"e1", Endpoint("ready", 1), 40, false}}, s.now);
  s.other.Read({{"e1", "", 60, true}}, {1, 60}, s.now);
  REQUIRE_FALSE(s.other.Has("e1"));
  // Started after the return.
  s.reader.List({2, 55}, {{"e1", Endpoint("ready", 9), 53, false}}, s.now);
  s.other.ReadPeer(s.reader, s.now);
  s.Beat(60, 60);
  CHECK(s.reader.Has("e1"));
  CHECK(s.other.Has("e1"));
}

TEST_CASE("a record that lapsed and is in the copy does not expire",
          "[fleet]") {
  Site s;
  for (Instance* i : {&s.reader, &s.other}) {
    i->List({1, 50}, {{"e1", Endpoint("ready", 1), 40, false}}, s.now);
    i->view.OnStoreFailure(s.now);
    i->Read({{"e1", "", 60, true}}, {1, 60}, s.now);
    REQUIRE(i->Has("e1"));
  }
  s.reader.List({2, 51}, {{"e1", Endpoint("ready", 1), 40, false}}, s.now);
  s.reader.Read({{"e1", Endpoint("ready", 9), 53, false}}, {2, 53}, s.now);
  s.other.List({2, 55}, {{"e1", Endpoint("ready", 9), 53, false}}, s.now);
  s.Beat(60, 60);
  CHECK(s.reader.Has("e1"));
  CHECK(s.other.Has("e1"));
}

TEST_CASE("an endpoint that left stays away when the second copy is younger",
          "[fleet]") {
  Site s;
  bool drains = GENERATE(true, false);
  Instance& i = s.reader;
  i.List({1, 50}, {{"e1", Endpoint("ready", 1), 40, false}}, s.now);
  i.Read({{"e1", Endpoint("ready", 5), 80, false}}, {1, 80}, s.now);
  i.Read({{"e1", Endpoint("draining", 6), 90, false}}, {1, 90}, s.now);
  if (!drains) {
    i.Read({{"e1", "", 95, true}}, {1, 95}, s.now);
  }
  // The first copy is of version 50, the second of version 80.
  i.List({2, 51}, {{"e1", Endpoint("ready", 1), 40, false}}, s.now);
  s.now += milliseconds(500);
  i.List({3, 81}, {{"e1", Endpoint("ready", 5), 80, false}}, s.now);
  auto known = i.view.endpoints().find(EndpointId("e1"));
  bool ready = known != i.view.endpoints().end() &&
               known->second.state == EndpointState::kReady;
  CHECK_FALSE(ready);
}

TEST_CASE("a decision that an operator has seen is not decided the other way",
          "[fleet]") {
  const ServiceId service("s");
  RolloutRecords records;
  RolloutProgress progress;
  progress.to = VersionId("v2");
  progress.started_at = milliseconds(100);
  progress.order_version = {1, 50};
  records.SetOrder({service, VersionId("v2"), milliseconds(20000), {}},
                   {1, 50});
  progress.state = RolloutPhase::kCompleted;
  progress.changed_at = milliseconds(9000);
  records.SetProgressRow(service, progress);
  records.KeepProgress();
  // Others did not know it yet and decided otherwise, later.
  progress.state = RolloutPhase::kReverted;
  progress.changed_at = milliseconds(9900);
  records.SetProgressRow(service, progress);
  CHECK(records.FindProgress(service)->state == RolloutPhase::kCompleted);
}

}  // namespace
}  // namespace filbertshift
