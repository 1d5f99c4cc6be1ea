// Tests of ExecutionLedger: at most one send for each idempotency key.

#include "src/ledger/execution_ledger.h"

#include <catch2/catch.hpp>
#include <memory>

#include "tests/unit/ledger/fake_peers.h"
#include "tests/unit/ledger/fake_table.h"

namespace filbertshift {
namespace {

ExecutionKey InvoiceKey() {
  return {AccountId("museum"), "invoice/7"};
}

RequestId FirstRequest() {
  return RequestId("r1");
}

// One entry instance with its ledger and the fakes that it uses.
struct Instance {
  Instance(FakeStore& store, int number, Clock& clock, std::uint64_t seed)
      : client(store, number, log),
        random(seed),
        ledger(client.table, client.objects, peers, clock, random, log) {}

  FakeEventLog log;
  FakeClient client;
  SystemRandom random;
  FakePeers peers;
  ExecutionLedger ledger;
};

struct Cluster {
  explicit Cluster(std::uint64_t seed, FakeFaults faults = FakeFaults())
      : schedule(store, seed, faults) {
    for (int i = 0; i < 3; ++i) {
      instances.push_back(
          std::make_unique<Instance>(store, i, clock, seed + 1000ULL * i + 1));
      schedule.Add(&instances.back()->client);
    }
  }

  BeginResult Begin(int instance, const std::string& hash = "h1") {
    BeginResult result;
    instances[instance]->ledger.Begin(
        InvoiceKey(), hash, FirstRequest(),
        [&result](const BeginResult& r) { result = r; });
    schedule.RunAll();
    return result;
  }

  bool Complete(int instance,
                const ExecutionTicket& ticket,
                const StoredAnswer& answer) {
    bool stored = false;
    Charge charge;
    charge.id = "museum/invoice/7";
    instances[instance]->ledger.Complete(ticket, answer, charge,
                                         [&stored](bool ok) { stored = ok; });
    schedule.RunAll();
    return stored;
  }

  void TickAll(std::chrono::milliseconds step) {
    clock.now += step;
    for (auto& instance : instances) {
      instance->ledger.Tick(clock.now);
    }
  }

  FakeStore store;
  FakeClock clock;
  FakeSchedule schedule;
  std::vector<std::unique_ptr<Instance>> instances;
};

// Guards against a second send, a modified replay and an undetected reuse of a
// key; checks the table writes given in docs/decisions/0003-at-most-once.md.
TEST_CASE("a completed call is replayed on another instance", "[ledger]") {
  Cluster cluster(1);
  const BeginResult first = cluster.Begin(0);
  REQUIRE(first.status == BeginStatus::kOwned);
  CHECK(cluster.Begin(1).status == BeginStatus::kInProgress);
  CHECK(cluster.Begin(1, "h2").status == BeginStatus::kKeyReused);
  const int writes_before = cluster.store.writes;
  CHECK(cluster.Complete(0, first.ticket, {201, "text/plain", "paid"}));
  CHECK(cluster.store.writes == writes_before + 1);
  const BeginResult replay = cluster.Begin(2);
  REQUIRE(replay.status == BeginStatus::kReplay);
  CHECK(replay.answer.http_status == 201);
  CHECK(replay.answer.content_type == "text/plain");
  CHECK(replay.answer.body == "paid");
  CHECK(cluster.store.rows.begin()->second.value.find("\"charge\"") !=
        std::string::npos);
}

// Guards against additional table calls: a new call takes two writes, no read.
TEST_CASE("1,000 calls with a key cost 2,000 table writes", "[ledger]") {
  Cluster cluster(2);
  for (int i = 0; i < 1000; ++i) {
    const ExecutionKey key{AccountId("museum"), std::to_string(i)};
    BeginResult result;
    auto& ledger = cluster.instances[i % 3]->ledger;
    ledger.Begin(key, "h", FirstRequest(),
                 [&](const BeginResult& r) { result = r; });
    cluster.schedule.RunAll();
    REQUIRE(result.status == BeginStatus::kOwned);
    cluster.Complete(i % 3, result.ticket, {200, "", "ok"});
  }
  CHECK(cluster.store.writes == 2000);
  CHECK(cluster.store.reads == 0);
}

// Guards against a modified answer when the body does not fit into a row.
TEST_CASE("large and binary answers are replayed unchanged", "[ledger]") {
  const std::string body =
      GENERATE(std::string(100000, 'x'), std::string("\xff\x00\xfe", 3));
  Cluster cluster(3);
  const BeginResult first = cluster.Begin(0);
  cluster.instances[0]->client.objects_down = true;
  CHECK_FALSE(cluster.Complete(0, first.ticket, {200, "image/png", body}));
  CHECK(cluster.Begin(1).status == BeginStatus::kInProgress);
  cluster.instances[0]->client.objects_down = false;
  cluster.TickAll(std::chrono::seconds(1));
  cluster.schedule.RunAll();
  CHECK(cluster.instances[0]->ledger.unconfirmed_writes() == 0);
  const BeginResult replay = cluster.Begin(1);
  REQUIRE(replay.status == BeginStatus::kReplay);
  CHECK(replay.answer.body == body);
}

// Guards against a key that stays blocked after a call that was not sent.
TEST_CASE("a released key can be reserved again", "[ledger]") {
  Cluster cluster(4);
  const BeginResult first = cluster.Begin(0);
  cluster.instances[0]->ledger.Release(first.ticket);
  cluster.schedule.RunAll();
  CHECK(cluster.Begin(1, "h2").status == BeginStatus::kKeyReused);
  CHECK(cluster.Begin(1).status == BeginStatus::kOwned);
}

// Guards against a send without a durable record, and against a delayed write
// that blocks the key permanently.
TEST_CASE("an unconfirmed record is released when the store returns",
          "[ledger]") {
  Cluster cluster(5);
  BeginResult result;
  result.status = BeginStatus::kOwned;
  cluster.instances[0]->ledger.Begin(InvoiceKey(), "h1", FirstRequest(),
                                     [&](const BeginResult& r) { result = r; });
  cluster.schedule.faults.delayed_call = 100;
  cluster.schedule.RunOne();
  REQUIRE(cluster.store.calls.size() == 1);
  cluster.schedule.faults = FakeFaults();
  cluster.schedule.faults.refused = 100;
  cluster.instances[0]->client.down = true;
  const FakeStore::Call delayed_write = cluster.store.calls.front();
  cluster.store.calls.clear();
  cluster.schedule.RunAll();
  CHECK(result.status == BeginStatus::kUnavailable);
  CHECK(cluster.instances[0]->ledger.unconfirmed_writes() == 1);
  cluster.schedule.faults = FakeFaults();
  cluster.instances[0]->client.down = false;
  cluster.TickAll(std::chrono::seconds(1));
  cluster.schedule.RunAll();
  CHECK(cluster.instances[0]->ledger.unconfirmed_writes() == 0);
  CHECK(cluster.store.Apply(delayed_write).outcome == TableOutcome::kConflict);
  CHECK(cluster.Begin(1).status == BeginStatus::kOwned);
}

// One random run: a caller repeats the same request through any instance, under
// lost, refused and delayed calls and paused instances.
class RandomRun {
 public:
  explicit RandomRun(std::uint64_t seed)
      : cluster_(seed, FakeFaults{8, 12, 8, 12}) {}

  void Run() {
    for (int step = 0; step < 400; ++step) {
      DoRandomAction();
      for (int i = cluster_.schedule.Draw(6); i > 0; --i) {
        cluster_.schedule.RunOne();
      }
    }
    RunUntilSettled();
  }

  int sends = 0;
  std::string answer;
  bool replay_differs = false;
  bool completed = false;

 private:
  void DoRandomAction() {
    const int instance = cluster_.schedule.Draw(3);
    switch (cluster_.schedule.Draw(6)) {
      case 0:
        cluster_.schedule.paused.insert(instance);
        return;
      case 1:
        cluster_.schedule.paused.clear();
        return;
      case 2:
        cluster_.TickAll(std::chrono::milliseconds(300));
        return;
      default:
        BeginCall(instance);
    }
  }

  void BeginCall(int instance) {
    cluster_.instances[instance]->ledger.Begin(
        InvoiceKey(), "h1", FirstRequest(),
        [this, instance](const BeginResult& r) { OnBegin(instance, r); });
  }

  void OnBegin(int instance, const BeginResult& result) {
    if (result.status == BeginStatus::kReplay) {
      replay_differs |= result.answer.body != answer;
    }
    if (result.status != BeginStatus::kOwned) {
      return;
    }
    // A third of the calls cannot be sent, as after a refused connection.
    if (cluster_.schedule.Draw(3) == 0) {
      cluster_.instances[instance]->ledger.Release(result.ticket);
      return;
    }
    ++sends;
    answer = "answer " + std::to_string(sends);
    cluster_.instances[instance]->ledger.Complete(
        result.ticket, {200, "", answer}, std::nullopt, [](bool) {});
  }

  void RunUntilSettled() {
    cluster_.schedule.paused.clear();
    cluster_.schedule.faults = FakeFaults();
    for (int i = 0; i < 20; ++i) {
      cluster_.schedule.RunAll();
      cluster_.TickAll(std::chrono::seconds(6));
    }
    for (auto& instance : cluster_.instances) {
      completed |= instance->ledger.unconfirmed_writes() > 0;
    }
    completed = !completed;
  }

  Cluster cluster_;
};

// Guards against two sends for one key under lost, refused and delayed calls
// and paused instances, and against a write whose outcome is never resolved.
TEST_CASE("at most one ticket of a key permits a send", "[ledger][random]") {
  int runs_with_send = 0;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    INFO("seed " << seed);
    RandomRun run(seed);
    run.Run();
    REQUIRE(run.sends <= 1);
    REQUIRE_FALSE(run.replay_differs);
    REQUIRE(run.completed);
    runs_with_send += run.sends;
  }
  CHECK(runs_with_send > 300);
}

// A completion at i0 that the table service refuses, with i1 and i2 reachable.
class UnstoredCompletion {
 public:
  explicit UnstoredCompletion(Cluster& cluster)
      : cluster_(cluster), owner_(*cluster.instances[0]) {
    owner_.peers.peers = {InstanceId("i1"), InstanceId("i2")};
    for (const InstanceId& peer : owner_.peers.peers) {
      owner_.ledger.OnPeerUp(peer);
    }
    const BeginResult begun = cluster.Begin(0);
    REQUIRE(begun.status == BeginStatus::kOwned);
    owner_.client.down = true;
    Charge charge;
    charge.id = "museum/invoice/7";
    owner_.ledger.Complete(begun.ticket, {200, "application/json", "{}"},
                           charge, [this](bool) { answered_ = true; });
    cluster.schedule.RunAll();
  }

  // Delivers the copies that were sent to the peer, and its acknowledgements.
  void Exchange(int peer) {
    const InstanceId id("i" + std::to_string(peer));
    Instance& instance = *cluster_.instances[peer];
    for (const FakePeers::Sent& sent : owner_.peers.sent) {
      if (sent.to == id) {
        instance.ledger.OnPeerMessage(
            InstanceId("i0"), std::get<PeerExecutionReplica>(sent.message));
      }
    }
    for (const FakePeers::Sent& sent : instance.peers.sent) {
      owner_.ledger.OnPeerMessage(
          id, std::get<PeerExecutionReplicaAck>(sent.message));
    }
  }

  bool answered() const { return answered_; }
  Instance& owner() { return owner_; }

 private:
  Cluster& cluster_;
  Instance& owner_;
  bool answered_ = false;
};

// Guards against a charge that is lost with its instance because the caller
// got its answer before any peer held a copy.
TEST_CASE("a keyed answer waits until two peers hold its unstored charge",
          "[ledger]") {
  Cluster cluster(1);
  UnstoredCompletion completion(cluster);
  CHECK_FALSE(completion.answered());
  completion.Exchange(1);
  CHECK_FALSE(completion.answered());
  SECTION("the second peer confirms") {
    completion.Exchange(2);
  }
  SECTION("the second peer is lost") {
    completion.owner().ledger.OnPeerDown(InstanceId("i2"));
  }
  SECTION("the table service returns") {
    completion.owner().client.down = false;
    cluster.TickAll(std::chrono::milliseconds(300));
    cluster.schedule.RunAll();
  }
  CHECK(completion.answered());
}

// Guards against an answer that waits for peers that never confirm, and against
// the loss of a copy that is not sent again.
TEST_CASE("a keyed answer waits one second for copies that are not confirmed",
          "[ledger]") {
  Cluster cluster(1);
  UnstoredCompletion completion(cluster);
  cluster.TickAll(std::chrono::milliseconds(300));
  CHECK(completion.owner().peers.sent.size() == 4);
  cluster.TickAll(std::chrono::milliseconds(600));
  CHECK_FALSE(completion.answered());
  cluster.TickAll(std::chrono::milliseconds(200));
  CHECK(completion.answered());
}

// Guards against a charge that is lost because the peers that held it had
// started again before its instance was lost.
TEST_CASE("a peer that has started again gets a copy of unstored charges",
          "[ledger]") {
  Cluster cluster(1);
  UnstoredCompletion completion(cluster);
  for (const InstanceId& peer : {InstanceId("i1"), InstanceId("i2")}) {
    completion.owner().ledger.OnPeerDown(peer);
  }
  completion.owner().peers.sent.clear();
  completion.owner().ledger.OnPeerUp(InstanceId("i2"));
  REQUIRE(completion.owner().peers.sent.size() == 1);
  completion.Exchange(2);
  cluster.instances[2]->ledger.OnPeerDown(InstanceId("i0"));
  for (int i = 0; i < 12; ++i) {
    cluster.TickAll(std::chrono::milliseconds(500));
    cluster.schedule.RunAll();
  }
  CHECK(cluster.store.rows.begin()->second.value.find("museum/invoice/7") !=
        std::string::npos);
}

// Guards against a charge that is lost because its instance has started again
// and no longer knows it.
TEST_CASE("peers store a completion whose owner has started again",
          "[ledger]") {
  Cluster cluster(1);
  UnstoredCompletion completion(cluster);
  completion.Exchange(1);
  ExecutionLedger& peer = cluster.instances[1]->ledger;
  peer.OnPeerDown(InstanceId("i0"));
  cluster.TickAll(std::chrono::milliseconds(500));
  peer.OnPeerUp(InstanceId("i0"));
  for (int i = 0; i < 12; ++i) {
    cluster.TickAll(std::chrono::milliseconds(500));
    cluster.schedule.RunAll();
  }
  CHECK(cluster.store.rows.begin()->second.value.find("museum/invoice/7") !=
        std::string::npos);
}

// Guards against a charge that is lost because its last copy was read after the
// loss of the stream to its owner: the two directions are separate connections.
TEST_CASE("peers store a completion that arrives after the loss of its owner",
          "[ledger]") {
  bool copied_before = GENERATE(false, true);
  INFO("copied before: " << copied_before);
  Cluster cluster(1);
  UnstoredCompletion completion(cluster);
  if (copied_before) {
    completion.Exchange(1);
  }
  cluster.instances[1]->ledger.OnPeerDown(InstanceId("i0"));
  completion.Exchange(1);
  for (int i = 0; i < 60; ++i) {
    cluster.TickAll(std::chrono::milliseconds(500));
    cluster.schedule.RunAll();
  }
  CHECK(cluster.store.rows.begin()->second.value.find("museum/invoice/7") !=
        std::string::npos);
}

// Guards against pending writes that grow with each loss of a stream during an
// outage: the owner sends its copies again when the stream is back.
TEST_CASE("peers take over a completion once in an outage", "[ledger]") {
  Cluster cluster(1);
  UnstoredCompletion completion(cluster);
  Instance& peer = *cluster.instances[1];
  peer.client.down = true;
  for (int loss = 0; loss < 5; ++loss) {
    peer.ledger.OnPeerUp(InstanceId("i0"));
    completion.Exchange(1);
    peer.ledger.OnPeerDown(InstanceId("i0"));
    for (int i = 0; i < 12; ++i) {
      cluster.TickAll(std::chrono::milliseconds(500));
      cluster.schedule.RunAll();
    }
  }
  CHECK(peer.ledger.unconfirmed_writes() == 1);
}

// Guards against a charge that only its instance holds for the rest of an
// outage because the copies of the first second were lost.
TEST_CASE("copies are sent until peers confirm them", "[ledger]") {
  Cluster cluster(1);
  UnstoredCompletion completion(cluster);
  cluster.TickAll(std::chrono::milliseconds(1100));
  REQUIRE(completion.answered());
  completion.owner().peers.sent.clear();
  for (int i = 0; i < 20; ++i) {
    cluster.TickAll(std::chrono::milliseconds(500));
    cluster.schedule.RunAll();
  }
  CHECK(completion.owner().peers.sent.size() >= 2);
}

// Guards against an answer that is lost because the peers store a record of it
// that names an object that nobody has stored.
TEST_CASE("peers store a large answer whose owner is lost", "[ledger]") {
  const std::string body(100000, 'x');
  Cluster cluster(1);
  Instance& owner = *cluster.instances[0];
  owner.peers.peers = {InstanceId("i1")};
  const BeginResult begun = cluster.Begin(0);
  REQUIRE(begun.status == BeginStatus::kOwned);
  owner.client.objects_down = true;
  owner.client.down = true;
  cluster.Complete(0, begun.ticket, {200, "text/plain", body});
  REQUIRE(owner.peers.sent.size() == 1);
  ExecutionLedger& peer = cluster.instances[1]->ledger;
  peer.OnPeerMessage(InstanceId("i0"), std::get<PeerExecutionReplica>(
                                           owner.peers.sent.front().message));
  peer.OnPeerDown(InstanceId("i0"));
  for (int i = 0; i < 12; ++i) {
    cluster.clock.now += std::chrono::milliseconds(500);
    peer.Tick(cluster.clock.now);
    cluster.schedule.RunAll();
  }
  const BeginResult replay = cluster.Begin(2);
  CHECK(replay.status == BeginStatus::kReplay);
  CHECK(replay.answer.body.size() == body.size());
}

// Guards against peers that hold copies of stored completions until their owner
// is lost, and then take no others, because the message that they are stored
// was lost.
TEST_CASE("a peer takes copies again after messages were lost", "[ledger]") {
  Cluster cluster(1);
  Instance& peer = *cluster.instances[1];
  peer.ledger.OnPeerUp(InstanceId("i0"));
  PeerExecutionReplica copy;
  copy.account = AccountId("museum");
  copy.request_hash = "h1";
  copy.value = "{}";
  copy.sequence = 1;
  for (int i = 0; i < 10000; ++i) {
    copy.idempotency_key = std::to_string(i);
    copy.owner_token = "token" + std::to_string(i);
    peer.ledger.OnPeerMessage(InstanceId("i0"), copy);
  }
  REQUIRE(peer.peers.sent.size() == 10000);
  for (int i = 0; i < 120; ++i) {
    cluster.TickAll(std::chrono::milliseconds(500));
    cluster.schedule.RunAll();
  }
  peer.peers.sent.clear();
  copy.idempotency_key = "new";
  copy.owner_token = "new";
  peer.ledger.OnPeerMessage(InstanceId("i0"), copy);
  CHECK(peer.peers.sent.size() == 1);
}

// Guards against a charge that is lost with its instance if the table service
// was down when the answer was sent, and against two applied writes if the
// owner was only disconnected and later writes the record itself.
TEST_CASE("peers store a completion whose owner is lost", "[ledger]") {
  for (bool owner_returns : {false, true}) {
    INFO("owner returns: " << owner_returns);
    Cluster cluster(1);
    Instance& owner = *cluster.instances[0];
    owner.peers.peers = {InstanceId("i1"), InstanceId("i2")};
    BeginResult begun = cluster.Begin(0);
    REQUIRE(begun.status == BeginStatus::kOwned);
    owner.client.down = true;
    CHECK_FALSE(
        cluster.Complete(0, begun.ticket, {200, "application/json", "{}"}));
    REQUIRE(owner.peers.sent.size() == 2);
    for (int i : {1, 2}) {
      ExecutionLedger& ledger = cluster.instances[i]->ledger;
      ledger.OnPeerMessage(
          InstanceId("i0"),
          std::get<PeerExecutionReplica>(owner.peers.sent[i - 1].message));
      ledger.OnPeerDown(InstanceId("i0"));
    }
    owner.client.down = !owner_returns;
    for (int i = 0; i < 30; ++i) {
      cluster.TickAll(std::chrono::milliseconds(500));
      cluster.schedule.RunAll();
    }
    const TableRow& row = cluster.store.rows.begin()->second;
    CHECK(cluster.store.rows.size() == 1);
    CHECK(row.version == 2);
    CHECK(row.value.find("museum/invoice/7") != std::string::npos);
    CHECK(cluster.Begin(1).status == BeginStatus::kReplay);
  }
}

}  // namespace
}  // namespace filbertshift
