// Tests deadlines that pass while a complete answer waits for its charge.

#include <catch2/catch.hpp>

#include "tests/unit/core/core_fixture.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Number of stored charges with the id, in all batches.
int StoredCharges(const FakeStore& store, const std::string& id) {
  int count = 0;
  for (const auto& [key, row] : store.rows) {
    if (key.rfind("charges/", 0) != 0) {
      continue;
    }
    nlohmann::json value = nlohmann::json::parse(row.value);
    for (const nlohmann::json& charge : value["charges"]) {
      count += charge["id"] == id ? 1 : 0;
    }
  }
  return count;
}

// Guards against a charge that is stored in two batches because the deadline
// passed while the complete stream waited for copies of it.
TEST_CASE("a stream that waits for its charge at the deadline is charged once",
          "[core]") {
  CoreFixture fixture;
  CallerId caller = fixture.Chat("draft", true, {{"X-Deadline-Ms", "3000"}});
  AttemptSpec attempt = fixture.LastAttempt();
  std::string id = attempt.attempt.value();
  id.resize(id.rfind('.'));
  fixture.Advance(milliseconds(1500));
  // Opens the batch that is closed 200 ms before the deadline.
  fixture.Chat("other", true);
  AttemptSpec other = fixture.LastAttempt();
  REQUIRE(other.attempt != attempt.attempt);
  fixture.Advance(milliseconds(300));
  fixture.client.down = true;
  fixture.Stream(other, {"one "});
  fixture.EndStream(other);
  fixture.Advance(milliseconds(600));
  fixture.Stream(attempt, {"one "});
  fixture.EndStream(attempt);
  fixture.Advance(milliseconds(800));
  REQUIRE(fixture.Record(caller).finished);
  fixture.client.down = false;
  fixture.Advance(seconds(15));
  CHECK(StoredCharges(fixture.store, id) == 1);
}

// Guards against an error in place of a complete answer that is charged.
TEST_CASE("an answer that waits for its charge is delivered at the deadline",
          "[core]") {
  bool keyed = GENERATE(false, true);
  INFO("with idempotency key: " << keyed);
  CoreFixture fixture;
  std::vector<HttpHeader> headers = {{"X-Deadline-Ms", "3000"}};
  if (keyed) {
    headers.push_back({"Idempotency-Key", "k1"});
  }
  CallerId caller = fixture.Chat("draft", false, headers);
  AttemptSpec attempt = fixture.LastAttempt();
  fixture.client.down = true;
  fixture.Advance(milliseconds(2500));
  fixture.Stream(attempt, {"one "});
  fixture.EndStream(attempt);
  fixture.Advance(milliseconds(600));
  REQUIRE(fixture.Record(caller).finished);
  CHECK(fixture.Record(caller).http_status == 200);
}

}  // namespace
}  // namespace filbertshift
