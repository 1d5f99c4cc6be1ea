// Drills of a soak's store: it is away for a moment and returns from an older
// copy, and its era rises. The operator's configuration is written again in
// order within a second, the rows of endpoints within two.

#ifndef TESTS_SOAK_SOAK_DRILL_H_
#define TESTS_SOAK_SOAK_DRILL_H_

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "src/net/net.h"
#include "tests/soak/fault_proxy.h"
#include "tests/unit/gateway/stand_ins.h"

namespace filbertshift {

// Time after a return until rules with a time bound hold again.
constexpr std::chrono::milliseconds kSoakDrillSettleTime{3000};

class SoakDrill {
 public:
  using LogFunction = std::function<void(const std::string&)>;

  SoakDrill(Transport* transport,
            StandInStore* store,
            unsigned seed,
            LogFunction log);

  // Writes a row for the operator or an endpoint, and writes it again when the
  // store has lost it. While a drill is not over, the row waits for its turn.
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);

  // Begins to save copies, as it goes on doing.
  void SaveCopies();
  // The store is away for 0.3 to 3 s and returns from a copy of about this age
  // now. It refuses calls meanwhile, or the proxies reset its connections if
  // there are any. `again`: at the end, another drill follows in the same way.
  void Begin(std::chrono::milliseconds age,
             std::vector<FaultProxy*> proxies,
             bool again);
  // The store is there and every row that it had lost is written again.
  bool is_over() const {
    return !away_ && !another_follows_ && pending_rows_ == 0;
  }
  // Also, the rules with a time bound hold.
  bool is_settled() const;
  TimePoint began_at() const { return began_at_; }
  // Whether the store has returned and the row waits to be written again.
  bool IsLost(const std::string& table, const std::string& key) const;

  int returns() const { return returns_; }
  int rows_written_again() const { return rows_written_again_; }

 private:
  struct Row {
    std::string table;
    std::string key;
    // Not set if the row was removed.
    std::optional<std::string> value;
    TimePoint written_at{};
  };
  struct SavedCopy {
    TimePoint saved_at{};
    StandInStore::Copy copy;
  };

  void WriteOrWait(Row row);
  void Write(Row row);
  void SaveCopy();
  void SetAway(bool away);
  // Returns from the latest copy up to this time, or the oldest one.
  void Return(TimePoint copied_until);
  void AddPending(Row row);
  void ScheduleOperatorRow(std::uint64_t drill);
  void ScheduleEndpointRow(const std::string& key, std::uint64_t drill);
  std::chrono::milliseconds RandomDuration(int min_ms, int max_ms);

  Transport* const transport_;
  StandInStore* const store_;
  std::mt19937 random_;
  const LogFunction log_;
  // Oldest first; none is of a history that the store has lost.
  std::deque<SavedCopy> copies_;
  // What was written in the time of the copies, oldest first.
  std::deque<Row> written_;
  // Waiting to be written. The operator's rows are written in order; of an
  // endpoint's, only the latest.
  std::deque<Row> operator_rows_;
  std::map<std::string, Row> endpoint_rows_;
  std::size_t pending_rows_ = 0;
  std::vector<FaultProxy*> proxies_;
  bool away_ = false;
  bool another_follows_ = false;
  TimePoint began_at_{};
  TimePoint returned_at_{};
  // Number of the current drill; timers of earlier ones do nothing.
  std::uint64_t drill_ = 0;
  int returns_ = 0;
  int rows_written_again_ = 0;
};

}  // namespace filbertshift

#endif  // TESTS_SOAK_SOAK_DRILL_H_
