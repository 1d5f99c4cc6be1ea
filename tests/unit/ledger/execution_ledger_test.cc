// Tests of the execution records: at most one send for each key.

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

// One entry instance with its ledger.
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

struct World {
  explicit World(std::uint64_t seed, FakeFaults faults = FakeFaults())
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

// Guards against a second send, a changed replay and an unnoticed reuse of a
// key; counts the table writes that docs/decisions/0003-at-most-once.md gives.
TEST_CASE("a done call is replayed on another instance", "[ledger]") {
  World world(1);
  const BeginResult first = world.Begin(0);
  REQUIRE(first.status == BeginStatus::kOwned);
  CHECK(world.Begin(1).status == BeginStatus::kInProgress);
  CHECK(world.Begin(1, "h2").status == BeginStatus::kKeyReused);
  const int writes_before = world.store.writes;
  CHECK(world.Complete(0, first.ticket, {201, "text/plain", "paid"}));
  CHECK(world.store.writes == writes_before + 1);
  const BeginResult replay = world.Begin(2);
  REQUIRE(replay.status == BeginStatus::kReplay);
  CHECK(replay.answer.http_status == 201);
  CHECK(replay.answer.content_type == "text/plain");
  CHECK(replay.answer.body == "paid");
  CHECK(world.store.rows.begin()->second.value.find("\"charge\"") !=
        std::string::npos);
}

// Guards against more than the two table writes and no read for each new call.
TEST_CASE("1,000 calls with a key cost 2,000 table writes", "[ledger]") {
  World world(2);
  for (int i = 0; i < 1000; ++i) {
    const ExecutionKey key{AccountId("museum"), std::to_string(i)};
    BeginResult result;
    auto& ledger = world.instances[i % 3]->ledger;
    ledger.Begin(key, "h", FirstRequest(),
                 [&](const BeginResult& r) { result = r; });
    world.schedule.RunAll();
    REQUIRE(result.status == BeginStatus::kOwned);
    world.Complete(i % 3, result.ticket, {200, "", "ok"});
  }
  CHECK(world.store.writes == 2000);
  CHECK(world.store.reads == 0);
}

// Guards against a changed answer when the body does not fit into a row.
TEST_CASE("large and binary answers are replayed unchanged", "[ledger]") {
  const std::string body =
      GENERATE(std::string(100000, 'x'), std::string("\xff\x00\xfe", 3));
  World world(3);
  const BeginResult first = world.Begin(0);
  world.instances[0]->client.objects_down = true;
  CHECK_FALSE(world.Complete(0, first.ticket, {200, "image/png", body}));
  CHECK(world.Begin(1).status == BeginStatus::kInProgress);
  world.instances[0]->client.objects_down = false;
  world.TickAll(std::chrono::seconds(1));
  world.schedule.RunAll();
  CHECK(world.instances[0]->ledger.unconfirmed() == 0);
  const BeginResult replay = world.Begin(1);
  REQUIRE(replay.status == BeginStatus::kReplay);
  CHECK(replay.answer.body == body);
}

// Guards against a key that stays blocked after a call that was not sent.
TEST_CASE("a released key can be taken again", "[ledger]") {
  World world(4);
  const BeginResult first = world.Begin(0);
  world.instances[0]->ledger.Release(first.ticket);
  world.schedule.RunAll();
  CHECK(world.Begin(1, "h2").status == BeginStatus::kKeyReused);
  CHECK(world.Begin(1).status == BeginStatus::kOwned);
}

// Guards against a send without a durable record, and against a late write
// that blocks the key for ever.
TEST_CASE("an unconfirmed record is released when the store returns",
          "[ledger]") {
  World world(5);
  BeginResult result;
  result.status = BeginStatus::kOwned;
  world.instances[0]->ledger.Begin(InvoiceKey(), "h1", FirstRequest(),
                                   [&](const BeginResult& r) { result = r; });
  world.schedule.faults.late_effect = 100;
  world.schedule.RunOne();
  REQUIRE(world.store.calls.size() == 1);
  world.schedule.faults = FakeFaults();
  world.schedule.faults.refused = 100;
  world.instances[0]->client.down = true;
  const FakeStore::Call late = world.store.calls.front();
  world.store.calls.clear();
  world.schedule.RunAll();
  CHECK(result.status == BeginStatus::kUnavailable);
  CHECK(world.instances[0]->ledger.unconfirmed() == 1);
  world.schedule.faults = FakeFaults();
  world.instances[0]->client.down = false;
  world.TickAll(std::chrono::seconds(1));
  world.schedule.RunAll();
  CHECK(world.instances[0]->ledger.unconfirmed() == 0);
  CHECK(world.store.Apply(late).outcome == TableOutcome::kConflict);
  CHECK(world.Begin(1).status == BeginStatus::kOwned);
}

// One caller that sends the same request again through any instance until it
// has an answer, under losses, late effects, pauses and lost instances.
class RandomRun {
 public:
  explicit RandomRun(std::uint64_t seed)
      : world_(seed, FakeFaults{8, 12, 8, 12}) {}

  void Run() {
    for (int step = 0; step < 400; ++step) {
      Act();
      for (int i = world_.schedule.Draw(6); i > 0; --i) {
        world_.schedule.RunOne();
      }
    }
    Settle();
  }

  int sends = 0;
  std::string answer;
  bool changed_replay = false;
  bool completed = false;

 private:
  void Act() {
    const int instance = world_.schedule.Draw(3);
    switch (world_.schedule.Draw(6)) {
      case 0:
        world_.schedule.paused.insert(instance);
        return;
      case 1:
        world_.schedule.paused.clear();
        return;
      case 2:
        world_.TickAll(std::chrono::milliseconds(300));
        return;
      default:
        Try(instance);
    }
  }

  void Try(int instance) {
    world_.instances[instance]->ledger.Begin(
        InvoiceKey(), "h1", FirstRequest(),
        [this, instance](const BeginResult& r) { OnBegin(instance, r); });
  }

  void OnBegin(int instance, const BeginResult& result) {
    if (result.status == BeginStatus::kReplay) {
      changed_replay |= result.answer.body != answer;
    }
    if (result.status != BeginStatus::kOwned) {
      return;
    }
    // A third of the calls cannot be sent, as with a refused connection.
    if (world_.schedule.Draw(3) == 0) {
      world_.instances[instance]->ledger.Release(result.ticket);
      return;
    }
    ++sends;
    answer = "answer " + std::to_string(sends);
    world_.instances[instance]->ledger.Complete(
        result.ticket, {200, "", answer}, std::nullopt, [](bool) {});
  }

  void Settle() {
    world_.schedule.paused.clear();
    world_.schedule.faults = FakeFaults();
    for (int i = 0; i < 20; ++i) {
      world_.schedule.RunAll();
      world_.TickAll(std::chrono::seconds(6));
    }
    for (auto& instance : world_.instances) {
      completed |= instance->ledger.unconfirmed() > 0;
    }
    completed = !completed;
  }

  World world_;
};

// Guards against two sends for one key in any order of losses, late effects
// and pauses, and against a write that is never resolved.
TEST_CASE("at most one ticket of a key permits a send", "[ledger][random]") {
  int runs_with_send = 0;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    INFO("seed " << seed);
    RandomRun run(seed);
    run.Run();
    REQUIRE(run.sends <= 1);
    REQUIRE_FALSE(run.changed_replay);
    REQUIRE(run.completed);
    runs_with_send += run.sends;
  }
  CHECK(runs_with_send > 300);
}

// Guards against a charge that is lost with its instance, when the table
// service was down as the answer went out; and against two effective writes
// when the owner was only cut off and writes later itself.
TEST_CASE("peers store a completion whose owner is lost", "[ledger]") {
  for (bool owner_returns : {false, true}) {
    INFO("owner returns: " << owner_returns);
    World world(1);
    Instance& owner = *world.instances[0];
    owner.peers.peers = {InstanceId("i1"), InstanceId("i2")};
    BeginResult begun = world.Begin(0);
    REQUIRE(begun.status == BeginStatus::kOwned);
    owner.client.down = true;
    CHECK_FALSE(
        world.Complete(0, begun.ticket, {200, "application/json", "{}"}));
    REQUIRE(owner.peers.sent.size() == 2);
    for (int i : {1, 2}) {
      ExecutionLedger& ledger = world.instances[i]->ledger;
      ledger.OnPeerMessage(
          InstanceId("i0"),
          std::get<PeerExecutionReplica>(owner.peers.sent[i - 1].message));
      ledger.OnPeerDown(InstanceId("i0"));
    }
    owner.client.down = !owner_returns;
    for (int i = 0; i < 30; ++i) {
      world.TickAll(std::chrono::milliseconds(500));
      world.schedule.RunAll();
    }
    const TableRow& row = world.store.rows.begin()->second;
    CHECK(world.store.rows.size() == 1);
    CHECK(row.version == 2);
    CHECK(row.value.find("museum/invoice/7") != std::string::npos);
    CHECK(world.Begin(1).status == BeginStatus::kReplay);
  }
}

}  // namespace
}  // namespace filbertshift
