// Tests of endpoints that send nothing for a while: sound ones that pause, and
// ones that are gone.

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <set>

#include "tests/unit/gateway/forwarder_fixture.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;
using Arrival = ForwarderFixture::Arrival;

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Starts a stream and delivers its first event.
Arrival StartStream(ForwarderFixture* f,
                    const std::string& id,
                    ConnectionId* caller) {
  *caller = f->Request("POST", "/stream/x", id, "", "b");
  Arrival arrival = f->NextArrival();
  f->Respond(arrival, ForwarderFixture::StreamHead(id));
  f->Respond(arrival, ForwarderFixture::Event(1));
  return arrival;
}

// Guards against a log that does not tell a silent endpoint from a late check.
TEST_CASE("a move for silence is logged with what decided it", "[gateway]") {
  ForwarderFixture f;
  ConnectionId caller{};
  Arrival first = StartStream(&f, "r1", &caller);
  f.transport.SetDown("10.0.0.1:80");
  f.transport.SetDown("10.0.0.2:80");
  f.transport.Advance(milliseconds(1000));
  const std::vector<std::string>& moves = f.log.details[EventId::kAttemptMoved];
  REQUIRE(moves.size() == 1);
  CHECK(Contains(moves[0], "reason=silent last_event=1 "));
  CHECK(Contains(moves[0], "endpoint_silent_ms=9"));
  CHECK(Contains(moves[0], "endpoint_requests=1 "));
  CHECK(Contains(moves[0], "sweep_delay_ms=0 "));
  CHECK(Contains(moves[0], "repeats_left="));
}

// Guards against an answer that the instance broke off without a count.
TEST_CASE("an answer that is broken off is counted by its cause", "[gateway]") {
  ForwarderFixture f(1);
  ConnectionId caller{};
  Arrival first = StartStream(&f, "r1", &caller);
  f.transport.SetDown("10.0.0.1:80");
  f.transport.End(first.connection, ConnectionEnd::kReset);
  f.transport.Advance(milliseconds(20000));
  CHECK(f.transport.At(caller).aborted);
  CHECK(
      Contains(f.metrics.Serialize(),
               "filbertshift_answers_broken_off_total{reason=\"attempts\"} 1"));
  const std::vector<std::string>& ends =
      f.log.details[EventId::kExchangeFinished];
  REQUIRE(ends.size() == 1);
  CHECK(Contains(ends[0], "outcome=broken_off "));
  CHECK(Contains(ends[0], " end=attempts"));
}

struct Stream {
  std::string id;
  ConnectionId caller{};
  Arrival arrival;
  int events = 1;
};

std::vector<Stream> StartStreams(ForwarderFixture* f, int count) {
  std::vector<Stream> streams;
  for (int i = 1; i <= count; ++i) {
    Stream stream;
    stream.id = fmt::format("r{}", i);
    stream.arrival = StartStream(f, stream.id, &stream.caller);
    streams.push_back(stream);
  }
  return streams;
}

// Refuses each request that has arrived at an endpoint. Returns their number.
int RefuseArrivals(ForwarderFixture* f) {
  int refused = 0;
  for (const auto& entry : f->addresses) {
    for (ConnectionId connection : f->transport.OpenTo(entry.first)) {
      if (!f->transport.TakeSent(connection).empty()) {
        ++refused;
        f->transport.Receive(connection,
                             "HTTP/1.1 503 Busy\r\n"
                             "Filbertshift-Not-Executed: 1\r\n"
                             "Content-Length: 0\r\n\r\n");
      }
    }
  }
  return refused;
}

// Lets time pass in which the `silent` endpoints send nothing, while the
// streams of the others go on and all refuse further requests. Returns the
// number of refused requests.
int PassSilence(ForwarderFixture* f,
                std::vector<Stream>* streams,
                const std::set<std::string>& silent,
                milliseconds time) {
  constexpr milliseconds kStep{50};
  int refused = 0;
  for (milliseconds passed{0}; passed < time; passed += kStep) {
    f->transport.Advance(kStep);
    refused += RefuseArrivals(f);
    for (Stream& stream : *streams) {
      if (silent.count(stream.arrival.endpoint) == 0) {
        f->Respond(stream.arrival, ForwarderFixture::Event(++stream.events));
      }
    }
  }
  return refused;
}

// Sends one more event and the end of each stream. Checks that each caller got
// all of them.
void FinishStreams(ForwarderFixture* f, std::vector<Stream>* streams) {
  for (Stream& stream : *streams) {
    INFO(stream.id);
    f->Respond(stream.arrival, ForwarderFixture::Event(++stream.events) +
                                   std::string(kLastChunk));
    CHECK_FALSE(f->transport.At(stream.caller).aborted);
    std::string response = f->transport.TakeSent(stream.caller);
    for (int number = 1; number <= stream.events; ++number) {
      CHECK(Contains(response, fmt::format("data: d{}\n", number)));
    }
    CHECK(Contains(response, std::string(kLastChunk)));
  }
}

// Guards against breaking off the streams of sound endpoints that fall silent
// for a second and go on: they were cancelled, and no other endpoint took them.
TEST_CASE("streams of sound endpoints survive a silence", "[gateway]") {
  int silence_ms = GENERATE(1000, 1300);
  int instances = GENERATE(1, 1000);
  INFO(silence_ms << " ms, " << instances << " instances share the budget");
  ForwarderFixture f(4);
  f.forwarder.SetInstanceCount(instances);
  std::vector<Stream> streams = StartStreams(&f, 8);
  std::set<std::string> silent;
  for (const Stream& stream : streams) {
    if (silent.size() < 2) {
      silent.insert(stream.arrival.endpoint);
    }
  }
  CHECK(PassSilence(&f, &streams, silent, milliseconds(silence_ms)) == 0);
  FinishStreams(&f, &streams);
}

// Guards against the same where all endpoints of a data centre pause together.
TEST_CASE("streams survive a silence of all endpoints", "[gateway]") {
  ForwarderFixture f(4);
  std::vector<Stream> streams = StartStreams(&f, 8);
  // Establishes a short interval between bytes.
  CHECK(PassSilence(&f, &streams, {}, milliseconds(2000)) == 0);
  CHECK(PassSilence(&f, &streams, {"e1", "e2", "e3", "e4"},
                    milliseconds(1300)) == 0);
  FinishStreams(&f, &streams);
}

// Guards against the same beside a change of the configuration.
TEST_CASE("streams survive a silence beside a change", "[gateway]") {
  ForwarderFixture f(4);
  std::vector<Stream> streams = StartStreams(&f, 8);
  std::set<std::string> silent{streams[0].arrival.endpoint};
  CHECK(PassSilence(&f, &streams, silent, milliseconds(600)) == 0);
  f.ApplyConfiguration(4);
  CHECK(PassSilence(&f, &streams, silent, milliseconds(600)) == 0);
  f.ApplyConfiguration(5);
  CHECK(PassSilence(&f, &streams, silent, milliseconds(100)) == 0);
  FinishStreams(&f, &streams);
}

// Guards against giving up the only endpoint that can go on.
TEST_CASE("a stream that no other endpoint can take is waited for",
          "[gateway]") {
  ForwarderFixture f(1);
  std::vector<Stream> streams = StartStreams(&f, 2);
  CHECK(PassSilence(&f, &streams, {"e1"}, milliseconds(6000)) == 0);
  FinishStreams(&f, &streams);
}

// Guards against waiting for a hung endpoint, whose host accepts connections,
// until the caller leaves: 8 s here, and 2 s at the least.
TEST_CASE("a stream of an endpoint that hangs is moved", "[gateway]") {
  ForwarderFixture f;
  ConnectionId caller{};
  Arrival first = StartStream(&f, "r1", &caller);
  CHECK(f.NothingArrives(milliseconds(1900)));
  f.transport.Advance(milliseconds(200));
  Arrival second = f.NextArrival();
  CHECK(second.endpoint != first.endpoint);
  CHECK(Contains(second.text, "Last-Event-Id: 1\r\n"));
  CHECK(f.transport.At(first.connection).aborted);
}

// Guards against a connection to each silent endpoint at each check.
TEST_CASE("a silent endpoint is probed once a second", "[gateway]") {
  ForwarderFixture f(1);
  std::vector<Stream> streams = StartStreams(&f, 5);
  PassSilence(&f, &streams, {"e1"}, milliseconds(3000));
  std::size_t probes = f.log.details[EventId::kEndpointProbed].size();
  CHECK(probes >= 2);
  CHECK(probes <= 3);
  CHECK(f.transport.OpenTo("10.0.0.1:80").size() == streams.size());
}

// Guards against leaving a sound endpoint because its record is gone: it may
// finish its responses.
TEST_CASE("a stream goes on when its endpoint's record is gone", "[gateway]") {
  ForwarderFixture f;
  std::vector<Stream> streams = StartStreams(&f, 1);
  f.RemoveRecord(streams[0].arrival.endpoint);
  CHECK(PassSilence(&f, &streams, {streams[0].arrival.endpoint},
                    milliseconds(1300)) == 0);
  FinishStreams(&f, &streams);
}

// Guards against moving the requests of all endpoints because this instance did
// not read its sockets: what they sent meanwhile is unread.
TEST_CASE("a stall of the instance moves nothing", "[gateway]") {
  int stall_ms = GENERATE(400, 1000, 5000);
  INFO(stall_ms);
  ForwarderFixture f(4);
  std::vector<Stream> streams = StartStreams(&f, 8);
  PassSilence(&f, &streams, {}, milliseconds(2000));
  // The hosts look gone: the replies to the probes are unread, too.
  for (const auto& entry : f.addresses) {
    f.transport.SetDown(entry.first);
  }
  f.transport.Stall(milliseconds(stall_ms));
  f.transport.Advance(milliseconds(0));
  CHECK(RefuseArrivals(&f) == 0);
  CHECK(PassSilence(&f, &streams, {}, milliseconds(500)) == 0);
  FinishStreams(&f, &streams);
}

// Guards against a repeat of each plain request of a stalled instance.
TEST_CASE("a stall of the instance repeats nothing", "[gateway]") {
  ForwarderFixture f;
  ConnectionId caller = f.Request("GET", "/safe/x", "r1");
  Arrival first = f.NextArrival();
  f.transport.Stall(milliseconds(500));
  f.transport.Advance(milliseconds(0));
  CHECK(RefuseArrivals(&f) == 0);
  f.Respond(first, ForwarderFixture::WholeResponse(200, "r1", "good"));
  CHECK(Contains(f.transport.TakeSent(caller), "good"));
}

}  // namespace
}  // namespace filbertshift
