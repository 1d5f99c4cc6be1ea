// Manages the jobs whose lease this instance holds: loads their requests,
// renews their leases and stores their results.

#ifndef SRC_LEDGER_JOB_HOLDER_H_
#define SRC_LEDGER_JOB_HOLDER_H_

#include <chrono>
#include <functional>
#include <map>
#include <string>

#include "src/ledger/job_rows.h"
#include "src/ledger/table_calls.h"

namespace filbertshift {

// Permits this instance to run a job until `lease_until` on its own clock.
// `fence` is the fencing token, which increases with each claim of the job.
struct JobClaim {
  JobRequest request;
  std::uint64_t fence = 0;
  TimePoint lease_until;
};

struct JobLedgerOptions {
  std::string owner;
  std::chrono::milliseconds lease{10000};
  std::chrono::milliseconds scan_interval{2000};
  // Limit of jobs that this instance runs concurrently.
  std::size_t max_running = 8;
};

// Invariants: a job is finished by at most one claim. A claim expires on the
// clock of this process before another instance may claim the job: other
// instances count the lease from when they first see the row that the last
// renewal wrote.
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

  // See JobLedger::SetHandlers.
  void SetHandlers(ClaimCallback on_claim, LostCallback on_lost);

  // Adds a claim whose row write is confirmed. The write was sent at `sent`,
  // from which the lease counts.
  void Add(const JobRow& row, std::uint64_t row_version, TimePoint sent);

  // See JobLedger::Finish.
  void Finish(const JobId& job,
              JobState state,
              const StoredAnswer& answer,
              const std::optional<Charge>& charge);

  // Drops claims whose lease has expired, renews the others and retries failed
  // operations.
  void Tick(TimePoint now);
  bool Holds(const JobId& job) const { return claimed_jobs_.count(job) > 0; }
  std::size_t size() const { return claimed_jobs_.size(); }

 private:
  struct ClaimedJob {
    JobClaim claim;
    JobRow row;
    std::uint64_t row_version = 0;
    // True once `on_claim` was called, or the stored request was found invalid.
    bool started = false;
    bool finishing = false;
    // Object to store before the row; empty if already stored.
    std::string result_object;
    std::string result_body;
    // Final row, written after the result object.
    JobRow finished_row;

    bool in_flight = false;
    TimePoint renew_at;
    TimePoint next_attempt;
  };

  void LoadRequest(const JobId& job);
  void PutResult(const JobId& job);
  void Renew(const JobId& job);
  void WriteRow(const JobId& job, const JobRow& row);
  void OnRowWritten(const JobId& job,
                    const JobRow& row,
                    TimePoint sent,
                    const TableReply& reply);
  void ReadRow(const JobId& job, const JobRow& written, TimePoint sent);
  void OnRowRead(const JobId& job,
                 const JobRow& written,
                 TimePoint sent,
                 const TableReply& reply);
  void ConfirmWrite(const JobId& job,
                    const JobRow& written,
                    std::uint64_t row_version,
                    TimePoint sent);
  void RetryLater(const JobId& job);
  void LoseClaim(const JobId& job);
  // Returns nullptr if the claim was lost meanwhile.
  ClaimedJob* FindClaim(const JobId& job, const std::string& claim);

  const JobLedgerOptions& options_;
  TableCalls& table_;
  ObjectCalls& objects_;
  const Clock& clock_;
  Random& random_;
  EventLog& log_;
  ClaimCallback on_claim_;
  LostCallback on_lost_;
  std::map<JobId, ClaimedJob> claimed_jobs_;
};

}  // namespace filbertshift

#endif  // SRC_LEDGER_JOB_HOLDER_H_
