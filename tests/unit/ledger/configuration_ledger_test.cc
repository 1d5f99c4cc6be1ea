// Tests of the configuration sections: accepted changes take effect everywhere
// and never revert.

#include "src/ledger/configuration_ledger.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>

#include "tests/unit/ledger/fake_peers.h"
#include "tests/unit/ledger/fake_table.h"

namespace filbertshift {
namespace {

// Fails on the text "bad" and on an account section "needs <model>" for which
// the models section is not "<model>".
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

struct World {
  explicit World(std::uint64_t seed, FakeFaults faults = FakeFaults())
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
  World world(1);
  CHECK(world.Apply(0, Section::kModels, 0, "a").status ==
        ApplyStatus::kAccepted);
  const ApplyResult second = world.Apply(1, Section::kModels, 0, "b");
  CHECK(second.status == ApplyStatus::kConflict);
  CHECK(second.current.text == "a");
  CHECK(second.current.revision == 1);
  CHECK(world.Apply(1, Section::kModels, 1, "bad").status ==
        ApplyStatus::kInvalid);
  world.Poll();
  CHECK(world.ledger(2).sections().at(Section::kModels).text == "a");
  CHECK(world.ledger(2).configuration().seats_per_endpoint == 1);
  CHECK(world.store.Count("config-history/") == 1);
}

// Guards against two changes that are valid alone and invalid together: both
// would be accepted and neither could come into force.
TEST_CASE("changes of two sections are validated together", "[ledger]") {
  World world(2);
  REQUIRE(world.Apply(0, Section::kModels, 0, "m").status ==
          ApplyStatus::kAccepted);
  std::vector<ApplyStatus> statuses;
  const auto note = [&](const ApplyResult& r) { statuses.push_back(r.status); };
  world.ledger(0).Apply(Section::kModels, 1, "other", "ann", note);
  world.ledger(1).Apply(Section::kClientAccounts, 0, "needs m", "bob", note);
  world.schedule.RunAll();
  REQUIRE(statuses.size() == 2);
  CHECK(statuses[0] == ApplyStatus::kAccepted);
  CHECK(statuses[1] == ApplyStatus::kInvalid);
}

// Guards against an invalid stored section that stops the instance or hides
// valid changes of other sections.
TEST_CASE("an invalid stored section leaves the previous one", "[ledger]") {
  World world(3);
  world.Store("models", 1, "m");
  world.Poll();
  CHECK(world.ledger(0).verified());
  world.Store("models", 2, "bad");
  world.Store("data_centres", 1, "d");
  world.Poll();
  world.Poll();
  CHECK(world.ledger(0).sections().at(Section::kModels).revision == 1);
  CHECK(world.ledger(0).sections().at(Section::kDataCentres).revision == 1);
  CHECK(world.instances[0]->log.counts[EventId::kConfigurationRejected] == 1);
  world.Store("models", 3, "mm");
  world.Poll();
  CHECK(world.ledger(0).sections().at(Section::kModels).revision == 3);
}

// Guards against sections that refer to each other and arrive one by one.
TEST_CASE("a section waits for the one that it refers to", "[ledger]") {
  World world(4);
  world.ledger(0).OnPeerMessage(
      PeerConfigurationSection{"client_accounts", 4, "needs m"});
  CHECK(world.ledger(0).Revisions() == std::vector<std::uint64_t>{0, 0, 0, 0});
  world.ledger(0).OnPeerMessage(PeerConfigurationSection{"models", 2, "m"});
  CHECK(world.ledger(0).Revisions() == std::vector<std::uint64_t>{2, 4, 0, 0});
}

// Guards against a section that goes back when a peer or a lagging read offers
// an older revision, and against a text that changes under its revision.
TEST_CASE("older revisions are ignored", "[ledger]") {
  World world(5);
  world.Store("models", 5, "five");
  world.Poll();
  world.ledger(0).OnPeerMessage(PeerConfigurationSection{"models", 4, "four"});
  world.ledger(0).OnPeerMessage(PeerConfigurationSection{"models", 5, "else"});
  world.ledger(0).OnPeerMessage(PeerConfigurationSection{"nonsense", 9, "x"});
  CHECK(world.ledger(0).sections().at(Section::kModels).text == "five");
  CHECK(world.instances[0]->log.counts[EventId::kConfigurationStale] == 1);
  CHECK(world.instances[0]->log.counts[EventId::kPeerMessageRejected] == 1);
}

// Guards against an instance that serves with a configuration that nobody
// vouches for, and against one that never starts while the store is down.
TEST_CASE("a starting instance takes the sections of a verified peer",
          "[ledger]") {
  World world(6);
  world.Store("models", 5, "five");
  world.instances[1]->client.down = true;
  world.Poll();
  CHECK(world.ledger(0).verified());
  CHECK_FALSE(world.ledger(1).verified());
  PeerHeartbeat heartbeat;
  heartbeat.revisions = world.ledger(0).Revisions();
  world.ledger(1).OnPeerHeartbeat(InstanceId("i0"), heartbeat);
  heartbeat.accepting = true;
  world.ledger(1).OnPeerHeartbeat(InstanceId("i0"), heartbeat);
  CHECK_FALSE(world.ledger(1).verified());
  PeerHeartbeat behind;
  behind.revisions = world.ledger(1).Revisions();
  world.ledger(0).OnPeerHeartbeat(InstanceId("i1"), behind);
  const auto& sent = world.instances[0]->peers.sent;
  REQUIRE(sent.size() == 1);
  world.ledger(1).OnPeerMessage(
      std::get<PeerConfigurationSection>(sent[0].message));
  world.ledger(1).OnPeerHeartbeat(InstanceId("i0"), heartbeat);
  CHECK(world.ledger(1).verified());
}

// Guards against an accepted change that is lost, a refused one that is
// stored, and a section that goes back, in any order of losses.
TEST_CASE("accepted changes are stored once and never revert",
          "[ledger][random]") {
  int accepted_changes = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    World world(seed, FakeFaults{8, 12, 8, 12});
    std::map<std::string, ApplyStatus> statuses;
    std::vector<std::uint64_t> last(3, 0);
    for (int step = 0; step < 60; ++step) {
      const int i = world.schedule.Draw(3);
      const std::string text = "text" + std::to_string(step);
      const std::uint64_t base = world.ledger(i).Revisions()[0];
      world.ledger(i).Apply(
          Section::kModels, base, text, "ann",
          [&, text](const ApplyResult& r) { statuses[text] = r.status; });
      for (int n = world.schedule.Draw(20); n > 0; --n) {
        world.schedule.RunOne();
      }
      world.TickAll();
      for (int k = 0; k < 3; ++k) {
        REQUIRE(world.ledger(k).Revisions()[0] >= last[k]);
        last[k] = world.ledger(k).Revisions()[0];
      }
    }
    world.schedule.RunAll();
    REQUIRE(statuses.size() == 60);
    std::map<std::string, int> stored;
    for (const auto& [key, row] : world.store.rows) {
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
