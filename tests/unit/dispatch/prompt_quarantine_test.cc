// Tests of the quarantine of prompt parts, and of what instances tell each
// other about crashes.

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "src/dispatch/dispatch.h"

namespace filbertshift {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const TimePoint kStart = TimePoint(hours(1));
// What the platform allows: so many crashes, and then the time in which
// instances hear of each other.
constexpr int kMaxCrashes = 5;
constexpr seconds kContactTime{3};

CrashProfile Profile(int request, const std::vector<std::string>& parts) {
  return MakeCrashProfile(
      ServiceId("s"), Fingerprint{static_cast<std::uint64_t>(request)}, parts);
}

EndpointId Endpoint(int number) {
  return EndpointId("e" + std::to_string(number));
}

// Answers to other requests, without which nothing is blocked.
void AnswerOthers(PromptQuarantine* quarantine, TimePoint now) {
  for (int i = 0; i < 60; ++i) {
    quarantine->OnAnswered(Profile(900 + i, {"first"}), now);
  }
}

// Crashes that have only the part "bad" in common, until something is blocked.
// Returns their number.
int CrashUntilBlocked(PromptQuarantine* quarantine, TimePoint start) {
  int crashes = 0;
  while (quarantine->blocks().empty() && crashes < 20) {
    TimePoint now = start + milliseconds(300 * crashes);
    AnswerOthers(quarantine, now - milliseconds(100));
    quarantine->OnCrash(
        Endpoint(crashes),
        {Profile(crashes, {"first", "bad"}),
         Profile(100 + crashes, {"first", "sound" + std::to_string(crashes)})},
        now);
    AnswerOthers(quarantine, now + milliseconds(50));
    quarantine->Evaluate(now + milliseconds(50));
    ++crashes;
  }
  return crashes;
}

bool IsAllowed(PromptQuarantine* quarantine,
               const std::vector<std::string>& parts,
               TimePoint now) {
  return quarantine->Admit(Profile(5000, parts), now).allowed;
}

TEST_CASE("a part that crashes have in common is blocked", "[dispatch]") {
  PromptQuarantine quarantine;
  CHECK(CrashUntilBlocked(&quarantine, kStart) <= kMaxCrashes);
  TimePoint now = kStart + seconds(2);
  PromptQuarantine::Admission admission =
      quarantine.Admit(Profile(7, {"first", "bad"}), now);
  CHECK_FALSE(admission.allowed);
  CHECK(admission.cause == CauseId("part/s/bad"));
  CHECK(admission.retry_after > minutes(9));
  CHECK(IsAllowed(&quarantine, {"first", "sound1"}, now));
  CHECK(IsAllowed(&quarantine, {"first"}, now));
}

TEST_CASE("another service is not affected by a blocked part", "[dispatch]") {
  PromptQuarantine quarantine;
  CrashUntilBlocked(&quarantine, kStart);
  CHECK(quarantine
            .Admit(MakeCrashProfile(ServiceId("t"), Fingerprint{1}, {"bad"}),
                   kStart + seconds(1))
            .allowed);
}

TEST_CASE("a request that crashes endpoints again and again is blocked",
          "[dispatch]") {
  PromptQuarantine quarantine;
  for (int i = 0; i < kMaxCrashes; ++i) {
    TimePoint now = kStart + seconds(i);
    AnswerOthers(&quarantine, now - milliseconds(50));
    quarantine.OnCrash(Endpoint(i), {Profile(1, {"first", "rare"})}, now);
    AnswerOthers(&quarantine, now + milliseconds(50));
  }
  quarantine.Evaluate(kStart + seconds(5));
  CHECK_FALSE(
      quarantine.Admit(Profile(1, {"first", "rare"}), kStart + seconds(5))
          .allowed);
  // Its parts are not blocked for one request.
  CHECK(IsAllowed(&quarantine, {"first", "rare"}, kStart + seconds(5)));
}

TEST_CASE("crashes of one moment block nothing", "[dispatch]") {
  PromptQuarantine quarantine;
  for (int i = 0; i < 8; ++i) {
    quarantine.OnCrash(Endpoint(i), {Profile(i, {"first", "shared"})},
                       kStart + milliseconds(i));
  }
  AnswerOthers(&quarantine, kStart + milliseconds(500));
  quarantine.Evaluate(kStart + milliseconds(500));
  CHECK(quarantine.blocks().empty());
}

TEST_CASE("without answers to others nothing is blocked", "[dispatch]") {
  PromptQuarantine quarantine;
  for (int i = 0; i < 10; ++i) {
    quarantine.OnCrash(Endpoint(i), {Profile(i, {"first", "shared"})},
                       kStart + seconds(i));
  }
  quarantine.Evaluate(kStart + seconds(10));
  CHECK(quarantine.blocks().empty());
}

// An endpoint that restarts takes seconds; several instances report its crash.
TEST_CASE("reports of one crash count once", "[dispatch]") {
  PromptQuarantine quarantine;
  for (int i = 0; i < 6; ++i) {
    quarantine.OnCrash(Endpoint(1), {Profile(i, {"first", "bad"})},
                       kStart + milliseconds(150 * i));
  }
  AnswerOthers(&quarantine, kStart + seconds(1));
  quarantine.Evaluate(kStart + seconds(1));
  CHECK(quarantine.blocks().empty());
}

TEST_CASE("an answer clears a part of crashes and blocks", "[dispatch]") {
  PromptQuarantine quarantine;
  SECTION("before it is blocked") {
    quarantine.OnCrash(Endpoint(1), {Profile(1, {"bad"})}, kStart);
    quarantine.OnCrash(Endpoint(2), {Profile(2, {"bad"})}, kStart + seconds(1));
    quarantine.OnAnswered(Profile(3, {"bad"}), kStart + seconds(2));
    quarantine.OnCrash(Endpoint(3), {Profile(4, {"bad"})}, kStart + seconds(3));
    AnswerOthers(&quarantine, kStart + seconds(4));
    quarantine.Evaluate(kStart + seconds(4));
    CHECK(quarantine.blocks().empty());
  }
  SECTION("afterwards, by a request that was sent before") {
    CrashUntilBlocked(&quarantine, kStart);
    REQUIRE(quarantine.blocks().size() == 1);
    quarantine.OnAnswered(Profile(9, {"first", "bad"}), kStart + seconds(2));
    CHECK(quarantine.blocks().empty());
  }
}

// A part that turns bad after it was answered many times.
TEST_CASE("a part in use takes more crashes to be blocked", "[dispatch]") {
  PromptQuarantine quarantine;
  quarantine.OnAnswered(Profile(1, {"first", "bad"}), kStart);
  int needed = 0;
  while (quarantine.blocks().empty() && needed < 20) {
    TimePoint now = kStart + milliseconds(300 * ++needed);
    AnswerOthers(&quarantine, now - milliseconds(50));
    quarantine.OnCrash(Endpoint(needed), {Profile(needed, {"first", "bad"})},
                       now);
    AnswerOthers(&quarantine, now + milliseconds(50));
    quarantine.Evaluate(now + milliseconds(50));
  }
  CHECK(needed > 3);
  CHECK(needed <= 8);
}

TEST_CASE("a block is tried by one instance, at growing intervals",
          "[dispatch]") {
  PromptQuarantine quarantine;
  CrashUntilBlocked(&quarantine, kStart);
  TimePoint lapsed = kStart + minutes(11);
  // Instances take turns of 30 s.
  quarantine.SetTrialTurn([](const CauseId&) {
    return PromptQuarantine::TrialTurn{99, 100};
  });
  CHECK_FALSE(IsAllowed(&quarantine, {"bad"}, lapsed));
  CHECK(IsAllowed(&quarantine, {"bad"}, lapsed + minutes(49)));
  quarantine.SetTrialTurn([](const CauseId&) {
    return PromptQuarantine::TrialTurn{0, 1};
  });
  lapsed += minutes(60);
  CHECK(IsAllowed(&quarantine, {"bad"}, lapsed));
  // One request at a time.
  CHECK_FALSE(IsAllowed(&quarantine, {"bad"}, lapsed + seconds(1)));
  SECTION("it crashes another endpoint") {
    quarantine.OnCrash(Endpoint(9), {Profile(5000, {"bad"})},
                       lapsed + seconds(2));
    CHECK_FALSE(IsAllowed(&quarantine, {"bad"}, lapsed + minutes(19)));
    CHECK(quarantine.blocks().begin()->second.strikes == 1);
    CHECK(IsAllowed(&quarantine, {"bad"}, lapsed + minutes(21)));
  }
  SECTION("it is answered") {
    quarantine.OnAnswered(Profile(5000, {"bad"}), lapsed + seconds(2));
    CHECK(quarantine.blocks().empty());
  }
}

TEST_CASE("instances that each saw one crash block a part together",
          "[dispatch]") {
  std::vector<PromptQuarantine> instances(5);
  for (int i = 0; i < 5; ++i) {
    TimePoint now = kStart + milliseconds(300 * i);
    PromptQuarantine& instance = instances[static_cast<std::size_t>(i)];
    AnswerOthers(&instance, now - milliseconds(50));
    instance.OnCrash(Endpoint(i), {Profile(i, {"first", "bad"})}, now);
    AnswerOthers(&instance, now + milliseconds(100));
  }
  TimePoint now = kStart + seconds(2);
  for (int i : {0, 1, 3, 4}) {
    instances[2].Merge(
        instances[static_cast<std::size_t>(i)].Export(milliseconds(0), now),
        now);
  }
  instances[2].Evaluate(now);
  REQUIRE(instances[2].blocks().size() == 1);
  // The others take the block over.
  instances[0].Merge(instances[2].Export(milliseconds(0), now), now);
  CHECK_FALSE(IsAllowed(&instances[0], {"bad"}, now));
  SECTION("and its end") {
    instances[0].OnAnswered(Profile(50, {"bad"}), now + seconds(1));
    instances[0].OnCrash(Endpoint(8), {Profile(51, {"bad"})}, now + seconds(2));
    CrashEvidence evidence =
        instances[0].Export(milliseconds(0), now + seconds(2));
    instances[2].Merge(evidence, now + seconds(2));
    CHECK(instances[2].blocks().empty());
  }
}

TEST_CASE("more causes than can be blocked end the evaluation", "[dispatch]") {
  PromptQuarantine quarantine;
  for (int cause = 0; cause < 1100; ++cause) {
    CrashEvidence evidence;
    evidence.blocks.push_back(
        {CauseId("part/s/" + std::to_string(cause)), milliseconds(0), 0});
    quarantine.Merge(evidence, kStart);
  }
  for (int i = 0; i < kMaxCrashes; ++i) {
    TimePoint now = kStart + seconds(i);
    AnswerOthers(&quarantine, now);
    quarantine.OnCrash(Endpoint(i), {Profile(i, {"bad"})}, now);
    quarantine.Evaluate(now);
  }
  CHECK(quarantine.blocks().size() == 1000);
}

TEST_CASE("a part id of any bytes is blocked under a plain name",
          "[dispatch]") {
  for (const std::string& id :
       {std::string("\xff\xfe"), std::string(300, 'x'), std::string("a/b c")}) {
    CrashProfile profile = MakeCrashProfile(ServiceId(std::string(200, 's')),
                                            Fingerprint{1}, {id});
    const std::string& name = profile.parts.front().value();
    CHECK(name.size() < 150);
    CHECK(std::all_of(name.begin(), name.end(), [](unsigned char byte) {
      return byte > ' ' && byte < 0x7f;
    }));
  }
}

// Guards against crashes that raise the number required as fast as they come.
TEST_CASE("a part is blocked though its crashes take many requests along",
          "[dispatch]") {
  PromptQuarantine quarantine;
  AnswerOthers(&quarantine, kStart - seconds(1));
  int crashes = 0;
  while (quarantine.blocks().empty() && crashes < 20) {
    TimePoint now = kStart + milliseconds(350 * crashes);
    std::vector<CrashProfile> waiting{Profile(crashes, {"first", "bad"})};
    for (int i = 0; i < 15; ++i) {
      int number = 1000 + crashes * 15 + i;
      waiting.push_back(Profile(number, {"first", std::to_string(number)}));
    }
    quarantine.OnCrash(Endpoint(crashes), waiting, now);
    for (int i = 0; i < 20; ++i) {
      quarantine.OnAnswered(Profile(900 + i, {"first"}), now);
    }
    quarantine.Evaluate(now);
    ++crashes;
  }
  CHECK(crashes <= kMaxCrashes);
  REQUIRE(quarantine.blocks().size() == 1);
  CHECK(quarantine.blocks().begin()->first == CauseId("part/s/bad"));
}

// After an outage the rate of crashes is low again, and its crashes still
// known.
TEST_CASE("crashes of an outage block nothing afterwards", "[dispatch]") {
  PromptQuarantine quarantine;
  AnswerOthers(&quarantine, kStart - seconds(20));
  for (int i = 0; i < 4; ++i) {
    quarantine.OnCrash(Endpoint(i),
                       {Profile(i, {"first", "rare"}), Profile(50 + i, {"x"}),
                        Profile(80 + i, {"y"})},
                       kStart + seconds(i));
  }
  for (int second = 10; second < 30; ++second) {
    AnswerOthers(&quarantine, kStart + seconds(second));
    quarantine.Evaluate(kStart + seconds(second));
  }
  CHECK(quarantine.blocks().empty());
}

TEST_CASE("evidence about crashes stays bounded", "[dispatch]") {
  PromptQuarantine quarantine;
  for (int i = 0; i < 30000; ++i) {
    std::string part = std::to_string(i);
    TimePoint now = kStart + milliseconds(i);
    quarantine.OnAnswered(Profile(i, {part}), now);
    quarantine.OnCrash(Endpoint(i), {Profile(i, {part, part + "x"})}, now);
  }
  CrashEvidence evidence =
      quarantine.Export(milliseconds(0), kStart + seconds(30));
  CHECK(evidence.crashes.size() <= 512);
  quarantine.Expire(kStart + minutes(12));
  CHECK(quarantine.Export(milliseconds(0), kStart + minutes(12)).empty());
}

// Instances, endpoints and requests in simulated time. Instances tell each
// other what they know with a delay.
class Simulation {
 public:
  Simulation(int instances, int endpoints, unsigned seed)
      : random(seed),
        instances_(static_cast<std::size_t>(instances)),
        back_at_(static_cast<std::size_t>(endpoints), kStart) {}

  // Plays 10 s with `rate` requests a second; one in `deadly_every` has the
  // part that crashes endpoints (0: none).
  void Play(int rate, int deadly_every, const std::function<void(int)>& fault) {
    for (int step = 0; step < 1000; ++step) {
      now_ += milliseconds(10);
      for (int i = 0; i < rate / 100; ++i) {
        bool deadly = deadly_every > 0 && Draw(deadly_every) == 0;
        std::string part = deadly ? "bad" : "topic" + std::to_string(Draw(200));
        Send({++last_request_,
              Draw(static_cast<int>(instances_.size())),
              Draw(Endpoints()),
              0,
              deadly,
              {"first", part},
              now_});
      }
      fault(step);
      FinishRunning();
      if (step % 30 == 0) {
        Exchange();
      }
    }
  }

  void CrashEndpoint(int endpoint) {
    if (back_at_[static_cast<std::size_t>(endpoint)] > now_) {
      return;
    }
    back_at_[static_cast<std::size_t>(endpoint)] = now_ + seconds(3);
    std::map<int, std::vector<CrashProfile>> waiting;
    std::vector<Request> moved;
    auto lost = std::stable_partition(
        running_.begin(), running_.end(),
        [endpoint](const Request& r) { return r.endpoint != endpoint; });
    for (auto it = lost; it != running_.end(); ++it) {
      waiting[it->instance].push_back(Profile(it->number, it->parts));
      moved.push_back(*it);
    }
    running_.erase(lost, running_.end());
    for (const auto& [instance, profiles] : waiting) {
      At(instance).OnCrash(Endpoint(endpoint), profiles, now_);
      At(instance).Evaluate(now_);
    }
    for (Request& request : moved) {
      if (++request.crashes < 2 ||
          At(request.instance)
              .IsCleared(Profile(request.number, request.parts), now_)) {
        request.endpoint = Draw(Endpoints());
        Send(request);
      }
    }
  }

  int Draw(int below) {
    return std::uniform_int_distribution<int>(0, below - 1)(random);
  }
  int Endpoints() const { return static_cast<int>(back_at_.size()); }

  std::mt19937 random;
  int blocked_sound = 0;
  int deadly_crashes = 0;
  // Time from the fifth crash by the deadly part to the last one.
  milliseconds late_crashes{0};

 private:
  struct Request {
    int number = 0;
    int instance = 0;
    int endpoint = 0;
    int crashes = 0;
    bool deadly = false;
    std::vector<std::string> parts;
    TimePoint sent_at;
  };

  PromptQuarantine& At(int instance) {
    return instances_[static_cast<std::size_t>(instance)];
  }

  void Send(Request request) {
    if (!At(request.instance)
             .Admit(Profile(request.number, request.parts), now_)
             .allowed) {
      blocked_sound += request.deadly ? 0 : 1;
      return;
    }
    for (int i = 0; i < Endpoints(); ++i) {
      if (back_at_[static_cast<std::size_t>(request.endpoint)] <= now_) {
        break;
      }
      request.endpoint = (request.endpoint + 1) % Endpoints();
    }
    request.sent_at = now_;
    running_.push_back(request);
  }

  // Requests begin to be answered 300 ms after they were sent.
  void FinishRunning() {
    std::vector<int> crashing;
    for (auto it = running_.begin(); it != running_.end();) {
      if (now_ - it->sent_at < milliseconds(300)) {
        ++it;
        continue;
      }
      if (it->deadly) {
        crashing.push_back(it->endpoint);
        ++it;
        continue;
      }
      At(it->instance).OnAnswered(Profile(it->number, it->parts), now_);
      it = running_.erase(it);
    }
    for (int endpoint : crashing) {
      ++deadly_crashes;
      if (deadly_crashes == kMaxCrashes) {
        fifth_crash_ = now_;
      }
      if (deadly_crashes > kMaxCrashes) {
        late_crashes =
            std::chrono::duration_cast<milliseconds>(now_ - fifth_crash_);
      }
      CrashEndpoint(endpoint);
    }
  }

  // Each instance exchanges evidence with the first one, as with a reader.
  void Exchange() {
    for (std::size_t i = 1; i < instances_.size(); ++i) {
      instances_[0].Merge(instances_[i].Export(milliseconds(0), now_), now_);
    }
    instances_[0].Evaluate(now_);
    CrashEvidence evidence = instances_[0].Export(milliseconds(0), now_);
    for (std::size_t i = 1; i < instances_.size(); ++i) {
      instances_[i].Merge(evidence, now_);
      instances_[i].Evaluate(now_);
    }
  }

  std::vector<PromptQuarantine> instances_;
  std::vector<TimePoint> back_at_;
  std::vector<Request> running_;
  TimePoint now_ = kStart;
  TimePoint fifth_crash_{};
  int last_request_ = 0;
};

void NoFault(int) {}

// Loads of a small and of a large site; one in 40 requests crashes endpoints.
TEST_CASE("a crashing part is blocked before it takes endpoints along",
          "[dispatch]") {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    INFO("seed " << seed);
    Simulation small(4, 18, seed);
    small.Play(100, 40, NoFault);
    CHECK(small.blocked_sound == 0);
    CHECK(small.late_crashes < kContactTime);
    Simulation large(118, 192, seed);
    large.Play(900, 70, NoFault);
    CHECK(large.blocked_sound == 0);
    CHECK(large.late_crashes < kContactTime);
  }
}

// Guards against blaming requests for crashes that have another cause.
TEST_CASE("crashes of other causes block no request", "[dispatch]") {
  unsigned seed = GENERATE(1U, 2U);
  bool large = GENERATE(false, true);
  INFO("seed " << seed << " large " << large);
  Simulation site(large ? 118 : 4, large ? 192 : 18, seed);
  int rate = large ? 900 : 100;
  SECTION("an endpoint that crashes whatever it gets") {
    site.Play(rate, 0, [&](int step) {
      if (step % 10 == 0) {
        site.CrashEndpoint(0);
      }
    });
  }
  SECTION("a third of the endpoints at once, again and again") {
    site.Play(rate, 0, [&](int step) {
      if (step % 320 == 50) {
        for (int i = 0; i < site.Endpoints() / 3; ++i) {
          site.CrashEndpoint(i);
        }
      }
    });
  }
  SECTION("endpoints at random moments") {
    site.Play(rate, 0, [&](int step) {
      if (step % (large ? 10 : 100) == 0) {
        site.CrashEndpoint(site.Draw(site.Endpoints()));
      }
    });
  }
  SECTION("most endpoints within seconds") {
    site.Play(rate, 0, [&](int step) {
      if (step < 300 && step % (large ? 2 : 20) == 0) {
        site.CrashEndpoint(site.Draw(site.Endpoints()));
      }
    });
  }
  CHECK(site.blocked_sound == 0);
}

}  // namespace
}  // namespace filbertshift
