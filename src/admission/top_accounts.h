// Counts events by client account in bounded memory.

#ifndef SRC_ADMISSION_TOP_ACCOUNTS_H_
#define SRC_ADMISSION_TOP_ACCOUNTS_H_

#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

class TopAccounts {
 public:
  // Accounts beyond these count as "other".
  static constexpr std::size_t kMaxAccounts = 256;

  void Add(const AccountId& account);
  std::int64_t total() const { return total_; }
  // The accounts with the highest counts, highest first.
  std::vector<std::pair<AccountId, std::int64_t>> Top(std::size_t count) const;
  void Clear();

 private:
  std::unordered_map<AccountId, std::int64_t> counts_;
  std::int64_t total_ = 0;
};

}  // namespace filbertshift

#endif  // SRC_ADMISSION_TOP_ACCOUNTS_H_
