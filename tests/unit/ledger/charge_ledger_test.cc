// Tests of ChargeLedger: each charge is stored exactly once, in one row.

#include "src/ledger/charge_ledger.h"

#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>

#include "tests/unit/ledger/fake_peers.h"
#include "tests/unit/ledger/fake_table.h"

namespace filbertshift {
namespace {

InstanceId InstanceName(int instance) {
  return InstanceId("i" + std::to_string(instance));
}

ChargeLedgerOptions MakeOptions(int instance) {
  ChargeLedgerOptions options;
  options.incarnation = "inc" + std::to_string(instance);
  return options;
}

struct Instance {
  Instance(FakeStore& store, int number, Clock& clock)
      : client(store, number, log),
        ledger(MakeOptions(number), client.table, peers, clock, log) {}

  FakeEventLog log;
  FakeClient client;
  FakePeers peers;
  ChargeLedger ledger;
};

// Three instances that share a store and exchange messages over ordered
// streams.
class Cluster {
 public:
  explicit Cluster(std::uint64_t seed, FakeFaults faults = FakeFaults())
      : schedule(store, seed, faults) {
    for (int i = 0; i < 3; ++i) {
      instances.push_back(std::make_unique<Instance>(store, i, clock));
      schedule.Add(&instances.back()->client);
    }
    for (int i = 0; i < 3; ++i) {
      for (int k = 0; k < 3; ++k) {
        if (i != k) {
          instances[i]->ledger.OnPeerUp(InstanceName(k));
        }
      }
    }
  }

  bool Add(int instance, const std::string& id, bool* completed) {
    Charge charge;
    charge.id = id;
    charge.account = AccountId("museum");
    charge.answer_tokens = 7;
    return instances[instance]->ledger.Add(charge,
                                           [completed] { *completed = true; });
  }

  // Moves sent messages into the streams, then delivers or drops one of them.
  bool DeliverPeerMessage(int loss_percent) {
    CollectMessages();
    if (streams_.empty()) {
      return false;
    }
    const int index = schedule.Draw(static_cast<int>(streams_.size()));
    const Message message = streams_[OldestInStream(index)];
    if (schedule.paused.count(message.to) > 0) {
      return true;
    }
    streams_.erase(streams_.begin() + OldestInStream(index));
    if (schedule.Draw(100) >= loss_percent && crashed_instance != message.to) {
      Receive(message);
    }
    return true;
  }

  void RunUntilSettled(int seconds) {
    for (int i = 0; i < seconds * 2; ++i) {
      schedule.RunAll();
      while (DeliverPeerMessage(0)) {
      }
      Tick(std::chrono::milliseconds(500));
    }
    schedule.RunAll();
  }

  void Tick(std::chrono::milliseconds step) {
    clock.now += step;
    for (int i = 0; i < 3; ++i) {
      if (i != crashed_instance && schedule.paused.count(i) == 0) {
        instances[i]->ledger.Tick(clock.now);
      }
    }
  }

  // Disconnects or reconnects the stream between two instances.
  void SetStream(int a, int b, bool up) {
    CollectMessages();
    for (auto it = streams_.begin(); it != streams_.end();) {
      const bool between =
          (it->from == a && it->to == b) || (it->from == b && it->to == a);
      it = between ? streams_.erase(it) : it + 1;
    }
    for (const auto& [self, other] : {std::pair(a, b), std::pair(b, a)}) {
      if (self != crashed_instance) {
        ChargeLedger& ledger = instances[self]->ledger;
        up ? ledger.OnPeerUp(InstanceName(other))
           : ledger.OnPeerDown(InstanceName(other));
      }
    }
  }

  void CrashInstance(int instance) {
    crashed_instance = instance;
    schedule.paused.erase(instance);
    schedule.Remove(&instances[instance]->client);
    for (int i = 0; i < 3; ++i) {
      if (i != instance) {
        SetStream(i, instance, false);
      }
    }
  }

  // Number of occurrences of each charge id in all rows of the table.
  std::map<std::string, int> StoredCharges() const {
    std::map<std::string, int> counts;
    for (const auto& [key, row] : store.rows) {
      const auto value = nlohmann::json::parse(row.value);
      for (const auto& charge : value["charges"]) {
        ++counts[charge["id"].get<std::string>()];
      }
    }
    return counts;
  }

  FakeStore store;
  FakeClock clock;
  FakeSchedule schedule;
  std::vector<std::unique_ptr<Instance>> instances;
  int crashed_instance = -1;

 private:
  struct Message {
    int from = 0;
    int to = 0;
    PeerMessage message;
  };

  void CollectMessages() {
    for (int i = 0; i < 3; ++i) {
      for (FakePeers::Sent& sent : instances[i]->peers.sent) {
        const int to = sent.to.value().back() - '0';
        streams_.push_back({i, to, std::move(sent.message)});
      }
      instances[i]->peers.sent.clear();
    }
  }

  // Index of the oldest message in the stream to which message `index` belongs.
  int OldestInStream(int index) const {
    for (int i = 0; i < index; ++i) {
      if (streams_[i].from == streams_[index].from &&
          streams_[i].to == streams_[index].to) {
        return i;
      }
    }
    return index;
  }

  void Receive(const Message& message) {
    ChargeLedger& ledger = instances[message.to]->ledger;
    const InstanceId from = InstanceName(message.from);
    if (const auto* replica =
            std::get_if<PeerChargeReplica>(&message.message)) {
      ledger.OnPeerMessage(from, *replica);
    } else if (const auto* kept =
                   std::get_if<PeerChargeReplicaAck>(&message.message)) {
      ledger.OnPeerMessage(from, *kept);
    } else {
      ledger.OnPeerMessage(from, std::get<PeerChargeStored>(message.message));
    }
  }

  std::deque<Message> streams_;
};

// Guards against more than one table write per batch; checks the figures in
// docs/decisions/0004-charges.md.
TEST_CASE("1,000 charges in 10 s cost 10 table writes", "[ledger]") {
  Cluster cluster(1);
  std::deque<bool> completed;
  int messages = 0;
  for (int i = 0; i < 1000; ++i) {
    completed.push_back(false);
    REQUIRE(cluster.Add(0, "c" + std::to_string(i), &completed.back()));
    while (cluster.DeliverPeerMessage(0)) {
      ++messages;
    }
    CHECK(completed.back());
    cluster.Tick(std::chrono::milliseconds(10));
    cluster.schedule.RunAll();
  }
  cluster.RunUntilSettled(2);
  CHECK(cluster.store.writes == 10);
  CHECK(cluster.StoredCharges().size() == 1000);
  // Two replicas and two confirmations for each charge.
  CHECK(messages >= 4000);
  CHECK(messages <= 4000 + 2 * 10);
}

// Guards against unbounded memory use during an outage of the store, and
// against charges that are dropped because of the outage.
TEST_CASE("charges are buffered up to the limit while the store is down",
          "[ledger]") {
  Cluster cluster(2);
  for (auto& instance : cluster.instances) {
    instance->client.down = true;
  }
  bool completed = false;
  for (int i = 0; i < 10000; ++i) {
    REQUIRE(cluster.Add(0, "c" + std::to_string(i), &completed));
    cluster.instances[0]->peers.sent.clear();
  }
  CHECK(cluster.instances[0]->ledger.buffer_full());
  CHECK_FALSE(cluster.Add(0, "one more", &completed));
  cluster.RunUntilSettled(5);
  for (auto& instance : cluster.instances) {
    instance->client.down = false;
  }
  cluster.RunUntilSettled(30);
  CHECK(cluster.StoredCharges().size() == 10000);
  CHECK(cluster.instances[0]->ledger.unstored_charges() == 0);
}

// Guards against an answer that is never sent when no peer is reachable.
TEST_CASE("a charge without peers waits at most the replica timeout",
          "[ledger]") {
  Cluster cluster(3);
  cluster.SetStream(0, 1, false);
  cluster.SetStream(0, 2, false);
  cluster.instances[0]->client.down = true;
  bool completed = false;
  cluster.Add(0, "c", &completed);
  cluster.Tick(std::chrono::milliseconds(500));
  CHECK_FALSE(completed);
  cluster.Tick(std::chrono::milliseconds(500));
  CHECK(completed);
}

// Guards against a charge that only its instance holds for the rest of an
// outage because the copies of the first second were lost.
TEST_CASE("copies of a charge are sent until peers confirm them", "[ledger]") {
  FakeStore store;
  FakeClock clock;
  Instance owner(store, 0, clock);
  owner.client.down = true;
  owner.ledger.OnPeerUp(InstanceName(1));
  owner.ledger.OnPeerUp(InstanceName(2));
  Charge charge;
  charge.id = "c1";
  bool completed = false;
  REQUIRE(owner.ledger.Add(charge, [&completed] { completed = true; }));
  clock.now += std::chrono::milliseconds(1100);
  owner.ledger.Tick(clock.now);
  REQUIRE(completed);
  owner.peers.sent.clear();
  for (int i = 0; i < 20; ++i) {
    clock.now += std::chrono::milliseconds(500);
    owner.ledger.Tick(clock.now);
    while (owner.client.DeliverOne()) {
    }
  }
  CHECK(owner.peers.sent.size() >= 2);
}

// Guards against a second row for a batch whose owner was paused while its
// peers took over the batch.
TEST_CASE("a paused owner merges its delayed write", "[ledger]") {
  Cluster cluster(4);
  bool completed = false;
  cluster.Add(0, "a", &completed);
  while (cluster.DeliverPeerMessage(0)) {
  }
  CHECK(completed);
  cluster.schedule.paused.insert(0);
  cluster.SetStream(1, 0, false);
  cluster.SetStream(2, 0, false);
  cluster.RunUntilSettled(10);
  CHECK(cluster.StoredCharges() == std::map<std::string, int>{{"a", 1}});
  cluster.schedule.paused.clear();
  cluster.Add(0, "b", &completed);
  cluster.RunUntilSettled(10);
  CHECK(cluster.StoredCharges() ==
        std::map<std::string, int>{{"a", 1}, {"b", 1}});
  CHECK(cluster.store.rows.size() == 1);
}

// Guards against a peer that overwrites charges which another peer has stored
// in the same row.
TEST_CASE("two peers with different copies write one row", "[ledger]") {
  Cluster cluster(5);
  for (int i = 1; i < 3; ++i) {
    Charge charge;
    charge.id = "c" + std::to_string(i);
    PeerChargeReplica replica;
    replica.batch = "charges/inc0/1";
    replica.charges = {ChargeToJson(charge)};
    cluster.instances[i]->ledger.OnPeerMessage(InstanceName(0), replica);
  }
  cluster.CrashInstance(0);
  cluster.RunUntilSettled(10);
  CHECK(cluster.StoredCharges() ==
        std::map<std::string, int>{{"c1", 1}, {"c2", 1}});
  CHECK(cluster.store.rows.size() == 1);
}

struct AddedCharge {
  int owner = 0;
  TimePoint added;
  bool completed = false;
  // Completed before the replica timeout, hence replicated or stored.
  bool durable = false;
};

// One random run with lost messages, disconnected streams, paused instances and
// at most one crashed instance.
void RunRandomly(std::uint64_t seed) {
  Cluster cluster(seed, FakeFaults{8, 12, 8, 12});
  std::map<std::string, AddedCharge> added;
  // The run has 300 steps, so in two of five runs no instance crashes.
  const int crash_step = cluster.schedule.Draw(500);
  for (int step = 0; step < 300; ++step) {
    const int i = cluster.schedule.Draw(3);
    switch (cluster.schedule.Draw(12)) {
      case 0:
        cluster.schedule.paused.insert(i);
        break;
      case 1:
      case 2:
        cluster.schedule.paused.clear();
        break;
      case 3:
        if (i != cluster.crashed_instance &&
            (i + 1) % 3 != cluster.crashed_instance) {
          cluster.SetStream(i, (i + 1) % 3, cluster.schedule.Draw(2) == 0);
        }
        break;
      case 4:
      case 5:
        cluster.Tick(std::chrono::milliseconds(cluster.schedule.Draw(1500)));
        break;
      default:
        if (i != cluster.crashed_instance &&
            cluster.schedule.paused.count(i) == 0) {
          const std::string id = "c" + std::to_string(step);
          AddedCharge& charge = added[id];
          charge.owner = i;
          charge.added = cluster.clock.now;
          cluster.Add(i, id, &charge.completed);
        }
    }
    for (int n = cluster.schedule.Draw(8); n > 0; --n) {
      cluster.schedule.RunOne();
      cluster.DeliverPeerMessage(10);
    }
    for (auto& [id, charge] : added) {
      charge.durable |= charge.completed && cluster.clock.now - charge.added <
                                                std::chrono::milliseconds(1000);
    }
    if (step == crash_step) {
      cluster.CrashInstance(cluster.schedule.Draw(3));
    }
  }
  cluster.schedule.paused.clear();
  cluster.schedule.faults = FakeFaults();
  cluster.RunUntilSettled(60);
  const std::map<std::string, int> stored = cluster.StoredCharges();
  for (const auto& [id, count] : stored) {
    INFO(id);
    REQUIRE(count == 1);
    REQUIRE(added.count(id) == 1);
  }
  for (const auto& [id, charge] : added) {
    INFO(id << " of " << charge.owner << ", crashed instance "
            << cluster.crashed_instance);
    if (charge.owner != cluster.crashed_instance || charge.durable) {
      REQUIRE(stored.count(id) == 1);
    }
  }
  for (int i = 0; i < 3; ++i) {
    if (i != cluster.crashed_instance) {
      REQUIRE(cluster.instances[i]->ledger.unstored_charges() == 0);
    }
  }
}

// Guards against a charge that is lost or stored twice when its owner crashes
// or is paused at any step.
TEST_CASE("each charge is stored exactly once", "[ledger][random]") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    RunRandomly(seed);
  }
}

}  // namespace
}  // namespace filbertshift
