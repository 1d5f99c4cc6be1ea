// Tests of the wire format of load reports and of their collection.

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include "src/gateway/endpoint_load_collector.h"

namespace filbertshift {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

std::string Bytes(const json& value) {
  std::vector<std::uint8_t> bytes = json::to_msgpack(value);
  return std::string(bytes.begin(), bytes.end());
}

// A valid message.
json Valid() {
  return json::array({1, "i1", 7, "a", 0,
                      json::array({json::array({9, 2, 1.5, 300, 2.5, 2})}),
                      json::array({json::array({"s", 5, 4, 3, 90, 1})})});
}

LoadMessage MessageFrom(const std::string& instance,
                        LoadScope scope,
                        double in_flight) {
  LoadMessage message;
  message.instance = InstanceId(instance);
  message.data_centre = DataCentreId("a");
  message.scope = scope;
  message.report.endpoints[1].in_flight = in_flight;
  return message;
}

// Guards against values that change on the way.
TEST_CASE("a load report survives its encoding", "[gateway][load]") {
  LoadMessage message = MessageFrom("i1", LoadScope::kSum, 3);
  message.incarnation = ~std::uint64_t{0};
  message.age = milliseconds(250);
  std::uint64_t key = ~std::uint64_t{0} - 1;
  message.report.endpoints[key] = {2, 0.75, 300, 3, 2};
  message.report.services[ServiceId("s")] = {5, 4, 3, 90, 1};
  LoadMessage decoded = ParseLoadMessage(SerializeLoadMessage(message));
  CHECK(decoded.instance == message.instance);
  CHECK(decoded.incarnation == message.incarnation);
  CHECK(decoded.data_centre == message.data_centre);
  CHECK(decoded.scope == LoadScope::kSum);
  CHECK(decoded.age == milliseconds(250));
  REQUIRE(decoded.report.endpoints.size() == 2);
  const ReportedEndpointLoad& load = decoded.report.endpoints[key];
  CHECK(load.in_flight == 2);
  CHECK(load.running == 0.75);
  CHECK(load.waiting_tokens == 300);
  CHECK(load.pace_sum == 3);
  CHECK(load.pace_count == 2);
  const ReportedServiceLoad& service = decoded.report.services[ServiceId("s")];
  CHECK(service.arrivals == 5);
  CHECK(service.admitted == 4);
  CHECK(service.answers == 3);
  CHECK(service.answer_ms == 90);
  CHECK(service.rejections == 1);
}

// Guards against rounding that shifts the mean pace of an endpoint, and against
// a small negative remainder that becomes a huge count.
TEST_CASE("rounding keeps the mean pace and the sign", "[gateway][load]") {
  LoadMessage message = MessageFrom("i1", LoadScope::kSum, 0);
  message.report.endpoints[2] = {1, -0.001, -3, 4.2, 2.8};
  message.report.endpoints[3] = {0, 0, 0, 0.3, 0.2};
  message.report = RoundReport(message.report);
  LoadMessage decoded = ParseLoadMessage(SerializeLoadMessage(message));
  // Entries without load are left out.
  REQUIRE(decoded.report.endpoints.size() == 1);
  const ReportedEndpointLoad& load = decoded.report.endpoints[2];
  CHECK(load.pace_sum / load.pace_count == Approx(1.5));
  CHECK(load.running == 0);
  CHECK(load.waiting_tokens == 0);
}

// Guards against messages of other instances that end the process or give
// impossible figures.
TEST_CASE("a malformed load report is rejected", "[gateway][load]") {
  CHECK_NOTHROW(ParseLoadMessage(Bytes(Valid())));
  std::vector<json> faulty;
  auto with = [&](const std::string& pointer, json value) {
    json message = Valid();
    message[json::json_pointer(pointer)] = std::move(value);
    faulty.push_back(std::move(message));
  };
  with("/0", 0);
  // Changes without the message that they apply to.
  with("/0", 2);
  with("/0", 3);
  with("/0", "1");
  with("/1", 5);
  with("/1", "");
  with("/1", std::string(201, 'x'));
  with("/2", -1);
  with("/2", "7");
  with("/3", nullptr);
  with("/4", 2);
  with("/5", json::object());
  with("/5", 7);
  with("/5/0", json::array({9, 2}));
  with("/5/0", 9);
  with("/5/0/0", 1.5);
  with("/5/0/1", -1);
  with("/5/0/1", "2");
  with("/5/0/2", std::numeric_limits<double>::quiet_NaN());
  with("/5/0/3", std::numeric_limits<double>::infinity());
  with("/5/0/3", 1e13);
  with("/6", "s");
  with("/6/0/0", 1);
  with("/6/0", json::array({"s", 1}));
  with("/6/0/4", -3);
  faulty.push_back(json::array({1, "i1"}));
  faulty.push_back(json::object());
  faulty.push_back(nullptr);
  for (const json& message : faulty) {
    INFO(message.dump());
    CHECK_THROWS_AS(ParseLoadMessage(Bytes(message)), FindingsError);
  }
  std::string bytes = Bytes(Valid());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    INFO(size);
    CHECK_THROWS_AS(ParseLoadMessage(bytes.substr(0, size)), FindingsError);
  }
}

// Guards against a faulty instance that fills the memory of a reader.
TEST_CASE("an oversized load report is rejected", "[gateway][load]") {
  json message = Valid();
  for (int i = 0; i < 4095; ++i) {
    message[5].push_back(json::array({100 + i, 1, 0, 0, 0, 0}));
  }
  CHECK(ParseLoadMessage(Bytes(message)).report.endpoints.size() == 4096);
  message[5].push_back(json::array({99, 1, 0, 0, 0, 0}));
  CHECK_THROWS_AS(ParseLoadMessage(Bytes(message)), FindingsError);
  json long_message = Valid();
  long_message.push_back(0);
  long_message.push_back(std::string(kMaxLoadMessageBytes, 'x'));
  CHECK_THROWS_AS(ParseLoadMessage(Bytes(long_message)), FindingsError);
}

// Guards against a later release that could not add elements.
TEST_CASE("further elements of a load report are ignored", "[gateway][load]") {
  json message = Valid();
  message.push_back(40);
  message.push_back("more");
  message[5][0].push_back("more");
  LoadMessage decoded = ParseLoadMessage(Bytes(message));
  CHECK(decoded.age == milliseconds(40));
  CHECK(decoded.report.endpoints[9].in_flight == 2);
}

// Guards against changes that are applied to another report than they were made
// for, which would give wrong sums for as long as nothing else changes.
TEST_CASE("changes apply only to the report that they were made for",
          "[gateway][load]") {
  EndpointLoadCollector collector;
  LoadMessage whole = MessageFrom("i1", LoadScope::kInstance, 1);
  whole.incarnation = 7;
  whole.sequence = 4;
  whole.report.endpoints[2].in_flight = 5;
  CHECK(collector.Add(whole, kStart));
  LoadMessage changes = MessageFrom("i1", LoadScope::kInstance, 3);
  changes.incarnation = 7;
  changes.sequence = 5;
  changes.base = 4;
  changes.report.endpoints[2] = ReportedEndpointLoad();
  changes = ParseLoadMessage(SerializeLoadMessage(changes));
  SECTION("in order") {
    CHECK(collector.Add(changes, kStart));
    CHECK(collector.SumOfInstances().endpoints[1].in_flight == 3);
    CHECK(collector.SumOfInstances().endpoints.size() == 1);
    // A copy that arrives later.
    CHECK_FALSE(collector.Add(changes, kStart));
  }
  SECTION("to an earlier or later report") {
    changes.base = 3;
    CHECK_FALSE(collector.Add(changes, kStart));
    CHECK(collector.SumOfInstances().endpoints[1].in_flight == 1);
  }
  SECTION("of another run") {
    changes.incarnation = 8;
    CHECK_FALSE(collector.Add(changes, kStart));
  }
  SECTION("of an instance that is not known") {
    changes.instance = InstanceId("i2");
    CHECK_FALSE(collector.Add(changes, kStart));
  }
  SECTION("to a report that has expired") {
    CHECK(collector.Add(changes, kStart + milliseconds(9999)));
    CHECK(collector.SumOfInstances().endpoints[1].in_flight == 3);
  }
  SECTION("to a report that has been forgotten") {
    CHECK_FALSE(collector.Add(changes, kStart + milliseconds(10000)));
  }
}

// Guards against changes that leave out what decisions notice, and against ones
// that are as large as the whole report.
TEST_CASE("what has changed noticeably is sent", "[gateway][load]") {
  LoadReport held;
  // A plain endpoint, an engine, and one without requests now.
  held.endpoints[1] = {20, 0, 0, 0, 0};
  held.endpoints[2] = {30, 20, 4000, 24, 20};
  held.endpoints[3] = {1, 1, 0, 0, 0};
  held.services[ServiceId("s")].arrivals = 5;
  auto changed = [&](std::uint64_t key, const ReportedEndpointLoad& load,
                     LoadScope scope) {
    LoadReport current = held;
    current.endpoints[key] = load;
    LoadReport changes = ChangedEntries(held, current, scope, 0.2);
    CHECK(changes.services.size() == 1);
    CHECK(changes.endpoints.size() <= 1);
    return changes.endpoints.count(key) > 0;
  };
  constexpr LoadScope kOwn = LoadScope::kInstance;
  constexpr LoadScope kSum = LoadScope::kSum;
  CHECK_FALSE(changed(1, {20, 0, 0, 0, 0}, kOwn));
  CHECK(changed(1, {21, 0, 0, 0, 0}, kOwn));
  CHECK_FALSE(changed(1, {22, 0, 0, 0, 0}, kSum));
  CHECK(changed(1, {23, 0, 0, 0, 0}, kSum));
  CHECK_FALSE(changed(2, {31, 20.5, 4000, 24, 20}, kOwn));
  CHECK(changed(2, {30, 20, 4300, 24, 20}, kOwn));
  CHECK_FALSE(changed(2, {33, 22, 4300, 24, 20}, kSum));
  CHECK(changed(2, {30, 20, 6000, 24, 20}, kSum));
  CHECK(changed(2, {30, 20, 4000, 30, 20}, kSum));
  // A restart clears the pace.
  CHECK(changed(2, {30, 20, 4000, 0, 0}, kOwn));
  CHECK(changed(2, {30, 20, 4000, 0, 0}, kSum));
  for (LoadScope scope : {kOwn, kSum}) {
    CHECK(changed(3, ReportedEndpointLoad(), scope));
    CHECK(changed(4, {1, 0, 0, 0, 0}, scope));
    LoadReport current = held;
    current.endpoints.erase(3);
    LoadReport changes = ChangedEntries(held, current, scope, 0.2);
    REQUIRE(changes.endpoints.size() == 1);
    LoadReport applied = held;
    ApplyChanges(changes, &applied);
    CHECK(applied.endpoints.count(3) == 0);
    CHECK(applied.endpoints.size() == 2);
  }
}

// Guards against a setting for more bytes that does not give better figures.
TEST_CASE("more bytes make smaller changes noticeable", "[gateway][load]") {
  CHECK(ToleranceFor(256) == Approx(0.25));
  CHECK(ToleranceFor(2048) == Approx(0.25));
  CHECK(ToleranceFor(4096) == Approx(0.125));
  CHECK(ToleranceFor(1000000) == Approx(0.05));
}

// Guards against small differences that last because none of them is worth
// sending.
TEST_CASE("a whole report is sent now and then", "[gateway][load]") {
  LoadMessage message = MessageFrom("i1", LoadScope::kSum, 0);
  LoadReport held;
  LoadReport report;
  report.endpoints[1].in_flight = 100;
  int whole = 0;
  for (int i = 1; i <= 320; ++i) {
    report.endpoints[1].in_flight += i % 2 == 0 ? 1 : -1;
    message.sequence = static_cast<std::uint64_t>(i);
    message.base = 0;
    FillReport(report, i == 1 ? 0 : message.sequence - 1, 0.2, &message, &held);
    if (message.base == 0) {
      ++whole;
      CHECK(held.endpoints[1].in_flight == report.endpoints[1].in_flight);
    } else {
      CHECK(message.report.endpoints.empty());
    }
  }
  CHECK(whole == 11);
}

// Guards against load that is counted twice or comes back to its sender.
TEST_CASE("a collector keeps sums apart from reports", "[gateway][load]") {
  EndpointLoadCollector collector;
  collector.Add(MessageFrom("i1", LoadScope::kInstance, 1), kStart);
  collector.Add(MessageFrom("i2", LoadScope::kInstance, 2), kStart);
  collector.Add(MessageFrom("r", LoadScope::kSum, 10), kStart);
  CHECK(collector.SumOfInstances().endpoints[1].in_flight == 3);
  CHECK(collector.SumWithout(InstanceId("i1")).endpoints[1].in_flight == 12);
  CHECK(collector.SumWithout(InstanceId("r")).endpoints[1].in_flight == 3);
  CHECK(collector.SumWithout(InstanceId()).endpoints[1].in_flight == 13);
  // A later report replaces the earlier one, also of another run.
  LoadMessage later = MessageFrom("i1", LoadScope::kInstance, 5);
  later.incarnation = 1;
  collector.Add(later, kStart);
  CHECK(collector.SumOfInstances().endpoints[1].in_flight == 7);
  // An instance that has become a reader is part of its own sum.
  collector.Add(MessageFrom("i1", LoadScope::kSum, 6), kStart);
  CHECK(collector.SumWithout(InstanceId()).endpoints[1].in_flight == 18);
}

// Guards against load of instances that are lost or cut off.
TEST_CASE("a report that is not renewed for a second expires",
          "[gateway][load]") {
  EndpointLoadCollector collector;
  collector.Add(MessageFrom("i1", LoadScope::kInstance, 1), kStart);
  LoadMessage sum = MessageFrom("r", LoadScope::kSum, 10);
  sum.age = milliseconds(200);
  collector.Add(sum, kStart + milliseconds(500));
  CHECK(collector.OldestAge(kStart + milliseconds(600)) == milliseconds(600));
  collector.Expire(kStart + milliseconds(999));
  CHECK(collector.SumWithout(InstanceId()).endpoints[1].in_flight == 11);
  collector.Expire(kStart + milliseconds(1000));
  CHECK(collector.SumWithout(InstanceId()).endpoints[1].in_flight == 10);
  CHECK(collector.OldestAge(kStart + milliseconds(1000)) == milliseconds(700));
  collector.Expire(kStart + milliseconds(2099));
  CHECK_FALSE(collector.empty());
  collector.Expire(kStart + milliseconds(2100));
  CHECK(collector.empty());
}

}  // namespace
}  // namespace filbertshift
