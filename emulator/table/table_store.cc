#include "emulator/table/table_store.h"

#include <fmt/format.h>

#include <functional>
#include <set>
#include <utility>

namespace filbertshift::emulator {

namespace {

struct Operation {
  std::string key;
  // The body of the action, including ConditionExpression if present.
  const Json* json = nullptr;
  // The new item of a Put; null for other actions.
  const Json* put = nullptr;
  bool remove = false;
};

Operation ReadOperation(const Json& entry) {
  Operation operation;
  if (!entry.is_object() || entry.size() != 1) {
    throw TableValidationError("an operation must have exactly one action");
  }
  const std::string action = entry.begin().key();
  operation.json = &entry.begin().value();
  if (action == "Put") {
    operation.put = &operation.json->at("Item");
    operation.key = ItemKey(*operation.put);
  } else if (action == "Delete" || action == "ConditionCheck") {
    operation.remove = action == "Delete";
    operation.key = ItemKey(operation.json->at("Key"));
  } else {
    throw TableValidationError("unsupported action " + action);
  }
  return operation;
}

std::vector<Operation> ReadOperations(const Json& request) {
  const Json& entries = request.at("TransactItems");
  if (!entries.is_array() || entries.empty() ||
      entries.size() > kMaxTransactionItems) {
    throw TableValidationError(fmt::format(
        "TransactItems must have 1 to {} operations", kMaxTransactionItems));
  }
  std::vector<Operation> operations;
  std::set<std::string> keys;
  for (const Json& entry : entries) {
    operations.push_back(ReadOperation(entry));
    if (!keys.insert(operations.back().key).second) {
      throw TableValidationError(
          "Transaction request cannot include multiple operations on one item");
    }
  }
  return operations;
}

}  // namespace

const TableItem* TableStore::Find(const std::string& key) const {
  const auto found = items_.find(key);
  return found == items_.end() ? nullptr : &found->second;
}

QueryResult TableStore::Query(const KeyRange& range, std::size_t limit) const {
  QueryResult result;
  auto row = range.after < range.prefix ? items_.lower_bound(range.prefix)
                                        : items_.upper_bound(range.after);
  for (; row != items_.end(); ++row) {
    if (row->first.compare(0, range.prefix.size(), range.prefix) != 0) {
      break;
    }
    if (result.items.size() == limit) {
      result.more = true;
      break;
    }
    result.items.push_back(row->second);
  }
  return result;
}

TransactionResult TableStore::Transact(
    const Json& request,
    std::chrono::system_clock::time_point now) {
  EvictExpiredTokens(now);
  TransactionResult result;
  const std::vector<Operation> operations = ReadOperations(request);
  const std::string token = request.value("ClientRequestToken", std::string());
  const std::size_t hash =
      std::hash<std::string>()(request.at("TransactItems").dump());
  const auto used = tokens_.find(token);
  if (!token.empty() && used != tokens_.end()) {
    result.outcome = used->second.request_hash == hash
                         ? TransactionOutcome::kRepeated
                         : TransactionOutcome::kTokenMismatch;
    return result;
  }
  for (const Operation& operation : operations) {
    const bool satisfied =
        EvaluateCondition(*operation.json, Find(operation.key));
    result.failed.push_back(!satisfied);
    if (!satisfied) {
      result.outcome = TransactionOutcome::kConditionFailed;
    }
  }
  if (result.outcome == TransactionOutcome::kConditionFailed) {
    return result;
  }
  for (const Operation& operation : operations) {
    if (operation.put == nullptr && !operation.remove) {
      continue;
    }
    AppliedWrite write;
    write.time_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                        now.time_since_epoch())
                        .count();
    write.token = token;
    Apply(operation.key, operation.put == nullptr ? Json() : *operation.put,
          std::move(write));
  }
  if (!token.empty()) {
    tokens_[token] = {now, hash};
    token_order_.push_back(token);
  }
  return result;
}

void TableStore::EvictExpiredTokens(std::chrono::system_clock::time_point now) {
  while (!token_order_.empty() &&
         now - tokens_[token_order_.front()].time > kTokenLifetime) {
    tokens_.erase(token_order_.front());
    token_order_.pop_front();
  }
}

void TableStore::Apply(const std::string& key,
                       const TableItem& item,
                       AppliedWrite write) {
  write.sequence = history_.size() + 1;
  write.key = key;
  const TableItem* before = Find(key);
  write.before = before == nullptr ? Json() : *before;
  write.after = item;
  if (item.is_null()) {
    items_.erase(key);
  } else {
    items_[key] = item;
  }
  history_.push_back(std::move(write));
}

}  // namespace filbertshift::emulator
