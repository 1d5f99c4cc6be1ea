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
#include "src/ledger/execution_ledger.h"
#include "src/ledger/table_calls.h"

namespace filbertshift {

// The request of a job, enough to run it on any instance.
struct JobRequest {
  JobId job;
  AccountId account;
  std::string quality_class;
  std::vector<HttpHeader> headers;
  std::string target;
  std::string body;
};

enum class JobState { kQueued, kRunning, kDone, kFailed };

struct JobStatus {
  bool known = false;
  // False: the table service did not answer.
  bool available = true;
  JobState state = JobState::kQueued;
  AccountId account;
  // For kDone and kFailed.
  StoredAnswer answer;
};

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

class JobLedger {
 public:
  // `durable` is false if the job is not stored; it is then certainly not run.
  using AcceptCallback = std::function<void(bool durable)>;
  using StatusCallback = std::function<void(const JobStatus&)>;
  using ClaimCallback = std::function<void(const JobClaim&)>;
  using LostCallback = std::function<void(const JobId&)>;

  JobLedger(JobLedgerOptions options,
            TableCalls& table,
            ObjectCalls& objects,
            const Clock& clock,
            Random& random,
            EventLog& log);

  // Stores the body, then the row.
  void Accept(const JobRequest& request, AcceptCallback callback);
  void Status(const JobId& job, StatusCallback callback);

  // `on_claim` is called for each job that this instance has claimed, new ones
  // and those whose lease has run out unrenewed elsewhere. `on_lost` is called
  // when the lease of a claimed job was lost; its run must be cancelled.
  void SetHandlers(ClaimCallback on_claim, LostCallback on_lost);

  // Stores the answer and the charge in one transaction, conditional on the
  // fence. Retries while the lease holds.
  void Finish(const JobId& job,
              JobState state,
              const StoredAnswer& answer,
              const std::optional<Charge>& charge);

  // Scans for work, renews leases. With `take_new` false it only renews.
  void Tick(TimePoint now, bool take_new);
  std::size_t running() const;
};

}  // namespace filbertshift

#endif  // SRC_LEDGER_JOB_LEDGER_H_
