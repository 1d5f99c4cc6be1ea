// Tests of SessionLedger: a session has the same version on all instances.

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

struct Cluster {
  explicit Cluster(std::uint64_t seed, FakeFaults faults = FakeFaults())
      : schedule(store, seed, faults) {
    for (int i = 0; i < 3; ++i) {
      instances.push_back(std::make_unique<Instance>(store, i));
      schedule.Add(&instances.back()->client);
    }
  }

  void StartResolve(int instance,
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
    StartResolve(
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

// Guards against a session with different versions on two instances.
TEST_CASE("the version written first holds on every instance", "[ledger]") {
  Cluster cluster(1);
  CHECK(cluster.Resolve(0, "v1").version == VersionId("v1"));
  const SessionResult second = cluster.Resolve(1, "v2");
  CHECK(second.status == SessionStatus::kBound);
  CHECK(second.version == VersionId("v1"));
}

// Guards against new requests to a withdrawn version, and against a session
// that moves to different versions on two instances.
TEST_CASE("a session moves from a withdrawn version to its successor",
          "[ledger]") {
  Cluster cluster(2);
  cluster.Resolve(0, "v1");
  cluster.Resolve(1, "v1");
  cluster.withdrawn = {"v1"};
  const SessionResult moved = cluster.Resolve(0, "v9");
  CHECK(moved.status == SessionStatus::kMoved);
  CHECK(moved.version == VersionId("v2"));
  CHECK(cluster.Resolve(1, "v9").version == VersionId("v2"));
  cluster.withdrawn = {"v1", "v2"};
  CHECK(cluster.Resolve(0, "v9").status == SessionStatus::kUnavailable);
}

// Guards against a binding that is not known to be stored while the store is
// down.
TEST_CASE("only cached bindings are used while the store is down", "[ledger]") {
  Cluster cluster(3);
  cluster.Resolve(0, "v1");
  REQUIRE(cluster.instances[0]->log.counts[EventId::kSessionBound] == 1);
  for (auto& instance : cluster.instances) {
    instance->client.down = true;
  }
  CHECK(cluster.Resolve(0, "v2").version == VersionId("v1"));
  CHECK(cluster.Resolve(1, "v2").status == SessionStatus::kUnavailable);
  cluster.instances[1]->ledger.OnPeerMessage(
      {AccountId("museum"), SessionId("s"), ModelId("m"), VersionId("v1")});
  CHECK(cluster.Resolve(1, "v2").version == VersionId("v1"));
  cluster.withdrawn = {"v1"};
  CHECK(cluster.Resolve(1, "v2").status == SessionStatus::kUnavailable);
}

// Guards against a delayed peer message that reverts a binding.
TEST_CASE("the table resolves conflicting peer messages", "[ledger]") {
  Cluster cluster(4);
  cluster.Resolve(0, "v2");
  cluster.instances[0]->ledger.OnPeerMessage(
      {AccountId("museum"), SessionId("s"), ModelId("m"), VersionId("v1")});
  CHECK(cluster.Resolve(0, "v3").version == VersionId("v2"));
}

// Guards against unbounded memory use.
TEST_CASE("the least recently used binding is evicted", "[ledger]") {
  Cluster cluster(5);
  cluster.Resolve(0, "v1", "a");
  cluster.Resolve(0, "v1", "b");
  cluster.Resolve(0, "v1", "a");
  cluster.Resolve(0, "v1", "c");
  const int writes = cluster.store.writes;
  cluster.Resolve(0, "v1", "a");
  CHECK(cluster.store.writes == writes);
  cluster.Resolve(0, "v1", "b");
  CHECK(cluster.store.writes == writes + 1);
}

// Guards against two versions of one session under random lost, refused and
// delayed calls.
TEST_CASE("all instances agree on the version", "[ledger][random]") {
  int answered = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    Cluster cluster(seed, FakeFaults{8, 12, 8, 12});
    std::set<std::string> versions;
    for (int step = 0; step < 30; ++step) {
      cluster.StartResolve(cluster.schedule.Draw(3), "v" + std::to_string(step),
                           [&](const SessionResult& r) {
                             if (r.status == SessionStatus::kBound) {
                               versions.insert(r.version.value());
                               ++answered;
                             }
                           });
      for (int n = cluster.schedule.Draw(5); n > 0; --n) {
        cluster.schedule.RunOne();
      }
    }
    cluster.schedule.RunAll();
    REQUIRE(versions.size() <= 1);
  }
  CHECK(answered > 300);
}

}  // namespace
}  // namespace filbertshift
