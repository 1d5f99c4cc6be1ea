// Tests of the sessions: one version on every instance.

#include "src/ledger/session_ledger.h"

#include <catch2/catch.hpp>
#include <memory>
#include <set>

#include "tests/unit/ledger/fake_peers.h"
#include "tests/unit/ledger/fake_table.h"

namespace filbertshift {
namespace {

struct Instance {
  Instance(FakeStore& store, int number)
      : client(store, number, log),
        random(static_cast<std::uint64_t>(number) + 1),
        ledger(SessionLedgerOptions{2}, client.table, peers, random, log) {}

  FakeEventLog log;
  FakeClient client;
  FakePeers peers;
  SystemRandom random;
  SessionLedger ledger;
};

struct World {
  explicit World(std::uint64_t seed, FakeFaults faults = FakeFaults())
      : schedule(store, seed, faults) {
    for (int i = 0; i < 3; ++i) {
      instances.push_back(std::make_unique<Instance>(store, i));
      schedule.Add(&instances.back()->client);
    }
  }

  void Start(int instance,
             const std::string& proposed,
             SessionLedger::Callback callback,
             const std::string& session = "s") {
    instances[instance]->ledger.Resolve(
        {AccountId("museum"), SessionId(session), ModelId("m")},
        VersionId(proposed),
        [this](const VersionId& v) { return withdrawn.count(v.value()) > 0; },
        [](const VersionId& v) {
          return VersionId(v.value() == "v1" ? "v2" : "");
        },
        std::move(callback));
  }

  SessionResult Resolve(int instance,
                        const std::string& proposed,
                        const std::string& session = "s") {
    SessionResult result;
    Start(
        instance, proposed, [&result](const SessionResult& r) { result = r; },
        session);
    schedule.RunAll();
    return result;
  }

  FakeStore store;
  FakeSchedule schedule;
  std::set<std::string> withdrawn;
  std::vector<std::unique_ptr<Instance>> instances;
};

// Guards against a session that has different versions on two instances.
TEST_CASE("the version written first holds on every instance", "[ledger]") {
  World world(1);
  CHECK(world.Resolve(0, "v1").version == VersionId("v1"));
  const SessionResult second = world.Resolve(1, "v2");
  CHECK(second.status == SessionStatus::kBound);
  CHECK(second.version == VersionId("v1"));
}

// Guards against new work on a withdrawn version and a session that moves to
// different versions on two instances.
TEST_CASE("a session leaves a withdrawn version", "[ledger]") {
  World world(2);
  world.Resolve(0, "v1");
  world.Resolve(1, "v1");
  world.withdrawn = {"v1"};
  const SessionResult moved = world.Resolve(0, "v9");
  CHECK(moved.status == SessionStatus::kMoved);
  CHECK(moved.version == VersionId("v2"));
  CHECK(world.Resolve(1, "v9").version == VersionId("v2"));
  world.withdrawn = {"v1", "v2"};
  CHECK(world.Resolve(0, "v9").status == SessionStatus::kUnavailable);
}

// Guards against a guessed binding while the store is down.
TEST_CASE("without the store only known bindings hold", "[ledger]") {
  World world(3);
  world.Resolve(0, "v1");
  REQUIRE(world.instances[0]->log.counts[EventId::kSessionBound] == 1);
  for (auto& instance : world.instances) {
    instance->client.down = true;
  }
  CHECK(world.Resolve(0, "v2").version == VersionId("v1"));
  CHECK(world.Resolve(1, "v2").status == SessionStatus::kUnavailable);
  world.instances[1]->ledger.OnPeerMessage(
      {AccountId("museum"), SessionId("s"), ModelId("m"), VersionId("v1")});
  CHECK(world.Resolve(1, "v2").version == VersionId("v1"));
  world.withdrawn = {"v1"};
  CHECK(world.Resolve(1, "v2").status == SessionStatus::kUnavailable);
}

// Guards against a late message of a peer that undoes a move.
TEST_CASE("contradicting news is settled by the table", "[ledger]") {
  World world(4);
  world.Resolve(0, "v2");
  world.instances[0]->ledger.OnPeerMessage(
      {AccountId("museum"), SessionId("s"), ModelId("m"), VersionId("v1")});
  CHECK(world.Resolve(0, "v3").version == VersionId("v2"));
}

// Guards against unbounded memory.
TEST_CASE("the least recently used binding is dropped", "[ledger]") {
  World world(5);
  world.Resolve(0, "v1", "a");
  world.Resolve(0, "v1", "b");
  world.Resolve(0, "v1", "a");
  world.Resolve(0, "v1", "c");
  const int writes = world.store.writes;
  world.Resolve(0, "v1", "a");
  CHECK(world.store.writes == writes);
  world.Resolve(0, "v1", "b");
  CHECK(world.store.writes == writes + 1);
}

// Guards against two versions of one session in any order of losses.
TEST_CASE("all instances agree on the version", "[ledger][random]") {
  int answered = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    World world(seed, FakeFaults{8, 12, 8, 12});
    std::set<std::string> versions;
    for (int step = 0; step < 30; ++step) {
      world.Start(world.schedule.Draw(3), "v" + std::to_string(step),
                  [&](const SessionResult& r) {
                    if (r.status == SessionStatus::kBound) {
                      versions.insert(r.version.value());
                      ++answered;
                    }
                  });
      for (int n = world.schedule.Draw(5); n > 0; --n) {
        world.schedule.RunOne();
      }
    }
    world.schedule.RunAll();
    REQUIRE(versions.size() <= 1);
  }
  CHECK(answered > 300);
}

}  // namespace
}  // namespace filbertshift
