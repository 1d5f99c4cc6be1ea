#include "src/fleet/member_row_collector.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "src/fleet/fleet_view.h"
#include "src/fleet/member_state.h"

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

// Limits of the store on one transaction and one row, with a margin for their
// encoding in base64 and for the writer's own row.
constexpr std::size_t kMaxBatchRows = 90;
constexpr std::size_t kMaxBatchBytes = std::size_t{600} * 1024;
constexpr std::size_t kMaxRowBytes = std::size_t{48} * 1024;
constexpr std::size_t kMaxNameBytes = 150;
// An older row is not written: its instance may have ended since, or have
// written a newer one itself.
constexpr milliseconds kMaxRowAge{2000};
// Entries of instances that offer no more rows are dropped after this time.
constexpr milliseconds kEntryRetention{60000};

[[noreturn]] void Reject(std::string place, std::string message) {
  throw FindingsError(
      {{"member row", std::move(place), 0, 0, std::move(message)}});
}

}  // namespace

std::uint64_t MemberRowCollector::Add(std::uint64_t connection,
                                      const std::string& text,
                                      TimePoint now) {
  if (text.size() > kMaxRowBytes) {
    Reject("",
           fmt::format("{} bytes are more than {}", text.size(), kMaxRowBytes));
  }
  std::optional<MemberState> state = DecodeMemberState(text);
  if (!state.has_value()) {
    Reject("", "is not a member row");
  }
  if (state->instance.empty() ||
      state->instance.value().size() > kMaxNameBytes) {
    Reject("instance", fmt::format("must have 1 to {} bytes", kMaxNameBytes));
  }
  Entry& entry = entries_[state->instance];
  bool is_older = entry.offered_beat.incarnation == state->incarnation &&
                  state->beat <= entry.offered_beat.beat;
  if (!is_older) {
    entry.offered = text;
    entry.offered_beat = {state->incarnation, state->beat};
    entry.connection = connection;
    entry.offered_at = now;
  }
  return entry.committed.incarnation == state->incarnation
             ? entry.committed.beat
             : 0;
}

void MemberRowCollector::Confirm(std::uint64_t connection) {
  for (auto& [instance, entry] : entries_) {
    if (entry.connection == connection && !entry.offered.empty()) {
      entry.confirmed = std::exchange(entry.offered, std::string());
      entry.confirmed_beat = entry.offered_beat;
      entry.confirmed_at = entry.offered_at;
    }
  }
}

MemberRowCollector::Batch MemberRowCollector::Take(TimePoint now) {
  Batch batch;
  std::size_t bytes = 0;
  for (auto it = entries_.begin(); it != entries_.end();) {
    Entry& entry = it->second;
    if (now - entry.confirmed_at > kMaxRowAge) {
      entry.confirmed.clear();
    }
    if (!entry.confirmed.empty() && batch.rows.size() < kMaxBatchRows &&
        bytes + entry.confirmed.size() <= kMaxBatchBytes) {
      bytes += entry.confirmed.size();
      batch.rows.push_back({std::string(kMemberKeyPrefix) + it->first.value(),
                            std::exchange(entry.confirmed, std::string()), 0,
                            false});
      batch.beats[it->first] = entry.confirmed_beat;
    }
    it = now - entry.offered_at > kEntryRetention ? entries_.erase(it)
                                                  : std::next(it);
  }
  return batch;
}

bool MemberRowCollector::IsOverdue(milliseconds age, TimePoint now) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& item) {
    const Entry& entry = item.second;
    return !entry.confirmed.empty() && now - entry.committed_at > age &&
           now - entry.confirmed_at <= kMaxRowAge;
  });
}

void MemberRowCollector::OnCommitted(const Batch& batch, TimePoint now) {
  for (const auto& [instance, beat] : batch.beats) {
    auto found = entries_.find(instance);
    if (found != entries_.end()) {
      found->second.committed = beat;
      found->second.committed_at = now;
    }
  }
}

}  // namespace filbertshift
