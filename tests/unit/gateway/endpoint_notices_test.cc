// Tests of endpoints that say in their answers that they stop, or that they
// want no requests for a while.

#include <fmt/format.h>
#include <catch2/catch.hpp>

#include <regex>

#include "tests/unit/gateway/forwarder_fixture.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

constexpr char kLeaving[] = "Server-Leaving: 1\r\n";
constexpr char kRefusal[] = "Filbertshift-Not-Executed: 1\r\n";

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

class NoticeFixture : public ForwarderFixture {
 public:
  explicit NoticeFixture(int endpoints = 2) : ForwarderFixture(endpoints) {
    for (int i = 1; i <= endpoints; ++i) {
      PutRow(fmt::format("e{}", i), i, 1000);
    }
  }

  // Writes a row that says ready. `address` is the last part of its address.
  void PutRow(const std::string& id, int address, int born) {
    std::string place = fmt::format("10.0.0.{}:80", address);
    addresses[place] = id;
    ++version_;
    view.ApplyChanges(
        StoreTable::kEndpoints,
        {{id,
          fmt::format(
              R"({{"service":"s","address":"{}","zone":"a","version":"v1",)"
              R"("slots":{},"state":"ready","cold_remaining_ms":0,)"
              R"("sequence":1,"born":{}}})",
              place, ++slots_, born),
          version_, false}},
        {0, version_}, RowSource::kStore, transport.Now());
  }
  void RemoveRow(const std::string& id) {
    ++version_;
    view.ApplyChanges(StoreTable::kEndpoints, {{id, "", version_, true}},
                      {0, version_}, RowSource::kStore, transport.Now());
  }
  std::string NextId() { return fmt::format("n{}", ++requests_); }
  // Sends a request on a route that may be repeated and returns its arrival.
  ForwarderFixture::Arrival Arrive(const std::string& id) {
    caller = Request("GET", "/safe/x", id);
    return NextArrival();
  }
  // Sends requests until one reaches `endpoint`, which has not answered it yet;
  // the others are answered.
  ForwarderFixture::Arrival ArriveAt(const std::string& endpoint) {
    for (int i = 0; i < 100; ++i) {
      std::string id = NextId();
      ForwarderFixture::Arrival arrival = Arrive(id);
      if (arrival.endpoint == endpoint) {
        last_id = id;
        return arrival;
      }
      Respond(arrival, WholeResponse(200, id, "done"));
    }
    FAIL("no request reached " << endpoint);
    return {};
  }
  // How many of some requests reach the endpoint.
  int CountAt(const std::string& endpoint) {
    int count = 0;
    for (int i = 0; i < 40; ++i) {
      std::string id = NextId();
      ForwarderFixture::Arrival arrival = Arrive(id);
      count += arrival.endpoint == endpoint ? 1 : 0;
      Respond(arrival, WholeResponse(200, id, "done"));
    }
    return count;
  }
  // Lets the endpoint refuse a request and ask for no others for a while.
  void Pause(const std::string& endpoint, const std::string& retry_after) {
    ForwarderFixture::Arrival arrival = ArriveAt(endpoint);
    Respond(arrival,
            WholeResponse(503, last_id, "",
                          kRefusal + ("Retry-After: " + retry_after + "\r\n")));
  }

  ConnectionId caller{};
  std::string last_id;

 private:
  int version_ = 100;
  int slots_ = 10;
  int requests_ = 0;
};

// Guards against requests to a leaving endpoint while its record says ready.
TEST_CASE("an endpoint that says it leaves gets no new request",
          "[gateway][notices]") {
  NoticeFixture f;
  ForwarderFixture::Arrival arrival = f.ArriveAt("e1");
  SECTION("in a success") {
    f.Respond(arrival, f.WholeResponse(200, f.last_id, "done", kLeaving));
  }
  SECTION("in a failure") {
    f.Respond(arrival, f.WholeResponse(500, f.last_id, "oops", kLeaving));
    ForwarderFixture::Arrival repeat = f.NextArrival();
    CHECK(repeat.endpoint == "e2");
    f.Respond(repeat, f.WholeResponse(200, f.last_id, "done"));
  }
  SECTION("in a refusal without a seal") {
    f.Respond(arrival, fmt::format("HTTP/1.1 503 X\r\n{}{}"
                                   "Content-Length: 0\r\n\r\n",
                                   kRefusal, kLeaving));
    ForwarderFixture::Arrival repeat = f.NextArrival();
    CHECK(repeat.endpoint == "e2");
    f.Respond(repeat, f.WholeResponse(200, f.last_id, "done"));
  }
  SECTION("in the head of an answer whose body has not ended") {
    std::string response = f.WholeResponse(200, f.last_id, "done", kLeaving);
    f.Respond(arrival, response.substr(0, response.size() - 1));
  }
  CHECK(f.CountAt("e1") == 0);
  f.PutRow("e1", 1, 1000);
  CHECK(f.CountAt("e1") == 0);
  CHECK(f.log.counts[EventId::kEndpointLeaving] == 1);
  f.RemoveRow("e1");
  f.PutRow("e1", 1, 1000);
  CHECK(f.CountAt("e1") == 0);
  f.PutRow("e1", 1, 2000);
  CHECK(f.CountAt("e1") > 0);
}

// Guards against cutting a stream because its endpoint says that it leaves.
TEST_CASE("a stream at a leaving endpoint goes on", "[gateway][notices]") {
  NoticeFixture f;
  ConnectionId caller = f.Request("POST", "/stream/x", "s1", "", "b");
  ForwarderFixture::Arrival stream = f.NextArrival();
  std::string head = ForwarderFixture::StreamHead("s1");
  head.insert(head.find("\r\n") + 2, kLeaving);
  f.Respond(stream, head);
  f.Respond(stream, ForwarderFixture::Event(1));
  CHECK(f.CountAt(stream.endpoint) == 0);
  f.Respond(stream, ForwarderFixture::Event(2));
  f.Respond(stream, std::string(kLastChunk));
  std::string response = f.transport.TakeSent(caller);
  CHECK(Contains(response, "data: d2"));
  CHECK(response.substr(response.size() - kLastChunk.size()) == kLastChunk);
}

// Guards against taking a sound endpoint out for the notice of another one.
TEST_CASE("a notice of another endpoint has no effect", "[gateway][notices]") {
  NoticeFixture f;
  ForwarderFixture::Arrival arrival = f.ArriveAt("e1");
  SECTION("in a copy of an answer to another request") {
    f.Respond(arrival, f.WholeResponse(200, "other", "late", kLeaving));
    f.Respond(arrival, f.WholeResponse(200, f.last_id, "done"));
  }
  SECTION("in an answer of an endpoint that has taken over the address") {
    f.Respond(arrival, fmt::format("HTTP/1.1 421 X\r\n{}Retry-After: 5\r\n"
                                   "Content-Length: 0\r\n\r\n",
                                   kLeaving));
    f.Respond(f.NextArrival(), f.WholeResponse(200, f.last_id, "done"));
    // Longer than an endpoint is avoided that was replaced, shorter than the
    // pause that the other one has asked for.
    f.transport.Advance(milliseconds(4200));
  }
  SECTION("of a start before the current one") {
    f.PutRow("e1", 1, 2000);
    f.Respond(arrival, f.WholeResponse(200, f.last_id, "done", kLeaving));
  }
  SECTION("that had the address before") {
    f.Respond(arrival, f.WholeResponse(200, f.last_id, "done", kLeaving));
    CHECK(f.CountAt("e1") == 0);
    f.RemoveRow("e1");
    f.PutRow("e9", 1, 1000);
    CHECK(f.CountAt("e9") > 0);
    return;
  }
  CHECK(f.CountAt("e1") > 0);
}

// Guards against sending to a leaving endpoint because there is no other.
TEST_CASE("requests are refused if all endpoints leave", "[gateway][notices]") {
  NoticeFixture f(1);
  ForwarderFixture::Arrival arrival = f.ArriveAt("e1");
  f.Respond(arrival, f.WholeResponse(200, f.last_id, "done", kLeaving));
  ConnectionId caller = f.Request("POST", "/once/x", "r1", "", "b");
  CHECK(f.NothingArrives(milliseconds(800)));
  std::string response = f.transport.TakeSent(caller);
  CHECK(Contains(response, "HTTP/1.1 503"));
  CHECK(Contains(response, "Retry-After"));
  CHECK(Contains(response, "\"not_run\""));
}

// Guards against requests that reach an endpoint because they waited for a
// connection to it when it asked for none.
TEST_CASE("requests that wait for a connection go elsewhere",
          "[gateway][notices]") {
  NoticeFixture f;
  ForwarderFixture::Arrival arrival = f.ArriveAt("e1");
  std::vector<ConnectionId> callers;
  for (int i = 0; i < 10; ++i) {
    ConnectionId caller = f.transport.Accept(&f.server);
    f.transport.Receive(
        caller, fmt::format("GET /safe/x HTTP/1.1\r\nHost: h.example\r\n"
                            "Authorization: Bearer k1\r\n"
                            "Filbertshift-Attempt-Id: w{}\r\n\r\n",
                            i));
  }
  REQUIRE(f.transport.OpenTo("10.0.0.1:80").size() > 1);
  SECTION("as it leaves") {
    f.Respond(arrival, f.WholeResponse(200, f.last_id, "done", kLeaving));
  }
  SECTION("as it refuses") {
    f.Respond(arrival,
              f.WholeResponse(503, f.last_id, "",
                              "Retry-After: 2\r\n" + std::string(kRefusal)));
  }
  f.transport.Advance(milliseconds(20));
  int arrived = 0;
  for (ConnectionId connection : f.transport.OpenTo("10.0.0.2:80")) {
    arrived += Contains(f.transport.At(connection).sent, "Attempt-Id: w");
  }
  CHECK(arrived == 10);
}

// Guards against requests to an endpoint that has asked for none for a while.
TEST_CASE("an endpoint is left alone for its Retry-After",
          "[gateway][notices]") {
  NoticeFixture f;
  f.Pause("e1", "2.5");
  ForwarderFixture::Arrival repeat = f.NextArrival();
  CHECK(repeat.endpoint == "e2");
  f.Respond(repeat, f.WholeResponse(200, f.last_id, "done"));
  f.transport.Advance(milliseconds(1000));
  CHECK(f.CountAt("e1") == 0);
  CHECK(f.log.counts[EventId::kEndpointPaused] == 1);
  SECTION("until its end") {
    f.transport.Advance(milliseconds(1600));
  }
  SECTION("or until it starts again") {
    f.PutRow("e1", 1, 2000);
  }
  CHECK(f.CountAt("e1") > 0);
}

// Guards against an endpoint that takes itself out for good by an error.
TEST_CASE("a Retry-After is bounded", "[gateway][notices]") {
  NoticeFixture f;
  f.Pause("e1", "3600");
  f.Respond(f.NextArrival(), f.WholeResponse(200, f.last_id, "done"));
  f.transport.Advance(milliseconds(28000));
  CHECK(f.CountAt("e1") == 0);
  f.transport.Advance(milliseconds(2100));
  CHECK(f.CountAt("e1") > 0);
}

TEST_CASE("a Retry-After that cannot be read has no effect",
          "[gateway][notices]") {
  for (const char* text : {"0", "-1", "-0.5", "1e9", "1e2", "86400.1",
                           "99999999999999999999", "soon", "5 s", "", "nan",
                           "inf", "0x5", "Fri, 04 Dec 2026 10:00:00 GMT"}) {
    INFO(text);
    NoticeFixture f;
    f.Pause("e1", text);
    f.Respond(f.NextArrival(), f.WholeResponse(200, f.last_id, "done"));
    // Longer than an endpoint is avoided that was replaced, shorter than the
    // pause that the other one has asked for.
    f.transport.Advance(milliseconds(4200));
    CHECK(f.CountAt("e1") > 0);
    CHECK(f.log.counts[EventId::kEndpointFieldRejected] == 1);
    CHECK(f.log.counts[EventId::kEndpointPaused] == 0);
  }
}

// Guards against callers who wait for endpoints that take nothing, and who all
// return at the same time.
TEST_CASE("callers are told when the first of the paused endpoints is free",
          "[gateway][notices]") {
  NoticeFixture f;
  f.Pause("e1", "8");
  f.Respond(f.NextArrival(), f.WholeResponse(200, f.last_id, "done"));
  f.Pause("e2", "4");
  CHECK(Contains(f.transport.TakeSent(f.caller), "HTTP/1.1 503"));
  std::set<std::string> times;
  for (int i = 0; i < 20; ++i) {
    ConnectionId caller =
        f.Request("POST", "/once/x", fmt::format("r{}", i), "", "b");
    std::string response = f.transport.TakeSent(caller);
    CHECK(Contains(response, "HTTP/1.1 503"));
    CHECK(Contains(response, "\"not_run\""));
    CHECK_FALSE(Contains(response, "Seal"));
    std::smatch match;
    REQUIRE(std::regex_search(response, match,
                              std::regex("Retry-After: ([0-9.]+)\r\n")));
    times.insert(match[1]);
    CHECK(std::stod(match[1]) >= 3.8);
    CHECK(std::stod(match[1]) <= 6.0);
  }
  CHECK(times.size() >= 15);
  CHECK(f.NothingArrives(milliseconds(100)));
  f.transport.Advance(milliseconds(4000));
  CHECK(f.Arrive("late").endpoint == "e2");
}

// Guards against a refusal although an endpoint comes free in time.
TEST_CASE("a request waits for the end of a short pause",
          "[gateway][notices]") {
  NoticeFixture f(1);
  f.Pause("e1", "0.02");
  ForwarderFixture::Arrival arrival = f.NextArrival();
  CHECK(arrival.endpoint == "e1");
}

// Guards against a rollout that is reverted because endpoints of its version
// are full or stop.
TEST_CASE("a request for a pause is no failure of the version",
          "[gateway][notices]") {
  NoticeFixture f;
  for (const char* more : {"", kRefusal}) {
    ForwarderFixture::Arrival arrival = f.ArriveAt("e1");
    f.Respond(arrival, f.WholeResponse(503, f.last_id, "full",
                                       more + std::string(kLeaving) +
                                           "Retry-After: 0.03\r\n"));
    f.Respond(f.NextArrival(), f.WholeResponse(200, f.last_id, "done"));
    f.PutRow("e1", 1, more == std::string() ? 2000 : 3000);
  }
  for (const auto& entry : f.forwarder.evidence().counts()) {
    CHECK(entry.second.failures == 0);
  }
}

}  // namespace
}  // namespace filbertshift
