// Tests of the exchange of load reports between many instances over a simulated
// network and clock.

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "src/fleet/fleet.h"
#include "src/gateway/caller_server.h"
#include "src/gateway/endpoint_load_exchange.h"
#include "tests/unit/gateway/forwarder_fixture.h"
#include "tests/unit/support/sim_network.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::uint64_t kShared = EndpointKey(EndpointId("shared"));
constexpr milliseconds kStep{100};
// After this time from their start, all have reported to their readers for long
// enough to be counted once.
constexpr milliseconds kSettled{8000};

// An instance with its exchange; its own load is set by the test.
class LoadNode : public HttpRequestHandler, public OwnLoadProvider {
 public:
  LoadNode(SimNode* transport,
           const GatewaySettings& settings,
           std::vector<LiveInstance> live)
      : node(transport),
        name(settings.instance.value()),
        own_key(EndpointKey(EndpointId(name))),
        client(transport, milliseconds(300)),
        exchange(settings, 1, transport, &client, &log, &metrics, this, &table),
        server(transport, this),
        selector(settings.instance),
        live_(std::move(live)) {
    selector.SetInstances(live_);
    own.endpoints[own_key].in_flight = 1;
    node->Listen(settings.peer_listen, &server);
    Tick();
  }

  LoadReport OwnLoad() override {
    if (vary) {
      vary(&own);
    }
    return own;
  }

  void OnRequest(ConnectionId caller,
                 HttpRequestHead head,
                 std::string body) override {
    ++requests;
    if (head.target != kEndpointLoadPath || !knows_path) {
      server.Respond(caller, {404, "Not Found", {}}, "");
      return;
    }
    if (!answer.empty()) {
      server.Respond(caller, {200, "OK", {}}, answer);
      return;
    }
    EndpointLoadExchange::Reply reply = exchange.Receive(body);
    server.Respond(caller, {reply.status, "X", {}}, reply.body);
  }
  void OnCallerDisconnected(ConnectionId, ConnectionEnd) override {}
  void OnRejected(int, std::string_view) override {}

  // Load of the others at an endpoint; -1 if unknown.
  double OthersAt(std::uint64_t key) const {
    std::optional<ReportedEndpointLoad> load = table.OthersAt(key, node->Now());
    return load.has_value() ? load->in_flight : -1;
  }

  SimNode* const node;
  const std::string name;
  // Of an endpoint at which only this instance has a request.
  const std::uint64_t own_key;
  DetailLog log;
  GatewayMetrics metrics;
  HttpClient client;
  EndpointLoadTable table;
  LoadReport own;
  // Called before each report.
  std::function<void(LoadReport*)> vary;
  EndpointLoadExchange exchange;
  CallerServer server;
  ReaderSelector selector;
  bool knows_path = true;
  // Sent instead of the exchange's response.
  std::string answer;
  int requests = 0;

 private:
  void Tick() {
    LoadReaders readers;
    readers.is_reader = selector.IsReader();
    std::optional<LiveInstance> reader = selector.CurrentReader(node->Now());
    if (reader.has_value()) {
      readers.own = reader->peer_address;
    }
    for (const LiveInstance& entry : selector.readers()) {
      if (entry.instance.value() != name) {
        readers.all.push_back(entry.peer_address);
      }
    }
    exchange.Step(readers);
    node->After(kStep, [this] { Tick(); });
  }

  const std::vector<LiveInstance> live_;
};

class LoadFleet {
 public:
  explicit LoadFleet(int instances, std::size_t bytes_per_second = 1000000) {
    std::vector<LiveInstance> live;
    for (int i = 0; i < instances; ++i) {
      live.push_back(
          {InstanceId(fmt::format("i{}", i)), fmt::format("i{}:1", i)});
    }
    for (const LiveInstance& entry : live) {
      GatewaySettings settings;
      settings.instance = entry.instance;
      settings.data_centre = DataCentreId("a");
      settings.endpoint_load_interval = milliseconds(300);
      settings.endpoint_load_bytes_per_second = bytes_per_second;
      settings.peer_listen = entry.peer_address;
      nodes.push_back(
          std::make_unique<LoadNode>(network.AddNode(), settings, live));
      // Instances do not tick at the same time.
      network.RunFor(milliseconds(7));
    }
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      nodes[i]->own.endpoints[kShared].in_flight = static_cast<double>(i + 1);
    }
  }

  std::vector<LoadNode*> Select(bool readers) {
    std::vector<LoadNode*> selected;
    for (const auto& node : nodes) {
      if (node->selector.IsReader() == readers) {
        selected.push_back(node.get());
      }
    }
    return selected;
  }

  // Sum that the instance should know.
  double Expected(const LoadNode& self) {
    double sum = 0;
    for (const auto& node : nodes) {
      sum += node.get() == &self ? 0 : node->own.endpoints[kShared].in_flight;
    }
    return sum;
  }

  // Whether every instance that is not in `gone` counts the others once each,
  // and neither itself nor those in `gone`.
  bool IsExact(const std::set<LoadNode*>& gone = {}) {
    bool exact = true;
    for (const auto& self : nodes) {
      for (const auto& other : nodes) {
        bool counts = other != self && gone.count(other.get()) == 0;
        double known = self->OthersAt(other->own_key);
        if (gone.count(self.get()) == 0 && known != (counts ? 1 : 0)) {
          UNSCOPED_INFO(self->name << " counts " << other->name << " as "
                                   << known);
          exact = false;
        }
      }
    }
    return exact;
  }

  // Runs for the time; returns false if an instance that is not in `gone` had a
  // table that lacked one of the others, as if its endpoints were idle.
  bool RunWithoutUndercount(milliseconds time,
                            const std::set<LoadNode*>& gone = {}) {
    bool complete = true;
    for (milliseconds t{0}; t < time; t += milliseconds(20)) {
      network.RunFor(milliseconds(20));
      for (const auto& self : nodes) {
        if (gone.count(self.get()) > 0 ||
            !self->table.IsCurrent(network.now())) {
          continue;
        }
        for (const auto& other : nodes) {
          if (other != self && gone.count(other.get()) == 0 &&
              self->OthersAt(other->own_key) < 1) {
            UNSCOPED_INFO(self->name << " lacks " << other->name << " after "
                                     << t.count() << " ms");
            complete = false;
          }
        }
      }
    }
    return complete;
  }

  int CountUnknown() {
    return static_cast<int>(std::count_if(
        nodes.begin(), nodes.end(),
        [](const auto& node) { return node->OthersAt(kShared) < 0; }));
  }

  SimNetwork network;
  std::vector<std::unique_ptr<LoadNode>> nodes;
};

// Guards against load that is lost between readers, counted twice, or counted
// back to the instance that put it there.
TEST_CASE("the load of all others reaches each of 34 instances",
          "[gateway][load]") {
  LoadFleet fleet(34);
  REQUIRE(fleet.Select(true).size() == 3);
  CHECK(fleet.RunWithoutUndercount(kSettled));
  CHECK(fleet.IsExact());
  // Changes reach all within two intervals between readers and instances.
  for (const auto& node : fleet.nodes) {
    node->own.endpoints[kShared].in_flight *= 2;
    node->own.services[ServiceId("s")].arrivals = 2;
  }
  fleet.network.RunFor(milliseconds(1000));
  for (const auto& node : fleet.nodes) {
    CHECK(node->OthersAt(kShared) ==
          Approx(fleet.Expected(*node)).epsilon(0.1));
  }
  CHECK(fleet.IsExact());
  // Small differences do not last.
  fleet.network.RunFor(seconds(25));
  for (const auto& node : fleet.nodes) {
    CHECK(node->OthersAt(kShared) == fleet.Expected(*node));
  }
  for (const auto& node : fleet.nodes) {
    TimePoint now = fleet.network.now();
    CHECK(node->table.OthersOf(ServiceId("s"), now)->arrivals == 33 * 2);
    for (const std::string& detail :
         node->log.details[EventId::kEndpointLoadUnknown]) {
      UNSCOPED_INFO(node->name << " " << detail);
    }
    CHECK(node->log.counts[EventId::kEndpointLoadCurrent] == 1);
    CHECK(node->log.counts[EventId::kEndpointLoadUnknown] == 0);
    CHECK(node->log.counts[EventId::kEndpointLoadRejected] == 0);
  }
}

// Guards against load that outlives its instance: its capacity would stay
// unused, while the other tables must stay known.
TEST_CASE("the load of an instance that is killed expires", "[gateway][load]") {
  LoadFleet fleet(34);
  fleet.network.RunFor(kSettled);
  REQUIRE(fleet.IsExact());
  LoadNode* killed = fleet.Select(false).front();
  fleet.network.Stop(killed->node);
  CHECK(fleet.RunWithoutUndercount(milliseconds(1900), {killed}));
  CHECK(fleet.IsExact({killed}));
  for (const auto& node : fleet.nodes) {
    CHECK(node->log.counts[EventId::kEndpointLoadUnknown] == 0);
  }
}

// Guards against an instance that decides by what it knew before it was
// suspended, and against its load counting meanwhile.
TEST_CASE("an instance that freezes is left out and returns",
          "[gateway][load]") {
  LoadFleet fleet(34);
  fleet.network.RunFor(kSettled);
  LoadNode* frozen = fleet.Select(false).front();
  fleet.network.SuspendUntil(frozen->node, fleet.network.now() + seconds(4));
  CHECK(fleet.RunWithoutUndercount(milliseconds(2000), {frozen}));
  CHECK(fleet.IsExact({frozen}));
  CHECK(fleet.RunWithoutUndercount(milliseconds(1980), {frozen}));
  CHECK_FALSE(frozen->table.IsCurrent(fleet.network.now()));
  // It resumes; what it then takes for current is complete.
  for (int i = 0; i < 50; ++i) {
    fleet.network.RunFor(milliseconds(10));
    for (const auto& other : fleet.nodes) {
      double known = frozen->OthersAt(other->own_key);
      CHECK((known != 0 || other.get() == frozen));
    }
  }
  CHECK(frozen->table.IsCurrent(fleet.network.now()));
  fleet.network.RunFor(milliseconds(1500));
  CHECK(fleet.IsExact());
}

// Guards against a reader that takes the load of its instances with it, and
// against one that resumes and serves a sum that lacks most instances.
TEST_CASE("a reader that is lost or freezes is replaced", "[gateway][load]") {
  LoadFleet fleet(34);
  fleet.network.RunFor(kSettled);
  LoadNode* reader = fleet.Select(true).front();
  SECTION("killed") {
    fleet.network.Stop(reader->node);
    CHECK(fleet.RunWithoutUndercount(milliseconds(4000), {reader}));
    CHECK(fleet.IsExact({reader}));
    CHECK(fleet.CountUnknown() <= 1);
  }
  SECTION("frozen") {
    fleet.network.SuspendUntil(reader->node, fleet.network.now() + seconds(4));
    CHECK(fleet.RunWithoutUndercount(milliseconds(3900), {reader}));
    CHECK(fleet.IsExact({reader}));
    // When it resumes, its own table must not lack the others, either.
    CHECK(fleet.RunWithoutUndercount(milliseconds(4000), {reader}));
    CHECK(fleet.IsExact());
  }
  SECTION("started again") {
    // The others go on reporting to it while it knows nobody yet.
    fleet.network.SuspendUntil(reader->node,
                               fleet.network.now() + milliseconds(1100));
    CHECK(fleet.RunWithoutUndercount(milliseconds(12000), {reader}));
    CHECK(fleet.IsExact());
  }
}

// Guards against either side of a partition that decides by the load of the
// other one, or that does not learn of it again.
TEST_CASE("both sides of a partition know their own load", "[gateway][load]") {
  LoadFleet fleet(34);
  fleet.network.RunFor(kSettled);
  std::set<LoadNode*> sides[2];
  std::set<const SimNode*> first;
  for (bool readers : {true, false}) {
    std::vector<LoadNode*> nodes = fleet.Select(readers);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      sides[i % 2].insert(nodes[i]);
      if (i % 2 == 0) {
        first.insert(nodes[i]->node);
      }
    }
  }
  fleet.network.SetCut([first](const SimNode* a, const SimNode* b) {
    return first.count(a) != first.count(b);
  });
  fleet.network.RunFor(milliseconds(5000));
  CHECK(fleet.IsExact(sides[0]));
  CHECK(fleet.IsExact(sides[1]));
  fleet.network.SetCut([](const SimNode*, const SimNode*) { return false; });
  fleet.network.RunFor(milliseconds(2500));
  CHECK(fleet.RunWithoutUndercount(milliseconds(12000)));
  CHECK(fleet.IsExact());
}

// Guards against an instance that is cut off from all others and takes the
// endpoints for idle.
TEST_CASE("an instance that reaches nobody knows that it knows nothing",
          "[gateway][load]") {
  LoadFleet fleet(34);
  fleet.network.RunFor(kSettled);
  for (LoadNode* lone :
       {fleet.Select(true).front(), fleet.Select(false).front()}) {
    const SimNode* cut = lone->node;
    fleet.network.SetCut([cut](const SimNode* a, const SimNode* b) {
      return a == cut || b == cut;
    });
    fleet.network.RunFor(milliseconds(2500));
    CHECK(lone->OthersAt(kShared) == -1);
    CHECK(lone->log.counts[EventId::kEndpointLoadUnknown] == 1);
    fleet.network.SetCut([](const SimNode*, const SimNode*) { return false; });
    fleet.network.RunFor(milliseconds(4000));
    CHECK(fleet.IsExact());
  }
}

// Guards against an update of the instances one by one during which the new
// ones flood the old ones with requests, or know nothing.
TEST_CASE("readers of an earlier release are left alone for ten seconds",
          "[gateway][load]") {
  LoadFleet fleet(34);
  LoadNode* old = fleet.Select(true).front();
  old->knows_path = false;
  fleet.network.RunFor(seconds(4));
  for (const auto& node : fleet.nodes) {
    node->requests = 0;
    if (node.get() != old) {
      CHECK(node->OthersAt(kShared) >= 0);
    }
  }
  fleet.network.RunFor(seconds(5));
  CHECK(old->requests == 0);
  old->knows_path = true;
  fleet.network.RunFor(seconds(10));
  CHECK(fleet.IsExact());
}

// Guards against a message of another instance that empties the table, and
// against a log that grows with the messages.
TEST_CASE("a malformed message leaves the table as it is", "[gateway][load]") {
  LoadFleet fleet(2);
  fleet.network.RunFor(kSettled);
  REQUIRE(fleet.IsExact());
  LoadNode* reader = fleet.Select(true).front();
  LoadNode* other = fleet.Select(false).front();
  for (const std::string& bytes :
       {std::string(), std::string("x"), std::string("\xc1\x00", 2),
        std::string(kMaxLoadMessageBytes + 1, '\x90')}) {
    CHECK(reader->exchange.Receive(bytes).status == 400);
  }
  CHECK(reader->log.counts[EventId::kEndpointLoadRejected] == 1);
  CHECK(reader->OthersAt(kShared) == fleet.Expected(*reader));
  // A response is checked, too.
  other->log.counts.clear();
  reader->answer = "x";
  fleet.network.RunFor(milliseconds(400));
  CHECK(other->log.counts[EventId::kEndpointLoadRejected] == 1);
  CHECK(other->OthersAt(kShared) == fleet.Expected(*other));
  fleet.network.RunFor(milliseconds(1000));
  CHECK(other->OthersAt(kShared) == -1);
}

// Guards against an instance that is told its own load under its own name.
TEST_CASE("a report under the own name is rejected", "[gateway][load]") {
  LoadFleet fleet(2);
  fleet.network.RunFor(kSettled);
  LoadNode* reader = fleet.Select(true).front();
  LoadMessage message;
  message.instance = InstanceId(reader->name);
  message.data_centre = DataCentreId("a");
  CHECK(reader->exchange.Receive(SerializeLoadMessage(message)).status == 400);
}

// Guards against reports that take more of the network than allowed, against a
// table that is known and unknown in turns because they are rare, and against
// an interval that stays long although they have become small again.
TEST_CASE("the interval follows from the bytes", "[gateway][load]") {
  constexpr std::size_t kBytesPerSecond = 2048;
  LoadFleet fleet(34, kBytesPerSecond);
  auto bytes_of = [](const LoadNode& node) {
    double sum = 0;
    std::string text = node.metrics.Serialize();
    std::string name = "filbertshift_endpoint_load_bytes_total{";
    for (std::size_t at = text.find(name); at != std::string::npos;
         at = text.find(name, at + 1)) {
      std::string line = text.substr(at, text.find('\n', at) - at);
      if (line.find("role=\"client\"") != std::string::npos) {
        sum += std::stod(line.substr(line.find("} ") + 2));
      }
    }
    return sum;
  };
  for (int endpoints : {2, 150, 2}) {
    for (const auto& node : fleet.nodes) {
      node->own.endpoints.clear();
      node->own.endpoints[node->own_key].in_flight = 1;
      std::vector<std::uint64_t> keys;
      for (int i = 0; i < endpoints; ++i) {
        std::uint64_t key = EndpointKey(EndpointId(fmt::format("e{}", i)));
        keys.push_back(key);
      }
      // Every entry changes much between two reports.
      int turn = 0;
      node->vary = [keys, turn](LoadReport* own) mutable {
        ++turn;
        for (std::uint64_t key : keys) {
          own->endpoints[key] = {turn % 2 == 0 ? 3.0 : 9.0, 1.25,
                                 turn % 2 == 0 ? 800.0 : 8000.0, 1.3, 1};
        }
      };
    }
    fleet.network.RunFor(seconds(60));
    std::vector<double> before;
    for (const auto& node : fleet.nodes) {
      before.push_back(bytes_of(*node));
      node->log.counts.clear();
    }
    constexpr int kSeconds = 30;
    fleet.network.RunFor(seconds(kSeconds));
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
      const LoadNode& node = *fleet.nodes[i];
      INFO(node.name << " interval " << node.exchange.interval().count());
      // A reader exchanges with the two others.
      std::size_t links = node.selector.IsReader() ? 2 : 1;
      CHECK(bytes_of(node) - before[i] <=
            kBytesPerSecond * links * kSeconds * 1.1);
      CHECK(node.table.IsCurrent(fleet.network.now()) == (endpoints == 2));
      CHECK(fleet.nodes[i]->log.counts[EventId::kEndpointLoadUnknown] == 0);
      CHECK(fleet.nodes[i]->log.counts[EventId::kEndpointLoadCurrent] == 0);
    }
  }
}

}  // namespace
}  // namespace filbertshift
