// Tests with whole gateways, over a simulated network and clock, before
// endpoints that crash when they begin to answer a prompt with a certain part.

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "platform/platform.h"
#include "src/gateway/gateway.h"
#include "tests/unit/gateway/stand_ins.h"
#include "tests/unit/support/sim_network.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kStore[] = "store:1";
constexpr char kDeadlyPart[] = "dead";
// What the platform allows for instances to hear of each other.
constexpr seconds kContactTime{3};
constexpr int kMaxCrashes = 5;
constexpr int kMaxLateRequests = 3;

constexpr char kConfiguration[] = R"({"version":1,"routes":[
 {"name":"stream","host":"h","prefix":"/stream/","route_kind":"streaming",
  "timeout_ms":20000,"objective_ms":2000,"gap_aim_ms":1000,"priority":1,
  "service":"s","max_attempts":3,"resumable":true}],
 "services":[{"name":"s"}]})";

class NullLog : public EventLog {
 public:
  using EventLog::Write;
  void Write(EventId, const EventContext&, std::string) override {}
};

// Sends one request and keeps the response.
class Caller : public ConnectionListener {
 public:
  Caller(SimNode* node, const std::string& address, std::string request)
      : node_(node), request_(std::move(request)) {
    node_->Connect(address, milliseconds(1000), this);
  }
  void OnConnected(ConnectionId connection) override {
    node_->Send(connection, request_);
  }
  void OnData(ConnectionId, std::string_view data) override {
    response_.append(data);
  }
  void OnEnd(ConnectionId, ConnectionEnd) override {}

  bool is_complete() const {
    return response_.find("HTTP/1.1 200") == 0 &&
           response_.find("0\r\n\r\n") != std::string::npos;
  }
  bool is_refused() const { return response_.find("HTTP/1.1 503") == 0; }

 private:
  SimNode* const node_;
  const std::string request_;
  std::string response_;
};

// What all endpoints have seen.
struct Record {
  std::vector<TimePoint> crashes;
  std::vector<TimePoint> deadly_arrivals;
};

// Streams three events; crashes before the first one if the prompt has the
// deadly part, and is back after three seconds.
class CrashingEndpoint : public HttpRequestHandler {
 public:
  CrashingEndpoint(SimNetwork* network, std::string address, Record* record)
      : network_(network), address_(std::move(address)), record_(record) {
    Start();
  }

  // Crashes now and is back after three seconds.
  void Crash() {
    network_->Stop(node_);
    ended_.push_back(std::move(server_));
    node_ = nullptr;
    back_at_ = network_->now() + seconds(3);
  }
  void StartIfDue() {
    if (node_ == nullptr && network_->now() >= back_at_) {
      Start();
    }
  }
  bool running() const { return node_ != nullptr; }
  void set_crashes_always(bool value) { crashes_always_ = value; }

  void OnRequest(ConnectionId caller,
                 HttpRequestHead head,
                 std::string /*body*/) override {
    const std::string* prompt = head.headers.Find("Filbertshift-Prompt-Prefix");
    bool deadly =
        prompt != nullptr && prompt->find(kDeadlyPart) != std::string::npos;
    if (deadly) {
      record_->deadly_arrivals.push_back(network_->now());
    }
    HttpResponseHead response{200, "OK", {}};
    response.headers.Add("Filbertshift-Attempt-Id",
                         *head.headers.Find("Filbertshift-Attempt-Id"));
    response.headers.Add("Filbertshift-Response-Seal", "seal");
    const std::string* last = head.headers.Find("Last-Event-Id");
    int first = last == nullptr ? 1 : std::stoi(*last) + 1;
    node_->After(milliseconds(120), [=] {
      server_->BeginStream(caller, response);
      if (deadly || crashes_always_) {
        record_->crashes.push_back(network_->now());
        Crash();
        return;
      }
      for (int i = first; i <= 3; ++i) {
        node_->After(milliseconds(60 * (i - first)), [=] {
          server_->SendStream(caller,
                              fmt::format("id: {}\ndata: {}\n\n", i, i));
          if (i == 3) {
            server_->EndStream(caller);
          }
        });
      }
    });
  }
  void OnCallerDisconnected(ConnectionId, ConnectionEnd) override {}
  void OnRejected(int, std::string_view) override {}

 private:
  void Start() {
    node_ = network_->AddNode();
    server_ = std::make_unique<CallerServer>(node_, this);
    node_->Listen(address_, server_.get());
  }

  SimNetwork* const network_;
  const std::string address_;
  Record* const record_;
  SimNode* node_ = nullptr;
  std::unique_ptr<CallerServer> server_;
  std::vector<std::unique_ptr<CallerServer>> ended_;
  TimePoint back_at_{};
  bool crashes_always_ = false;
};

struct Instance {
  std::string name;
  SimNode* node = nullptr;
  NullLog log;
  GatewayMetrics metrics;
  std::unique_ptr<Gateway> gateway;
};

class Site {
 public:
  Site(int instance_count, int endpoint_count, unsigned seed)
      : random(seed),
        store_node_(network.AddNode()),
        caller_node_(network.AddNode()),
        store(store_node_),
        rows_(kStore) {
    store_node_->Listen(kStore, store.listener());
    store.Put("op", "config", kConfiguration);
    for (int i = 0; i < endpoint_count; ++i) {
      std::string address = fmt::format("10.0.0.{}:1", i + 1);
      endpoints_.push_back(
          std::make_unique<CrashingEndpoint>(&network, address, &record));
      store.Put("servers", fmt::format("e{}", i),
                fmt::format(R"({{"service":"s","address":"{}","zone":"a",)"
                            R"("version":"v1","slots":12,"state":"ready",)"
                            R"("cold_remaining_ms":0,"sequence":1}})",
                            address));
    }
    for (int i = 0; i < instance_count; ++i) {
      Start(fmt::format("i{}", i));
    }
    network.RunFor(seconds(12));
  }

  void Start(const std::string& name) {
    instances.push_back(std::make_unique<Instance>());
    Instance& instance = *instances.back();
    instance.name = name;
    instance.node = network.AddNode();
    GatewaySettings settings;
    settings.instance = InstanceId(name);
    settings.data_centre = DataCentreId("a");
    settings.caller_listen = name + ":80";
    settings.peer_listen = name + ":1";
    settings.store_address = kStore;
    settings.repeat_ratio = 0.9;
    settings.repeat_allowance = 58;
    instance.gateway = std::make_unique<Gateway>(
        settings, PlatformAdapter{headers_, documents_, rows_}, instance.node,
        &instance.log, &instance.metrics, ++last_incarnation_);
    instance.node->Listen(settings.peer_listen,
                          instance.gateway->peer_listener());
    instance.node->Listen(settings.caller_listen,
                          instance.gateway->caller_listener());
    instance.gateway->Start();
  }

  // Sends a request to any instance. Sound requests share their first part with
  // the others and their second part with some.
  Caller* Send(bool deadly) {
    Instance& instance = *instances[random() % instances.size()];
    std::string number = fmt::format("r{}", ++last_request_);
    std::string part = deadly ? kDeadlyPart : fmt::format("t{}", random() % 40);
    callers_.push_back(std::make_unique<Caller>(
        caller_node_, instance.name + ":80",
        fmt::format("POST /stream/x HTTP/1.1\r\nHost: h\r\n"
                    "Filbertshift-Attempt-Id: {}\r\n"
                    "Filbertshift-Model: m\r\n"
                    "Filbertshift-Prompt-Prefix: first:90,{}:50,o{}:20\r\n"
                    "Content-Length: {}\r\n\r\n{}",
                    number, part, number, number.size(), number)));
    return callers_.back().get();
  }

  // Plays traffic; returns the sound callers.
  std::vector<Caller*> Play(seconds time, int sound_in_100_ms, bool deadly) {
    std::vector<Caller*> sound;
    TimePoint end = network.now() + time;
    while (network.now() < end) {
      for (int i = 0; i < sound_in_100_ms; ++i) {
        sound.push_back(Send(false));
      }
      if (deadly && random() % 3 == 0) {
        Send(true);
      }
      for (int step = 0; step < 10; ++step) {
        network.RunFor(milliseconds(10));
        for (const auto& endpoint : endpoints_) {
          endpoint->StartIfDue();
        }
      }
    }
    return sound;
  }

  // Requests with the deadly part that reached endpoints although all instances
  // had to know of it.
  int CountLateArrivals() const {
    if (record.crashes.size() < kMaxCrashes) {
      return 0;
    }
    TimePoint known = record.crashes[kMaxCrashes - 1] + kContactTime;
    return static_cast<int>(std::count_if(
        record.deadly_arrivals.begin(), record.deadly_arrivals.end(),
        [known](TimePoint time) { return time > known; }));
  }
  CrashingEndpoint& endpoint(int number) {
    return *endpoints_[static_cast<std::size_t>(number)];
  }

  std::mt19937 random;
  SimNetwork network;
  Record record;

 private:
  SimNode* const store_node_;
  SimNode* const caller_node_;

 public:
  StandInStore store;
  std::vector<std::unique_ptr<Instance>> instances;

 private:
  HeaderCodec headers_;
  DocumentDecoder documents_;
  RowProtocol rows_;
  std::vector<std::unique_ptr<CrashingEndpoint>> endpoints_;
  std::vector<std::unique_ptr<Caller>> callers_;
  std::uint64_t last_incarnation_ = 0;
  int last_request_ = 0;
};

int CountRefused(const std::vector<Caller*>& callers) {
  return static_cast<int>(
      std::count_if(callers.begin(), callers.end(),
                    [](const Caller* caller) { return caller->is_refused(); }));
}

double ShareServed(const std::vector<Caller*>& callers) {
  auto served =
      std::count_if(callers.begin(), callers.end(),
                    [](const Caller* caller) { return caller->is_complete(); });
  return static_cast<double>(served) / static_cast<double>(callers.size());
}

// Guards against requests of one kind that crash endpoints one after the other.
TEST_CASE("requests with a part that crashes endpoints stop reaching them",
          "[gateway]") {
  for (int instances : {4, 40}) {
    for (unsigned seed : {1U, 2U, 3U}) {
      INFO("instances " << instances << " seed " << seed);
      Site site(instances, 24, seed);
      std::vector<Caller*> beside = site.Play(seconds(12), 4, true);
      CHECK(site.CountLateArrivals() <= kMaxLateRequests);
      // Sound requests share their first part with the deadly ones.
      CHECK(ShareServed(beside) > 0.9);
      std::vector<Caller*> after = site.Play(seconds(4), 4, true);
      site.Play(seconds(2), 0, false);
      CHECK(ShareServed(after) == 1.0);
    }
  }
}

TEST_CASE("a crashing part is known without the store", "[gateway]") {
  Site site(8, 24, 5);
  site.store.SetBusy(true);
  std::vector<Caller*> sound = site.Play(seconds(12), 4, true);
  REQUIRE_FALSE(site.record.crashes.empty());
  CHECK(site.CountLateArrivals() <= kMaxLateRequests);
  CHECK(ShareServed(sound) > 0.9);
}

TEST_CASE("a crashing part is known to instances that start later",
          "[gateway]") {
  Site site(4, 24, 6);
  site.Play(seconds(10), 4, true);
  REQUIRE_FALSE(site.record.crashes.empty());
  SECTION("beside others") {
    site.Start("added");
  }
  SECTION("in place of all others") {
    for (const auto& instance : site.instances) {
      site.network.Stop(instance->node);
    }
    site.instances.clear();
    for (int i = 0; i < 4; ++i) {
      site.Start(fmt::format("new{}", i));
    }
  }
  site.Play(seconds(2), 4, false);
  std::size_t before = site.record.deadly_arrivals.size();
  site.Play(seconds(10), 4, true);
  CHECK(site.record.deadly_arrivals.size() - before <= kMaxLateRequests);
}

// Guards against blaming requests for what is the fault of endpoints.
TEST_CASE("no sound request is blocked when endpoints crash by themselves",
          "[gateway]") {
  unsigned seed = GENERATE(1U, 2U);
  INFO("seed " << seed);
  Site site(4, 24, seed);
  std::vector<Caller*> callers;
  SECTION("one crashes whatever it gets") {
    site.endpoint(0).set_crashes_always(true);
    callers = site.Play(seconds(15), 6, false);
  }
  SECTION("a third loses power at once, three times") {
    for (int round = 0; round < 3; ++round) {
      for (int i = 0; i < 8; ++i) {
        if (site.endpoint(i).running()) {
          site.endpoint(i).Crash();
        }
      }
      for (Caller* caller : site.Play(seconds(4), 6, false)) {
        callers.push_back(caller);
      }
    }
  }
  SECTION("one after the other") {
    for (int i = 0; i < 24; ++i) {
      site.endpoint(i).Crash();
      for (Caller* caller : site.Play(seconds(1), 6, false)) {
        callers.push_back(caller);
      }
    }
  }
  site.Play(seconds(2), 0, false);
  CHECK(CountRefused(callers) == 0);
  CHECK(ShareServed(callers) > 0.95);
}

}  // namespace
}  // namespace filbertshift
