// The jobs whose lease this instance holds: loads their requests, renews their
// leases and stores their results.

#ifndef SRC_LEDGER_JOB_HOLDER_H_
#define SRC_LEDGER_JOB_HOLDER_H_

#include <chrono>
#include <functional>
#include <map>
#include <string>

#include "src/ledger/job_rows.h"
#include "src/ledger/table_calls.h"

namespace filbertshift {

// The right to run a job until `lease_until` on this process's clock. `fence`
// grows with each claim of the job.
struct JobClaim {
  JobRequest request;
  std::uint64_t fence = 0;
  TimePoint lease_until;
};

struct JobLedgerOptions {
  std::string owner;
  std::chrono::milliseconds lease{10000};
  std::chrono::milliseconds scan_interval{2000};
  // Jobs that this instance runs at a time.
  std::size_t max_running = 8;
};

// Invariants: a job is finished by at most one claim. A claim ends on this
// process's clock before any other instance may claim the job: others count the
// lease from when they first see the row that the last renewal wrote.
class JobHolder {
 public:
  using ClaimCallback = std::function<void(const JobClaim&)>;
  using LostCallback = std::function<void(const JobId&)>;

  // All references must outlive the object.
  JobHolder(const JobLedgerOptions& options,
            TableCalls& table,
            ObjectCalls& objects,
            const Clock& clock,
            Random& random,
            EventLog& log);

  // As JobLedger::SetHandlers.
  void SetHandlers(ClaimCallback on_claim, LostCallback on_lost);

  // Takes a claim whose row is confirmed; its write was sent at `sent`.
  void Add(const JobRow& row, std::uint64_t row_version, TimePoint sent);

  // As JobLedger::Finish.
  void Finish(const JobId& job,
              JobState state,
              const StoredAnswer& answer,
              const std::optional<Charge>& charge);

  // Ends claims whose lease has run out, renews the others, repeats writes.
  void Tick(TimePoint now);
  bool Holds(const JobId& job) const { return claimed_.count(job) > 0; }
  std::size_t size() const { return claimed_.size(); }

 private:
  struct Claimed {
    JobClaim claim;
    JobRow row;
    std::uint64_t row_version = 0;
    // True once `on_claim` was called.
    bool started = false;
    bool finishing = false;
    // Object to store before the row; empty if it is stored.
    std::string result_object;
    std::string result_body;
    // Finished row; written when the result is stored.
    JobRow finished_row;

    bool in_flight = false;
    TimePoint renew_at;
    TimePoint next_try;
  };

  void LoadRequest(const JobId& job);
  void PutResult(const JobId& job);
  void Renew(const JobId& job);
  void WriteClaimed(const JobId& job, const JobRow& row);
  void OnClaimedWritten(const JobId& job,
                        const JobRow& row,
                        TimePoint sent,
                        const TableReply& reply);
  void ReadClaimed(const JobId& job, const JobRow& written, TimePoint sent);
  void OnClaimedRead(const JobId& job,
                     const JobRow& written,
                     TimePoint sent,
                     const TableReply& reply);
  void Confirm(const JobId& job,
               const JobRow& written,
               std::uint64_t row_version,
               TimePoint sent);
  void RetryLater(const JobId& job);
  void Lose(const JobId& job);
  // nullptr if the claim was lost meanwhile.
  Claimed* FindClaimed(const JobId& job, const std::string& claim);

  const JobLedgerOptions& options_;
  TableCalls& table_;
  ObjectCalls& objects_;
  const Clock& clock_;
  Random& random_;
  EventLog& log_;
  ClaimCallback on_claim_;
  LostCallback on_lost_;
  std::map<JobId, Claimed> claimed_;
};

}  // namespace filbertshift

#endif  // SRC_LEDGER_JOB_HOLDER_H_
