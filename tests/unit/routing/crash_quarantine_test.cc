// Tests of CrashQuarantine, including a simulation with several instances.

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>

#include "tests/unit/routing/routing_fixture.h"

namespace filbertshift {
namespace {

using namespace routing_test;  // NOLINT

constexpr Millis kRetention{3600000};
constexpr Fingerprint kPoison{1};

// Guards against blocking a request because several instances report the same
// crash, and against states that depend on the message order.
TEST_CASE("one crash counts once, however often reported", "[routing]") {
  CrashQuarantine quarantine(kRetention);
  const EndpointId e1("e1");
  CHECK(quarantine.OnCrash(e1, {kPoison, kPoison}, At(Millis(0))).size() == 1);
  CHECK(quarantine.OnCrash(e1, {kPoison}, At(Millis(1))).empty());
  CHECK_FALSE(quarantine.Merge(kPoison, {e1}, At(Millis(2))));
  CHECK(quarantine.Check(kPoison, At(Millis(3))) == CrashVerdict::kSuspect);
  CHECK(quarantine.Merge(kPoison, {EndpointId("e2"), e1}, At(Millis(4))));
  CHECK_FALSE(quarantine.Clear(kPoison));
  CHECK(quarantine.Check(kPoison, At(Millis(5))) == CrashVerdict::kBlocked);
}

// Guards against a request that crashes the only endpoint repeatedly.
TEST_CASE("a second crash of the same endpoint in an isolated run blocks",
          "[routing]") {
  CrashQuarantine quarantine(kRetention);
  CrashQuarantine peer(kRetention);
  const EndpointId e1("e1");
  quarantine.OnCrash(e1, {kPoison}, At(Millis(0)));
  quarantine.OnIsolatedRun(kPoison, e1);
  const auto changed = quarantine.OnCrash(e1, {kPoison}, At(Millis(1)));
  REQUIRE(changed.size() == 1);
  CHECK(quarantine.OnCrash(e1, {kPoison}, At(Millis(1))).empty());
  CHECK(quarantine.Check(kPoison, At(Millis(1))) == CrashVerdict::kBlocked);
  const auto& endpoints = changed[0].endpoints;
  peer.Merge(kPoison, {endpoints.begin(), endpoints.end()}, At(Millis(2)));
  CHECK(peer.Check(kPoison, At(Millis(2))) == CrashVerdict::kBlocked);
}

// Guards against suspects that never expire or stay suspects after a successful
// run.
TEST_CASE("suspects are cleared or expire", "[routing]") {
  CrashQuarantine quarantine(kRetention);
  quarantine.OnCrash(EndpointId("e1"), {kPoison, Fingerprint{2}},
                     At(Millis(0)));
  CHECK(quarantine.Clear(kPoison));
  CHECK_FALSE(quarantine.Clear(kPoison));
  CHECK(quarantine.Check(kPoison, At(Millis(1))) == CrashVerdict::kClear);
  CHECK(quarantine.Check(Fingerprint{2}, At(kRetention)) ==
        CrashVerdict::kClear);
  quarantine.OnCrash(EndpointId("e2"), {Fingerprint{2}}, At(kRetention));
  CHECK(quarantine.Check(Fingerprint{2}, At(kRetention)) ==
        CrashVerdict::kSuspect);
  quarantine.Expire(At(2 * kRetention));
  CHECK(quarantine.size() == 0);
}

// Four instances with real registries and a random interleaving of arrivals,
// runs, crashes, crash notices, messages and the loss of one instance. As the
// quarantine requires, a failure is reported to the caller, and the request
// sent again, only after the crash states have reached the other instances.
class PoisonSimulation {
 public:
  explicit PoisonSimulation(std::uint64_t seed) : random_(seed) {
    for (int seat = 0; seat < kInstances; ++seat) {
      instances_.emplace_back(seat, log_);
      Instance& instance = instances_.back();
      instance.registry->ApplyConfiguration(
          MakeConfiguration({0, 1, 2, 3}, {8, 8, Millis(0)}), At(Millis(0)));
      instance.registry->ApplyInstanceList(MakeEndpoints(kEndpoints),
                                           At(Millis(0)));
    }
    waiting_.push_back({kPoison, 0});
  }

  void Run(bool lose_one) {
    const int lost_at = lose_one ? Pick(random_, 0, 150) : -1;
    for (int step = 0; step < 400; ++step) {
      if (step == lost_at) {
        LoseInstance(Pick(random_, 0, kInstances - 1));
      }
      Step(step < 200);
    }
    while (!waiting_.empty() || !runs_.empty() || !notices_.empty() ||
           !messages_.empty()) {
      Step(false);
      REQUIRE(++drain_steps_ < 100000);
    }
  }

  int crashes() const { return crashes_; }
  bool notice_lost() const { return notice_lost_; }
  int arrived() const { return next_fingerprint_ - 2; }
  int finished() const { return finished_; }
  int wrongly_blocked() const { return wrongly_blocked_; }
  bool PoisonIsBlocked() const {
    return std::all_of(
        instances_.begin(), instances_.end(), [](const Instance& instance) {
          return !instance.alive ||
                 instance.quarantine.Check(kPoison, At(Millis(0))) ==
                     CrashVerdict::kBlocked;
        });
  }

 private:
  static constexpr int kInstances = 4;
  static constexpr int kEndpoints = 6;

  struct Instance {
    Instance(int seat, EventLog& log)
        : registry(
              std::make_unique<EndpointRegistry>(OptionsOfSeat(seat), log)),
          quarantine(kRetention) {}
    std::unique_ptr<EndpointRegistry> registry;
    CrashQuarantine quarantine;
    bool alive = true;
  };
  struct Waiting {
    Fingerprint fingerprint;
    // Messages with lower numbers must be delivered first.
    int after_message;
  };
  struct ActiveRun {
    AttemptId attempt;
    Fingerprint fingerprint;
    int instance;
    EndpointId endpoint;
    bool broken;
  };
  struct Notice {
    int instance;
    EndpointId endpoint;
  };
  struct Message {
    int number;
    int to;
    Fingerprint fingerprint;
    // Empty if the suspect was cleared.
    std::vector<EndpointId> endpoints;
  };

  template <class T>
  T Take(std::vector<T>* items) {
    const int index = Pick(random_, 0, static_cast<int>(items->size()) - 1);
    T item = (*items)[index];
    items->erase(items->begin() + index);
    return item;
  }

  void Step(bool arrivals) {
    const int action = Pick(random_, 0, 9);
    if (action < 2 && arrivals) {
      waiting_.push_back({static_cast<Fingerprint>(next_fingerprint_++), 0});
    } else if (action < 5 && !waiting_.empty()) {
      Submit(Take(&waiting_));
    } else if (action < 7 && !runs_.empty()) {
      EndRun(Pick(random_, 0, static_cast<int>(runs_.size()) - 1));
    } else if (action == 7 && !notices_.empty()) {
      NoticeCrash(Take(&notices_));
    } else if (!messages_.empty()) {
      Deliver(Take(&messages_));
    }
  }

  void Submit(const Waiting& request) {
    const bool early = std::any_of(
        messages_.begin(), messages_.end(),
        [&](const Message& m) { return m.number < request.after_message; });
    const int number = Pick(random_, 0, kInstances - 1);
    Instance& instance = instances_[number];
    if (early || !instance.alive) {
      waiting_.push_back(request);
      return;
    }
    const CrashVerdict verdict =
        instance.quarantine.Check(request.fingerprint, At(Millis(0)));
    if (verdict == CrashVerdict::kBlocked) {
      wrongly_blocked_ += request.fingerprint == kPoison ? 0 : 1;
      return;
    }
    EndpointQuery query = MakeQuery();
    query.suspect = verdict == CrashVerdict::kSuspect;
    const auto choice = instance.registry->Choose(query, At(Millis(0)));
    if (!choice) {
      waiting_.push_back(request);
      return;
    }
    const AttemptId attempt(fmt::format("{}", next_attempt_++));
    instance.registry->Reserve(choice->endpoint, attempt, request.fingerprint,
                               query, At(Millis(0)));
    if (query.suspect) {
      instance.quarantine.OnIsolatedRun(request.fingerprint, choice->endpoint);
    }
    runs_.push_back(
        {attempt, request.fingerprint, number, choice->endpoint, false});
  }

  void EndRun(int index) {
    const ActiveRun run = runs_[index];
    if (run.broken) {
      return;
    }
    if (run.fingerprint == kPoison) {
      Crash(run.endpoint);
      return;
    }
    runs_.erase(runs_.begin() + index);
    ++finished_;
    Instance& instance = instances_[run.instance];
    instance.registry->Release(run.attempt);
    if (instance.quarantine.Clear(run.fingerprint)) {
      Broadcast(run.instance, run.fingerprint, {});
    }
  }

  void Crash(const EndpointId& endpoint) {
    ++crashes_;
    std::set<int> affected;
    for (ActiveRun& run : runs_) {
      if (run.endpoint == endpoint) {
        run.broken = true;
        affected.insert(run.instance);
      }
    }
    for (int instance : affected) {
      notices_.push_back({instance, endpoint});
    }
  }

  void NoticeCrash(const Notice& notice) {
    Instance& instance = instances_[notice.instance];
    for (const SuspectState& state : instance.quarantine.OnCrash(
             notice.endpoint, instance.registry->InFlight(notice.endpoint),
             At(Millis(0)))) {
      Broadcast(notice.instance, state.fingerprint,
                {state.endpoints.begin(), state.endpoints.end()});
    }
    EndRunsOf(notice.instance, [&](const ActiveRun& run) {
      return run.broken && run.endpoint == notice.endpoint;
    });
  }

  // Ends the matching attempts and queues their requests again.
  template <class Predicate>
  void EndRunsOf(int instance, Predicate ended) {
    for (std::size_t i = 0; i < runs_.size();) {
      const ActiveRun run = runs_[i];
      if (run.instance != instance || !ended(run)) {
        ++i;
        continue;
      }
      instances_[instance].registry->Release(run.attempt);
      waiting_.push_back({run.fingerprint, next_message_});
      runs_.erase(runs_.begin() + static_cast<int>(i));
    }
  }

  // Endpoints cancel the requests of the lost instance. Crashes that it has not
  // processed yet are never recorded for its requests.
  void LoseInstance(int lost) {
    instances_[lost].alive = false;
    for (const ActiveRun& run : runs_) {
      notice_lost_ |=
          run.instance == lost && run.broken && run.fingerprint == kPoison;
    }
    EndRunsOf(lost, [](const ActiveRun&) { return true; });
    const auto of_lost = [lost](const auto& item) {
      return item.instance == lost;
    };
    notices_.erase(std::remove_if(notices_.begin(), notices_.end(), of_lost),
                   notices_.end());
    messages_.erase(
        std::remove_if(messages_.begin(), messages_.end(),
                       [lost](const Message& m) { return m.to == lost; }),
        messages_.end());
  }

  void Broadcast(int from,
                 Fingerprint fingerprint,
                 std::vector<EndpointId> endpoints) {
    for (int to = 0; to < kInstances; ++to) {
      if (to != from && instances_[to].alive) {
        messages_.push_back({next_message_++, to, fingerprint, endpoints});
      }
    }
  }

  void Deliver(const Message& message) {
    CrashQuarantine& quarantine = instances_[message.to].quarantine;
    if (message.endpoints.empty()) {
      quarantine.Clear(message.fingerprint);
    } else {
      quarantine.Merge(message.fingerprint, message.endpoints, At(Millis(0)));
    }
  }

  std::mt19937_64 random_;
  RecordingLog log_;
  std::vector<Instance> instances_;
  std::vector<Waiting> waiting_;
  std::vector<ActiveRun> runs_;
  std::vector<Notice> notices_;
  std::vector<Message> messages_;
  int next_fingerprint_ = 2;
  int next_attempt_ = 0;
  int next_message_ = 0;
  int crashes_ = 0;
  int finished_ = 0;
  int wrongly_blocked_ = 0;
  int drain_steps_ = 0;
  bool notice_lost_ = false;
};

// Guards against a request that crashes more than two endpoints, against
// blocking requests that ran concurrently with it, and against suspects that
// are never run again. If the instance that ran the request is lost before it
// processes the crash, the first crash is not recorded; the request may then
// crash one more endpoint, and an unrelated request may be blocked.
TEST_CASE("a poison request crashes at most two endpoints", "[routing]") {
  const std::uint64_t seed = TestSeed("poison request");
  const bool lose_one = GENERATE(false, true);
  int runs_with_lost_notice = 0;
  for (std::uint64_t run = 0; run < 300; ++run) {
    PoisonSimulation simulation(seed * 10000 + run);
    INFO("seed " << seed << " run " << run << " lose one " << lose_one);
    simulation.Run(lose_one);
    if (simulation.notice_lost()) {
      ++runs_with_lost_notice;
      REQUIRE(simulation.crashes() <= 3);
      continue;
    }
    REQUIRE(simulation.crashes() == 2);
    REQUIRE(simulation.wrongly_blocked() == 0);
    REQUIRE(simulation.finished() == simulation.arrived());
    REQUIRE(simulation.PoisonIsBlocked());
  }
  // Ensures that enough runs reach the strict checks above.
  CHECK(runs_with_lost_notice < 60);
  CHECK((lose_one || runs_with_lost_notice == 0));
}

}  // namespace
}  // namespace filbertshift
