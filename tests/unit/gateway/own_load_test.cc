// Tests of what an instance reports of its requests, and of the exchange in
// whole gateways.

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "tests/unit/gateway/forwarder_fixture.h"
#include "tests/unit/gateway/stand_ins.h"
#include "tests/unit/support/sim_network.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Arrival = ForwarderFixture::Arrival;

constexpr char kStore[] = "store:1";
const ServiceId kService("s");

ReportedServiceLoad TrafficOf(ForwarderFixture* f) {
  f->transport.Advance(milliseconds(100));
  LoadReport report = f->forwarder.OwnLoad();
  return report.services[kService];
}

// Guards against a request that is counted as arrived or admitted once for each
// attempt, and against rejections that count as answers.
TEST_CASE("traffic is counted once for each request", "[gateway][load]") {
  ForwarderFixture f;
  f.Request("GET", "/safe/x", "r1");
  Arrival first = f.NextArrival();
  LoadReport during = f.forwarder.OwnLoad();
  CHECK(during.endpoints[EndpointKey(EndpointId(first.endpoint))].in_flight ==
        1);
  f.Respond(first, ForwarderFixture::WholeResponse(
                       503, "r1", "", "Filbertshift-Not-Executed: 1\r\n"));
  Arrival second = f.NextArrival();
  REQUIRE(second.endpoint != first.endpoint);
  f.transport.Advance(milliseconds(30));
  f.Respond(second, ForwarderFixture::WholeResponse(200, "r1", "x"));
  ReportedServiceLoad load = TrafficOf(&f);
  CHECK(load.arrivals == 1);
  CHECK(load.admitted == 1);
  CHECK(load.answers == 1);
  CHECK(load.answer_ms >= 30);
  CHECK(load.answer_ms < 60);
  CHECK(load.rejections == 1);
  LoadReport after = f.forwarder.OwnLoad();
  CHECK(after.endpoints.empty());
}

// Guards against fast error responses that hide how long answers take.
TEST_CASE("an error response is no answer", "[gateway][load]") {
  ForwarderFixture f;
  f.Request("GET", "/safe/x", "r1");
  f.Respond(f.NextArrival(), ForwarderFixture::WholeResponse(404, "r1", "x"));
  CHECK(TrafficOf(&f).admitted == 1);
  CHECK(TrafficOf(&f).answers == 0);
}

// Streams `blocks` events with a pause between them, and ends if asked to.
void Stream(ForwarderFixture* f,
            const std::string& id,
            int blocks,
            milliseconds pause,
            bool end) {
  f->Request("POST", "/stream/x", id, "", "b");
  Arrival arrival = f->NextArrival();
  f->Respond(arrival, ForwarderFixture::StreamHead(id));
  for (int i = 1; i <= blocks; ++i) {
    if (i > 1) {
      f->transport.Advance(pause);
    }
    f->Respond(arrival, ForwarderFixture::Event(i));
  }
  if (end) {
    f->Respond(arrival, "0\r\n\r\n");
  }
}

ReportedEndpointLoad PaceOf(ForwarderFixture* f) {
  LoadReport report = f->forwarder.OwnLoad();
  return report.endpoints[EndpointKey(EndpointId("e1"))];
}

// Guards against a pace that is taken from too few events, never, or more than
// once from one stream.
TEST_CASE("the pace of a stream is measured once", "[gateway][load]") {
  ForwarderFixture f(1);
  for (int i = 0; i < 8; ++i) {
    Stream(&f, fmt::format("mean{}", i), 4, milliseconds(20), true);
  }
  REQUIRE(PaceOf(&f).pace_count == 0);
  SECTION("a short stream that ends") {
    Stream(&f, "r1", 4, milliseconds(40), true);
    CHECK(PaceOf(&f).pace_count == Approx(1).margin(0.05));
    CHECK(PaceOf(&f).pace_sum == Approx(2).margin(0.2));
  }
  SECTION("a long stream, before its end") {
    Stream(&f, "r1", 16, milliseconds(40), false);
    CHECK(PaceOf(&f).pace_count == Approx(1).margin(0.05));
  }
  SECTION("a long stream that ends") {
    Stream(&f, "r1", 20, milliseconds(40), true);
    CHECK(PaceOf(&f).pace_count == Approx(1).margin(0.1));
  }
  SECTION("too short a stream") {
    Stream(&f, "r1", 3, milliseconds(40), true);
    CHECK(PaceOf(&f).pace_count == 0);
  }
  SECTION("a stream in progress") {
    Stream(&f, "r1", 10, milliseconds(40), false);
    CHECK(PaceOf(&f).pace_count == 0);
  }
}

struct GatewayNode {
  SimNode* node = nullptr;
  DetailLog log;
  GatewayMetrics metrics;
  std::unique_ptr<Gateway> gateway;
};

// Whole gateways with a store.
class GatewayFleet {
 public:
  GatewayFleet(int instances, milliseconds interval)
      : store_node_(network.AddNode()), store_(store_node_), rows_(kStore) {
    store_node_->Listen(kStore, store_.listener());
    store_.Put("op", "config",
               R"({"version":1,"routes":[],"services":[{"name":"s"}]})");
    store_.Put("servers", "e1",
               R"({"service":"s","address":"10.0.0.1:1","zone":"a",)"
               R"("version":"v1","slots":4,"state":"ready",)"
               R"("cold_remaining_ms":0,"sequence":1})");
    for (int i = 0; i < instances; ++i) {
      GatewaySettings settings;
      settings.instance = InstanceId(fmt::format("i{}", i));
      settings.data_centre = DataCentreId("a");
      settings.peer_listen = fmt::format("i{}:1", i);
      settings.store_address = kStore;
      settings.configuration_apply_ms = 4000;
      settings.endpoint_load_interval = interval;
      auto member = std::make_unique<GatewayNode>();
      member->node = network.AddNode();
      member->gateway = std::make_unique<Gateway>(
          settings, PlatformAdapter{headers_, documents_, rows_}, member->node,
          &member->log, &member->metrics, static_cast<std::uint64_t>(i + 1));
      member->node->Listen(settings.peer_listen,
                           member->gateway->peer_listener());
      member->gateway->Start();
      nodes.push_back(std::move(member));
    }
  }

  SimNetwork network;
  std::vector<std::unique_ptr<GatewayNode>> nodes;

 private:
  SimNode* const store_node_;
  StandInStore store_;
  HeaderCodec headers_;
  DocumentDecoder documents_;
  RowProtocol rows_;
};

// Posts a message to an instance and keeps the response.
class Sender : public CallListener {
 public:
  explicit Sender(SimNode* node) : client_(node, milliseconds(300)) {}
  void Post(const std::string& address, const std::string& body) {
    client_.Start(address,
                  fmt::format("POST {} HTTP/1.1\r\nHost: h\r\n"
                              "Content-Length: {}\r\n\r\n{}",
                              kEndpointLoadPath, body.size(), body),
                  seconds(10), this);
  }
  HeadDecision OnHead(CallId, const HttpResponseHead& head) override {
    status = head.status;
    return HeadDecision::kAccept;
  }
  void OnBody(CallId, std::string_view) override {}
  void OnComplete(CallId) override {}
  void OnFailed(CallId, CallFailure, std::string_view) override {}
  int status = 0;

 private:
  HttpClient client_;
};

std::string ValidMessage() {
  LoadMessage message;
  message.instance = InstanceId("other");
  message.data_centre = DataCentreId("a");
  return SerializeLoadMessage(message);
}

// Guards against an exchange that is not wired to the readers of the view, or
// is lost with one of them.
TEST_CASE("gateways learn the load of each other", "[gateway][load]") {
  GatewayFleet fleet(34, milliseconds(300));
  fleet.network.RunFor(seconds(15));
  for (const auto& node : fleet.nodes) {
    CHECK(node->log.counts[EventId::kEndpointLoadCurrent] >= 1);
    CHECK(node->log.counts[EventId::kEndpointLoadCurrent] ==
          node->log.counts[EventId::kEndpointLoadUnknown] + 1);
    CHECK(node->log.counts[EventId::kEndpointLoadRejected] == 0);
    node->log.counts.clear();
  }
  fleet.network.RunFor(seconds(20));
  for (const auto& node : fleet.nodes) {
    CHECK(node->log.counts[EventId::kEndpointLoadUnknown] == 0);
    CHECK(node->log.counts[EventId::kEndpointLoadCurrent] == 0);
  }
}

// Guards against messages between instances, and an open path, where operators
// have not turned the exchange on.
TEST_CASE("with the interval 0 nothing is sent or served", "[gateway][load]") {
  GatewayFleet fleet(5, milliseconds(0));
  fleet.network.RunFor(seconds(15));
  Sender sender(fleet.network.AddNode());
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
    sender.status = 0;
    sender.Post(fmt::format("i{}:1", i), ValidMessage());
    fleet.network.RunFor(milliseconds(100));
    CHECK(sender.status == 404);
    GatewayNode& node = *fleet.nodes[i];
    CHECK(node.metrics.Serialize().find(
              "filbertshift_endpoint_load_bytes_total{") == std::string::npos);
    CHECK(node.log.counts[EventId::kEndpointLoadCurrent] == 0);
    CHECK(node.log.counts[EventId::kEndpointLoadUnknown] == 0);
  }
}

}  // namespace
}  // namespace filbertshift
