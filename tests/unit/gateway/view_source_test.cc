// Tests the selection of the view's source: the store or a peer that reads it,
// with fallback from one to the other.

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "platform/platform.h"
#include "src/gateway/gateway.h"
#include "tests/unit/gateway/forwarder_fixture.h"
#include "tests/unit/support/fake_transport.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

constexpr char kStore[] = "10.0.0.1:1";

class NullListener : public FleetViewListener {
 public:
  void OnConfiguration(const FleetConfiguration&) override {}
  void OnEndpoint(const RoutedEndpoint&) override {}
  void OnEndpointRemoved(const EndpointId&) override {}
};

// `fields`: further lines of the head.
std::string OkResponse(const std::string& body,
                       const std::string& fields = std::string()) {
  return fmt::format("HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{}",
                     fields, body.size(), body);
}

// The message that an instance of an earlier version sends, which knows of no
// eras.
std::string EncodeWithoutEras(const PeerView& view) {
  nlohmann::json message = nlohmann::json::from_msgpack(EncodePeerView(view));
  for (nlohmann::json& table : message.at(2)) {
    table.erase(6);
    table.erase(5);
  }
  std::vector<std::uint8_t> bytes = nlohmann::json::to_msgpack(message);
  return std::string(bytes.begin(), bytes.end());
}

// One instance; the test acts as its store and its peer.
struct Fixture {
  Fixture()
      : store_client(&transport, milliseconds(300)),
        peer_client(&transport, milliseconds(300)),
        protocol(kStore),
        view(documents, &log, &listener),
        settings(Settings()),
        source(settings,
               protocol,
               &transport,
               &store_client,
               &peer_client,
               &view,
               &quarantine,
               &log,
               &metrics) {
    ReaderSelector choice(settings.instance);
    for (int i = 0; reader.peer_address.empty(); ++i) {
      live = {{settings.instance, "10.0.0.2:1"},
              {InstanceId(fmt::format("peer{}", i)), "10.0.0.3:1"}};
      choice.SetInstances(live);
      reader = choice.CurrentReader(transport.Now()).value_or(LiveInstance());
    }
    source.Start();
    Step(20);
    AnswerStore(5);
  }

  static GatewaySettings Settings() {
    GatewaySettings settings;
    settings.instance = InstanceId("self");
    settings.store_address = kStore;
    settings.peer_listen = "10.0.0.2:1";
    return settings;
  }

  // Steps every 100 ms, as the gateway does.
  void Step(int total_milliseconds) {
    for (int t = 0; t < total_milliseconds; t += 10) {
      if (t % 100 == 0) {
        source.Step(live, false);
      }
      transport.Advance(milliseconds(10));
    }
  }

  // Answers all pending store calls without rows. Returns their number.
  int AnswerStore(std::int64_t version,
                  std::optional<std::int64_t> era = std::nullopt) {
    std::string fields =
        era.has_value() ? fmt::format("Store-Era: {}\r\n", *era) : "";
    int calls = 0;
    for (ConnectionId connection : transport.OpenTo(kStore)) {
      if (!transport.TakeSent(connection).empty()) {
        ++calls;
        transport.Receive(
            connection,
            OkResponse(
                fmt::format(R"({{"rows":[],"row_version":{},"now_ms":1}})",
                            version),
                fields));
      }
    }
    return calls;
  }

  // Answers a pending read of the peer's view. Returns false if there is none.
  bool AnswerPeer(const PeerView& peer_view) {
    return AnswerPeer(EncodePeerView(peer_view));
  }
  bool AnswerPeer(const std::string& message) {
    for (ConnectionId connection : transport.OpenTo(reader.peer_address)) {
      if (!transport.TakeSent(connection).empty()) {
        transport.Receive(connection, OkResponse(message));
        return true;
      }
    }
    return false;
  }

  static PeerView Current(std::int64_t version) {
    PeerView view;
    view.source.reads_store = true;
    view.source.store_time = milliseconds(1000);
    for (int i = 0; i < kStoreTableCount; ++i) {
      view.tables.push_back(
          {{static_cast<StoreTable>(i), {0, version}, false, {}},
           milliseconds(200)});
    }
    return view;
  }

  // Steps until the instance reads the peer instead of the store.
  void SwitchToPeer() {
    for (int i = 0; i < 30; ++i) {
      Step(100);
      AnswerStore(5);
      AnswerPeer(Current(5));
    }
    REQUIRE(AnswerStore(5) == 0);
  }

  FakeTransport transport;
  HttpClient store_client;
  HttpClient peer_client;
  RowProtocol protocol;
  DocumentDecoder documents;
  NullEventLog log;
  NullListener listener;
  GatewayMetrics metrics;
  FleetView view;
  GatewaySettings settings;
  LiveInstance reader;
  std::vector<LiveInstance> live;
  PromptQuarantine quarantine;
  ViewSource source;
};

// Guards against an instance that calls the store although it reads a peer's
// view.
TEST_CASE("the view of an instance that reads the store is enough",
          "[gateway]") {
  Fixture f;
  f.SwitchToPeer();
  CHECK_FALSE(f.source.Source().reads_store);
  PeerView changed = Fixture::Current(9);
  changed.tables[0].changes.rows = {{"evacuate/z", "{}", 9, false}};
  int store_calls = 0;
  for (int i = 0; i < 100; ++i) {
    f.Step(100);
    store_calls += f.AnswerStore(5);
    f.AnswerPeer(changed);
  }
  CHECK(store_calls == 0);
  CHECK(f.view.IsEvacuated(DataCentreId("z")));
  CHECK(f.view.as_of(StoreTable::kOperator) == StoreVersion{0, 9});
  CHECK(f.transport.Now() - f.view.confirmed_at(StoreTable::kOperator) <
        milliseconds(700));
}

// A configuration change must take effect within 2 s, so an instance must
// notice in time that the peer it reads no longer follows the store.
TEST_CASE("the store is read when the reader fails", "[gateway]") {
  Fixture f;
  f.SwitchToPeer();
  SECTION("it does not answer") {}
  SECTION("its connection ends") {
    for (ConnectionId connection : f.transport.OpenTo(f.reader.peer_address)) {
      f.transport.End(connection, ConnectionEnd::kReset);
    }
    f.transport.SetDown(f.reader.peer_address);
  }
  SECTION("it does not read the store itself") {
    PeerView unfit = Fixture::Current(5);
    unfit.source.reads_store = false;
    f.Step(300);
    CHECK(f.AnswerPeer(unfit));
  }
  SECTION("what it knows is old") {
    PeerView unfit = Fixture::Current(5);
    unfit.tables[0].age = milliseconds(1000);
    f.Step(300);
    CHECK(f.AnswerPeer(unfit));
  }
  SECTION("it does not know all tables") {
    PeerView unfit = Fixture::Current(5);
    unfit.tables.pop_back();
    f.Step(300);
    CHECK(f.AnswerPeer(unfit));
  }
  f.Step(800);
  CHECK(f.AnswerStore(6) == kStoreTableCount);
  CHECK(f.view.as_of(StoreTable::kOperator) == StoreVersion{0, 6});
}

// Guards against dropping a record that expired only in the view of a peer with
// store errors, and against keeping one that the store no longer has.
TEST_CASE("trouble of the reader is not taken over", "[gateway]") {
  Fixture f;
  f.SwitchToPeer();
  PeerView with_endpoint = Fixture::Current(7);
  with_endpoint.tables[1].changes.rows = {
      {"e1",
       R"({"service":"s","address":"1.2.3.4:5","zone":"a","version":"v1",)"
       R"("slots":4,"cold_remaining_ms":0,"sequence":1,"state":"ready"})",
       7, false}};
  f.Step(300);
  REQUIRE(f.AnswerPeer(with_endpoint));
  REQUIRE(f.view.endpoints().size() == 1);
  PeerView unfit_view = Fixture::Current(8);
  unfit_view.source.reads_store = false;
  unfit_view.tables[1].changes.rows = {{"e1", "", 8, true}};
  f.Step(300);
  REQUIRE(f.AnswerPeer(unfit_view));
  CHECK(f.view.endpoints().size() == 1);
  f.view.ReplaceTable({StoreTable::kEndpoints, {0, 9}, {}}, RowSource::kStore,
                      f.transport.Now());
  CHECK(f.view.endpoints().empty());
}

// Guards against the lost history of the store, which an instance that has
// missed its return would give to all others for good.
TEST_CASE("a view of an earlier era replaces nothing", "[gateway]") {
  Fixture f;
  std::vector<LiveInstance> all = f.live;
  f.live.resize(1);
  for (std::int64_t era : {2, 3}) {
    for (int i = 0; i < 10; ++i) {
      f.Step(100);
      f.AnswerStore(era == 2 ? 50 : 3, era);
    }
  }
  f.live = all;
  REQUIRE(f.view.as_of(StoreTable::kOperator) == StoreVersion{3, 3});
  PeerView behind = Fixture::Current(90);
  behind.tables[0].changes.rows = {{"evacuate/z", "{}", 90, false}};
  bool names_era = GENERATE(true, false);
  for (PeerTable& table : behind.tables) {
    table.changes.as_of.era = 2;
    table.changes.full_table = true;
  }
  for (int i = 0; i < 30; ++i) {
    f.Step(100);
    f.AnswerStore(3, 3);
    f.AnswerPeer(names_era ? EncodePeerView(behind)
                           : EncodeWithoutEras(behind));
  }
  CHECK_FALSE(f.view.IsEvacuated(DataCentreId("z")));
  CHECK(f.view.as_of(StoreTable::kOperator) == StoreVersion{3, 3});
}

TEST_CASE("instances without eras are read while the store names none",
          "[gateway]") {
  Fixture f;
  f.SwitchToPeer();
  PeerView changed = Fixture::Current(9);
  changed.tables[0].changes.rows = {{"evacuate/z", "{}", 9, false}};
  f.Step(300);
  REQUIRE(f.AnswerPeer(EncodeWithoutEras(changed)));
  CHECK(f.view.IsEvacuated(DataCentreId("z")));
}

TEST_CASE("an answer of an earlier era changes nothing", "[gateway]") {
  Fixture f;
  f.live.resize(1);
  for (int i = 0; i < 10; ++i) {
    f.Step(100);
    f.AnswerStore(3, 3);
  }
  REQUIRE(f.view.as_of(StoreTable::kOperator) == StoreVersion{3, 3});
  TimePoint confirmed = f.view.confirmed_at(StoreTable::kOperator);
  int calls = 0;
  for (int i = 0; i < 100; ++i) {
    f.Step(100);
    calls += f.AnswerStore(90, 2);
  }
  CHECK(f.view.as_of(StoreTable::kOperator) == StoreVersion{3, 3});
  CHECK(f.view.confirmed_at(StoreTable::kOperator) == confirmed);
  CHECK(calls < 100);
}

// An instance of an earlier version was caught when the store returned (era 2,
// number 50 lost, now 3); a new one starts, and reads it.
TEST_CASE("the lost history of an instance without eras is not taken over",
          "[gateway]") {
  Fixture f;
  std::vector<LiveInstance> all = f.live;
  f.live.resize(1);
  for (int i = 0; i < 10; ++i) {
    f.Step(100);
    f.AnswerStore(6, 2);
  }
  REQUIRE(f.view.as_of(StoreTable::kOperator) == StoreVersion{2, 6});
  PeerView behind = Fixture::Current(90);
  for (PeerTable& table : behind.tables) {
    table.age = milliseconds(60000);
    table.changes.full_table = true;
  }
  // The store does not answer this instance for a moment.
  f.settings.seed_peers = {f.reader.peer_address};
  f.live = all;
  f.view.ApplyChanges(StoreTable::kInstances,
                      {{"instance/" + f.reader.instance.value(),
                        [&] {
                          MemberState m;
                          m.instance = f.reader.instance;
                          m.peer_address = f.reader.peer_address;
                          m.incarnation = 1;
                          m.beat = 1;
                          return EncodeMemberState(m);
                        }(),
                        6, false}},
                      {2, 6}, RowSource::kStore, f.transport.Now());
  int peer_answers = 0;
  for (int i = 0; i < 80; ++i) {
    f.Step(100);
    peer_answers += f.AnswerPeer(EncodeWithoutEras(behind)) ? 1 : 0;
  }
  REQUIRE(peer_answers > 0);
  CHECK(f.view.as_of(StoreTable::kOperator).number < 50);
  // The store answers again.
  for (int i = 0; i < 100; ++i) {
    f.Step(100);
    f.AnswerStore(9, 2);
    f.AnswerPeer(EncodeWithoutEras(behind));
  }
  CHECK(f.view.as_of(StoreTable::kOperator) == StoreVersion{2, 9});
}

TEST_CASE("a store that has no history is not called without delay",
          "[gateway]") {
  Fixture f;
  f.live.resize(1);
  int calls = 0;
  std::int64_t version = 10;
  for (int t = 0; t < 1000; ++t) {
    f.Step(10);
    ++version;
    for (ConnectionId connection : f.transport.OpenTo(kStore)) {
      std::string sent = f.transport.TakeSent(connection);
      if (sent.empty()) {
        continue;
      }
      ++calls;
      bool feed = sent.find("/rows-feed") != std::string::npos;
      f.transport.Receive(
          connection,
          feed
              ? "HTTP/1.1 410 Gone\r\nStore-Era: 2\r\nContent-Length: 0\r\n\r\n"
              : OkResponse(
                    fmt::format(R"({{"rows":[],"row_version":{},"now_ms":1}})",
                                version),
                    "Store-Era: 2\r\n"));
    }
  }
  UNSCOPED_INFO("calls in 10 s: " << calls);
  CHECK(calls < 1000);
}

}  // namespace
}  // namespace filbertshift
