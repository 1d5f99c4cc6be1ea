// Tests of how hundreds of instances know each other, with whole gateways over
// a simulated network and clock.

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "platform/platform.h"
#include "src/gateway/gateway.h"
#include "tests/unit/gateway/stand_ins.h"
#include "tests/unit/support/sim_network.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kStore[] = "store:1";
constexpr int kEndpoints = 204;

// Keeps the number of live instances that an instance reports.
class CountLog : public EventLog {
 public:
  using EventLog::Write;
  void Write(EventId event, const EventContext&, std::string detail) override {
    if (event == EventId::kInstanceCountChanged) {
      count = std::stoi(detail.substr(detail.find("to=") + 3));
      lowest = std::min(lowest, count);
      highest = std::max(highest, count);
    }
  }
  void Mark() { lowest = highest = count; }
  int count = 1;
  // Since the latest mark.
  int lowest = 1;
  int highest = 1;
};

// An instance, or the process that takes its place when it starts again.
struct Member {
  std::string name;
  SimNode* node = nullptr;
  CountLog log;
  GatewayMetrics metrics;
  std::unique_ptr<Gateway> gateway;
  bool running = true;
};

class Fleet {
 public:
  explicit Fleet(int instances)
      : store_node_(network.AddNode()), store(store_node_), rows_(kStore) {
    store_node_->Listen(kStore, store.listener());
    store.Put("op", "config",
              R"({"version":1,"routes":[],"services":[{"name":"s"}]})");
    for (int i = 0; i < kEndpoints; ++i) {
      store.Put("servers", fmt::format("e{}", i),
                fmt::format(R"({{"service":"s","address":"10.0.0.{}:1",)"
                            R"("zone":"a","version":"v1","slots":4,)"
                            R"("state":"ready","cold_remaining_ms":0,)"
                            R"("sequence":1}})",
                            i));
    }
    for (int i = 0; i < instances; ++i) {
      Start(fmt::format("i{}", i));
    }
  }

  Member& Start(const std::string& name) {
    auto& member = members[name];
    if (member != nullptr) {
      ended_.push_back(std::move(member));
    }
    member = std::make_unique<Member>();
    member->name = name;
    member->node = network.AddNode();
    GatewaySettings settings;
    settings.instance = InstanceId(name);
    settings.data_centre = DataCentreId("a");
    settings.peer_listen = name + ":1";
    settings.store_address = kStore;
    settings.configuration_apply_ms = 4000;
    member->gateway = std::make_unique<Gateway>(
        settings, PlatformAdapter{headers_, documents_, rows_}, member->node,
        &member->log, &member->metrics, ++last_incarnation_);
    member->node->Listen(settings.peer_listen,
                         member->gateway->peer_listener());
    member->gateway->Start();
    return *member;
  }

  void Stop(Member* member) {
    member->running = false;
    network.Stop(member->node);
  }

  std::vector<Member*> Running() {
    std::vector<Member*> running;
    for (const auto& entry : members) {
      if (entry.second->running) {
        running.push_back(entry.second.get());
      }
    }
    return running;
  }

  // Instances that read the store while all are live.
  std::vector<Member*> Readers() {
    std::vector<LiveInstance> live;
    for (Member* member : Running()) {
      live.push_back({InstanceId(member->name), member->name + ":1"});
    }
    std::vector<Member*> readers;
    for (Member* member : Running()) {
      ReaderSelector selector{InstanceId(member->name)};
      selector.SetInstances(live);
      if (selector.IsReader()) {
        readers.push_back(member);
      }
    }
    return readers;
  }

  void MarkAll() {
    for (const auto& entry : members) {
      entry.second->log.Mark();
    }
  }
  int LowestCount() {
    int lowest = 1 << 30;
    for (Member* member : Running()) {
      lowest = std::min(lowest, member->log.lowest);
    }
    return lowest;
  }
  int HighestCount() {
    int highest = 0;
    for (Member* member : Running()) {
      highest = std::max(highest, member->log.highest);
    }
    return highest;
  }
  // Every instance knows of exactly this many.
  bool AllCount(int count) {
    std::vector<Member*> running = Running();
    return std::all_of(running.begin(), running.end(), [count](Member* member) {
      return member->log.count == count;
    });
  }

  SimNetwork network;
  SimNode* const store_node_;
  StandInStore store;
  std::map<std::string, std::unique_ptr<Member>> members;

 private:
  HeaderCodec headers_;
  DocumentDecoder documents_;
  RowProtocol rows_;
  std::uint64_t last_incarnation_ = 0;
  // Stopped processes of instances that have started again.
  std::vector<std::unique_ptr<Member>> ended_;
};

// Guards against store calls that grow with the instances: at 118 instances
// they were the largest cost, and all instances share the store's rate limits.
TEST_CASE("readers write the rows of all instances", "[gateway]") {
  for (int count : {30, 118}) {
    INFO(count);
    Fleet fleet(count);
    fleet.network.RunFor(seconds(12));
    REQUIRE(fleet.AllCount(count));
    auto readers = static_cast<int>(fleet.Readers().size());
    REQUIRE(readers == (count + 15) / 16);
    int before = fleet.store.transactions();
    int reads_before = fleet.store.reads();
    fleet.MarkAll();
    fleet.network.RunFor(seconds(30));
    // One write of each reader in 3 s.
    CHECK(fleet.store.transactions() - before <= readers * 10 + readers);
    // Three tables, each read once a second at most or twice if rows change.
    CHECK(fleet.store.reads() - reads_before <= readers * 30 * 4);
    CHECK(fleet.LowestCount() == count);
    CHECK(fleet.HighestCount() == count);
  }
}

// Guards against a reader that takes its members with it when it fails, and
// against one that brings ended instances back when it wakes up.
TEST_CASE("a failing reader does not change who is live", "[gateway]") {
  constexpr int kCount = 60;
  Fleet fleet(kCount);
  fleet.network.RunFor(seconds(12));
  REQUIRE(fleet.AllCount(kCount));
  fleet.MarkAll();
  Member* reader = fleet.Readers().front();
  SECTION("it ends") {
    fleet.Stop(reader);
    fleet.network.RunFor(seconds(25));
    CHECK(fleet.LowestCount() == kCount - 1);
    CHECK(fleet.AllCount(kCount - 1));
  }
  SECTION("it is cut off from the store") {
    const SimNode* store_node = fleet.store_node_;
    fleet.network.SetCut([=](const SimNode* a, const SimNode* b) {
      return a == reader->node && b == store_node;
    });
    fleet.network.RunFor(seconds(25));
    // The reader's own row may be missed; no other.
    CHECK(fleet.LowestCount() >= kCount - 1);
    fleet.network.SetCut([](const SimNode*, const SimNode*) { return false; });
    fleet.network.RunFor(seconds(8));
    CHECK(fleet.AllCount(kCount));
  }
  SECTION("it is suspended while an instance ends") {
    fleet.network.SuspendUntil(reader->node, fleet.network.now() + seconds(15));
    fleet.network.RunFor(milliseconds(100));
    for (Member* member : fleet.Running()) {
      if (member != reader) {
        fleet.Stop(member);
        break;
      }
    }
    fleet.network.RunFor(milliseconds(14500));
    CHECK(fleet.LowestCount() >= kCount - 2);
    fleet.MarkAll();
    // The reader wakes up; time in which it read nothing counts against nobody.
    fleet.network.RunFor(seconds(18));
    CHECK(fleet.AllCount(kCount - 1));
    for (Member* member : fleet.Running()) {
      CHECK((member == reader || member->log.highest <= kCount - 1));
    }
  }
  SECTION("the store turns a third of the instances away") {
    std::vector<Member*> running = fleet.Running();
    std::set<const SimNode*> refused;
    for (std::size_t i = 0; i < running.size(); i += 3) {
      refused.insert(running[i]->node);
    }
    const SimNode* store_node = fleet.store_node_;
    fleet.network.SetCut([=](const SimNode* a, const SimNode* b) {
      return b == store_node && refused.count(a) > 0;
    });
    fleet.network.RunFor(seconds(20));
    fleet.network.SetCut([](const SimNode*, const SimNode*) { return false; });
    fleet.network.RunFor(seconds(8));
    // The others write the rows of those that are turned away.
    CHECK(fleet.LowestCount() == kCount);
  }
  SECTION("the store does not answer for a while") {
    fleet.store.SetBusy(true);
    fleet.network.RunFor(seconds(12));
    fleet.store.SetBusy(false);
    fleet.network.RunFor(seconds(12));
    CHECK(fleet.LowestCount() == kCount);
  }
}

// Guards against instances that do not find each other again after a loss of
// all, and against wrong counts while over half as many join.
TEST_CASE("all instances are known soon after they start", "[gateway]") {
  constexpr int kCount = 118;
  constexpr int kAdded = 66;
  Fleet fleet(kCount);
  fleet.network.RunFor(seconds(12));
  REQUIRE(fleet.AllCount(kCount));
  for (Member* member : fleet.Running()) {
    fleet.Stop(member);
  }
  fleet.network.RunFor(seconds(2));
  for (int i = 0; i < kCount; ++i) {
    fleet.Start(fmt::format("i{}", i));
  }
  fleet.network.RunFor(seconds(12));
  CHECK(fleet.AllCount(kCount));
  for (int i = 0; i < kAdded; ++i) {
    fleet.Start(fmt::format("added{}", i));
  }
  fleet.network.RunFor(seconds(12));
  CHECK(fleet.AllCount(kCount + kAdded));
}

// Plays losses, restarts, suspensions, cuts and outages at random. A running
// instance that reaches the store is never considered dead, and one that has
// ended is considered dead in the end.
TEST_CASE("members are known through a random series of faults", "[gateway]") {
  constexpr int kCount = 40;
  for (unsigned seed : {1U, 2U, 3U, 4U}) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    Fleet fleet(kCount);
    fleet.network.RunFor(seconds(12));
    REQUIRE(fleet.AllCount(kCount));
    for (int round = 0; round < 6; ++round) {
      std::vector<Member*> running = fleet.Running();
      Member* victim = running[random() % running.size()];
      auto expected = static_cast<int>(running.size());
      fleet.MarkAll();
      switch (random() % 4) {
        case 0:
          fleet.Stop(victim);
          --expected;
          break;
        case 1:
          fleet.Stop(victim);
          fleet.Start(victim->name);
          break;
        case 2:
          fleet.network.SuspendUntil(victim->node,
                                     fleet.network.now() + seconds(4));
          break;
        default:
          fleet.store.SetBusy(true);
          fleet.network.RunFor(seconds(3));
          fleet.store.SetBusy(false);
          break;
      }
      fleet.network.RunFor(seconds(16));
      INFO("round " << round << " expected " << expected);
      for (Member* member : fleet.Running()) {
        if (member->log.highest > 1 && member->name != victim->name) {
          REQUIRE(member->log.lowest >= expected);
        }
      }
      REQUIRE(fleet.AllCount(expected));
    }
  }
}

}  // namespace
}  // namespace filbertshift
