// Rows of the platform's transactional store.

#ifndef SRC_FLEET_STORE_ROW_H_
#define SRC_FLEET_STORE_ROW_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace filbertshift {

// Tables that an instance reads continuously.
enum class StoreTable { kOperator, kEndpoints, kInstances };
constexpr int kStoreTableCount = 3;

// A moment in the history of the store. When the store returns from an older
// copy, its era rises, and it gives out numbers again that it has given out
// before; numbers of different eras are not comparable.
struct StoreVersion {
  // 0: the store names no era.
  std::int64_t era = 0;
  // Value of a store-wide counter that increases with each transaction.
  std::int64_t number = 0;

  friend bool operator==(const StoreVersion& a, const StoreVersion& b) {
    return a.era == b.era && a.number == b.number;
  }
  friend bool operator!=(const StoreVersion& a, const StoreVersion& b) {
    return !(a == b);
  }
  // A later era comes after an earlier one, whatever the numbers.
  friend bool operator<(const StoreVersion& a, const StoreVersion& b) {
    return std::tie(a.era, a.number) < std::tie(b.era, b.number);
  }
  friend bool operator>(const StoreVersion& a, const StoreVersion& b) {
    return b < a;
  }
};

struct StoreRow {
  std::string key;
  std::string value;
  // Number of the version, in the era of the table that holds the row.
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
  // Era of the expected versions.
  std::int64_t era = 0;
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
