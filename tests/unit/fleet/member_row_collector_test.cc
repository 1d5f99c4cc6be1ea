// Tests the collection of other instances' member rows into one transaction.

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include "src/fleet/fleet.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

std::string Row(const std::string& name,
                std::uint64_t beat,
                std::uint64_t incarnation = 7) {
  MemberState state;
  state.instance = InstanceId(name);
  state.peer_address = "10.0.0.1:1";
  state.incarnation = incarnation;
  state.beat = beat;
  return EncodeMemberState(state);
}

// Adds a row that arrives on a connection of its instance, and another request
// on that connection.
std::uint64_t AddLive(MemberRowCollector* rows,
                      const std::string& row,
                      TimePoint now) {
  std::uint64_t connection =
      std::hash<std::string>()(DecodeMemberState(row)->instance.value());
  std::uint64_t committed = rows->Add(connection, row, now);
  rows->Confirm(connection);
  return committed;
}

std::uint64_t BeatIn(const StoreRow& row) {
  return DecodeMemberState(row.value)->beat;
}

TEST_CASE("the latest row of each instance is written once", "[fleet]") {
  MemberRowCollector rows;
  CHECK(AddLive(&rows, Row("a", 1), kStart) == 0);
  CHECK(AddLive(&rows, Row("b", 5), kStart) == 0);
  CHECK(AddLive(&rows, Row("a", 2), kStart + milliseconds(300)) == 0);
  // A copy of an earlier message that arrives late.
  CHECK(AddLive(&rows, Row("a", 1), kStart + milliseconds(400)) == 0);
  MemberRowCollector::Batch batch = rows.Take(kStart + milliseconds(500));
  REQUIRE(batch.rows.size() == 2);
  CHECK(batch.rows[0].key == "instance/a");
  CHECK(BeatIn(batch.rows[0]) == 2);
  CHECK(BeatIn(batch.rows[1]) == 5);
  CHECK(rows.Take(kStart + milliseconds(600)).rows.empty());
}

// Guards against a heartbeat reported as committed that the store does not
// have: its instance would not write its row, and others would consider it
// dead.
TEST_CASE("only committed rows are reported as committed", "[fleet]") {
  MemberRowCollector rows;
  AddLive(&rows, Row("a", 1), kStart);
  MemberRowCollector::Batch lost = rows.Take(kStart);
  CHECK(AddLive(&rows, Row("a", 2), kStart + milliseconds(500)) == 0);
  MemberRowCollector::Batch written = rows.Take(kStart + milliseconds(600));
  CHECK(rows.IsOverdue(milliseconds(0), kStart) == false);
  rows.OnCommitted(written, kStart + milliseconds(600));
  CHECK(AddLive(&rows, Row("a", 3), kStart + milliseconds(900)) == 2);
  // A new process of the instance counts from 1 again.
  CHECK(AddLive(&rows, Row("a", 1, 8), kStart + milliseconds(1200)) == 0);
  CHECK_FALSE(rows.IsOverdue(milliseconds(1000), kStart + milliseconds(1300)));
  CHECK(rows.IsOverdue(milliseconds(1000), kStart + milliseconds(1700)));
  CHECK(BeatIn(rows.Take(kStart + milliseconds(1300)).rows.at(0)) == 1);
  CHECK(lost.rows.size() == 1);
}

// Guards against a reader that writes rows of instances that have ended since.
TEST_CASE("an old row is not written", "[fleet]") {
  MemberRowCollector rows;
  AddLive(&rows, Row("a", 1), kStart);
  CHECK(rows.Take(kStart + milliseconds(2100)).rows.empty());
}

// Guards against a suspended reader that wakes up and writes the rows that have
// waited in its sockets, although their instances have ended since.
TEST_CASE("a row is written after another request of its instance", "[fleet]") {
  MemberRowCollector rows;
  rows.Add(1, Row("a", 1), kStart);
  rows.Add(2, Row("b", 1), kStart);
  rows.Confirm(2);
  MemberRowCollector::Batch batch = rows.Take(kStart);
  REQUIRE(batch.rows.size() == 1);
  CHECK(batch.rows[0].key == "instance/b");
  rows.Confirm(1);
  CHECK(rows.Take(kStart + milliseconds(300)).rows.size() == 1);
}

// Guards against a transaction that exceeds the store's limits, which would
// refuse all rows in it.
TEST_CASE("a batch fits into one transaction", "[fleet]") {
  MemberRowCollector rows;
  for (int i = 0; i < 340; ++i) {
    AddLive(&rows, Row(fmt::format("i{:03}", i), 1), kStart);
  }
  std::size_t written = 0;
  for (int i = 0; i < 4; ++i) {
    MemberRowCollector::Batch batch = rows.Take(kStart + milliseconds(100));
    CHECK(batch.rows.size() < 100);
    written += batch.rows.size();
  }
  CHECK(written == 340);
  std::string padding(40000, 'x');
  for (int i = 0; i < 30; ++i) {
    MemberState state;
    state.instance = InstanceId(fmt::format("large{}", i));
    state.peer_address = padding;
    state.beat = 1;
    AddLive(&rows, EncodeMemberState(state), kStart);
  }
  std::size_t bytes = 0;
  for (const StoreRow& row : rows.Take(kStart).rows) {
    bytes += row.value.size();
  }
  CHECK(bytes > 0);
  CHECK(bytes * 4 / 3 < 1000000);
}

TEST_CASE("a row that the store would refuse is rejected", "[fleet]") {
  MemberRowCollector rows;
  AddLive(&rows, Row("a", 1), kStart);
  CHECK_THROWS_AS(rows.Add(1, "{\"instance\":\"b\"}", kStart), FindingsError);
  CHECK_THROWS_AS(rows.Add(1, "not a row", kStart), FindingsError);
  CHECK_THROWS_AS(rows.Add(1, Row("", 1), kStart), FindingsError);
  CHECK_THROWS_AS(rows.Add(1, Row(std::string(200, 'n'), 1), kStart),
                  FindingsError);
  CHECK_THROWS_AS(rows.Add(1, std::string(100000, ' '), kStart), FindingsError);
  CHECK(rows.Take(kStart).rows.size() == 1);
}

}  // namespace
}  // namespace filbertshift
