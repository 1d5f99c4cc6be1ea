// Tests of answers of low confidence on routes with several models: an answer
// is dropped only if the request may run again and an endpoint takes it.

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include "tests/unit/gateway/forwarder_fixture.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;
using Arrival = ForwarderFixture::Arrival;

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string HeadWithConfidence(int confidence) {
  return ForwarderFixture::StreamHead(
      "r1", fmt::format("Filbertshift-Confidence: {}\r\n", confidence));
}

std::string WholeStream() {
  return ForwarderFixture::Event(1) + std::string(kLastChunk);
}

// Guards against dropping the only answer that a request may get.
TEST_CASE("an answer that cannot be replaced is kept at low confidence",
          "[gateway]") {
  ForwarderFixture f(2);
  ConnectionId caller = f.Request("POST", "/sized-once/x", "r1",
                                  "Filbertshift-Model: *\r\n", "b");
  Arrival arrival = f.NextArrival();
  f.Respond(arrival, HeadWithConfidence(30) + WholeStream());
  std::string response = f.transport.TakeSent(caller);
  CHECK(Contains(response, "200 OK"));
  CHECK(Contains(response, "data: d1"));
  CHECK(Contains(response, std::string(kLastChunk)));
  CHECK(f.NothingArrives(milliseconds(100)));
  CHECK(f.log.counts[EventId::kInvariantViolated] == 0);
}

// It cannot be corrected by a second run.
TEST_CASE("the model of the first attempt depends on what may run again",
          "[gateway]") {
  ForwarderFixture f(1);
  f.Request("POST", "/sized-once/x", "r1", "Filbertshift-Model: *\r\n", "b");
  CHECK(Contains(f.NextArrival().text, "Filbertshift-Model: large"));
  f.Request("POST", "/sized/x", "r2", "Filbertshift-Model: *\r\n", "b");
  CHECK(Contains(f.NextArrival().text, "Filbertshift-Model: small"));
}

TEST_CASE("an answer of low confidence is replaced by the larger model's",
          "[gateway]") {
  ForwarderFixture f(1);
  ConnectionId caller =
      f.Request("POST", "/sized/x", "r1", "Filbertshift-Model: *\r\n", "b");
  f.Respond(f.NextArrival(), HeadWithConfidence(30));
  Arrival second = f.NextArrival();
  CHECK(Contains(second.text, "Filbertshift-Model: large"));
  f.Respond(second, HeadWithConfidence(90) + WholeStream());
  CHECK(Contains(f.transport.TakeSent(caller), "data: d1"));
}

// Guards against dropping a sound answer for a run that no endpoint can take.
TEST_CASE("an answer of low confidence is kept if no endpoint is left",
          "[gateway]") {
  ForwarderFixture f(1);
  ConnectionId caller =
      f.Request("POST", "/sized/x", "r1", "Filbertshift-Model: *\r\n", "b");
  Arrival arrival = f.NextArrival();
  f.RemoveRecord("e1");
  f.Respond(arrival, HeadWithConfidence(30) + WholeStream());
  std::string response = f.transport.TakeSent(caller);
  CHECK(Contains(response, "200 OK"));
  CHECK(Contains(response, "data: d1"));
}

}  // namespace
}  // namespace filbertshift
