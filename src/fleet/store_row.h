// Rows of the platform's transactional store.

#ifndef SRC_FLEET_STORE_ROW_H_
#define SRC_FLEET_STORE_ROW_H_

#include <cstdint>
#include <string>
#include <vector>

namespace filbertshift {

// The tables that an instance follows.
enum class StoreTable { kOperator, kEndpoints, kInstances };
constexpr int kStoreTableCount = 3;

struct StoreRow {
  std::string key;
  std::string value;
  // From one counter of the store that grows with each transaction.
  std::int64_t version = 0;
  // The row was removed by the transaction of that version.
  bool removed = false;
};

// A write that takes effect only if each expected row still has its version.
struct StoreTransaction {
  struct Expectation {
    std::string key;
    // 0: the row does not exist.
    std::int64_t version = 0;
  };
  // Rows of the table kInstances.
  std::vector<Expectation> expectations;
  std::vector<StoreRow> puts;
  std::vector<std::string> removals;
  // Rows that tell operators the state of rollouts, in the same transaction.
  std::vector<StoreRow> status_puts;
};

}  // namespace filbertshift

#endif  // SRC_FLEET_STORE_ROW_H_
