// Jobs: long-running requests that are accepted with status 202 and survive the
// loss of the instance that accepted them.

#ifndef SRC_LEDGER_JOB_LEDGER_H_
#define SRC_LEDGER_JOB_LEDGER_H_

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/ledger/charge.h"
#include "src/ledger/job_holder.h"
#include "src/ledger/job_rows.h"
#include "src/ledger/table_calls.h"

namespace filbertshift {

struct JobStatus {
  bool known = false;
  // False if the table service or the object store did not answer.
  bool available = true;
  JobState state = JobState::kQueued;
  AccountId account;
  // Set for kDone and kFailed.
  StoredAnswer answer;
};

class JobLedger {
 public:
  // `durable` is false if the job is not stored; it is then never run. While it
  // is unknown whether the job is stored, the write is retried and the callback
  // is delayed.
  using AcceptCallback = std::function<void(bool durable)>;
  using StatusCallback = std::function<void(const JobStatus&)>;
  using ClaimCallback = JobHolder::ClaimCallback;
  using LostCallback = JobHolder::LostCallback;

  JobLedger(JobLedgerOptions options,
            TableCalls& table,
            ObjectCalls& objects,
            const Clock& clock,
            Random& random,
            EventLog& log);

  // Stores the request object, then the row. Job ids must be unique across all
  // instances.
  void Accept(const JobRequest& request, AcceptCallback callback);
  void Status(const JobId& job, StatusCallback callback);

  // `on_claim` is called for each job that this instance claims: a queued one,
  // or one whose lease expired on another instance. `on_lost` is called when
  // the lease of a claimed job was lost; its run must be cancelled.
  void SetHandlers(ClaimCallback on_claim, LostCallback on_lost);

  // Stores the answer as an object, then the state and the charge in one write
  // that is conditional on the claim. Retries while the lease is valid;
  // `on_lost` is called if it expires first.
  void Finish(const JobId& job,
              JobState state,
              const StoredAnswer& answer,
              const std::optional<Charge>& charge);

  // Retries writes and renews leases; scans for claimable jobs only if
  // `claim_jobs` is true.
  void Tick(TimePoint now, bool claim_jobs);
  std::size_t running_jobs() const { return holder_.size(); }
  // Submissions whose callers wait for the answer.
  std::size_t submissions_in_progress() const {
    return pending_accepts_.size();
  }

 private:
  struct PendingAccept {
    JobRequest request;
    AcceptCallback callback;
    // True if a write may have been applied or may still be applied.
    bool may_be_applied = false;
    bool in_flight = false;
    TimePoint next_attempt;
  };

  // Version of the row of a job that another instance runs.
  struct ObservedRow {
    std::uint64_t row_version = 0;
    TimePoint first_seen;
  };

  void SubmitAccept(std::uint64_t id);
  void OnAcceptWritten(std::uint64_t id, const TableReply& reply);
  void FinishAccept(std::uint64_t id, bool durable);

  void Scan();
  void OnScanned(const TableReply& reply);
  // True if the job is queued, or its lease has expired as observed by this
  // instance.
  bool IsClaimable(const TableRow& row, const JobRow& job);
  void Claim(const TableRow& row, JobRow job);
  void OnClaimWritten(const JobRow& row,
                      std::uint64_t row_version,
                      TimePoint sent,
                      const TableReply& reply);
  void ReadClaim(const JobRow& row, TimePoint sent);

  const JobLedgerOptions options_;
  TableCalls& table_;
  ObjectCalls& objects_;
  const Clock& clock_;
  Random& random_;
  EventLog& log_;
  std::uint64_t next_id_ = 1;
  JobHolder holder_;
  std::map<std::uint64_t, PendingAccept> pending_accepts_;
  std::map<JobId, ObservedRow> observed_rows_;
  // Claims whose outcome is outstanding.
  std::size_t claims_in_flight_ = 0;
  bool scanning_ = false;
  TimePoint next_scan_;
  // Last key of the previous page; empty at the start of a scan.
  std::string scan_after_;
};

}  // namespace filbertshift

#endif  // SRC_LEDGER_JOB_LEDGER_H_
