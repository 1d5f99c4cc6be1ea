// Divides the admitted part of an instance's requests between priorities and
// client accounts.

#ifndef SRC_ADMISSION_ACCOUNT_SHARES_H_
#define SRC_ADMISSION_ACCOUNT_SHARES_H_

#include <cstdint>
#include <map>
#include <utility>

#include "src/admission/decayed_sum.h"

namespace filbertshift {

// More urgent requests are admitted first, but each priority keeps half of the
// mean share, so that no account is starved because of its route. Within a
// priority, accounts that send more than they usually do lose first: each is
// admitted up to the same multiple of its usual rate.
class AccountShares {
 public:
  // Accounts beyond these share one entry for each priority.
  static constexpr std::size_t kMaxEntries = 256;

  // A new request has arrived. `request_hash` sets the phase of a new entry, so
  // that the first requests of an account at many instances are not decided
  // alike.
  void OnArrival(const AccountId& account,
                 int priority,
                 std::uint64_t request_hash,
                 TimePoint now);
  // Whether the latest request of the account is one of the admitted share
  // `fraction` of all. Must be called once for each arrival while requests are
  // held back.
  bool Take(const AccountId& account,
            int priority,
            double fraction,
            TimePoint now);

 private:
  using Key = std::pair<int, AccountId>;
  struct Entry {
    explicit Entry(double phase);
    DecayedSum recent;
    DecayedSum usual;
    // Admitted share of this entry.
    double share = 1;
    // Admissions not used yet; the next request is admitted at 1.
    double credit = 0;
  };

  Entry& EntryOf(const AccountId& account,
                 int priority,
                 std::uint64_t request_hash,
                 TimePoint now);
  void DropIdle(TimePoint now);
  void Divide(double fraction, TimePoint now);
  // Divides `admitted` requests between the entries of one priority.
  void DivideLevel(int priority, double admitted, TimePoint now);
  // Rate of the entry relative to its usual one, at least 1.
  double SurgeOf(const Entry& entry, TimePoint now) const;

  // Ordered by priority.
  std::map<Key, Entry> entries_;
  TimePoint started_at_{};
  TimePoint divided_at_{};
  double divided_fraction_ = 1;
};

}  // namespace filbertshift

#endif  // SRC_ADMISSION_ACCOUNT_SHARES_H_
