// Collects the member rows of the instances that read this one's view, so that
// one transaction writes many rows and the number of writes does not grow with
// the number of instances.

#ifndef SRC_FLEET_MEMBER_ROW_COLLECTOR_H_
#define SRC_FLEET_MEMBER_ROW_COLLECTOR_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/common/common.h"
#include "src/fleet/store_row.h"

namespace filbertshift {

class MemberRowCollector {
 public:
  // Heartbeat of one process of an instance.
  struct Beat {
    std::uint64_t incarnation = 0;
    std::uint64_t beat = 0;
  };
  // Rows for one transaction and the heartbeats in them.
  struct Batch {
    std::vector<StoreRow> rows;
    std::map<InstanceId, Beat> beats;
  };

  // A request has arrived on the connection, so the sender of the row that
  // arrived on it before was live when that row was answered. Otherwise a
  // suspended reader that wakes up would write rows that have waited in its
  // sockets, although their instances may have ended.
  void Confirm(std::uint64_t connection);
  // Keeps the row until the next batch, in place of an earlier one of that
  // instance. Returns the latest heartbeat of the same process that this
  // collector knows to be committed; 0 if none. Throws FindingsError if `text`
  // is not a member row that the store would accept.
  std::uint64_t Add(std::uint64_t connection,
                    const std::string& text,
                    TimePoint now);
  // Removes and returns the confirmed rows that arrived recently, as many as
  // fit into a transaction beside this instance's own row.
  Batch Take(TimePoint now);
  // The store has committed the rows of the batch.
  void OnCommitted(const Batch& batch, TimePoint now);
  // Whether it holds a row of an instance for which it has committed none for
  // this long, for example because the instance has just come to this reader.
  bool IsOverdue(std::chrono::milliseconds age, TimePoint now) const;

 private:
  struct Entry {
    // Latest row, not confirmed yet; empty if there is none.
    std::string offered;
    Beat offered_beat;
    std::uint64_t connection = 0;
    TimePoint offered_at{};
    // Latest confirmed row; empty if it was taken.
    std::string confirmed;
    Beat confirmed_beat;
    TimePoint confirmed_at{};
    Beat committed;
    TimePoint committed_at{};
  };

  std::map<InstanceId, Entry> entries_;
};

}  // namespace filbertshift

#endif  // SRC_FLEET_MEMBER_ROW_COLLECTOR_H_
