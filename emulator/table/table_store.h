// In-memory rows, transactions and write history of the emulated table service.

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

// The protocol recognises a repeated transaction token for ten minutes.
constexpr std::chrono::minutes kTokenLifetime{10};
// Limit of the protocol on the operations of one transaction.
constexpr std::size_t kMaxTransactionItems = 100;

struct AppliedWrite {
  std::uint64_t sequence = 0;
  std::int64_t time_ms = 0;
  std::string token;
  std::string key;
  // The item before and after the write; null if it does not exist.
  TableItem before;
  TableItem after;
};

enum class TransactionOutcome {
  kApplied,
  // The same transaction was applied before with the same token.
  kRepeated,
  kConditionFailed,
  // The token was used for a different transaction.
  kTokenMismatch,
};

struct TransactionResult {
  TransactionOutcome outcome = TransactionOutcome::kApplied;
  // True for each operation whose condition failed.
  std::vector<bool> failed;
};

struct QueryResult {
  std::vector<TableItem> items;
  bool more = false;
};

// Not thread-safe.
class TableStore {
 public:
  // Returns null if the item does not exist. Valid until the next write.
  const TableItem* Find(const std::string& key) const;

  QueryResult Query(const KeyRange& range, std::size_t limit) const;

  // Atomically executes the body of a TransactWriteItems request. Throws
  // TableValidationError.
  TransactionResult Transact(const Json& request,
                             std::chrono::system_clock::time_point now);

  const std::deque<AppliedWrite>& history() const { return history_; }
  std::size_t size() const { return items_.size(); }

 private:
  struct UsedToken {
    std::chrono::system_clock::time_point time;
    std::size_t request_hash = 0;
  };

  void EvictExpiredTokens(std::chrono::system_clock::time_point now);
  void Apply(const std::string& key, const TableItem& item, AppliedWrite write);

  std::map<std::string, TableItem> items_;
  std::map<std::string, UsedToken> tokens_;
  // The keys of tokens_, oldest first.
  std::deque<std::string> token_order_;
  std::deque<AppliedWrite> history_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_TABLE_TABLE_STORE_H_
