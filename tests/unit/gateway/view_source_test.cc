// Tests the selection of the view's source: the store or a peer that reads it,
// with fallback from one to the other.

#include <catch2/catch.hpp>

#include <fmt/format.h>

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

std::string OkResponse(const std::string& body) {
  return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                     body.size(), body);
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
  int AnswerStore(std::int64_t version) {
    int calls = 0;
    for (ConnectionId connection : transport.OpenTo(kStore)) {
      if (!transport.TakeSent(connection).empty()) {
        ++calls;
        transport.Receive(
            connection,
            OkResponse(fmt::format(
                R"({{"rows":[],"row_version":{},"now_ms":1}})", version)));
      }
    }
    return calls;
  }

  // Answers a pending read of the peer's view. Returns false if there is none.
  bool AnswerPeer(const PeerView& peer_view) {
    for (ConnectionId connection : transport.OpenTo(reader.peer_address)) {
      if (!transport.TakeSent(connection).empty()) {
        transport.Receive(connection, OkResponse(EncodePeerView(peer_view)));
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
      view.tables.push_back({{static_cast<StoreTable>(i), version, false, {}},
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
  CHECK(f.view.as_of(StoreTable::kOperator) == 9);
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
  CHECK(f.view.as_of(StoreTable::kOperator) == 6);
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
  f.view.ReplaceTable({StoreTable::kEndpoints, 9, {}}, RowSource::kStore,
                      f.transport.Now());
  CHECK(f.view.endpoints().empty());
}

}  // namespace
}  // namespace filbertshift
