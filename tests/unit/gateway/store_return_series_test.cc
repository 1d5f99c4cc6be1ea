// Plays returns of the store from older copies amid other changes and faults,
// at random, with whole gateways over a simulated network.

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>

#include "tests/unit/gateway/store_return_site.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kInstances = 4;
constexpr int kRounds = 8;
constexpr milliseconds kCopyInterval{500};
constexpr std::size_t kCopies = 20;
// By then, what was acknowledged before is in force, and the endpoints and the
// operator have written again what the store had lost.
constexpr milliseconds kSettleTime{9000};
constexpr milliseconds kApplyTime{2500};

class Series {
 public:
  explicit Series(unsigned seed) : random_(seed), site_(kInstances) {
    PutConfiguration();
    for (const char* id : {"e1", "e2", "e3"}) {
      site_.AddEndpoint(id);
      site_.Register(id);
    }
    Run(seconds(12));
  }

  void Play() {
    for (int round = 0; round < kRounds; ++round) {
      int events = 1 + static_cast<int>(random_() % 3);
      for (int i = 0; i < events; ++i) {
        Change();
        Run(milliseconds(random_() % 1500));
        Disturb();
        Run(milliseconds(random_() % 2500));
        CheckKeys();
      }
      Return();
      if (random_() % 3 == 0) {
        Run(milliseconds(random_() % 3000));
        Return();
      }
      Recover();
      Run(kSettleTime);
      CheckAll(round);
    }
  }

 private:
  void Run(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += kCopyInterval) {
      site_.Run(kCopyInterval);
      copies_.push_back(site_.store.SaveCopy());
      if (copies_.size() > kCopies) {
        copies_.pop_front();
      }
    }
  }

  // Each configuration adds a route and replaces the key.
  void PutConfiguration() {
    site_.PutConfiguration(version_, {"a", Route()}, {Key(version_)});
  }
  std::string Route() const { return "r" + std::to_string(version_); }
  static std::string Key(int version) { return "k" + std::to_string(version); }

  void Change() {
    switch (random_() % 4) {
      case 0:
        revoked_[Key(version_)] = site_.network.now();
        version_ += 1 + static_cast<int>(random_() % 3);
        PutConfiguration();
        break;
      case 1:
        evacuated_ = !evacuated_;
        WriteEvacuation();
        break;
      case 2: {
        // Replaced by another endpoint, so that the service has some.
        std::string next = "n" + std::to_string(++last_endpoint_);
        site_.AddEndpoint(next);
        site_.Register(next);
        Leave(live_[random_() % live_.size()], next);
        break;
      }
      default:
        break;
    }
  }

  void Leave(std::string& endpoint, const std::string& next) {
    left_.push_back(endpoint);
    if (random_() % 2 == 0) {
      site_.endpoints.at(endpoint).state = "draining";
      site_.Register(endpoint);
    } else {
      site_.Deregister(endpoint);
    }
    endpoint = next;
  }

  void WriteEvacuation() {
    if (evacuated_) {
      site_.store.Put("op", "evacuate/b", "{}");
    } else {
      site_.store.Remove("op", "evacuate/b");
    }
  }

  void Disturb() {
    std::string name = "i" + std::to_string(random_() % kInstances);
    auto found = site_.instances.find(name);
    disturbed_.insert(name);
    switch (random_() % 5) {
      case 0:
        site_.StopInstance(name);
        site_.StartInstance(name);
        break;
      case 1:
        site_.network.SuspendUntil(
            found->second.node,
            site_.network.now() + milliseconds(500 + random_() % 5000));
        break;
      case 2: {
        const SimNode* cut = found->second.node;
        const SimNode* store = site_.store_node;
        site_.network.SetCut([cut, store](const SimNode* a, const SimNode* b) {
          return (a == cut && b == store) || (a == store && b == cut);
        });
        break;
      }
      default:
        break;
    }
  }

  // From a copy that is up to ten seconds old.
  void Return() {
    site_.store.SetBusy(true);
    site_.Run(milliseconds(300 + random_() % 2700));
    site_.store.ReturnTo(copies_[random_() % copies_.size()]);
    copies_.clear();
    site_.store.SetBusy(false);
    site_.Run(milliseconds(random_() % 800));
    CheckKeys();
    PutConfiguration();
    WriteEvacuation();
    for (const std::string& endpoint : left_) {
      if (!site_.endpoints.at(endpoint).registered) {
        site_.store.Remove("servers", endpoint);
      }
    }
  }

  void Recover() {
    site_.network.SetCut([](const SimNode*, const SimNode*) { return false; });
  }

  // A key that was revoked some time ago is refused, also while the store has
  // an older copy, by every instance that has known of it.
  void CheckKeys() {
    for (const auto& entry : site_.instances) {
      if (disturbed_.count(entry.first) > 0) {
        continue;
      }
      for (const auto& [key, time] : revoked_) {
        if (site_.network.now() - time > kApplyTime) {
          INFO(entry.first << " " << key);
          REQUIRE(site_.Get(entry.first, "a", key) != 200);
        }
      }
    }
  }

  void CheckAll(int round) {
    INFO("round " << round << " version " << version_);
    disturbed_.clear();
    CheckKeys();
    std::map<std::string, int> runs;
    for (const std::string& endpoint : left_) {
      runs[endpoint] = site_.Runs(endpoint);
    }
    std::map<int, int> statuses = site_.GetFromAll(Route(), 6, Key(version_));
    CHECK(statuses == std::map<int, int>{{200, 6 * kInstances}});
    for (const std::string& endpoint : left_) {
      INFO(endpoint);
      CHECK(site_.Runs(endpoint) == runs[endpoint]);
    }
    // Requests that may go to any of them have reached each live endpoint.
    site_.GetFromAll("a", 12, Key(version_));
    for (const std::string& endpoint : live_) {
      INFO(endpoint);
      CHECK(site_.Runs(endpoint) > 0);
    }
  }

  std::mt19937 random_;
  StoreReturnSite site_;
  std::deque<StandInStore::Copy> copies_;
  int version_ = 10;
  bool evacuated_ = false;
  // Keys with the time of their revocation.
  std::map<std::string, TimePoint> revoked_;
  // Instances that may have missed something since the latest calm.
  std::set<std::string> disturbed_;
  std::vector<std::string> live_{"e1", "e2", "e3"};
  std::vector<std::string> left_;
  int last_endpoint_ = 0;
};

TEST_CASE("instances follow a store that returns again and again",
          "[gateway]") {
  for (unsigned seed = 1; seed <= 8; ++seed) {
    INFO("seed " << seed);
    Series(seed).Play();
  }
}

TEST_CASE("instances follow a store that returns again and again, many seeds",
          "[.][series]") {
  for (unsigned seed = 1000; seed < 1200; ++seed) {
    INFO("seed " << seed);
    Series(seed).Play();
  }
}

}  // namespace
}  // namespace filbertshift
