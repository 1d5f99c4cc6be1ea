// Jobs: long work that was accepted with 202 and survives the loss of the
// instance that accepted it.

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
  // False: the table service did not answer.
  bool available = true;
  JobState state = JobState::kQueued;
  AccountId account;
  // For kDone and kFailed.
  StoredAnswer answer;
};

class JobLedger {
 public:
  // `durable` is false if the job is not stored; it is then certainly not run.
  // While the table service leaves open whether the job is stored, the write
  // is repeated and the callback waits.
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

  // Stores the body, then the row. Job ids must be unique over all instances.
  void Accept(const JobRequest& request, AcceptCallback callback);
  void Status(const JobId& job, StatusCallback callback);

  // `on_claim` is called for each job that this instance has claimed, new ones
  // and those whose lease has run out unrenewed elsewhere. `on_lost` is called
  // when the lease of a claimed job was lost; its run must be cancelled.
  void SetHandlers(ClaimCallback on_claim, LostCallback on_lost);

  // Stores the answer as an object, then state and charge in one write that is
  // conditional on the claim. Retries while the lease holds; `on_lost` tells
  // when it does not.
  void Finish(const JobId& job,
              JobState state,
              const StoredAnswer& answer,
              const std::optional<Charge>& charge);

  // Scans for work, renews leases. With `take_new` false it only renews.
  void Tick(TimePoint now, bool take_new);
  std::size_t running() const { return holder_.size(); }

 private:
  struct Accepting {
    JobRequest request;
    AcceptCallback callback;
    // True if a write may have taken effect or may still do so.
    bool may_be_written = false;
    bool in_flight = false;
    TimePoint next_try;
  };

  // A version of a running row that another instance wrote.
  struct Observation {
    std::uint64_t row_version = 0;
    TimePoint first_seen;
  };

  void SubmitAccept(std::uint64_t id);
  void OnAcceptWritten(std::uint64_t id, const TableReply& reply);
  void EndAccept(std::uint64_t id, bool durable);

  void Scan();
  void OnScanned(const TableReply& reply);
  // True if the row is queued, or its lease has run out as seen from here.
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
  std::map<std::uint64_t, Accepting> accepting_;
  std::map<JobId, Observation> observed_;
  // Claims that are being written.
  std::size_t claiming_ = 0;
  bool scanning_ = false;
  TimePoint next_scan_;
  // Last key of the page before; empty at the start of a pass.
  std::string scan_after_;
};

}  // namespace filbertshift

#endif  // SRC_LEDGER_JOB_LEDGER_H_
