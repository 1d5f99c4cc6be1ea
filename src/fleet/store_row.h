// Rows of the platform's transactional store.

#ifndef SRC_FLEET_STORE_ROW_H_
#define SRC_FLEET_STORE_ROW_H_

#include <cstdint>
#include <string>
#include <vector>

namespace filbertshift {

// Tables that an instance reads continuously.
enum class StoreTable { kOperator, kEndpoints, kInstances };
constexpr int kStoreTableCount = 3;

struct StoreRow {
  std::string key;
  std::string value;
  // Value of a store-wide counter that increases with each transaction.
  std::int64_t version = 0;
  // The row was removed by the transaction with that version.
  bool removed = false;
};

// A conditional write that takes effect only if each expectation holds.
struct StoreTransaction {
  struct Expectation {
    std::string key;
    // 0: the row must not exist.
    std::int64_t version = 0;
  };
  // Rows of the table kInstances.
  std::vector<Expectation> expectations;
  std::vector<StoreRow> puts;
  std::vector<std::string> removals;
  // Rows that report the state of rollouts to operators, written in the same
  // transaction.
  std::vector<StoreRow> status_puts;
};

}  // namespace filbertshift

#endif  // SRC_FLEET_STORE_ROW_H_
