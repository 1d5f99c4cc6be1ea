// Tests of the transactions and queries of the emulated table service.

#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "emulator/table/table.h"

namespace filbertshift::emulator {
namespace {

using std::chrono::system_clock;

Json Item(const std::string& key, int version) {
  return Json{{"pk", {{"S", key}}},
              {"ver", {{"N", std::to_string(version)}}},
              {"v", {{"S", "{}"}}}};
}

Json PutIfAbsent(const std::string& key) {
  return Json{{"Put",
               {{"Item", Item(key, 1)},
                {"ConditionExpression", "attribute_not_exists(pk)"}}}};
}

Json PutIfVersion(const std::string& key, int version) {
  return Json{{"Put",
               {{"Item", Item(key, version + 1)},
                {"ConditionExpression", "ver = :v"},
                {"ExpressionAttributeValues",
                 {{":v", {{"N", std::to_string(version)}}}}}}}};
}

Json DeleteIfVersion(const std::string& key, int version) {
  return Json{{"Delete",
               {{"Key", {{"pk", {{"S", key}}}}},
                {"ConditionExpression", "ver = :v"},
                {"ExpressionAttributeValues",
                 {{":v", {{"N", std::to_string(version)}}}}}}}};
}

TransactionOutcome Run(TableStore* store,
                       const std::vector<Json>& operations,
                       const std::string& token = "",
                       system_clock::time_point now = system_clock::now()) {
  Json request{{"TransactItems", operations}};
  if (!token.empty()) {
    request["ClientRequestToken"] = token;
  }
  return store->Transact(request, now).outcome;
}

// Guards against two writers that both succeed in creating the same row.
TEST_CASE("a row is created only once", "[emulator][table]") {
  TableStore store;
  CHECK(Run(&store, {PutIfAbsent("a")}) == TransactionOutcome::kApplied);
  CHECK(Run(&store, {PutIfAbsent("a")}) ==
        TransactionOutcome::kConditionFailed);
  CHECK(store.history().size() == 1);
}

// Guards against lost updates: a write based on an outdated version must fail.
TEST_CASE("a write needs the current version", "[emulator][table]") {
  TableStore store;
  Run(&store, {PutIfAbsent("a")});
  CHECK(Run(&store, {PutIfVersion("a", 1)}) == TransactionOutcome::kApplied);
  CHECK(Run(&store, {PutIfVersion("a", 1)}) ==
        TransactionOutcome::kConditionFailed);
  CHECK(Run(&store, {PutIfVersion("missing", 1)}) ==
        TransactionOutcome::kConditionFailed);
  CHECK(Run(&store, {DeleteIfVersion("a", 1)}) ==
        TransactionOutcome::kConditionFailed);
  CHECK(Run(&store, {DeleteIfVersion("a", 2)}) == TransactionOutcome::kApplied);
  CHECK(store.Find("a") == nullptr);
}

// Guards against a transaction that applies only some of its writes.
TEST_CASE("a transaction is atomic", "[emulator][table]") {
  TableStore store;
  Run(&store, {PutIfAbsent("b")});
  const Json request{{"TransactItems", {PutIfAbsent("a"), PutIfAbsent("b")}}};
  const TransactionResult result = store.Transact(request, system_clock::now());
  CHECK(result.outcome == TransactionOutcome::kConditionFailed);
  CHECK(result.failed == std::vector<bool>{false, true});
  CHECK(store.Find("a") == nullptr);
}

// Guards against applying a transaction twice when a client retries it after
// losing the reply.
TEST_CASE("a repeated token has no second effect", "[emulator][table]") {
  TableStore store;
  const auto now = system_clock::now();
  const std::vector<Json> put{PutIfAbsent("a")};
  CHECK(Run(&store, put, "t", now) == TransactionOutcome::kApplied);
  CHECK(Run(&store, put, "t", now) == TransactionOutcome::kRepeated);
  CHECK(Run(&store, {PutIfAbsent("b")}, "t", now) ==
        TransactionOutcome::kTokenMismatch);
  CHECK(store.history().size() == 1);
  const auto later = now + kTokenLifetime + std::chrono::seconds(1);
  CHECK(Run(&store, put, "t", later) == TransactionOutcome::kConditionFailed);
}

// Guards against a failed transaction that cannot be retried with the same
// token: only tokens of applied transactions are stored.
TEST_CASE("a failed transaction does not use up its token",
          "[emulator][table]") {
  TableStore store;
  const std::vector<Json> update{PutIfVersion("a", 1)};
  CHECK(Run(&store, update, "t") == TransactionOutcome::kConditionFailed);
  Run(&store, {PutIfAbsent("a")});
  CHECK(Run(&store, update, "t") == TransactionOutcome::kApplied);
}

// Guards against rows that are skipped or repeated at a page boundary.
TEST_CASE("a paged prefix query returns each row once", "[emulator][table]") {
  TableStore store;
  for (const char* key : {"a/1", "a/2", "a/3", "b/1", "a"}) {
    Run(&store, {PutIfAbsent(key)});
  }
  std::vector<std::string> keys;
  KeyRange range{"a/", ""};
  for (bool more = true; more;) {
    const QueryResult page = store.Query(range, 2);
    more = page.more;
    for (const Json& item : page.items) {
      keys.push_back(item["pk"]["S"]);
    }
    range.after = keys.back();
  }
  CHECK(keys == std::vector<std::string>{"a/1", "a/2", "a/3"});
}

// Guards against unsupported expressions that silently evaluate to true.
TEST_CASE("unknown expressions are rejected", "[emulator][table]") {
  TableStore store;
  Json put = PutIfAbsent("a");
  put["Put"]["ConditionExpression"] = "size(v) > :v";
  CHECK_THROWS_AS(Run(&store, {put}), TableValidationError);
  CHECK_THROWS_AS(Run(&store, {PutIfAbsent("a"), PutIfAbsent("a")}),
                  TableValidationError);
  const Json query{
      {"KeyConditionExpression", "begins_with(pk, :p) AND pk > :after"},
      {"ExpressionAttributeValues",
       {{":p", {{"S", "a/"}}}, {":after", {{"S", "a/5"}}}}}};
  CHECK(ReadKeyRange(query).prefix == "a/");
  CHECK(ReadKeyRange(query).after == "a/5");
}

}  // namespace
}  // namespace filbertshift::emulator
