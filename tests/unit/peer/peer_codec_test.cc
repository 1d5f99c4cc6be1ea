// Tests of the codec for messages between instances.

#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "src/common/common.h"
#include "src/peer/peer_codec.h"
#include "tests/unit/support/test_seed.h"

namespace filbertshift {
namespace {

std::vector<PeerFrame> SampleFrames() {
  PeerHeartbeat heartbeat;
  heartbeat.instance = InstanceId("i1");
  heartbeat.data_centre = DataCentreId("dc1");
  heartbeat.seat = -1;
  heartbeat.incarnation = "abc";
  heartbeat.accepting = true;
  heartbeat.revisions = {1, 0, ~std::uint64_t{0}};
  PeerSuspect suspect;
  suspect.fingerprint = static_cast<Fingerprint>(~std::uint64_t{0});
  suspect.endpoints = {EndpointId("e1"), EndpointId("e2")};
  return {PeerHello{InstanceId("i1")},
          PeerMessage(heartbeat),
          PeerMessage(PeerConfigurationSection{
              "models", 7, std::string("{\"a\":\"\0\xff\"}", 10)}),
          PeerMessage(suspect),
          PeerMessage(PeerSuspectCleared{static_cast<Fingerprint>(5)}),
          PeerMessage(PeerChargeReplica{"charges/x/1", {"{}", "", "{}"}, 9}),
          PeerMessage(PeerChargeReplicaAck{"charges/x/1", 9}),
          PeerMessage(PeerChargeStored{"charges/x/1"}),
          PeerMessage(PeerCandidateStopped{ModelId("m"), VersionId("v"), 2,
                                           "12 of 20 answers bad"}),
          PeerMessage(PeerExecutionReplica{AccountId("a"), "k", "t", "h", true,
                                           3, "{}", false, 4}),
          PeerMessage(PeerExecutionReplicaAck{"t", 4}),
          PeerMessage(PeerSessionBound{AccountId("a"), SessionId("s"),
                                       ModelId("m"), VersionId("v")})};
}

std::string Payload(const PeerFrame& frame) {
  return EncodePeerFrame(frame).substr(4);
}

// Returns whether the input was accepted; any other exception fails the test.
bool IsAccepted(const std::string& bytes) {
  try {
    DecodePeerFrame(bytes);
    return true;
  } catch (const PeerCodecError&) {
    return false;
  }
}

// Guards against a field that is lost, swapped or changed. The encoding
// contains all fields, so equal bytes imply equal fields.
TEST_CASE("peer codec round trip of every message", "[peer]") {
  const std::vector<PeerFrame> frames = SampleFrames();
  CHECK(frames.size() == std::variant_size_v<PeerMessage> + 1);
  for (const PeerFrame& frame : frames) {
    const PeerFrame decoded = DecodePeerFrame(Payload(frame));
    CHECK(decoded.index() == frame.index());
    CHECK(EncodePeerFrame(decoded) == EncodePeerFrame(frame));
  }
  const PeerFrame decoded = DecodePeerFrame(Payload(frames[1]));
  const auto& heartbeat =
      std::get<PeerHeartbeat>(std::get<PeerMessage>(decoded));
  CHECK(heartbeat.instance == InstanceId("i1"));
  CHECK(heartbeat.data_centre == DataCentreId("dc1"));
  CHECK(heartbeat.seat == -1);
  CHECK(heartbeat.incarnation == "abc");
  CHECK(heartbeat.accepting);
  CHECK(heartbeat.revisions.back() == ~std::uint64_t{0});
}

// Guards against a stream that is closed because its other end runs the version
// before the acknowledgement.
TEST_CASE("peer codec accepts a replica of an execution without sequence",
          "[peer]") {
  std::string bytes = Payload(PeerMessage(PeerExecutionReplica{
      AccountId("a"), "k", "t", "h", true, 3, "{}", false, 4}));
  // The array's head holds the number of fields, the last byte the sequence.
  REQUIRE(bytes.front() == '\x9a');
  bytes.front() = '\x99';
  bytes.pop_back();
  const PeerFrame decoded = DecodePeerFrame(bytes);
  const auto& replica =
      std::get<PeerExecutionReplica>(std::get<PeerMessage>(decoded));
  CHECK(replica.value == "{}");
  CHECK(replica.sequence == 0);
}

// Guards against truncated messages that are accepted or read past their end.
TEST_CASE("peer codec rejects truncated messages", "[peer]") {
  for (const PeerFrame& frame : SampleFrames()) {
    const std::string payload = Payload(frame);
    for (std::size_t size = 0; size < payload.size(); ++size) {
      INFO("size " << size << " of " << payload.size());
      CHECK_FALSE(IsAccepted(payload.substr(0, size)));
    }
    CHECK_FALSE(IsAccepted(payload + "x"));
  }
}

// Guards against short messages that declare huge lists, which would make the
// receiver allocate memory for them, and against deep nesting.
TEST_CASE("peer codec rejects declared sizes beyond the input", "[peer]") {
  CHECK_FALSE(IsAccepted(std::string("\xdd\xff\xff\xff\xff", 5)));
  CHECK_FALSE(IsAccepted(std::string("\x92\x03\xdd\x7f\xff\xff\xff", 7)));
  CHECK_FALSE(IsAccepted(std::string("\x92\x00\xdb\xff\xff\xff\xff", 7)));
  CHECK_FALSE(IsAccepted(std::string(100'000, '\x91')));
  CHECK_FALSE(IsAccepted(std::string("\x91\xcc\xff", 3)));
}

// Guards against a crash or an unexpected exception on random input.
TEST_CASE("peer codec survives random input", "[peer]") {
  SystemRandom random(TestSeed());
  INFO("seed " << random.seed());
  const std::vector<PeerFrame> frames = SampleFrames();
  for (int round = 0; round < 100'000; ++round) {
    std::string bytes;
    if (round % 2 == 0) {
      bytes.resize(random.Next() % 64);
      for (char& byte : bytes) {
        byte = static_cast<char>(random.Next());
      }
    } else {
      bytes = Payload(frames[random.Next() % frames.size()]);
      const std::size_t changes = 1 + random.Next() % 3;
      for (std::size_t i = 0; i < changes; ++i) {
        bytes[random.Next() % bytes.size()] = static_cast<char>(random.Next());
      }
    }
    IsAccepted(bytes);
  }
  SUCCEED("no crash");
}

// Guards against messages that are lost or merged when the stream arrives in
// arbitrary parts.
TEST_CASE("peer frame reader splits a stream into messages", "[peer]") {
  std::string stream;
  std::vector<std::string> expected;
  for (const PeerFrame& frame : SampleFrames()) {
    stream += EncodePeerFrame(frame);
    expected.push_back(Payload(frame));
  }
  for (std::size_t step = 1; step <= stream.size(); step += 7) {
    PeerFrameReader reader(10'000);
    std::vector<std::string> received;
    for (std::size_t offset = 0; offset < stream.size(); offset += step) {
      for (std::string& frame :
           reader.Add(std::string_view(stream).substr(offset, step))) {
        received.push_back(std::move(frame));
      }
    }
    CHECK(received == expected);
  }
}

// Guards against unlimited memory use for a single message.
TEST_CASE("peer frame reader rejects oversized messages", "[peer]") {
  PeerFrameReader reader(100);
  CHECK_THROWS_AS(reader.Add(std::string("\x00\x00\x00\x65", 4)),
                  PeerCodecError);
}

}  // namespace
}  // namespace filbertshift
