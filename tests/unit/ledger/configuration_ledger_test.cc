// Tests of ConfigurationLedger: accepted changes become active on all instances
// and never revert.

#include "src/ledger/configuration_ledger.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>

#include "tests/unit/ledger/fake_peers.h"
#include "tests/unit/ledger/fake_table.h"

namespace filbertshift {
namespace {

// Rejects the section text "bad", and an account section "needs <model>" unless
// the models section is "<model>".
Configuration ParseForTest(const SectionTexts& sections) {
  const std::string& models = sections.at(Section::kModels).text;
  const std::string& accounts = sections.at(Section::kClientAccounts).text;
  for (const auto& [section, text] : sections) {
    if (text.text == "bad") {
      throw FindingsError({Finding{"x", "", 1, 1, "bad"}});
    }
  }
  if (accounts.rfind("needs ", 0) == 0 && accounts != "needs " + models) {
    throw FindingsError({Finding{"x", "", 1, 1, "unknown model"}});
  }
  Configuration configuration;
  configuration.seats_per_endpoint = static_cast<int>(models.size());
  return configuration;
}

struct Instance {
  Instance(FakeStore& store, int number, Clock& clock)
      : client(store, number, log),
        ledger(std::chrono::milliseconds(2000),
               client.table,
               peers,
               clock,
               log,
               ParseForTest) {}

  FakeEventLog log;
  FakeClient client;
  FakePeers peers;
  ConfigurationLedger ledger;
};

struct Cluster {
  explicit Cluster(std::uint64_t seed, FakeFaults faults = FakeFaults())
      : schedule(store, seed, faults) {
    for (int i = 0; i < 3; ++i) {
      instances.push_back(std::make_unique<Instance>(store, i, clock));
      schedule.Add(&instances.back()->client);
    }
  }

  ConfigurationLedger& ledger(int instance) {
    return instances[instance]->ledger;
  }

  void TickAll() {
    clock.now += std::chrono::milliseconds(2000);
    for (auto& instance : instances) {
      instance->ledger.Tick(clock.now);
    }
  }

  void Poll() {
    TickAll();
    schedule.RunAll();
  }

  ApplyResult Apply(int instance,
                    Section section,
                    std::uint64_t base,
                    const std::string& text) {
    ApplyResult result;
    ledger(instance).Apply(section, base, text, "ann",
                           [&result](const ApplyResult& r) { result = r; });
    schedule.RunAll();
    return result;
  }

  void Store(const std::string& section,
             std::uint64_t revision,
             const std::string& text) {
    TableRow& row = store.rows["config/" + section];
    row.key = "config/" + section;
    ++row.version;
    row.value = "{\"revision\":" + std::to_string(revision) + ",\"text\":\"" +
                text + "\"}";
  }

  FakeStore store;
  FakeClock clock;
  FakeSchedule schedule;
  std::vector<std::unique_ptr<Instance>> instances;
};

// Guards against a lost update when two operators edit the same section.
TEST_CASE("a concurrent change of a section is a conflict", "[ledger]") {
  Cluster cluster(1);
  CHECK(cluster.Apply(0, Section::kModels, 0, "a").status ==
        ApplyStatus::kAccepted);
  const ApplyResult second = cluster.Apply(1, Section::kModels, 0, "b");
  CHECK(second.status == ApplyStatus::kConflict);
  CHECK(second.current.text == "a");
  CHECK(second.current.revision == 1);
  CHECK(cluster.Apply(1, Section::kModels, 1, "bad").status ==
        ApplyStatus::kInvalid);
  cluster.Poll();
  CHECK(cluster.ledger(2).sections().at(Section::kModels).text == "a");
  CHECK(cluster.ledger(2).configuration().seats_per_endpoint == 1);
  CHECK(cluster.store.Count("config-history/") == 1);
}

// Guards against two changes that are valid alone and invalid together: if both
// were accepted, neither could become active.
TEST_CASE("changes of two sections are validated together", "[ledger]") {
  Cluster cluster(2);
  REQUIRE(cluster.Apply(0, Section::kModels, 0, "m").status ==
          ApplyStatus::kAccepted);
  std::vector<ApplyStatus> statuses;
  const auto record_status = [&](const ApplyResult& r) {
    statuses.push_back(r.status);
  };
  cluster.ledger(0).Apply(Section::kModels, 1, "other", "ann", record_status);
  cluster.ledger(1).Apply(Section::kClientAccounts, 0, "needs m", "bob",
                          record_status);
  cluster.schedule.RunAll();
  REQUIRE(statuses.size() == 2);
  CHECK(statuses[0] == ApplyStatus::kAccepted);
  CHECK(statuses[1] == ApplyStatus::kInvalid);
}

// Guards against an invalid stored section that stops the instance or blocks
// valid changes of other sections.
TEST_CASE("an invalid stored section keeps the previous revision active",
          "[ledger]") {
  Cluster cluster(3);
  cluster.Store("models", 1, "m");
  cluster.Poll();
  CHECK(cluster.ledger(0).verified());
  cluster.Store("models", 2, "bad");
  cluster.Store("data_centres", 1, "d");
  cluster.Poll();
  cluster.Poll();
  CHECK(cluster.ledger(0).sections().at(Section::kModels).revision == 1);
  CHECK(cluster.ledger(0).sections().at(Section::kDataCentres).revision == 1);
  CHECK(cluster.instances[0]->log.counts[EventId::kConfigurationRejected] == 1);
  cluster.Store("models", 3, "mm");
  cluster.Poll();
  CHECK(cluster.ledger(0).sections().at(Section::kModels).revision == 3);
}

// Guards against the rejection of sections that refer to each other and arrive
// one at a time.
TEST_CASE("a section becomes active after the section it refers to",
          "[ledger]") {
  Cluster cluster(4);
  cluster.ledger(0).OnPeerMessage(
      PeerConfigurationSection{"client_accounts", 4, "needs m"});
  CHECK(cluster.ledger(0).Revisions() ==
        std::vector<std::uint64_t>{0, 0, 0, 0});
  cluster.ledger(0).OnPeerMessage(PeerConfigurationSection{"models", 2, "m"});
  CHECK(cluster.ledger(0).Revisions() ==
        std::vector<std::uint64_t>{2, 4, 0, 0});
}

// Guards against a section that reverts when a peer or a stale read delivers an
// older revision, and against different texts with the same revision.
TEST_CASE("older revisions are ignored", "[ledger]") {
  Cluster cluster(5);
  cluster.Store("models", 5, "five");
  cluster.Poll();
  cluster.ledger(0).OnPeerMessage(
      PeerConfigurationSection{"models", 4, "four"});
  cluster.ledger(0).OnPeerMessage(
      PeerConfigurationSection{"models", 5, "else"});
  cluster.ledger(0).OnPeerMessage(PeerConfigurationSection{"nonsense", 9, "x"});
  CHECK(cluster.ledger(0).sections().at(Section::kModels).text == "five");
  CHECK(cluster.instances[0]->log.counts[EventId::kConfigurationStale] == 1);
  CHECK(cluster.instances[0]->log.counts[EventId::kPeerMessageRejected] == 1);
}

// Guards against an instance that serves with an unverified configuration, and
// against one that never starts while the store is down.
TEST_CASE("a starting instance takes the sections of a verified peer",
          "[ledger]") {
  Cluster cluster(6);
  cluster.Store("models", 5, "five");
  cluster.instances[1]->client.down = true;
  cluster.Poll();
  CHECK(cluster.ledger(0).verified());
  CHECK_FALSE(cluster.ledger(1).verified());
  PeerHeartbeat heartbeat;
  heartbeat.revisions = cluster.ledger(0).Revisions();
  cluster.ledger(1).OnPeerHeartbeat(InstanceId("i0"), heartbeat);
  heartbeat.accepting = true;
  cluster.ledger(1).OnPeerHeartbeat(InstanceId("i0"), heartbeat);
  CHECK_FALSE(cluster.ledger(1).verified());
  PeerHeartbeat behind;
  behind.revisions = cluster.ledger(1).Revisions();
  cluster.ledger(0).OnPeerHeartbeat(InstanceId("i1"), behind);
  const auto& sent = cluster.instances[0]->peers.sent;
  REQUIRE(sent.size() == 1);
  cluster.ledger(1).OnPeerMessage(
      std::get<PeerConfigurationSection>(sent[0].message));
  cluster.ledger(1).OnPeerHeartbeat(InstanceId("i0"), heartbeat);
  CHECK(cluster.ledger(1).verified());
}

// Guards against an accepted change that is lost, a rejected one that is stored
// and a section that reverts, under random lost, refused and delayed calls.
TEST_CASE("accepted changes are stored once and never revert",
          "[ledger][random]") {
  int accepted_changes = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    Cluster cluster(seed, FakeFaults{8, 12, 8, 12});
    std::map<std::string, ApplyStatus> statuses;
    std::vector<std::uint64_t> last(3, 0);
    for (int step = 0; step < 60; ++step) {
      const int i = cluster.schedule.Draw(3);
      const std::string text = "text" + std::to_string(step);
      const std::uint64_t base = cluster.ledger(i).Revisions()[0];
      cluster.ledger(i).Apply(
          Section::kModels, base, text, "ann",
          [&, text](const ApplyResult& r) { statuses[text] = r.status; });
      for (int n = cluster.schedule.Draw(20); n > 0; --n) {
        cluster.schedule.RunOne();
      }
      cluster.TickAll();
      for (int k = 0; k < 3; ++k) {
        REQUIRE(cluster.ledger(k).Revisions()[0] >= last[k]);
        last[k] = cluster.ledger(k).Revisions()[0];
      }
    }
    cluster.schedule.RunAll();
    REQUIRE(statuses.size() == 60);
    std::map<std::string, int> stored;
    for (const auto& [key, row] : cluster.store.rows) {
      for (const auto& [text, status] : statuses) {
        const bool has_text =
            row.value.find("\"" + text + "\"") != std::string::npos;
        stored[text] += has_text && key.rfind("config-history/", 0) == 0;
      }
    }
    for (const auto& [text, status] : statuses) {
      REQUIRE(stored[text] <= 1);
      if (status != ApplyStatus::kUnknown) {
        REQUIRE(stored[text] == (status == ApplyStatus::kAccepted ? 1 : 0));
      }
      accepted_changes += status == ApplyStatus::kAccepted ? 1 : 0;
    }
  }
  CHECK(accepted_changes > 200);
}

}  // namespace
}  // namespace filbertshift
