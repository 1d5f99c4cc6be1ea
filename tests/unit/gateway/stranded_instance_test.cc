// Tests of instances that are cut off from all endpoints while the store,
// callers and the other instances reach them, with whole gateways over a
// simulated network.

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <list>
#include <set>

#include "tests/unit/gateway/store_return_site.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using Names = std::set<std::string>;

constexpr int kInstances = 4;
constexpr milliseconds kRequestInterval{100};
// Limit of RECOVER, from the beginning of the cut.
constexpr milliseconds kContact{3000};

enum class CutKind {
  // Nothing passes, in either direction.
  kSilent,
  // Open connections are reset and new ones refused.
  kReset,
  // Open connections live on, new ones are refused.
  kNewRefused,
};

class Request : public CallListener {
 public:
  HeadDecision OnHead(CallId, const HttpResponseHead& head) override {
    status = head.status;
    return HeadDecision::kAccept;
  }
  void OnBody(CallId, std::string_view) override {}
  void OnComplete(CallId) override { done = true; }
  void OnFailed(CallId, CallFailure, std::string_view) override {
    done = true;
    status = 0;
  }
  CallId call{};
  int status = 0;
  bool done = false;
};

struct Served {
  int asked = 0;
  int ok = 0;
};

class Site : public StoreReturnSite {
 public:
  Site() : StoreReturnSite(kInstances), client_(network.AddNode(), seconds(1)) {
    PutConfiguration(10, {"a"}, {"k1"});
    for (int i = 1; i <= 6; ++i) {
      std::string id = fmt::format("e{}", i);
      AddEndpoint(id);
      Register(id);
    }
    Run(seconds(12));
    REQUIRE(GetFromAll("a", 2) == std::map<int, int>{{200, 2 * kInstances}});
  }

  void Cut(const Names& names, CutKind kind) {
    auto between = [this, names](const SimNode* a, const SimNode* b) {
      bool is_instance = false;
      for (const std::string& name : names) {
        is_instance = is_instance || instances.at(name).node == a;
      }
      bool is_endpoint = false;
      for (const auto& entry : endpoints) {
        is_endpoint = is_endpoint || entry.second.node == b;
      }
      return is_instance && is_endpoint;
    };
    if (kind == CutKind::kSilent) {
      network.SetCut(between);
      return;
    }
    network.SetRefusal(between);
    if (kind == CutKind::kReset) {
      network.ResetBetween(between);
    }
  }
  void Heal() {
    auto none = [](const SimNode*, const SimNode*) { return false; };
    network.SetCut(none);
    network.SetRefusal(none);
  }

  // Each instance gets two requests every kRequestInterval, on connections of
  // their own.
  std::map<std::string, Served> ServeFor(milliseconds time) {
    std::map<std::string, std::list<Request>> requests;
    for (milliseconds passed{0}; passed < time; passed += kRequestInterval) {
      for (const auto& entry : instances) {
        for (int i = 0; i < 2; ++i) {
          Request& request = requests[entry.first].emplace_back();
          request.call =
              client_.Start(entry.first + ":1",
                            fmt::format("GET /a/x HTTP/1.1\r\nHost: h\r\n"
                                        "Filbertshift-Attempt-Id: r{}\r\n"
                                        "Filbertshift-Deadline-Ms: 2000\r\n"
                                        "Authorization: Bearer k1\r\n\r\n",
                                        ++last_request_),
                            milliseconds(0), &request);
        }
      }
      Run(kRequestInterval);
    }
    Run(milliseconds(2500));
    std::map<std::string, Served> served;
    for (auto& [name, list] : requests) {
      for (Request& request : list) {
        ++served[name].asked;
        served[name].ok += request.done && request.status == 200 ? 1 : 0;
        if (!request.done) {
          client_.Cancel(request.call);
        }
      }
    }
    return served;
  }

 private:
  HttpClient client_;
  int last_request_ = 0;
};

Names CutNames(bool is_half) {
  return is_half ? Names{"i0", "i1"} : Names{"i0"};
}

TEST_CASE(
    "callers of instances cut off from all endpoints are served two thirds "
    "as often as those of the others",
    "[gateway]") {
  CutKind kind =
      GENERATE(CutKind::kSilent, CutKind::kReset, CutKind::kNewRefused);
  Names cut_names = CutNames(GENERATE(false, true));
  Site site;
  site.Cut(cut_names, kind);
  site.Run(kContact);
  Served cut;
  Served others;
  for (const auto& [name, served] : site.ServeFor(seconds(6))) {
    Served& sum = cut_names.count(name) > 0 ? cut : others;
    sum.asked += served.asked;
    sum.ok += served.ok;
  }
  CAPTURE(static_cast<int>(kind), cut_names.size(), cut.ok, cut.asked,
          others.ok, others.asked);
  CHECK(others.ok >= others.asked * 95 / 100);
  CHECK(3 * cut.ok * others.asked >= 2 * others.ok * cut.asked);

  site.Heal();
  site.Run(seconds(6));
  CHECK(site.GetFromAll("a", 2) == std::map<int, int>{{200, 2 * kInstances}});
}

TEST_CASE("failing connects of an instance are logged at their start and end",
          "[gateway]") {
  CutKind kind = GENERATE(CutKind::kSilent, CutKind::kReset);
  Site site;
  site.Cut({"i0"}, kind);
  site.ServeFor(seconds(4));
  auto count = [&](const std::string& name, EventId event) {
    const auto& counts = site.instances.at(name).log.counts;
    auto found = counts.find(event);
    return found == counts.end() ? 0 : found->second;
  };
  CHECK(count("i0", EventId::kConnectsFailing) == 1);
  CHECK(count("i0", EventId::kConnectsRestored) == 0);
  site.Heal();
  site.ServeFor(seconds(4));
  CHECK(count("i0", EventId::kConnectsFailing) == 1);
  CHECK(count("i0", EventId::kConnectsRestored) == 1);
  for (const char* name : {"i1", "i2", "i3"}) {
    CHECK(count(name, EventId::kConnectsFailing) == 0);
  }
}

}  // namespace
}  // namespace filbertshift
