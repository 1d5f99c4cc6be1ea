#include "src/gateway/quarantine_store.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace filbertshift {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// How long an instance waits per rank for one before it to write a row, and for
// its own write to appear in the view, which is read every two seconds.
constexpr milliseconds kTurnInterval{3000};
constexpr int kMaxRank = 16;
// Rows of one transaction.
constexpr std::size_t kMaxRows = 50;
// Longer than a copy of the store can be old.
constexpr milliseconds kReleasedRowRetention{60000};

std::string RowKey(const CauseId& cause) {
  return std::string(kQuarantineKeyPrefix) + cause.value();
}

}  // namespace

QuarantineStore::QuarantineStore(const FleetView& view,
                                 PromptQuarantine* quarantine,
                                 StoreWriter* writer)
    : view_(view), quarantine_(quarantine), writer_(writer) {}

void QuarantineStore::Step(int rank,
                           std::optional<milliseconds> store_time,
                           TimePoint now) {
  if (!store_time.has_value() || !view_.complete()) {
    return;
  }
  TakeOverRows(*store_time, now);
  StoreTransaction transaction;
  std::map<CauseId, TimePoint> due;
  auto is_due = [&](const CauseId& cause) {
    auto known = due_at_.find(cause);
    TimePoint at = known == due_at_.end()
                       ? now + kTurnInterval * std::min(rank, kMaxRank)
                       : known->second;
    bool writes =
        !writing_ && now >= at &&
        transaction.puts.size() + transaction.removals.size() < kMaxRows;
    due[cause] = writes ? now + kTurnInterval : at;
    return writes;
  };
  const std::map<CauseId, QuarantineRow>& rows = view_.quarantine_rows();
  for (const auto& [cause, block] : quarantine_->blocks()) {
    auto row = rows.find(cause);
    if ((row == rows.end() || row->second.strikes < block.strikes) &&
        is_due(cause)) {
      auto age = duration_cast<milliseconds>(now - block.since);
      transaction.puts.push_back(
          {RowKey(cause),
           EncodeQuarantineRow({*store_time - age, block.strikes}), 0, false});
    }
  }
  for (const auto& entry : rows) {
    if (quarantine_->blocks().count(entry.first) == 0 && is_due(entry.first)) {
      transaction.removals.push_back(RowKey(entry.first));
    }
  }
  due_at_ = std::move(due);
  if (!transaction.puts.empty() || !transaction.removals.empty()) {
    writing_ = writer_->Submit(std::move(transaction),
                               [this](StoreWriteResult) { writing_ = false; });
  }
}

void QuarantineStore::TakeOverRows(milliseconds store_time, TimePoint now) {
  const std::map<CauseId, QuarantineRow>& rows = view_.quarantine_rows();
  CrashEvidence evidence;
  std::set<CauseId> present;
  for (const auto& [cause, row] : rows) {
    present.insert(cause);
    auto released = released_rows_.find(cause);
    if (released != released_rows_.end() &&
        released->second.since == row.since) {
      released->second.seen_at = now;
      continue;
    }
    auto block = quarantine_->blocks().find(cause);
    if (block == quarantine_->blocks().end() ||
        block->second.strikes < row.strikes) {
      evidence.blocks.push_back(
          {cause, std::max(store_time - row.since, milliseconds(0)),
           row.strikes});
    }
  }
  quarantine_->Merge(evidence, now);
  for (const auto& [cause, row] : rows) {
    if (quarantine_->blocks().count(cause) == 0) {
      released_rows_[cause] = {row.since, now};
    }
  }
  for (auto it = released_rows_.begin(); it != released_rows_.end();) {
    it = now - it->second.seen_at > kReleasedRowRetention
             ? released_rows_.erase(it)
             : std::next(it);
  }
  std::int64_t era = view_.as_of(StoreTable::kInstances).era;
  if (std::exchange(era_, era) != era) {
    // The store has lost the rows that are missing; nobody has removed them.
    known_rows_.clear();
  }
  for (const CauseId& cause : known_rows_) {
    if (present.count(cause) == 0) {
      quarantine_->Release(cause);
    }
  }
  known_rows_ = std::move(present);
}

}  // namespace filbertshift
