// Tests of requests that an instance hands over while it reaches no endpoint,
// with whole gateways over a simulated network.

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <set>

#include "src/handover/handover.h"
#include "tests/unit/gateway/store_return_site.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using Names = std::set<std::string>;

constexpr milliseconds kStep{20};

enum class Cut { kSilent, kRefusing, kReset, kNewRefused };

// Sends one request and keeps the response.
class Caller : public CallListener {
 public:
  HeadDecision OnHead(CallId, const HttpResponseHead& response) override {
    head = response;
    return HeadDecision::kAccept;
  }
  void OnBody(CallId, std::string_view data) override { body.append(data); }
  void OnComplete(CallId) override { done = true; }
  void OnFailed(CallId, CallFailure, std::string_view) override {
    done = true;
    failed = true;
  }
  CallId call{};
  HttpResponseHead head;
  std::string body;
  bool done = false;
  bool failed = false;
};

// Streams an event each 200 ms on /stream/, answers others after a delay.
class SlowEndpoint : public HttpRequestHandler {
 public:
  SlowEndpoint(SimNode* node, std::string id)
      : node_(node), id_(std::move(id)), server_(node, this) {}
  AcceptListener* listener() { return &server_; }
  void OnRequest(ConnectionId caller,
                 HttpRequestHead head,
                 std::string body) override {
    heads.push_back(head);
    open_.insert(static_cast<std::uint64_t>(caller));
    HttpResponseHead response{status, "X", {}};
    response.headers.Add("Filbertshift-Attempt-Id",
                         *head.headers.Find("Filbertshift-Attempt-Id"));
    response.headers.Add("Filbertshift-Response-Seal", "seal-" + id_);
    if (!handover_field.empty()) {
      response.headers.Add(std::string(kHandoverRunField), handover_field);
    }
    if (head.target.rfind("/stream/", 0) == 0) {
      const std::string* last = head.headers.Find("Last-Event-Id");
      server_.BeginStream(caller, response);
      SendEvent(caller, last == nullptr ? 1 : std::stoi(*last) + 1);
      return;
    }
    node_->After(delay, [this, caller, response, body] {
      if (open_.erase(static_cast<std::uint64_t>(caller)) > 0) {
        server_.Respond(caller, response, "ran " + body);
      }
    });
  }
  void OnCallerDisconnected(ConnectionId caller, ConnectionEnd) override {
    open_.erase(static_cast<std::uint64_t>(caller));
    ++left;
  }
  void OnRejected(int, std::string_view) override {}

  std::vector<HttpRequestHead> heads;
  milliseconds delay{0};
  int status = 200;
  // Value of a field that only instances write; empty if it is not sent.
  std::string handover_field;
  // Callers that left before their response was complete.
  int left = 0;

 private:
  void SendEvent(ConnectionId caller, int number) {
    if (open_.count(static_cast<std::uint64_t>(caller)) == 0) {
      return;
    }
    if (number > 10) {
      open_.erase(static_cast<std::uint64_t>(caller));
      server_.EndStream(caller);
      return;
    }
    server_.SendStream(caller,
                       fmt::format("id: {}\ndata: {}\n\n", number, number));
    node_->After(milliseconds(200),
                 [this, caller, number] { SendEvent(caller, number + 1); });
  }

  SimNode* const node_;
  const std::string id_;
  CallerServer server_;
  std::set<std::uint64_t> open_;
};

// Four endpoints of service "s", one of "t", and instances that serve four
// routes of the names of their kinds.
struct Site : StoreReturnSite {
  explicit Site(int instance_count = 3)
      : StoreReturnSite(instance_count),
        caller_node(network.AddNode()),
        client(caller_node, seconds(1)) {
    Configure(10);
    for (const char* id : {"e1", "e2", "e3", "e4", "t1"}) {
      Endpoint& endpoint = AddEndpoint(id);
      slow[id] = std::make_unique<SlowEndpoint>(endpoint.node, id);
      endpoint.node->Listen(endpoint.address, slow[id]->listener());
      endpoint.registered = false;
    }
    WriteRows();
    Pass(seconds(12));
    for (const auto& entry : instances) {
      REQUIRE(Ask(entry.first, 2, "many") == 2);
    }
  }

  void Configure(int version, const char* once_kind = "non_idempotent") {
    nlohmann::json document{
        {"version", version},
        {"services", {{{"name", "s"}}, {{"name", "t"}}}},
        {"tenants", {{{"name", "account"}, {"api_keys", {"k1"}}}}}};
    auto add = [&](const char* name, const char* kind, const char* service) {
      document["routes"].push_back({{"name", name},
                                    {"host", "h"},
                                    {"prefix", fmt::format("/{}/", name)},
                                    {"route_kind", kind},
                                    {"timeout_ms", 6000},
                                    {"objective_ms", 400},
                                    {"gap_aim_ms", 500},
                                    {"service", service},
                                    {"resumable", true},
                                    {"max_attempts", 3}});
    };
    add("many", "idempotent", "s");
    add("once", once_kind, "s");
    add("stream", "streaming", "s");
    add("other", "idempotent", "t");
    store.Put("op", "config", document.dump());
  }
  void WriteRows() {
    for (auto& [id, endpoint] : endpoints) {
      store.Put("servers", id,
                nlohmann::json{{"service", id[0] == 't' ? "t" : "s"},
                               {"address", endpoint.address},
                               {"zone", endpoint.data_centre},
                               {"version", "v1"},
                               {"slots", 8},
                               {"state", "ready"},
                               {"cold_remaining_ms", 0},
                               {"born", 1000},
                               {"sequence", ++endpoint.sequence}}
                    .dump());
    }
  }
  // Lets time pass; endpoints write their rows.
  void Pass(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += kStep) {
      network.RunFor(kStep);
      since_rows += kStep;
      if (since_rows >= seconds(1)) {
        since_rows = milliseconds(0);
        WriteRows();
      }
    }
  }

  // Cuts these instances off from all endpoints.
  void CutOff(const Names& names, Cut how) {
    auto between = [this, names](const SimNode* one, const SimNode* other) {
      return IsInstance(one, names) && IsEndpoint(other);
    };
    if (how == Cut::kSilent) {
      network.SetCut(between);
      return;
    }
    network.SetRefusal(between);
    if (how != Cut::kNewRefused) {
      network.ResetBetween(between);
    }
  }
  void Reconnect() {
    auto nothing = [](const SimNode*, const SimNode*) { return false; };
    network.SetCut(nothing);
    network.SetRefusal(nothing);
  }
  // Keeps the instance busy until it must know that it is cut off.
  void CutOffAndWait(const Names& names, Cut how = Cut::kRefusing) {
    CutOff(names, how);
    for (const std::string& name : names) {
      Send(name, "many");
    }
    Pass(seconds(2));
  }

  Caller& Send(const std::string& instance,
               const std::string& route,
               const std::string& fields = "",
               const std::string& body = "") {
    Caller& caller = *callers.emplace_back(std::make_unique<Caller>());
    caller.call = client.Start(
        instance + ":1",
        fmt::format("POST /{}/x HTTP/1.1\r\nHost: h\r\n"
                    "Filbertshift-Attempt-Id: b{}\r\n"
                    "Filbertshift-Deadline-Ms: 5000\r\n"
                    "Authorization: Bearer k1\r\nContent-Length: {}\r\n{}"
                    "\r\n{}",
                    route, ++requests, body.size(), fields, body),
        milliseconds(0), &caller);
    return caller;
  }
  // The time until the response, up to six seconds.
  milliseconds Await(const Caller& caller) {
    milliseconds waited{0};
    for (; !caller.done && waited < seconds(6); waited += kStep) {
      Pass(kStep);
    }
    return waited;
  }
  // Sends requests one after the other and returns how many were served.
  int Ask(const std::string& instance, int count, const std::string& route) {
    int served = 0;
    for (int i = 0; i < count; ++i) {
      Caller& caller = Send(instance, route);
      Await(caller);
      served += caller.head.status == 200 && !caller.failed ? 1 : 0;
    }
    return served;
  }
  int Runs() const {
    int runs = 0;
    for (const auto& entry : slow) {
      runs += static_cast<int>(entry.second->heads.size());
    }
    return runs;
  }
  int CountAt(const std::string& instance, EventId event) const {
    const auto& counts = instances.at(instance).log.counts;
    auto found = counts.find(event);
    return found == counts.end() ? 0 : found->second;
  }
  // The instance other than i0 that has a request in progress.
  std::string BusyPeer() const {
    for (const auto& [name, instance] : instances) {
      if (name != "i0" &&
          instance.metrics.Serialize().find(
              "filbertshift_exchanges_in_progress 1\n") != std::string::npos) {
        return name;
      }
    }
    FAIL("no instance has a request in progress");
    return "";
  }
  void SetDelay(milliseconds delay) {
    for (const auto& entry : slow) {
      entry.second->delay = delay;
    }
  }

  std::map<std::string, std::unique_ptr<SlowEndpoint>> slow;
  SimNode* const caller_node;
  HttpClient client;
  std::vector<std::unique_ptr<Caller>> callers;
  int requests = 0;
  milliseconds since_rows{0};

 private:
  bool IsInstance(const SimNode* node, const Names& names) const {
    for (const std::string& name : names) {
      auto found = instances.find(name);
      if (found != instances.end() && found->second.node == node) {
        return true;
      }
    }
    return false;
  }
  bool IsEndpoint(const SimNode* node) const {
    for (const auto& entry : endpoints) {
      if (entry.second.node == node) {
        return true;
      }
    }
    return false;
  }
};

TEST_CASE(
    "callers of an instance that is cut off from all endpoints are served",
    "[gateway][handover]") {
  Cut how =
      GENERATE(Cut::kSilent, Cut::kRefusing, Cut::kReset, Cut::kNewRefused);
  std::string route = GENERATE("many", "once", "stream", "other");
  CAPTURE(static_cast<int>(how), route);
  Site site;
  site.CutOff({"i0"}, how);
  site.Send("i0", "many");
  site.Pass(seconds(3));
  CHECK(site.Ask("i0", 10, route) == 10);
  CHECK(site.Ask("i1", 2, route) == 2);
  CHECK(site.CountEvents(EventId::kInvariantViolated) == 0);
}

TEST_CASE("requests go past instances that are cut off as well",
          "[gateway][handover]") {
  Cut how = GENERATE(Cut::kSilent, Cut::kRefusing);
  CAPTURE(static_cast<int>(how));
  Site site(2);
  site.StartInstance("far", "b");
  site.Pass(seconds(10));
  site.CutOffAndWait({"i0", "i1"}, how);
  CHECK(site.Ask("i0", 10, "once") == 10);
  CHECK(site.Ask("i1", 10, "once") == 10);
}

TEST_CASE("a request is refused at once when all instances are cut off",
          "[gateway][handover]") {
  Cut how = GENERATE(Cut::kSilent, Cut::kRefusing);
  Site site;
  site.CutOffAndWait({"i0", "i1", "i2"}, how);
  int runs = site.Runs();
  Caller& caller = site.Send("i0", "once");
  CHECK(site.Await(caller) < milliseconds(200));
  CHECK(caller.head.status == 503);
  CHECK(caller.head.headers.Find("Retry-After") != nullptr);
  CHECK(site.Runs() == runs);
}

TEST_CASE("an instance that reaches endpoints again serves its own requests",
          "[gateway][handover]") {
  Cut how = GENERATE(Cut::kSilent, Cut::kRefusing);
  Site site;
  site.CutOffAndWait({"i0"}, how);
  CHECK(site.Ask("i0", 3, "many") == 3);
  site.Reconnect();
  site.Pass(seconds(2));
  int handed_over = site.CountAt("i0", EventId::kRequestHandedOver);
  CHECK(handed_over > 0);
  CHECK(site.CountAt("i0", EventId::kEndpointContactRegained) == 1);
  CHECK(site.Ask("i0", 5, "many") == 5);
  CHECK(site.CountAt("i0", EventId::kRequestHandedOver) == handed_over);
}

TEST_CASE("a service that is down everywhere causes no hand-over",
          "[gateway][handover]") {
  Site site;
  site.network.Stop(site.endpoints.at("t1").node);
  for (int i = 0; i < 3; ++i) {
    site.Await(site.Send("i0", "other"));
  }
  CHECK(site.Ask("i0", 3, "many") == 3);
  CHECK(site.CountAt("i0", EventId::kEndpointContactLost) == 0);
}

TEST_CASE("the loss of other data centres causes no hand-over",
          "[gateway][handover]") {
  Site site;
  for (const char* id : {"e2", "e3", "e4", "t1"}) {
    site.endpoints.at(id).data_centre = "b";
  }
  site.Pass(seconds(4));
  site.network.SetCut([&site](const SimNode* one, const SimNode* other) {
    bool far = false;
    for (const char* id : {"e2", "e3", "e4", "t1"}) {
      far = far || other == site.endpoints.at(id).node;
    }
    return far && one == site.instances.at("i0").node;
  });
  site.Ask("i0", 3, "many");
  site.Pass(seconds(2));
  CHECK(site.Ask("i0", 10, "many") == 10);
  CHECK(site.CountAt("i0", EventId::kEndpointContactLost) == 0);
}

TEST_CASE("endpoints that are silent for a second cause no hand-over",
          "[gateway][handover]") {
  Site site;
  site.SetDelay(milliseconds(1000));
  site.Ask("i0", 3, "once");
  CHECK(site.CountAt("i0", EventId::kEndpointContactLost) == 0);
  CHECK(site.CountAt("i0", EventId::kRequestHandedOver) == 0);
}

TEST_CASE("a request that may run once is not repeated after its peer is lost",
          "[gateway][handover]") {
  Site site(2);
  site.CutOffAndWait({"i0"});
  site.SetDelay(milliseconds(1000));
  int runs = site.Runs();
  Caller& caller = site.Send("i0", "once");
  site.Pass(milliseconds(300));
  REQUIRE(site.Runs() == runs + 1);
  site.StartInstance("i9");
  site.StopInstance("i1");
  site.Await(caller);
  CHECK(caller.head.status == 502);
  CHECK(site.Runs() == runs + 1);
}

TEST_CASE("a request that may be repeated goes to another peer",
          "[gateway][handover]") {
  Site site;
  site.CutOffAndWait({"i0"});
  site.SetDelay(milliseconds(300));
  int runs = site.Runs();
  Caller& caller = site.Send("i0", "many", "", "body");
  site.Pass(milliseconds(100));
  REQUIRE(site.Runs() == runs + 1);
  site.StopInstance(site.BusyPeer());
  site.Await(caller);
  CHECK(caller.head.status == 200);
  CHECK(caller.body == "ran body");
}

TEST_CASE("the attempts of a request are counted over both instances",
          "[gateway][handover]") {
  Site site;
  site.CutOffAndWait({"i0"});
  for (const auto& entry : site.slow) {
    entry.second->status = 500;
  }
  int runs = site.Runs();
  Caller& caller = site.Send("i0", "many");
  site.Await(caller);
  CHECK(caller.head.status >= 500);
  CHECK(caller.head.status != 503);
  CHECK(site.Runs() - runs <= 3);
}

TEST_CASE("a caller that leaves ends the run at the peer's endpoint",
          "[gateway][handover]") {
  Site site;
  site.CutOffAndWait({"i0"});
  site.SetDelay(milliseconds(2000));
  Caller& caller = site.Send("i0", "once");
  site.Pass(milliseconds(200));
  int left = 0;
  for (const auto& entry : site.slow) {
    left += entry.second->left;
  }
  site.client.Cancel(caller.call);
  site.Pass(milliseconds(200));
  for (const auto& entry : site.slow) {
    left -= entry.second->left;
  }
  CHECK(left == -1);
}

TEST_CASE("a stream that was handed over resumes at another peer",
          "[gateway][handover]") {
  Site site;
  site.CutOffAndWait({"i0"});
  Caller& caller = site.Send("i0", "stream");
  site.Pass(milliseconds(500));
  REQUIRE(caller.body.find("data: 2\n") != std::string::npos);
  site.StopInstance(site.BusyPeer());
  site.Await(caller);
  std::string expected;
  for (int i = 1; i <= 10; ++i) {
    expected += fmt::format("id: {}\ndata: {}\n\n", i, i);
  }
  CHECK_FALSE(caller.failed);
  CHECK(caller.body == expected);
}

TEST_CASE("account, deadline and body of a request cross a hand-over",
          "[gateway][handover]") {
  Site site;
  site.CutOffAndWait({"i0"});
  for (const auto& entry : site.slow) {
    entry.second->heads.clear();
  }
  std::string body(100000, 'x');
  Caller& caller = site.Send("i0", "once", "X-Own: kept\r\n", body);
  site.Await(caller);
  CHECK(caller.head.status == 200);
  CHECK(caller.body == "ran " + body);
  CHECK(caller.head.headers.Find("Filbertshift-Response-Seal") != nullptr);
  CHECK(caller.head.headers.Find(kHandoverRunField) == nullptr);
  for (const auto& entry : site.slow) {
    for (const HttpRequestHead& head : entry.second->heads) {
      CHECK(*head.headers.Find("Filbertshift-Tenant") == "account");
      CHECK(*head.headers.Find("X-Own") == "kept");
      CHECK(head.headers.Find("Authorization") == nullptr);
      int left = std::stoi(*head.headers.Find("Filbertshift-Deadline-Ms"));
      CHECK(left <= 5000);
      CHECK(left > 4000);
    }
  }
}

TEST_CASE("the time until contact was lost counts against the deadline",
          "[gateway][handover]") {
  Site site;
  site.CutOff({"i0"}, Cut::kSilent);
  for (const auto& entry : site.slow) {
    entry.second->heads.clear();
  }
  Caller& caller = site.Send("i0", "many");
  milliseconds waited = site.Await(caller);
  CHECK(caller.head.status == 200);
  REQUIRE(waited > milliseconds(300));
  CHECK(waited < milliseconds(1500));
  int found = 0;
  for (const auto& entry : site.slow) {
    for (const HttpRequestHead& head : entry.second->heads) {
      int left = std::stoi(*head.headers.Find("Filbertshift-Deadline-Ms"));
      CHECK(left <= 5000 - waited.count() + 2 * kStep.count());
      ++found;
    }
  }
  CHECK(found == 1);
}

TEST_CASE("a peer that stops hands requests back", "[gateway][handover]") {
  Site site(3);
  site.CutOffAndWait({"i0"});
  site.instances.at("i1").gateway->BeginShutdown([] {});
  site.Pass(milliseconds(500));
  CHECK(site.Ask("i0", 10, "once") == 10);
}

TEST_CASE("a request leaves a peer that is suspended", "[gateway][handover]") {
  Site site;
  site.CutOffAndWait({"i0"});
  site.SetDelay(milliseconds(300));
  Caller& caller = site.Send("i0", "many");
  site.Pass(milliseconds(100));
  site.network.SuspendUntil(site.instances.at(site.BusyPeer()).node,
                            site.network.now() + seconds(20));
  site.Await(caller);
  CHECK(caller.head.status == 200);
}

// Knows no path, as an instance of an earlier version.
class EarlierPeer : public HttpRequestHandler {
 public:
  explicit EarlierPeer(SimNode* node) : server_(node, this) {}
  AcceptListener* listener() { return &server_; }
  void OnRequest(ConnectionId caller, HttpRequestHead, std::string) override {
    ++requests;
    server_.Respond(caller, {404, "Not Found", {}}, "");
  }
  void OnCallerDisconnected(ConnectionId, ConnectionEnd) override {}
  void OnRejected(int, std::string_view) override {}
  int requests = 0;

 private:
  CallerServer server_;
};

TEST_CASE("a peer of an earlier version is passed over",
          "[gateway][handover]") {
  Site site;
  site.CutOffAndWait({"i0"});
  EarlierPeer earlier(site.instances.at("i1").node);
  site.instances.at("i1").node->Listen("i1:2", earlier.listener());
  CHECK(site.Ask("i0", 10, "once") == 10);
}

TEST_CASE("an instance refuses a request of a newer configuration by name",
          "[gateway][handover]") {
  Site site;
  HandoverRequest request;
  request.method = "GET";
  request.target = "/many/x";
  request.headers = {{"Host", "h"},
                     {"Filbertshift-Attempt-Id", "q1"},
                     {"Authorization", "Bearer k1"}};
  request.time_left = milliseconds(3000);
  request.configuration = GENERATE(10, 11);
  std::string message = EncodeHandover(request);
  Caller caller;
  site.client.Start("i1:2",
                    fmt::format("POST {} HTTP/1.1\r\nHost: p\r\n"
                                "Content-Length: {}\r\n\r\n{}",
                                kHandoverPath, message.size(), message),
                    milliseconds(0), &caller);
  site.Await(caller);
  if (request.configuration == 10) {
    CHECK(caller.head.status == 200);
    return;
  }
  CHECK(caller.head.status == 503);
  REQUIRE(caller.head.headers.Find(kHandoverRunField) != nullptr);
  CHECK(DecodeHandoverRun(*caller.head.headers.Find(kHandoverRunField)) ==
        HandoverRun::kTryAnother);
  CHECK(*caller.head.headers.Find(kHandoverRequestField) == "q1");
}

TEST_CASE("a request is handed over once", "[gateway][handover]") {
  Site site;
  site.CutOffAndWait({"i0", "i1", "i2"});
  int handed_over = site.CountEvents(EventId::kRequestHandedOver);
  site.Pass(seconds(2));
  site.Await(site.Send("i0", "many"));
  CHECK(site.CountEvents(EventId::kRequestHandedOver) - handed_over <= 2);
  CHECK(site.CountAt("i1", EventId::kRequestHandedOver) +
            site.CountAt("i2", EventId::kRequestHandedOver) <=
        handed_over);
}

TEST_CASE("a cut blames no prompt part and no endpoint",
          "[gateway][handover]") {
  Site site;
  // The repeat budget grows with the requests.
  REQUIRE(site.Ask("i0", 10, "many") == 10);
  site.SetDelay(milliseconds(400));
  for (int i = 0; i < 4; ++i) {
    site.Send("i0", "many",
              fmt::format("Filbertshift-Prompt-Prefix: {:x}:10,{:x}:10\r\n", 7,
                          100 + i));
  }
  site.Pass(milliseconds(100));
  site.CutOff({"i0"}, Cut::kReset);
  site.Pass(seconds(3));
  CHECK(site.CountAt("i0", EventId::kEndpointCrashed) == 0);
  CHECK(site.CountAt("i0", EventId::kCauseBlocked) == 0);
  for (const auto& caller : site.callers) {
    CHECK(caller->head.status == 200);
  }
}

TEST_CASE("a started stream goes past instances that are cut off as well",
          "[gateway][handover]") {
  Cut how = GENERATE(Cut::kSilent, Cut::kReset);
  CAPTURE(static_cast<int>(how));
  Site site(3);
  site.StartInstance("far", "b");
  site.Pass(seconds(10));
  // The other instances know that they are cut off.
  site.CutOffAndWait({"i1", "i2"}, how);
  REQUIRE(site.Ask("i0", 10, "many") == 10);
  Caller& caller = site.Send("i0", "stream");
  site.Pass(milliseconds(500));
  REQUIRE(caller.body.find("data: 2\n") != std::string::npos);
  site.CutOff({"i0", "i1", "i2"}, how);
  site.Await(caller);
  CAPTURE(caller.body);
  CHECK_FALSE(caller.failed);
  CHECK(caller.body.find("data: 10\n") != std::string::npos);
}

TEST_CASE("a request in progress goes past instances that are cut off as well",
          "[gateway][handover]") {
  Site site(3);
  site.StartInstance("far", "b");
  site.Pass(seconds(10));
  site.CutOffAndWait({"i1", "i2"}, Cut::kReset);
  REQUIRE(site.Ask("i0", 10, "many") == 10);
  site.SetDelay(milliseconds(400));
  Caller& caller = site.Send("i0", "many");
  site.Pass(milliseconds(100));
  site.CutOff({"i0", "i1", "i2"}, Cut::kReset);
  site.Await(caller);
  CHECK(caller.head.status == 200);
}

TEST_CASE("one broken hop to the only other instance refuses no later request",
          "[gateway][handover]") {
  Site site(2);
  site.CutOffAndWait({"i0"});
  REQUIRE(site.Ask("i0", 5, "once") == 5);
  site.SetDelay(milliseconds(300));
  Caller& caller = site.Send("i0", "once");
  site.Pass(milliseconds(100));
  const SimNode* one = site.instances.at("i0").node;
  const SimNode* two = site.instances.at("i1").node;
  site.network.ResetBetween([one, two](const SimNode* a, const SimNode* b) {
    return (a == one && b == two) || (a == two && b == one);
  });
  site.Await(caller);
  CHECK(site.Ask("i0", 3, "once") == 3);
}

TEST_CASE("a request that may run once for its sender runs once",
          "[gateway][handover]") {
  Site site;
  site.Pass(seconds(3));
  site.CutOff({"i0"}, Cut::kSilent);
  int runs = site.Runs();
  for (const auto& entry : site.slow) {
    entry.second->status = 500;
  }
  Caller& caller = site.Send("i0", "once");
  site.Pass(milliseconds(40));
  site.Configure(11, "idempotent");
  site.Await(caller);
  CAPTURE(caller.head.status);
  CHECK(site.CountAt("i0", EventId::kRequestHandedOver) == 1);
  CHECK(site.Runs() - runs == 1);
}

TEST_CASE("repeats that are handed over stay within the shared budget",
          "[gateway][handover]") {
  Site site;
  int sent = site.requests;
  site.SetDelay(milliseconds(1500));
  constexpr int kRequests = 100;
  std::size_t first = site.callers.size();
  for (int i = 0; i < kRequests; ++i) {
    site.Send("i0", "many");
  }
  sent += kRequests;
  site.Pass(milliseconds(100));
  int runs_before = site.Runs();
  site.CutOff({"i0"}, Cut::kSilent);
  site.Pass(seconds(5));
  int repeats = site.Runs() - runs_before;
  int refused = 0;
  for (std::size_t i = first; i < site.callers.size(); ++i) {
    refused += site.callers[i]->head.status == 200 ? 0 : 1;
  }
  GatewaySettings settings;
  double bound = settings.repeat_ratio * sent + settings.repeat_allowance;
  CAPTURE(repeats, bound, refused, runs_before,
          site.CountAt("i0", EventId::kRequestHandedOver));
  CHECK(repeats <= bound);
}

TEST_CASE("the crash of the only endpoint counts as a crash",
          "[gateway][handover]") {
  Site site;
  for (const char* id : {"e1", "e2", "e3", "e4"}) {
    site.endpoints.erase(id);
    site.store.Remove("servers", id);
  }
  site.Pass(seconds(2));
  REQUIRE(site.Ask("i0", 10, "other") == 10);
  site.SetDelay(milliseconds(400));
  site.Send("i0", "other", "Filbertshift-Prompt-Prefix: 7:10,8:10\r\n");
  site.Pass(milliseconds(100));
  // As a crash looks to all instances.
  site.CutOff({"i0", "i1", "i2"}, Cut::kReset);
  site.Pass(seconds(3));
  CHECK(site.CountEvents(EventId::kEndpointCrashed) == 1);
}

TEST_CASE("an endpoint that returns alone serves requests",
          "[gateway][handover]") {
  Site site;
  for (const char* id : {"e2", "e3", "e4"}) {
    site.endpoints.erase(id);
    site.store.Remove("servers", id);
  }
  site.Pass(seconds(2));
  REQUIRE(site.Ask("i0", 10, "many") == 10);
  site.CutOffAndWait({"i0", "i1", "i2"}, Cut::kReset);
  const SimNode* t1 = site.endpoints.at("t1").node;
  site.network.SetRefusal(
      [t1](const SimNode*, const SimNode* other) { return other == t1; });
  site.Pass(seconds(5));
  CHECK(site.Ask("i0", 10, "many") == 10);
}

TEST_CASE("an endpoint cannot deny a run in the name of a peer",
          "[gateway][handover]") {
  Site site;
  site.CutOffAndWait({"i0"});
  for (const auto& entry : site.slow) {
    entry.second->handover_field = EncodeHandoverRun(true, "stranded");
  }
  int runs = site.Runs();
  Caller& caller = site.Send("i0", "once");
  site.Await(caller);
  CHECK(caller.head.status == 200);
  CHECK(site.Runs() - runs == 1);
}

}  // namespace
}  // namespace filbertshift
