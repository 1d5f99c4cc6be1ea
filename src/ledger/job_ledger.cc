#include "src/ledger/job_ledger.h"

#include <stdexcept>
#include <utility>

#include "src/ledger/row_key.h"

namespace filbertshift {
namespace {

constexpr std::chrono::milliseconds kRetryDelay{300};
// Rows per page of a scan.
constexpr int kScanPageRows = 100;
}  // namespace

JobLedger::JobLedger(JobLedgerOptions options,
                     TableCalls& table,
                     ObjectCalls& objects,
                     const Clock& clock,
                     Random& random,
                     EventLog& log)
    : options_(std::move(options)),
      table_(table),
      objects_(objects),
      clock_(clock),
      random_(random),
      log_(log),
      holder_(options_, table, objects, clock, random, log),
      next_scan_(clock.Now()) {}

void JobLedger::SetHandlers(ClaimCallback on_claim, LostCallback on_lost) {
  holder_.SetHandlers(std::move(on_claim), std::move(on_lost));
}

void JobLedger::Accept(const JobRequest& request, AcceptCallback callback) {
  const std::uint64_t id = next_id_++;
  PendingAccept& pending = pending_accepts_[id];
  pending.request = request;
  pending.callback = std::move(callback);
  pending.in_flight = true;
  objects_.Put(RequestObject(request.job), JobRequestToBytes(request),
               [this, id](const ObjectReply& reply) {
                 if (reply.outcome == ObjectOutcome::kOk) {
                   SubmitAccept(id);
                 } else {
                   FinishAccept(id, false);
                 }
               });
}

void JobLedger::SubmitAccept(std::uint64_t id) {
  PendingAccept& pending = pending_accepts_.at(id);
  pending.in_flight = true;
  JobRow row;
  row.job = pending.request.job;
  row.account = pending.request.account;
  row.quality_class = pending.request.quality_class;
  table_.Submit(
      MakeJobTransaction(random_, row, 0),
      [this, id](const TableReply& reply) { OnAcceptWritten(id, reply); });
}

void JobLedger::OnAcceptWritten(std::uint64_t id, const TableReply& reply) {
  PendingAccept& pending = pending_accepts_.at(id);
  switch (reply.outcome) {
    case TableOutcome::kOk:
    case TableOutcome::kConflict:
      // Job ids are unique, so a conflict means that an earlier attempt of this
      // write was applied.
      FinishAccept(id, true);
      return;
    case TableOutcome::kNotApplied:
      if (!pending.may_be_applied) {
        FinishAccept(id, false);
        return;
      }
      break;
    case TableOutcome::kUnknown:
      pending.may_be_applied = true;
      break;
  }
  pending.in_flight = false;
  pending.next_attempt = clock_.Now() + kRetryDelay;
}

void JobLedger::FinishAccept(std::uint64_t id, bool durable) {
  auto found = pending_accepts_.find(id);
  const PendingAccept pending = std::move(found->second);
  pending_accepts_.erase(found);
  if (durable) {
    log_.Write(EventId::kJobAccepted, pending.request.job.value());
  }
  pending.callback(durable);
}

void JobLedger::Status(const JobId& job, StatusCallback callback) {
  table_.Get({JobKey(job)}, [this, callback](const TableReply& reply) {
    JobStatus status;
    status.available = reply.outcome == TableOutcome::kOk;
    const JobRow row = FindJobRow(reply);
    status.known = status.available && !row.job.empty();
    status.state = row.state;
    status.account = row.account;
    status.answer = row.answer;
    if (row.result.empty()) {
      callback(status);
      return;
    }
    objects_.Get(row.result, [status, callback](const ObjectReply& object) {
      JobStatus complete = status;
      complete.available = object.outcome == ObjectOutcome::kOk;
      complete.answer.body = object.bytes;
      callback(complete);
    });
  });
}

void JobLedger::Tick(TimePoint now, bool claim_jobs) {
  for (auto& [id, pending] : pending_accepts_) {
    if (!pending.in_flight && pending.next_attempt <= now) {
      SubmitAccept(id);
    }
  }
  holder_.Tick(now);
  if (claim_jobs && !scanning_ && next_scan_ <= now) {
    Scan();
  }
}

void JobLedger::Scan() {
  scanning_ = true;
  table_.Query("job/", scan_after_, kScanPageRows,
               [this](const TableReply& reply) { OnScanned(reply); });
}

void JobLedger::OnScanned(const TableReply& reply) {
  scanning_ = false;
  // The next page is read at the next tick, the next scan starts after the
  // interval.
  scan_after_ =
      reply.has_more && !reply.rows.empty() ? reply.rows.back().key : "";
  next_scan_ =
      clock_.Now() + (scan_after_.empty() ? options_.scan_interval
                                          : std::chrono::milliseconds(0));
  // A random start index reduces competition of instances for the same jobs.
  const std::size_t count = reply.rows.size();
  const std::size_t start = count == 0 ? 0 : random_.Next() % count;
  for (std::size_t i = 0; i < count; ++i) {
    const TableRow& row = reply.rows[(start + i) % count];
    try {
      const JobRow job = JobRowFromJson(row.value);
      if (IsClaimable(row, job) &&
          holder_.size() + claims_in_flight_ < options_.max_running) {
        Claim(row, job);
      }
    } catch (const std::invalid_argument& error) {
      log_.Write(EventId::kInvariantViolated, row.key + ": " + error.what());
    }
  }
}

bool JobLedger::IsClaimable(const TableRow& row, const JobRow& job) {
  if (job.state == JobState::kQueued) {
    return true;
  }
  if (job.state != JobState::kRunning || holder_.Holds(job.job)) {
    observed_rows_.erase(job.job);
    return false;
  }
  ObservedRow& observed_row = observed_rows_[job.job];
  if (observed_row.row_version != row.version) {
    observed_row = {row.version, clock_.Now()};
    return false;
  }
  return clock_.Now() - observed_row.first_seen >= options_.lease;
}

void JobLedger::Claim(const TableRow& row, JobRow job) {
  ++claims_in_flight_;
  observed_rows_.erase(job.job);
  const TimePoint sent = clock_.Now();
  job.state = JobState::kRunning;
  job.owner = options_.owner;
  ++job.fence;
  job.claim = RandomToken(random_);
  job.renewal = 0;
  job.lease_until = std::chrono::duration_cast<std::chrono::milliseconds>(
      (clock_.WallNow() + options_.lease).time_since_epoch());
  const std::uint64_t version = row.version;
  table_.Submit(MakeJobTransaction(random_, job, version),
                [this, job, version, sent](const TableReply& reply) {
                  OnClaimWritten(job, version + 1, sent, reply);
                });
}

void JobLedger::OnClaimWritten(const JobRow& row,
                               std::uint64_t row_version,
                               TimePoint sent,
                               const TableReply& reply) {
  if (reply.outcome == TableOutcome::kUnknown) {
    ReadClaim(row, sent);
    return;
  }
  --claims_in_flight_;
  if (reply.outcome == TableOutcome::kOk) {
    holder_.Add(row, row_version, sent);
  }
}

// A claim that is applied after this read is never renewed, so its lease
// expires as that of a lost instance does.
void JobLedger::ReadClaim(const JobRow& row, TimePoint sent) {
  table_.Get({JobKey(row.job)}, [this, row, sent](const TableReply& reply) {
    --claims_in_flight_;
    if (reply.outcome == TableOutcome::kOk &&
        FindJobRow(reply).claim == row.claim) {
      holder_.Add(row, reply.rows.front().version, sent);
    }
  });
}

void JobLedger::Finish(const JobId& job,
                       JobState state,
                       const StoredAnswer& answer,
                       const std::optional<Charge>& charge) {
  holder_.Finish(job, state, answer, charge);
}

}  // namespace filbertshift
