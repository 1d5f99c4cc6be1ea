// Keeps the blocks of the quarantine in rows of the store, so that they outlive
// the instances, and takes over those that others have written.

#ifndef SRC_GATEWAY_QUARANTINE_STORE_H_
#define SRC_GATEWAY_QUARANTINE_STORE_H_

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "src/dispatch/dispatch.h"
#include "src/fleet/fleet.h"
#include "src/gateway/store_writer.h"

namespace filbertshift {

class QuarantineStore {
 public:
  QuarantineStore(const FleetView& view,
                  PromptQuarantine* quarantine,
                  StoreWriter* writer);

  // `rank`: instances write in this order, so that normally only the first one
  // does. `store_time`: the store's clock; not set if not known yet.
  void Step(int rank,
            std::optional<std::chrono::milliseconds> store_time,
            TimePoint now);

 private:
  void TakeOverRows(std::chrono::milliseconds store_time, TimePoint now);

  const FleetView& view_;
  PromptQuarantine* const quarantine_;
  StoreWriter* const writer_;
  // Causes that had a row at the latest step.
  std::set<CauseId> known_rows_;
  // Era of the store in which `known_rows_` were read.
  std::int64_t era_ = 0;
  struct ReleasedRow {
    std::chrono::milliseconds since{0};
    TimePoint seen_at{};
  };
  // Rows of blocks that have ended. Kept for a while after their removal, since
  // the store may return from a copy that has them again.
  std::map<CauseId, ReleasedRow> released_rows_;
  // When this instance writes a row that differs from the quarantine.
  std::map<CauseId, TimePoint> due_at_;
  bool writing_ = false;
};

}  // namespace filbertshift

#endif  // SRC_GATEWAY_QUARANTINE_STORE_H_
