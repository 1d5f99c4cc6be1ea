#include "src/admission/top_accounts.h"

#include <algorithm>

namespace filbertshift {

void TopAccounts::Add(const AccountId& account) {
  ++total_;
  auto found = counts_.find(account);
  if (found != counts_.end()) {
    ++found->second;
  } else if (counts_.size() < kMaxAccounts) {
    counts_[account] = 1;
  }
}

std::vector<std::pair<AccountId, std::int64_t>> TopAccounts::Top(
    std::size_t count) const {
  std::vector<std::pair<AccountId, std::int64_t>> top(counts_.begin(),
                                                      counts_.end());
  std::sort(top.begin(), top.end(), [](const auto& a, const auto& b) {
    return a.second != b.second ? a.second > b.second : a.first < b.first;
  });
  top.resize(std::min(top.size(), count));
  return top;
}

void TopAccounts::Clear() {
  counts_.clear();
  total_ = 0;
}

}  // namespace filbertshift
