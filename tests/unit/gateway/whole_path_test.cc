// Tests of the gateway over real sockets, against simplified versions of the
// platform's store and workers.

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform/platform.h"
#include "src/gateway/gateway.h"
#include "tests/unit/gateway/forwarder_fixture.h"
#include "tests/unit/gateway/stand_ins.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

// Returns a port that is not in use.
int FreePort() {
  int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  REQUIRE(bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) == 0);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  close(descriptor);
  return ntohs(address.sin_port);
}

constexpr char kConfiguration[] = R"({"version":1,"routes":[
 {"name":"once","host":"h","prefix":"/once/","route_kind":"non_idempotent",
  "timeout_ms":2000,"objective_ms":300,"service":"s","max_attempts":1},
 {"name":"stream","host":"h","prefix":"/stream/","route_kind":"streaming",
  "timeout_ms":5000,"objective_ms":2000,"gap_aim_ms":1000,"service":"s",
  "max_attempts":3,"resumable":true}],
 "services":[{"name":"s"}],"tenants":[{"name":"t","api_keys":["k1","k2"]}]})";

// A caller that collects one response.
class Caller : public CallListener {
 public:
  HeadDecision OnHead(CallId, const HttpResponseHead& head) override {
    status = head.status;
    return HeadDecision::kAccept;
  }
  void OnBody(CallId, std::string_view data) override { body.append(data); }
  void OnComplete(CallId) override { done = true; }
  void OnFailed(CallId, CallFailure, std::string_view) override {
    failed = true;
    done = true;
  }
  int status = 0;
  std::string body;
  bool done = false;
  bool failed = false;
};

struct Site {
  Site()
      : loop(milliseconds(2000)),
        store(&loop),
        worker1(&loop, "w1"),
        worker2(&loop, "w2"),
        client(&loop, milliseconds(1000)) {
    for (std::string* address :
         {&store_address, &worker1_address, &worker2_address}) {
      *address = fmt::format("127.0.0.1:{}", FreePort());
    }
    loop.Listen(store_address, store.listener());
    loop.Listen(worker1_address, worker1.listener());
    loop.Listen(worker2_address, worker2.listener());
    store.Put("op", "config", kConfiguration);
    PutWorker("w1", worker1_address);
    PutWorker("w2", worker2_address);
    for (int i = 0; i < 2; ++i) {
      AddInstance(fmt::format("i{}", i));
    }
  }

  void PutWorker(const std::string& id, const std::string& address) {
    store.Put("servers", id,
              fmt::format(R"({{"service":"s","address":"{}","zone":"a",)"
                          R"("version":"v1","slots":4,"state":"ready",)"
                          R"("cold_remaining_ms":0,"sequence":1}})",
                          address));
  }

  void AddInstance(const std::string& name) {
    GatewaySettings settings;
    settings.instance = InstanceId(name);
    settings.data_centre = DataCentreId("a");
    settings.caller_listen = fmt::format("127.0.0.1:{}", FreePort());
    settings.readiness_listen = fmt::format("127.0.0.1:{}", FreePort());
    settings.peer_listen = fmt::format("127.0.0.1:{}", FreePort());
    settings.store_address = store_address;
    protocols.push_back(std::make_unique<RowProtocol>(store_address));
    metrics.push_back(std::make_unique<GatewayMetrics>());
    gateways.push_back(std::make_unique<Gateway>(
        settings, PlatformAdapter{headers, documents, *protocols.back()}, &loop,
        &log, metrics.back().get(), 1));
    loop.Listen(settings.caller_listen, gateways.back()->caller_listener());
    loop.Listen(settings.peer_listen, gateways.back()->peer_listener());
    gateways.back()->Start();
    addresses.push_back(settings.caller_listen);
    peer_addresses.push_back(settings.peer_listen);
  }

  // Runs the loop until the condition holds or the limit has passed.
  bool RunUntil(const std::function<bool()>& condition,
                milliseconds limit = milliseconds(8000)) {
    TimePoint end = loop.Now() + limit;
    std::function<void()> check = [&] {
      if (condition() || loop.Now() > end) {
        loop.Stop();
      } else {
        loop.After(milliseconds(5), check);
      }
    };
    loop.After(milliseconds(0), check);
    loop.Run();
    return condition();
  }

  Caller Call(const std::string& address,
              const std::string& target,
              const std::string& key = "k1") {
    Caller caller;
    std::string message =
        "POST " + target + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " +
        key + "\r\nFilbertshift-Attempt-Id: a" + std::to_string(++last_id) +
        "\r\nContent-Length: 2\r\n\r\nhi";
    client.Start(address, message, milliseconds(0), &caller);
    RunUntil([&caller] { return caller.done; });
    return caller;
  }

  bool AllReady() { return gateways[0]->IsReady() && gateways[1]->IsReady(); }

  TcpLoop loop;
  StandInStore store;
  StandInWorker worker1;
  StandInWorker worker2;
  HttpClient client;
  std::string store_address;
  std::string worker1_address;
  std::string worker2_address;
  NullEventLog log;
  HeaderCodec headers;
  DocumentDecoder documents;
  std::vector<std::unique_ptr<RowProtocol>> protocols;
  std::vector<std::unique_ptr<GatewayMetrics>> metrics;
  std::vector<std::unique_ptr<Gateway>> gateways;
  std::vector<std::string> addresses;
  std::vector<std::string> peer_addresses;
  int last_id = 0;
};

TEST_CASE("the gateway serves from the platform's store", "[gateway]") {
  Site site;
  REQUIRE(site.RunUntil([&site] { return site.AllReady(); }));
  Caller whole = site.Call(site.addresses[0], "/once/a%20b?x=%41");
  CHECK(whole.status == 200);
  CHECK(whole.body == "/once/a%20b?x=%41 hi");
  CHECK(site.worker1.runs() + site.worker2.runs() == 1);
  site.worker1.BreakNextStream();
  site.worker2.BreakNextStream();
  Caller stream = site.Call(site.addresses[1], "/stream/x");
  CHECK_FALSE(stream.failed);
  CHECK(stream.body ==
        "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n");
  CHECK(site.Call(site.addresses[0], "/none/x").status == 404);
  CHECK(site.Call(site.addresses[0], "/once/x", "other").status == 401);
  Caller metrics;
  site.client.Start(site.peer_addresses[0],
                    "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", milliseconds(0),
                    &metrics);
  site.RunUntil([&metrics] { return metrics.done; });
  CHECK(metrics.body.find("filbertshift_exchanges_total") != std::string::npos);
  for (const auto& [page, part] :
       std::map<std::string, std::string>{{"instance", R"("configuration":1)"},
                                          {"endpoints", R"("endpoint":"w1")"},
                                          {"rollouts", R"({"rollouts":[]})"}}) {
    Caller operator_page;
    site.client.Start(site.peer_addresses[0],
                      "GET /v1/" + page + " HTTP/1.1\r\nHost: h\r\n\r\n",
                      milliseconds(0), &operator_page);
    site.RunUntil([&operator_page] { return operator_page.done; });
    INFO(operator_page.body);
    CHECK(operator_page.body.find(part) != std::string::npos);
  }
  CHECK(site.RunUntil(
      [&site] { return site.store.Has("filbertshift", "instance/i1"); }));
}

// Guards against an instance that keeps accepting a revoked API key because it
// cannot reach the store: it learns of the change from its peer. The store
// fails for all instances after the peer has read the change.
TEST_CASE("an instance without the store follows its peer", "[gateway]") {
  Site site;
  REQUIRE(site.RunUntil([&site] { return site.AllReady(); }));
  REQUIRE(site.RunUntil([&site] {
    return site.store.Has("filbertshift", "instance/i0") &&
           site.store.Has("filbertshift", "instance/i1");
  }));
  site.RunUntil([] { return false; }, milliseconds(1500));
  // An instance reads the change before the store fails.
  REQUIRE(site.RunUntil([&site] { return site.store.CountWaiting("op") > 0; }));
  std::string changed = kConfiguration;
  changed.replace(changed.find("\"version\":1"), 11, "\"version\":2");
  changed.replace(changed.find("\"k1\","), 5, "");
  site.store.Put("op", "config", changed);
  site.store.SetBusy(true);
  site.AddInstance("i2");  // Starts while the store is down.
  bool refused = false;
  for (int i = 0; i < 40 && !refused; ++i) {
    refused = site.Call(site.addresses[0], "/once/x", "k1").status == 401;
    site.RunUntil([] { return false; }, milliseconds(100));
  }
  CHECK(refused);
  CHECK(site.Call(site.addresses[0], "/once/x", "k2").status == 200);
}

// Guards against a rollout that no instance advances.
TEST_CASE("a rollout is carried to its end through the store", "[gateway]") {
  Site site;
  REQUIRE(site.RunUntil([&site] { return site.AllReady(); }));
  site.store.Put("op", "rollout/s",
                 R"({"service":"s","to":"v2","deadline_s":6})");
  CHECK(site.RunUntil(
      [&site] {
        return site.store.Value("status", "rollout/s").find("in_progress") !=
               std::string::npos;
      },
      milliseconds(3000)));
  site.store.Put("servers", "w2",
                 fmt::format(R"({{"service":"s","address":"{}","zone":"a",)"
                             R"("version":"v2","slots":4,"state":"ready",)"
                             R"("cold_remaining_ms":0,"sequence":1}})",
                             site.worker2_address));
  CHECK(site.RunUntil(
      [&site] {
        return site.store.Value("status", "rollout/s").find("completed") !=
               std::string::npos;
      },
      milliseconds(6500)));
  int before = site.worker1.runs();
  CHECK(site.Call(site.addresses[0], "/once/x").status == 200);
  CHECK(site.worker1.runs() == before);
}

}  // namespace
}  // namespace filbertshift
