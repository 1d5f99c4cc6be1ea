// Tests of callers and endpoints that read slowly, with the memory shares of an
// instance of 120 MB.

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <algorithm>

#include "tests/unit/gateway/forwarder_fixture.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;
using Arrival = ForwarderFixture::Arrival;

constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;

MemoryShares SharesOfSmallInstance() {
  GatewaySettings settings;
  settings.memory_mb = 120;
  return ShareMemory(settings);
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// A forwarder whose callers' requests and responses are bounded as on an
// instance of 120 MB.
struct SmallInstance : ForwarderFixture {
  explicit SmallInstance(int endpoints = 4)
      : ForwarderFixture(endpoints,
                         Limits(SharesOfSmallInstance().response_bytes)),
        memory(SharesOfSmallInstance().request_bytes) {
    server.SetRequestMemory(&memory);
  }
  RequestMemory memory;
};

struct SlowStream {
  ConnectionId caller{};
  Arrival arrival;
  int events = 0;
};

SlowStream BeginSlowStream(SmallInstance* f, const std::string& id) {
  SlowStream stream;
  stream.caller = f->Request("POST", "/stream/x", id, "", "b");
  f->transport.SetSlow(stream.caller);
  stream.arrival = f->NextArrival();
  f->Respond(stream.arrival, ForwarderFixture::StreamHead(id));
  return stream;
}

void SendEvent(SmallInstance* f, SlowStream* stream, std::size_t bytes) {
  f->Respond(stream->arrival, SerializeChunk(fmt::format(
                                  "id: {}\ndata: {}\n\n", ++stream->events,
                                  std::string(bytes, 'x'))));
}

// Whether a small request is answered that arrives now.
bool ServesSmallRequest(SmallInstance* f, const std::string& id) {
  ConnectionId caller = f->Request("GET", "/safe/x", id);
  Arrival arrival = f->NextArrival();
  f->Respond(arrival, ForwarderFixture::WholeResponse(200, id, "small"));
  return Contains(f->transport.TakeSent(caller), "small");
}

// Guards against an instance that cuts a sound stream although it has memory
// for what its caller has yet to read.
TEST_CASE("a slow caller's stream stays while there is room", "[gateway]") {
  SmallInstance f;
  SlowStream stream = BeginSlowStream(&f, "r1");
  for (int i = 0; i < 12; ++i) {
    SendEvent(&f, &stream, kMegabyte);
    f.transport.TakeSent(stream.caller, 10);
  }
  REQUIRE(f.transport.IsOpen(stream.caller));
  f.Respond(stream.arrival, std::string(kLastChunk));
  std::string rest = f.transport.TakeSent(stream.caller);
  CHECK(rest.size() > 12 * kMegabyte);
  CHECK(Contains(rest, "id: 12\n"));
  CHECK(f.forwarder.buffered_bytes() == 0);
}

// Guards against bytes that are counted although their caller has read them:
// the stream of another caller would be cut for want of memory.
TEST_CASE("bytes that a slow caller has read count no more", "[gateway]") {
  SmallInstance f;
  SlowStream first = BeginSlowStream(&f, "r1");
  for (int i = 0; i < 12; ++i) {
    SendEvent(&f, &first, kMegabyte);
  }
  f.transport.TakeSent(first.caller);
  SlowStream second = BeginSlowStream(&f, "r2");
  for (int i = 0; i < 10; ++i) {
    SendEvent(&f, &second, kMegabyte);
  }
  CHECK(f.transport.IsOpen(first.caller));
  // It has not been moved to another endpoint, either.
  CHECK(f.transport.IsOpen(first.arrival.connection));
  CHECK(f.transport.IsOpen(second.caller));
  CHECK(f.forwarder.buffered_bytes() <= 11 * kMegabyte);
}

// Guards against an instance that is killed for the memory of what its callers
// have yet to read, and against cutting those who do read.
TEST_CASE("streams of slow callers stay within the bound", "[gateway]") {
  const std::size_t bound = SharesOfSmallInstance().response_bytes;
  SmallInstance f;
  std::vector<SlowStream> streams;
  for (int i = 0; i < 60; ++i) {
    streams.push_back(BeginSlowStream(&f, fmt::format("r{}", i)));
  }
  std::size_t most = 0;
  int served = 0;
  for (int round = 0; round < 40; ++round) {
    for (std::size_t i = 0; i < streams.size(); ++i) {
      if (f.transport.IsOpen(streams[i].caller)) {
        SendEvent(&f, &streams[i], 32768);
        // Each third caller reads all but a little, the others a few bytes.
        f.transport.TakeSent(streams[i].caller, i % 3 == 0 ? 32000 : 64);
      }
      std::size_t held = 0;
      for (const SlowStream& stream : streams) {
        held += f.transport.UnsentBytes(stream.caller);
      }
      most = std::max(most, held);
    }
    served += ServesSmallRequest(&f, fmt::format("s{}", round)) ? 1 : 0;
  }
  CHECK(most <= bound);
  CHECK(most > bound / 2);
  CHECK(served == 40);
  int open = 0;
  for (std::size_t i = 0; i < streams.size(); ++i) {
    open += f.transport.IsOpen(streams[i].caller) ? 1 : 0;
    if (i % 3 == 0) {
      CHECK(f.transport.IsOpen(streams[i].caller));
    }
  }
  CHECK(open > 20);
  CHECK(open < 60);
}

// Guards against an instance that is killed for the memory of bodies that
// endpoints do not take.
TEST_CASE("bodies for slow endpoints stay within the bound", "[gateway]") {
  const std::size_t bound = SharesOfSmallInstance().request_bytes;
  SmallInstance f;
  for (const auto& entry : f.addresses) {
    f.transport.SetSlowAddress(entry.first);
  }
  const std::string body(4000000, 'b');
  std::vector<ConnectionId> callers;
  for (int i = 0; i < 30; ++i) {
    callers.push_back(
        f.Request("POST", "/once/x", fmt::format("r{}", i), "", body));
  }
  CHECK(f.memory.total() <= bound);
  std::size_t unsent = 0;
  for (const auto& entry : f.addresses) {
    for (ConnectionId connection : f.transport.OpenTo(entry.first)) {
      unsent += f.transport.UnsentBytes(connection);
    }
  }
  CHECK(unsent <= bound);
  CHECK(unsent > bound / 2);
  int refused = 0;
  for (ConnectionId caller : callers) {
    std::string response = f.transport.TakeSent(caller);
    refused += Contains(response, "HTTP/1.1 503") &&
                       Contains(response, "\"no_memory\"") &&
                       Contains(response, "\"not_run\"")
                   ? 1
                   : 0;
  }
  CHECK(refused > 0);
  CHECK(refused < 30);
  ConnectionId small = f.Request("POST", "/once/x", "small", "", "b");
  CHECK(f.transport.TakeSent(small).empty());
  f.transport.Advance(milliseconds(900));
  for (ConnectionId caller : callers) {
    std::string response = f.transport.TakeSent(caller);
    // What an endpoint has begun to read may run.
    CHECK((response.empty() || (Contains(response, "HTTP/1.1 504") &&
                                Contains(response, "\"unknown\""))));
  }
  CHECK(f.forwarder.in_progress() == 0);
  CHECK(f.memory.total() == 0);
}

// Guards against a request that runs twice: an endpoint that has read only a
// part of a request may still run it.
TEST_CASE("a request that is not taken is left only if it may be repeated",
          "[gateway]") {
  bool repeatable = GENERATE(true, false);
  INFO(repeatable);
  SmallInstance f(2);
  for (const auto& entry : f.addresses) {
    f.transport.SetSlowAddress(entry.first);
  }
  ConnectionId caller = f.Request("POST", repeatable ? "/safe/x" : "/once/x",
                                  "r1", "", std::string(kMegabyte, 'b'));
  Arrival first = f.NextArrival();
  Arrival second;
  for (int i = 0; i < 15 && second.connection == ConnectionId{}; ++i) {
    second = f.NextArrival();
  }
  if (!repeatable) {
    CHECK(second.connection == ConnectionId{});
    std::string response = f.transport.TakeSent(caller);
    CHECK(Contains(response, "HTTP/1.1 504"));
    CHECK(Contains(response, "\"unknown\""));
    return;
  }
  CHECK(f.transport.At(first.connection).aborted);
  CHECK(second.endpoint != first.endpoint);
  f.Respond(second, ForwarderFixture::WholeResponse(200, "r1", "good"));
  CHECK(Contains(f.transport.TakeSent(caller), "good"));
}

// Guards against a body that is kept for an endpoint that has answered without
// reading it: nothing bounds how long it reads on.
TEST_CASE("a body that its endpoint does not need is freed", "[gateway]") {
  SmallInstance f(1);
  for (const auto& entry : f.addresses) {
    f.transport.SetSlowAddress(entry.first);
  }
  ConnectionId caller =
      f.Request("POST", "/once/x", "r1", "", std::string(kMegabyte, 'b'));
  std::vector<ConnectionId> connections = f.transport.OpenTo(f.AddressOf("e1"));
  REQUIRE(connections.size() == 1);
  f.transport.Receive(connections[0],
                      ForwarderFixture::WholeResponse(200, "r1", "early"));
  CHECK(Contains(f.transport.TakeSent(caller), "early"));
  CHECK(f.transport.At(connections[0]).aborted);
}

}  // namespace
}  // namespace filbertshift
