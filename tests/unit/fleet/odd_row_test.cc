// Tests of rows that other writers put among those of the endpoints: each costs
// only itself, whatever it holds.

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "platform/platform.h"
#include "src/gateway/gateway.h"
#include "tests/unit/support/small_stack.h"

namespace filbertshift {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

class NullListener : public FleetViewListener {
 public:
  void OnConfiguration(const FleetConfiguration&) override {}
  void OnEndpoint(const RoutedEndpoint&) override {}
  void OnEndpointRemoved(const EndpointId&) override {}
};

class LineLog : public EventLog {
 public:
  using EventLog::Write;
  void Write(EventId event, const EventContext&, std::string detail) override {
    ++counts[event];
    bytes += detail.size();
    latest = std::move(detail);
  }
  std::map<EventId, int> counts;
  std::size_t bytes = 0;
  std::string latest;
};

struct Fixture {
  Fixture() : view(documents, &log, &listener) {}
  void Put(StoreTable table,
           const std::vector<StoreRow>& rows,
           std::int64_t as_of) {
    view.ApplyChanges(table, rows, {0, as_of}, RowSource::kStore, now);
  }
  std::vector<std::string> Endpoints() const {
    std::vector<std::string> ids;
    for (const auto& entry : view.endpoints()) {
      ids.push_back(entry.first.value());
    }
    std::sort(ids.begin(), ids.end());
    return ids;
  }
  int Findings() { return log.counts[EventId::kStoreRowRejected]; }

  DocumentDecoder documents;
  LineLog log;
  NullListener listener;
  FleetView view;
  TimePoint now{std::chrono::hours(1)};
};

std::string Good(int number = 1) {
  return fmt::format(
      R"({{"service":"s","address":"10.0.0.{}:80","zone":"a","version":"v1",)"
      R"("slots":4,"state":"ready","cold_remaining_ms":0,"sequence":1}})",
      number);
}

// The good entry with another value of one field.
std::string With(const std::string& field, const std::string& value) {
  json good = json::parse(Good());
  std::string text = "{";
  for (const auto& [name, old] : good.items()) {
    text += fmt::format("{}\"{}\":{}", text.size() > 1 ? "," : "", name,
                        name == field ? value : old.dump());
  }
  return text + (good.contains(field)
                     ? "}"
                     : fmt::format(",\"{}\":{}}}", field, value));
}

std::string Without(const std::string& field) {
  json good = json::parse(Good());
  good.erase(field);
  return good.dump();
}

std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

std::vector<std::string> OddEntries() {
  std::vector<std::string> odd = {
      "",
      "null",
      "7",
      "[]",
      "{}",
      "\xff\xfe",
      Good() + "x",
      Good().substr(0, 40),
      With("service", "\"\xc3\x28\""),
      With("note", Nested(100000)),
      "{\"service\":\"t\"," + Good().substr(1),
  };
  for (const char* field : {"service", "address", "zone", "version", "slots",
                            "state", "cold_remaining_ms", "sequence"}) {
    odd.push_back(Without(field));
    odd.push_back(With(field, "null"));
    odd.push_back(With(field, "[1]"));
    odd.push_back(With(field, "true"));
  }
  for (const char* field : {"slots", "cold_remaining_ms", "sequence", "born"}) {
    for (const char* number : {"1e300", "-1e300", "99999999999999999999", "-1",
                               "18446744073709551615", "\"1\""}) {
      odd.push_back(With(field, number));
    }
  }
  odd.push_back(With("slots", "0"));
  odd.push_back(With("slots", "2.5"));
  odd.push_back(With("slots", "2147483648"));
  odd.push_back(With("born", "1.5"));
  for (const char* address :
       {"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536",
        "10.0.0.1:99999999999999999999", "10.0.0.1:-80", "10.0.0.1:80x",
        "10.0.0.1: 80", "10.0.0.256:80", "host.example:80", ":80", "::1:80",
        "[::1]", "10.0.0.1:80\\r\\n", "http://10.0.0.1:80"}) {
    odd.push_back(With("address", fmt::format("\"{}\"", address)));
  }
  odd.push_back(With("state", "\"sleeping\""));
  for (const char* field : {"service", "zone", "version"}) {
    odd.push_back(With(field, "\"\""));
    odd.push_back(With(field, "\"a\\r\\nX-Field: b\""));
    odd.push_back(With(field, "\"a\\u0000\""));
    odd.push_back(With(field, "\"" + std::string(60000, 'v') + "\""));
  }
  odd.push_back(With("models", "[7]"));
  odd.push_back(With("models", "7"));
  return odd;
}

// Guards against instances that end, stop following the list or use an endpoint
// that does not exist, because of one entry of another writer.
TEST_CASE("one odd entry costs only itself", "[fleet]") {
  for (const std::string& odd : OddEntries()) {
    INFO(odd.substr(0, 300));
    Fixture f;
    f.Put(StoreTable::kEndpoints,
          {{"e1", Good(1), 1, false},
           {"e2", odd, 2, false},
           {"e3", Good(3), 3, false}},
          3);
    CHECK(f.Endpoints() == std::vector<std::string>{"e1", "e3"});
    CHECK(f.view.as_of(StoreTable::kEndpoints) == StoreVersion{0, 3});
    CHECK(f.Findings() == 1);
    f.Put(StoreTable::kEndpoints, {{"e2", odd, 2, false}}, 4);
    CHECK(f.Findings() == 1);
    f.Put(StoreTable::kEndpoints, {{"e2", odd, 5, false}}, 5);
    CHECK(f.Findings() == 2);
    f.Put(StoreTable::kEndpoints, {{"e2", Good(2), 6, false}}, 6);
    CHECK(f.Endpoints() == std::vector<std::string>{"e1", "e2", "e3"});
    f.Put(StoreTable::kEndpoints, {{"e2", odd, 7, false}}, 7);
    CHECK(f.Endpoints() == std::vector<std::string>{"e1", "e3"});
    f.Put(StoreTable::kEndpoints, {{"e2", "", 8, true}}, 8);
    CHECK(f.Endpoints() == std::vector<std::string>{"e1", "e3"});
  }
}

// Guards against refusing entries that are sound.
TEST_CASE("an unusual sound entry names its endpoint", "[fleet]") {
  const std::string entries[] = {
      With("slots", "4.0"),
      With("cold_remaining_ms", "2999.75"),
      With("born", "1764911400123"),
      With("version", "\"caf\xc3\xa9 2\""),
      With("address", "\"[2001:db8::1]:65535\""),
      With("note", Nested(50)),
      With("note", "\"" + std::string(65000, 'x') + "\""),
      With("models", R"([{"name":"m","version":1,"adapters":[]}])"),
  };
  for (const std::string& entry : entries) {
    INFO(entry.substr(0, 300));
    Fixture f;
    f.Put(StoreTable::kEndpoints, {{"e1", entry, 1, false}}, 1);
    CHECK(f.Endpoints() == std::vector<std::string>{"e1"});
    CHECK(f.Findings() == 0);
  }
}

// Guards against request smuggling: the id of an endpoint goes into a header
// field of each request to it.
TEST_CASE("an odd id names no endpoint", "[fleet]") {
  using std::string_literals::operator""s;
  for (const std::string& id :
       {""s, "e\r\nX-Field: 1"s, "e\n"s, " e"s, "e "s, "e\x7f"s, "e\0"s, "\t"s,
        std::string(300, 'e')}) {
    INFO(id);
    Fixture f;
    f.Put(StoreTable::kEndpoints,
          {{id, Good(1), 1, false}, {"e2", Good(2), 2, false}}, 2);
    CHECK(f.Endpoints() == std::vector<std::string>{"e2"});
    CHECK(f.Findings() == 1);
  }
}

// Guards against an endpoint that stays in use although its entry no longer
// names it: only a missing entry may come back after an outage.
TEST_CASE("an entry that becomes odd in an outage counts at once", "[fleet]") {
  Fixture f;
  f.Put(StoreTable::kEndpoints, {{"e1", Good(1), 1, false}}, 1);
  f.view.OnStoreFailure(f.now);
  f.Put(StoreTable::kEndpoints, {{"e1", "{}", 2, false}}, 2);
  CHECK(f.Endpoints().empty());
}

// Guards against a full log, and against a view that is too large for peers.
TEST_CASE("ten thousand odd entries cost little", "[fleet]") {
  constexpr int kRows = 10000;
  const std::string odd = With("slots", "1e300") + std::string(2000, ' ');
  Fixture f;
  for (std::int64_t round = 0; round < 3; ++round) {
    std::vector<StoreRow> rows;
    for (int i = 0; i < kRows; ++i) {
      rows.push_back(
          {fmt::format("odd-{}", i), odd, 1 + round * kRows + i, false});
    }
    f.Put(StoreTable::kEndpoints, rows, (round + 1) * kRows);
    f.now += milliseconds(1000);
  }
  f.Put(StoreTable::kEndpoints, {{"e1", Good(1), 100000, false}}, 100000);
  CHECK(f.Endpoints() == std::vector<std::string>{"e1"});
  CHECK(f.Findings() <= 200);
  CHECK(f.Findings() > 0);
  f.view.ReportOmittedFindings(f.now + milliseconds(20000));
  CHECK(f.log.counts[EventId::kStoreFindingsOmitted] == 1);
  CHECK(f.log.latest == fmt::format("findings={}", 3 * kRows - f.Findings()));
  PeerView message;
  message.tables.push_back(
      {f.view.ChangesSince(StoreTable::kEndpoints, {0, -1}), milliseconds(0)});
  std::string bytes = EncodePeerView(message);
  CHECK(bytes.size() < std::size_t{1024} * 1024);
  PeerView received = DecodePeerView(bytes);
  Fixture peer;
  CHECK(peer.view.ApplyPeerChanges(received.tables.at(0).changes, peer.now));
  CHECK(peer.Endpoints() == std::vector<std::string>{"e1"});
  CHECK(peer.view.as_of(StoreTable::kEndpoints) == StoreVersion{0, 100000});
}

// Guards against log lines as large as the row.
TEST_CASE("a finding in a large row is a short line", "[fleet]") {
  Fixture f;
  const std::string large(60000, 'x');
  f.Put(StoreTable::kEndpoints,
        {{"e1", With("state", "\"" + large + "\""), 1, false},
         {"e2", With("note", "\"" + large + "\xff\""), 2, false}},
        2);
  CHECK(f.Findings() == 2);
  CHECK(f.log.bytes < 1000);
}

// Guards against instances that end: copying, encoding and decoding a deep
// document recurse.
TEST_CASE("a deep document is refused on a small stack", "[fleet]") {
  constexpr std::size_t kDepth = 100000;
  const std::string deep = Nested(kDepth);
  const std::string deep_objects = [] {
    std::string text;
    for (std::size_t i = 0; i < kDepth; ++i) {
      text += "{\"a\":";
    }
    return text + "1" + std::string(kDepth, '}');
  }();
  std::vector<std::string> accepted;
  RunOnSmallStack([&] {
    DocumentDecoder documents;
    std::vector<Finding> findings;
    for (const std::string& part : {deep, deep_objects}) {
      auto expect_none = [&accepted](const char* what, bool decoded) {
        if (decoded) {
          accepted.emplace_back(what);
        }
      };
      auto expect_error = [&](const char* what, auto decode) {
        try {
          decode();
          accepted.emplace_back(what);
        } catch (const FindingsError&) {
          return;
        }
      };
      expect_none(
          "configuration",
          documents
              .DecodeConfiguration(
                  R"({"version":1,"routes":[],"services":[],"tenants":)" +
                      part + "}",
                  &findings)
              .has_value());
      expect_none("engine",
                  documents
                      .DecodeConfiguration(
                          R"({"version":1,"routes":[],"services":[{"name":)"
                          R"("s","engine":{"models":)" +
                              part + "}}]}",
                          &findings)
                      .has_value());
      expect_none("order", documents
                               .DecodeRolloutOrder(
                                   R"({"service":"s","to":"v","deadline_s":9,)"
                                   R"("x":)" +
                                       part + "}",
                                   &findings)
                               .has_value());
      expect_none("endpoint",
                  documents.DecodeEndpoint("e", With("x", part), &findings)
                      .has_value());
      expect_none(
          "member",
          DecodeMemberState(R"({"instance":"i","peer_address":"a","beat":1,)"
                            R"("incarnation":1,"kept_sessions":)" +
                            part + "}")
              .has_value());
      expect_none("progress", DecodeRolloutProgress(part, 0).has_value());
      expect_error("rows", [&] {
        RowProtocol("127.0.0.1:1")
            .DecodeRows(R"({"row_version":1,"now_ms":1,"rows":[],"x":)" + part +
                        "}");
      });
    }
    auto peer_view = [](const std::string& bytes) { DecodePeerView(bytes); };
    try {
      // Arrays of one element each.
      peer_view(std::string(kDepth, '\x91'));
      accepted.emplace_back("peer view");
    } catch (const FindingsError&) {
      return;
    }
  });
  CHECK(accepted.empty());
}

// Guards against timers and limits out of the range of their types, and against
// losing the configuration in force.
TEST_CASE("a document with numbers out of range changes nothing", "[fleet]") {
  auto configuration = [](const std::string& version, const std::string& field,
                          const std::string& value) {
    json route{{"name", "r"},       {"host", "h"},
               {"prefix", "/"},     {"route_kind", "idempotent"},
               {"timeout_ms", 800}, {"objective_ms", 300},
               {"service", "s"},    {"priority", 1},
               {"max_attempts", 2}};
    std::string text = route.dump();
    text.pop_back();
    return fmt::format(
        R"({{"version":{},"routes":[{},"{}":{}}}],"services":[]}})", version,
        text, field, value);
  };
  Fixture f;
  f.Put(StoreTable::kOperator,
        {{"config", configuration("5", "gap_aim_ms", "10.5"), 1, false}}, 1);
  REQUIRE(f.view.configuration() != nullptr);
  std::int64_t version = 1;
  for (const char* number :
       {"1e300", "-1e300", "9223372036854775807", "-1", "\"1\""}) {
    INFO(number);
    ++version;
    f.Put(
        StoreTable::kOperator,
        {{"config", configuration("6", "gap_aim_ms", number), version, false}},
        version);
    CHECK(f.view.configuration()->version == 5);
  }
  ++version;
  f.Put(StoreTable::kOperator,
        {{"config", configuration("1e300", "gap_aim_ms", "1"), version, false}},
        version);
  CHECK(f.view.configuration()->version == 5);
  const ServiceId service("s");
  auto order = [](const std::string& seconds) {
    return R"({"service":"s","to":"v2","deadline_s":)" + seconds + "}";
  };
  ++version;
  f.Put(StoreTable::kOperator, {{"rollout/s", order("12"), version, false}},
        version);
  for (const char* number : {"1e300", "-1", "9223372036854775807"}) {
    INFO(number);
    ++version;
    f.Put(StoreTable::kOperator, {{"rollout/s", order(number), version, false}},
          version);
    REQUIRE(f.view.orders().count(service) == 1);
    CHECK(f.view.orders().at(service).deadline == milliseconds(12000));
  }
  CHECK(f.Findings() == 9);
}

TEST_CASE("rows of instances with numbers out of range are ignored",
          "[fleet]") {
  for (const char* number : {"1e300", "-1", "99999999999999999999", "1.5"}) {
    INFO(number);
    CHECK_FALSE(
        DecodeMemberState(
            fmt::format(R"({{"instance":"i","peer_address":"a","beat":1,)"
                        R"("incarnation":1,"stable_in_flight":{{"s":{}}}}})",
                        number))
            .has_value());
    CHECK_FALSE(
        DecodeMemberState(
            fmt::format(R"({{"instance":"i","peer_address":"a","beat":{},)"
                        R"("incarnation":1}})",
                        number))
            .has_value());
    CHECK_FALSE(
        DecodeRolloutProgress(
            fmt::format(R"({{"order_version":1,"to":"v","started_at_ms":1,)"
                        R"("changed_at_ms":1,"exposure_permille":{},)"
                        R"("state":0}})",
                        number),
            0)
            .has_value());
  }
}

TEST_CASE("a peer view with numbers out of range is refused", "[fleet]") {
  auto bytes = [](const json& as_of, const json& age, const json& version) {
    json message = json::array(
        {true, 5,
         json::array({json::array(
             {1, as_of, true, age,
              json::array({json::array({"e1", Good(), version, false})})})}),
         7});
    std::vector<std::uint8_t> encoded = json::to_msgpack(message);
    return std::string(encoded.begin(), encoded.end());
  };
  CHECK(DecodePeerView(bytes(3, 4, 2)).tables.at(0).age == milliseconds(4));
  const json odd[] = {1e300,
                      -1e300,
                      -1,
                      1.5,
                      std::numeric_limits<double>::quiet_NaN(),
                      std::numeric_limits<double>::infinity(),
                      std::numeric_limits<std::int64_t>::max(),
                      "3"};
  for (const json& number : odd) {
    INFO(number);
    CHECK_THROWS_AS(DecodePeerView(bytes(number, 4, 2)), FindingsError);
    CHECK_THROWS_AS(DecodePeerView(bytes(3, 4, number)), FindingsError);
    if (number != 1.5) {
      CHECK_THROWS_AS(DecodePeerView(bytes(3, number, 2)), FindingsError);
    }
  }
}

}  // namespace
}  // namespace filbertshift
