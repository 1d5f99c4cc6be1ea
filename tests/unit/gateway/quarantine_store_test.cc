// Tests of the rows that keep blocked crash causes beyond the instances.

#include <catch2/catch.hpp>

#include "platform/platform.h"
#include "src/gateway/gateway.h"
#include "tests/unit/gateway/forwarder_fixture.h"
#include "tests/unit/support/fake_transport.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kStore[] = "10.0.0.1:1";
const CrashProfile kProfile =
    MakeCrashProfile(ServiceId("s"), Fingerprint(), {"7"});
const CauseId kCause = kProfile.parts.front();

class NullListener : public FleetViewListener {
 public:
  void OnConfiguration(const FleetConfiguration&) override {}
  void OnEndpoint(const RoutedEndpoint&) override {}
  void OnEndpointRemoved(const EndpointId&) override {}
};

struct Fixture {
  Fixture()
      : view(documents, &log, &listener),
        client(&transport, milliseconds(300)),
        protocol(kStore),
        era(protocol, &log, &metrics),
        writer(kStore, &transport, &client, protocol, &metrics, &era),
        store(view, &quarantine, &writer) {
    List(StoreTable::kOperator, {1, 1}, {});
    List(StoreTable::kEndpoints, {1, 1}, {});
  }
  void List(StoreTable table,
            const StoreVersion& as_of,
            std::vector<StoreRow> rows) {
    view.ReplaceTable({table, as_of, std::move(rows)}, RowSource::kStore,
                      transport.Now());
  }
  StoreRow BlockRow(std::int64_t version) const {
    return {std::string(kQuarantineKeyPrefix) + kCause.value(),
            EncodeQuarantineRow({milliseconds(500), 2}), version, false};
  }
  void Step() { store.Step(0, milliseconds(1000), transport.Now()); }
  bool IsBlocked() const { return quarantine.blocks().count(kCause) > 0; }
  // Transactions sent to the store, which answers none.
  std::string Sent() {
    std::string sent;
    for (ConnectionId connection : transport.OpenTo(kStore)) {
      sent += transport.TakeSent(connection);
    }
    return sent;
  }

  FakeTransport transport;
  NullEventLog log;
  NullListener listener;
  GatewayMetrics metrics;
  DocumentDecoder documents;
  FleetView view;
  HttpClient client;
  RowProtocol protocol;
  StoreEra era;
  StoreWriter writer;
  PromptQuarantine quarantine;
  QuarantineStore store;
};

TEST_CASE("a block whose row the store has lost stays and is written again",
          "[gateway]") {
  Fixture f;
  f.List(StoreTable::kInstances, {1, 50}, {f.BlockRow(40)});
  f.Step();
  REQUIRE(f.IsBlocked());
  f.transport.Advance(milliseconds(100));
  REQUIRE(f.Sent().empty());
  bool store_returned = GENERATE(true, false);
  f.List(StoreTable::kInstances,
         store_returned ? StoreVersion{2, 30} : StoreVersion{1, 60}, {});
  f.Step();
  f.transport.Advance(milliseconds(100));
  // In the same era, its removal releases the block.
  CHECK(f.IsBlocked() == store_returned);
  CHECK((f.Sent().find("/rows-tx") != std::string::npos) == store_returned);
}

TEST_CASE("a block that was released does not come back with an older copy",
          "[gateway]") {
  Fixture f;
  f.List(StoreTable::kInstances, {1, 50}, {f.BlockRow(40)});
  f.Step();
  REQUIRE(f.IsBlocked());
  // A request with it was answered on trial.
  f.transport.Advance(milliseconds(100));
  f.quarantine.OnAnswered(kProfile, f.transport.Now());
  f.Step();
  REQUIRE_FALSE(f.IsBlocked());
  f.List(StoreTable::kInstances, {1, 60}, {});
  f.Step();
  REQUIRE_FALSE(f.IsBlocked());
  f.List(StoreTable::kInstances, {2, 45}, {f.BlockRow(40)});
  f.Step();
  CHECK_FALSE(f.IsBlocked());
}

}  // namespace
}  // namespace filbertshift
