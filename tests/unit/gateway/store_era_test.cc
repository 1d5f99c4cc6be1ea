// Tests of how the era of the store is taken from its answers, and of writes
// across a rise.

#include <catch2/catch.hpp>

#include "platform/platform.h"
#include "src/gateway/gateway.h"
#include "tests/unit/gateway/forwarder_fixture.h"
#include "tests/unit/support/fake_transport.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

constexpr char kStore[] = "10.0.0.1:1";

HttpResponseHead HeadOf(const std::string& era) {
  HttpResponseHead head{200, "OK", {}};
  head.headers.Add("Store-Era", era);
  return head;
}

TEST_CASE("answers of the store name its era", "[gateway]") {
  NullEventLog log;
  GatewayMetrics metrics;
  RowProtocol protocol(kStore);
  StoreEra era(protocol, &log, &metrics);
  int rises = 0;
  era.SetListener([&rises] { ++rises; });
  auto observe = [&era](const std::string& value) {
    HttpResponseHead head{200, "OK", {}};
    head.headers.Add("Store-Era", value);
    return era.Observe(head);
  };
  CHECK(era.Observe(HttpResponseHead{200, "OK", {}}));
  CHECK(era.current() == 0);
  CHECK(observe("4"));
  CHECK(rises == 0);
  CHECK(observe("5"));
  CHECK(rises == 1);
  CHECK_FALSE(observe("4"));
  for (const char* unreadable :
       {"", "x", "-6", "6.5", "6 7", "6x", "99999999999999999999"}) {
    CHECK(observe(unreadable));
  }
  CHECK(era.current() == 5);
  CHECK(rises == 1);
}

struct WriterFixture {
  WriterFixture()
      : client(&transport, milliseconds(300)),
        protocol(kStore),
        era(protocol, &log, &metrics),
        writer(kStore, &transport, &client, protocol, &metrics, &era) {
    era.Observe(HeadOf("2"));
  }
  // Submits a write; with a condition on a version of the era.
  void Submit(std::optional<std::int64_t> expected_era) {
    StoreTransaction transaction;
    transaction.puts.push_back({"k", "v", 0, false});
    if (expected_era.has_value()) {
      transaction.expectations.push_back({"k", 7});
      transaction.era = *expected_era;
    }
    bool accepted = writer.Submit(
        std::move(transaction),
        [this](StoreWriteResult result) { results.push_back(result); });
    REQUIRE(accepted);
    transport.Advance(milliseconds(10));
  }
  // Returns the number of writes answered.
  int Answer(const std::string& answer_era) {
    int answered = 0;
    for (ConnectionId connection : transport.OpenTo(kStore)) {
      if (!transport.TakeSent(connection).empty()) {
        ++answered;
        transport.Receive(connection,
                          "HTTP/1.1 200 OK\r\nStore-Era: " + answer_era +
                              "\r\nContent-Length: 0\r\n\r\n");
      }
    }
    transport.Advance(milliseconds(10));
    return answered;
  }

  FakeTransport transport;
  NullEventLog log;
  GatewayMetrics metrics;
  HttpClient client;
  RowProtocol protocol;
  StoreEra era;
  StoreWriter writer;
  std::vector<StoreWriteResult> results;
};

TEST_CASE("a write on a condition of an earlier era is not sent", "[gateway]") {
  WriterFixture f;
  f.Submit(std::nullopt);
  f.Submit(2);
  // The era rises with the answer to the write before it.
  REQUIRE(f.Answer("3") == 1);
  CHECK(f.Answer("3") == 0);
  REQUIRE(f.results.size() == 2);
  CHECK(f.results[0] == StoreWriteResult::kCommitted);
  CHECK(f.results[1] == StoreWriteResult::kConflict);
  f.Submit(3);
  CHECK(f.Answer("3") == 1);
  CHECK(f.results.back() == StoreWriteResult::kCommitted);
}

TEST_CASE("a write that is answered from an earlier era is not committed",
          "[gateway]") {
  WriterFixture f;
  f.Submit(std::nullopt);
  f.era.Observe(HeadOf("3"));
  REQUIRE(f.Answer("2") == 1);
  CHECK(f.results == std::vector<StoreWriteResult>{StoreWriteResult::kUnknown});
}

}  // namespace
}  // namespace filbertshift
