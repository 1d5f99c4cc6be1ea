// The rows of the emulated table service, its transactions and the history of
// all writes.

#ifndef EMULATOR_TABLE_TABLE_STORE_H_
#define EMULATOR_TABLE_TABLE_STORE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "emulator/http/http_message.h"
#include "emulator/table/table_condition.h"

namespace filbertshift::emulator {

// The protocol answers a repeated transaction from memory for ten minutes.
constexpr std::chrono::minutes kTokenLifetime{10};
// The protocol's bound on the operations of one transaction.
constexpr std::size_t kMaxTransactionItems = 100;

struct AppliedWrite {
  std::uint64_t sequence = 0;
  std::int64_t time_ms = 0;
  std::string token;
  std::string key;
  // The item before and after; null if there is none.
  TableItem before;
  TableItem after;
};

enum class TransactionOutcome {
  kApplied,
  // Repetition of an applied transaction with the same token.
  kRepeated,
  kConditionFailed,
  // The token was used for another transaction.
  kTokenMismatch,
};

struct TransactionResult {
  TransactionOutcome outcome = TransactionOutcome::kApplied;
  // For each operation, whether its condition failed.
  std::vector<bool> failed;
};

struct QueryResult {
  std::vector<TableItem> items;
  bool more = false;
};

// Not thread-safe.
class TableStore {
 public:
  // Null if there is no such item. Valid until the next write.
  const TableItem* Find(const std::string& key) const;

  QueryResult Query(const KeyRange& range, std::size_t limit) const;

  // `request` is the body of TransactWriteItems: all operations take effect,
  // or none. Throws TableValidationError.
  TransactionResult Transact(const Json& request,
                             std::chrono::system_clock::time_point now);

  const std::deque<AppliedWrite>& history() const { return history_; }
  std::size_t size() const { return items_.size(); }

 private:
  struct UsedToken {
    std::chrono::system_clock::time_point time;
    std::size_t request_hash = 0;
  };

  void ForgetOldTokens(std::chrono::system_clock::time_point now);
  void Apply(const std::string& key, const TableItem& item, AppliedWrite write);

  std::map<std::string, TableItem> items_;
  std::map<std::string, UsedToken> tokens_;
  // The keys of tokens_ in order of time.
  std::deque<std::string> token_order_;
  std::deque<AppliedWrite> history_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_TABLE_TABLE_STORE_H_
