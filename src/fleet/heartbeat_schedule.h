// Decides when an instance writes its member row to the store and when it
// passes the row to a reader, which writes it together with the rows of others.

#ifndef SRC_FLEET_HEARTBEAT_SCHEDULE_H_
#define SRC_FLEET_HEARTBEAT_SCHEDULE_H_

#include <chrono>
#include <optional>

#include "src/common/common.h"

namespace filbertshift {

enum class HeartbeatAction {
  kNone,
  // Pass the row to the reader with the next read of its view.
  kOffer,
  // Write the row to the store.
  kWrite,
};

struct HeartbeatInputs {
  // Time between commits of the row.
  std::chrono::milliseconds interval{0};
  // A reader of the store takes the row.
  bool has_reader = false;
  bool store_reachable = true;
  // Rows of other instances, which this one writes with its own, are overdue.
  bool peer_rows_overdue = false;
};

// An instance whose reader does not commit its row in time writes it itself.
class HeartbeatSchedule {
 public:
  HeartbeatAction Next(const HeartbeatInputs& inputs, TimePoint now) const;
  void OnOffered(TimePoint now) { offered_at_ = now; }
  void OnWriteStarted(TimePoint now);
  void OnWriteFailed() { write_failed_ = true; }
  // The store has committed a row with a new heartbeat.
  void OnCommitted(TimePoint now);

 private:
  std::optional<TimePoint> offered_at_;
  // When a row was last committed, or a write of it started.
  std::optional<TimePoint> covered_at_;
  // The latest write may not have taken effect.
  bool write_failed_ = false;
};

}  // namespace filbertshift

#endif  // SRC_FLEET_HEARTBEAT_SCHEDULE_H_
