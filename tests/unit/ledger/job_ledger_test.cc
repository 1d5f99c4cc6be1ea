// Tests of the jobs: accepted work survives its instance and has one result.

#include "src/ledger/job_ledger.h"

#include <catch2/catch.hpp>
#include <memory>
#include <set>

#include "tests/unit/ledger/fake_table.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

JobLedgerOptions OptionsOf(int instance) {
  JobLedgerOptions options;
  options.owner = "i" + std::to_string(instance);
  return options;
}

struct Instance {
  Instance(FakeStore& store, int number, Clock& clock, std::uint64_t seed)
      : client(store, number, log),
        random(seed),
        ledger(OptionsOf(number),
               client.table,
               client.objects,
               clock,
               random,
               log) {
    ledger.SetHandlers(
        [this](const JobClaim& claim) {
          held[claim.request.job] = claim;
          if (on_claim) {
            on_claim(claim);
          }
        },
        [this](const JobId& job) { held.erase(job); });
  }

  // By value: the caller may pass a key of `held`, which is erased here.
  void Finish(const JobId job, const std::string& body) {
    held.erase(job);
    Charge charge;
    charge.id = job.value();
    ledger.Finish(job, JobState::kDone, {200, "text/plain", body}, charge);
  }

  FakeEventLog log;
  FakeClient client;
  SystemRandom random;
  JobLedger ledger;
  // Jobs that this instance runs.
  std::map<JobId, JobClaim> held;
  std::function<void(const JobClaim&)> on_claim;
};

struct World {
  explicit World(std::uint64_t seed, FakeFaults faults = FakeFaults())
      : schedule(store, seed, faults) {
    for (int i = 0; i < 3; ++i) {
      instances.push_back(std::make_unique<Instance>(
          store, i, clock, seed + 1000ULL * static_cast<unsigned>(i) + 1));
      schedule.Add(&instances.back()->client);
    }
  }

  bool Accept(int instance, const std::string& job) {
    JobRequest request;
    request.job = JobId(job);
    request.account = AccountId("museum");
    request.headers = {{"X-Quality-Class", "draft"}};
    request.body = std::string("\xff body");
    bool durable = false;
    instances[instance]->ledger.Accept(request,
                                       [&durable](bool ok) { durable = ok; });
    schedule.RunAll();
    return durable;
  }

  JobStatus Status(int instance, const std::string& job) {
    JobStatus status;
    instances[instance]->ledger.Status(
        JobId(job), [&status](const JobStatus& s) { status = s; });
    schedule.RunAll();
    return status;
  }

  // Time passes for the instances of `ticking` only.
  void Pass(milliseconds time, const std::set<int>& ticking) {
    for (milliseconds t{0}; t < time; t += milliseconds(500)) {
      clock.now += milliseconds(500);
      for (int i : ticking) {
        instances[i]->ledger.Tick(clock.now, true);
      }
      schedule.RunAll();
    }
  }

  FakeStore store;
  FakeClock clock;
  FakeSchedule schedule;
  std::vector<std::unique_ptr<Instance>> instances;
};

// Guards against a job that is lost or changed between its instances; counts
// its table writes.
TEST_CASE("a job is claimed, finished and shown anywhere", "[ledger]") {
  World world(1);
  REQUIRE(world.Accept(0, "j/1"));
  CHECK(world.Status(1, "j/1").state == JobState::kQueued);
  CHECK_FALSE(world.Status(1, "other").known);
  world.Pass(milliseconds(500), {1});
  REQUIRE(world.instances[1]->held.count(JobId("j/1")) == 1);
  const JobClaim claim = world.instances[1]->held.at(JobId("j/1"));
  CHECK(claim.fence == 1);
  CHECK(claim.request.body == "\xff body");
  CHECK(claim.request.headers.at(0).value == "draft");
  world.instances[1]->Finish(JobId("j/1"), "report");
  world.schedule.RunAll();
  const JobStatus status = world.Status(2, "j/1");
  CHECK(status.state == JobState::kDone);
  CHECK(status.account == AccountId("museum"));
  CHECK(status.answer.body == "report");
  CHECK(world.store.writes == 3);
  CHECK(world.instances[1]->ledger.running() == 0);
}

// Guards against a job that is run a second time while its holder renews, and
// against one that stays with a lost holder.
TEST_CASE("a job changes its holder when the lease runs out", "[ledger]") {
  World world(2);
  REQUIRE(world.Accept(0, "j"));
  world.Pass(milliseconds(500), {1});
  world.Pass(milliseconds(60000), {1, 2});
  CHECK(world.instances[2]->held.empty());
  // Instance 2 sees the last renewal at most one scan interval late.
  world.Pass(milliseconds(9000), {2});
  CHECK(world.instances[2]->held.empty());
  world.Pass(milliseconds(5000), {2});
  REQUIRE(world.instances[2]->held.count(JobId("j")) == 1);
  CHECK(world.instances[2]->held.at(JobId("j")).fence == 2);
  // The old holder resumes and finishes before it learns of its loss.
  world.instances[1]->Finish(JobId("j"), "stale");
  world.schedule.RunAll();
  CHECK(world.Status(0, "j").state == JobState::kRunning);
  world.instances[2]->Finish(JobId("j"), "fresh");
  world.schedule.RunAll();
  CHECK(world.Status(0, "j").answer.body == "fresh");
}

// Guards against a 202 for a job that is not stored, and against a refusal of
// one that is.
TEST_CASE("acceptance tells whether the job is stored", "[ledger]") {
  World world(3);
  world.instances[0]->client.objects_down = true;
  CHECK_FALSE(world.Accept(0, "a"));
  world.instances[0]->client.objects_down = false;
  world.instances[0]->client.down = true;
  CHECK_FALSE(world.Accept(0, "b"));
  CHECK(world.store.rows.empty());
  world.instances[0]->client.down = false;
  world.schedule.faults.lost_reply = 100;
  int answers = 0;
  JobRequest request;
  request.job = JobId("c");
  world.instances[0]->ledger.Accept(
      request, [&answers](bool durable) { answers += durable ? 1 : 100; });
  world.schedule.RunAll();
  CHECK(answers == 0);
  world.schedule.faults = FakeFaults();
  world.clock.now += milliseconds(1000);
  world.instances[0]->ledger.Tick(world.clock.now, false);
  world.schedule.RunAll();
  CHECK(answers == 1);
}

// Guards against a job that is claimed again and again because its request
// cannot be read.
TEST_CASE("a job without stored request fails", "[ledger]") {
  World world(4);
  REQUIRE(world.Accept(0, "j"));
  world.store.objects.clear();
  world.Pass(milliseconds(1000), {1});
  CHECK(world.instances[1]->held.empty());
  CHECK(world.Status(0, "j").state == JobState::kFailed);
}

// Guards against more jobs at a time than an instance can run.
TEST_CASE("an instance claims at most max_running jobs", "[ledger]") {
  World world(5);
  for (int i = 0; i < 20; ++i) {
    REQUIRE(world.Accept(0, std::to_string(i)));
  }
  world.Pass(milliseconds(5000), {1});
  CHECK(world.instances[1]->held.size() == 8);
}

class RandomRun {
 public:
  explicit RandomRun(std::uint64_t seed)
      : world_(seed, FakeFaults{5, 10, 5, 10}) {
    for (int i = 0; i < 3; ++i) {
      world_.instances[i]->on_claim = [this, i](const JobClaim& claim) {
        CheckOnlyHolder(i, claim.request.job);
      };
    }
  }

  void Run() {
    for (int i = 0; i < 4; ++i) {
      JobRequest request;
      request.job = JobId(std::to_string(i));
      world_.instances[i % 3]->ledger.Accept(request, [](bool) {});
    }
    for (int step = 0; step < 600; ++step) {
      Act();
      for (int n = world_.schedule.Draw(8); n > 0; --n) {
        world_.schedule.RunOne();
      }
      CheckFinished();
    }
  }

  std::size_t finished() const { return finished_rows_.size(); }
  bool two_holders = false;
  bool changed_after_finish = false;

 private:
  void Act() {
    const int i = world_.schedule.Draw(3);
    Instance& instance = *world_.instances[i];
    switch (world_.schedule.Draw(10)) {
      case 0:
        if (world_.schedule.Draw(3) == 0) {
          world_.schedule.paused.insert(i);
        }
        return;
      case 1:
        world_.schedule.paused.clear();
        return;
      case 2:
        if (!instance.held.empty() && world_.schedule.paused.count(i) == 0) {
          instance.Finish(instance.held.begin()->first,
                          "by " + std::to_string(i));
        }
        return;
      default:
        world_.clock.now += milliseconds(world_.schedule.Draw(800));
        for (int k = 0; k < 3; ++k) {
          if (world_.schedule.paused.count(k) == 0) {
            world_.instances[k]->ledger.Tick(world_.clock.now, true);
          }
        }
    }
  }

  // Any other holder must know by its own clock that its lease has ended.
  void CheckOnlyHolder(int holder, const JobId& job) {
    for (int k = 0; k < 3; ++k) {
      if (k != holder) {
        world_.instances[k]->ledger.Tick(world_.clock.now, false);
        two_holders |= world_.instances[k]->held.count(job) > 0;
      }
    }
  }

  void CheckFinished() {
    for (const auto& [key, row] : world_.store.rows) {
      if (row.value.find("\"state\":\"done\"") == std::string::npos) {
        changed_after_finish |= finished_rows_.count(key) > 0;
        continue;
      }
      const auto [entry, inserted] = finished_rows_.emplace(key, row.version);
      changed_after_finish |= !inserted && entry->second != row.version;
    }
  }

  World world_;
  std::map<std::string, std::uint64_t> finished_rows_;
};

// Guards against two holders of a job at a time and against a second effective
// finish, in any order of losses, late effects and pauses.
TEST_CASE("a job has one holder and one effective finish", "[ledger][random]") {
  std::size_t finished = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    RandomRun run(seed);
    run.Run();
    REQUIRE_FALSE(run.two_holders);
    REQUIRE_FALSE(run.changed_after_finish);
    finished += run.finished();
  }
  // Most of the 1,200 jobs finish within a run.
  CHECK(finished > 600);
}

}  // namespace
}  // namespace filbertshift
