#include "src/admission/account_shares.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

// Long enough for a few requests of an account at one of many instances.
constexpr milliseconds kRecent{8000};
constexpr milliseconds kUsual{120000};
// Requests added to both counts of a surge: one more or less is no surge.
constexpr double kPriorRequests = 1;
constexpr double kMaxSurge = 16;
constexpr milliseconds kDivideInterval{250};
// A change of the fraction by more than this is applied at once.
constexpr double kFractionTolerance = 0.02;
// Unused admissions that an entry keeps.
constexpr double kMaxCredit = 2;
// Share of the mean that each priority keeps.
constexpr double kMinPriorityShare = 0.5;
constexpr double kIdleRequests = 0.05;
constexpr int kBisections = 24;
constexpr double kPhases = 1024;

}  // namespace

AccountShares::Entry::Entry(double phase)
    : recent(kRecent), usual(kUsual), credit(phase) {}

AccountShares::Entry& AccountShares::EntryOf(const AccountId& account,
                                             int priority,
                                             std::uint64_t request_hash,
                                             TimePoint now) {
  auto found = entries_.find({priority, account});
  if (found != entries_.end()) {
    return found->second;
  }
  if (entries_.size() >= kMaxEntries) {
    DropIdle(now);
  }
  double phase =
      std::fmod(static_cast<double>(request_hash % 65536), kPhases) / kPhases;
  bool is_full = entries_.size() >= kMaxEntries;
  return entries_
      .emplace(Key(priority, is_full ? AccountId() : account), Entry(phase))
      .first->second;
}

void AccountShares::DropIdle(TimePoint now) {
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    bool idle = entry->second.recent.ValueAt(now) < kIdleRequests;
    entry = idle ? entries_.erase(entry) : std::next(entry);
  }
}

void AccountShares::OnArrival(const AccountId& account,
                              int priority,
                              std::uint64_t request_hash,
                              TimePoint now) {
  if (started_at_ == TimePoint()) {
    started_at_ = now;
  }
  Entry& entry = EntryOf(account, priority, request_hash, now);
  entry.recent.Add(1, now);
  entry.usual.Add(1, now);
}

bool AccountShares::Take(const AccountId& account,
                         int priority,
                         double fraction,
                         TimePoint now) {
  if (now - divided_at_ >= kDivideInterval ||
      std::abs(fraction - divided_fraction_) > kFractionTolerance) {
    Divide(fraction, now);
  }
  Entry& entry = EntryOf(account, priority, 0, now);
  entry.credit = std::min(entry.credit + entry.share, kMaxCredit);
  if (entry.credit < 1) {
    return false;
  }
  entry.credit -= 1;
  return true;
}

double AccountShares::SurgeOf(const Entry& entry, TimePoint now) const {
  std::chrono::duration<double, std::milli> known = now - started_at_;
  // Shortly after the start, both sums cover the same time.
  auto covered = [&known](milliseconds decay) {
    double ratio = known.count() / static_cast<double>(decay.count());
    return static_cast<double>(decay.count()) * (1 - std::exp(-ratio)) + 1;
  };
  double recent = entry.recent.ValueAt(now);
  double usual = entry.usual.ValueAt(now) * covered(kRecent) / covered(kUsual);
  return std::clamp((recent + kPriorRequests) / (usual + kPriorRequests), 1.0,
                    kMaxSurge);
}

void AccountShares::Divide(double fraction, TimePoint now) {
  divided_at_ = now;
  divided_fraction_ = fraction;
  // Requests of each priority.
  std::map<int, double> levels;
  double total = 0;
  for (const auto& [key, entry] : entries_) {
    double recent = entry.recent.ValueAt(now);
    levels[key.first] += recent;
    total += recent;
  }
  double floor = fraction * kMinPriorityShare;
  double beyond_floor = total * (fraction - floor);
  for (const auto& [priority, requests] : levels) {
    double extra = std::min(beyond_floor, requests * (1 - floor));
    beyond_floor -= extra;
    DivideLevel(priority, requests * floor + extra, now);
  }
}

void AccountShares::DivideLevel(int priority, double admitted, TimePoint now) {
  struct Part {
    Entry* entry;
    double requests;
    double surge;
  };
  std::vector<Part> parts;
  for (auto& [key, entry] : entries_) {
    if (key.first == priority) {
      parts.push_back({&entry, entry.recent.ValueAt(now), SurgeOf(entry, now)});
    }
  }
  // Share of an entry at a level: min(1, level / surge).
  double low = 0;
  double high = kMaxSurge;
  for (int i = 0; i < kBisections; ++i) {
    double level = (low + high) / 2;
    double sum = 0;
    for (const Part& part : parts) {
      sum += part.requests * std::min(1.0, level / part.surge);
    }
    (sum < admitted ? low : high) = level;
  }
  for (const Part& part : parts) {
    part.entry->share = std::min(1.0, high / part.surge);
  }
}

}  // namespace filbertshift
