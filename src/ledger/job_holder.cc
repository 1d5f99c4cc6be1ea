#include "src/ledger/job_holder.h"

#include <stdexcept>
#include <utility>

namespace filbertshift {
namespace {

constexpr std::chrono::milliseconds kRetryDelay{300};
// The holder gives up a lease this fraction early, to allow for clock drift
// between instances.
constexpr int kLeaseMarginDivisor = 10;
// Renewals per lease duration, so that two of them may fail.
constexpr int kRenewalsPerLease = 3;

}  // namespace

JobHolder::JobHolder(const JobLedgerOptions& options,
                     TableCalls& table,
                     ObjectCalls& objects,
                     const Clock& clock,
                     Random& random,
                     EventLog& log)
    : options_(options),
      table_(table),
      objects_(objects),
      clock_(clock),
      random_(random),
      log_(log) {}

void JobHolder::SetHandlers(ClaimCallback on_claim, LostCallback on_lost) {
  on_claim_ = std::move(on_claim);
  on_lost_ = std::move(on_lost);
}

void JobHolder::Add(const JobRow& row,
                    std::uint64_t row_version,
                    TimePoint sent) {
  // A new claim of this instance replaces its older one of the same job.
  if (Holds(row.job)) {
    LoseClaim(row.job);
  }
  ClaimedJob& claimed = claimed_jobs_[row.job];
  claimed.row = row;
  claimed.row_version = row_version;
  claimed.claim.request.job = row.job;
  claimed.claim.fence = row.fence;
  claimed.claim.lease_until =
      sent + options_.lease - options_.lease / kLeaseMarginDivisor;
  claimed.renew_at = sent + options_.lease / kRenewalsPerLease;
  log_.Write(EventId::kJobClaimed,
             row.job.value() + " fence " + std::to_string(row.fence));
  if (clock_.Now() >= claimed.claim.lease_until) {
    LoseClaim(row.job);
    return;
  }
  LoadRequest(row.job);
}

void JobHolder::LoadRequest(const JobId& job) {
  ClaimedJob& claimed = claimed_jobs_.at(job);
  claimed.in_flight = true;
  const std::string claim = claimed.row.claim;
  objects_.Get(RequestObject(job), [this, job,
                                    claim](const ObjectReply& reply) {
    ClaimedJob* found = FindClaim(job, claim);
    if (found == nullptr) {
      return;
    }
    found->in_flight = false;
    if (reply.outcome == ObjectOutcome::kUnavailable) {
      RetryLater(job);
      return;
    }
    found->started = true;
    try {
      found->claim.request = JobRequestFromBytes(reply.bytes);
    } catch (const std::invalid_argument&) {
      Finish(job, JobState::kFailed,
             {500, "text/plain", "the stored request is missing or invalid"},
             Charge());
      return;
    }
    on_claim_(found->claim);
  });
}

void JobHolder::Finish(const JobId& job,
                       JobState state,
                       const StoredAnswer& answer,
                       const std::optional<Charge>& charge) {
  auto found = claimed_jobs_.find(job);
  if (found == claimed_jobs_.end()) {
    return;
  }
  ClaimedJob& claimed = found->second;
  claimed.finishing = true;
  claimed.result_object = ResultObject(job, claimed.claim.fence);
  claimed.result_body = answer.body;
  claimed.finished_row = claimed.row;
  claimed.finished_row.state = state;
  claimed.finished_row.answer = answer;
  claimed.finished_row.answer.body.clear();
  claimed.finished_row.result = claimed.result_object;
  claimed.finished_row.charge = charge;
  if (!claimed.in_flight) {
    PutResult(job);
  }
}

void JobHolder::Tick(TimePoint now) {
  std::vector<JobId> jobs;
  for (const auto& [job, claimed] : claimed_jobs_) {
    jobs.push_back(job);
  }
  for (const JobId& job : jobs) {
    ClaimedJob& claimed = claimed_jobs_.at(job);
    if (now >= claimed.claim.lease_until) {
      LoseClaim(job);
    } else if (claimed.in_flight || claimed.next_attempt > now) {
      continue;
    } else if (claimed.renew_at <= now) {
      Renew(job);
    } else if (claimed.finishing) {
      PutResult(job);
    } else if (!claimed.started) {
      LoadRequest(job);
    }
  }
}

void JobHolder::PutResult(const JobId& job) {
  ClaimedJob& claimed = claimed_jobs_.at(job);
  if (claimed.result_object.empty()) {
    WriteRow(job, claimed.finished_row);
    return;
  }
  claimed.in_flight = true;
  const std::string claim = claimed.row.claim;
  objects_.Put(claimed.result_object, claimed.result_body,
               [this, job, claim](const ObjectReply& reply) {
                 ClaimedJob* found = FindClaim(job, claim);
                 if (found == nullptr) {
                   return;
                 }
                 found->in_flight = false;
                 if (reply.outcome != ObjectOutcome::kOk) {
                   RetryLater(job);
                   return;
                 }
                 found->result_object.clear();
                 WriteRow(job, found->finished_row);
               });
}

void JobHolder::Renew(const JobId& job) {
  ClaimedJob& claimed = claimed_jobs_.at(job);
  ++claimed.row.renewal;
  claimed.row.lease_until =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          (clock_.WallNow() + options_.lease).time_since_epoch());
  WriteRow(job, claimed.row);
}

void JobHolder::WriteRow(const JobId& job, const JobRow& row) {
  ClaimedJob& claimed = claimed_jobs_.at(job);
  claimed.in_flight = true;
  const TimePoint sent = clock_.Now();
  table_.Submit(MakeJobTransaction(random_, row, claimed.row_version),
                [this, job, row, sent](const TableReply& reply) {
                  OnRowWritten(job, row, sent, reply);
                });
}

void JobHolder::OnRowWritten(const JobId& job,
                             const JobRow& row,
                             TimePoint sent,
                             const TableReply& reply) {
  ClaimedJob* claimed = FindClaim(job, row.claim);
  if (claimed == nullptr) {
    return;
  }
  switch (reply.outcome) {
    case TableOutcome::kOk:
      ConfirmWrite(job, row, claimed->row_version + 1, sent);
      return;
    case TableOutcome::kNotApplied:
      RetryLater(job);
      return;
    case TableOutcome::kConflict:
    case TableOutcome::kUnknown:
      ReadRow(job, row, sent);
      return;
  }
}

void JobHolder::ReadRow(const JobId& job,
                        const JobRow& written,
                        TimePoint sent) {
  table_.Get({JobKey(job)},
             [this, job, written, sent](const TableReply& reply) {
               OnRowRead(job, written, sent, reply);
             });
}

void JobHolder::OnRowRead(const JobId& job,
                          const JobRow& written,
                          TimePoint sent,
                          const TableReply& reply) {
  ClaimedJob* claimed = FindClaim(job, written.claim);
  if (claimed == nullptr) {
    return;
  }
  if (reply.outcome != TableOutcome::kOk) {
    RetryLater(job);
    return;
  }
  const JobRow stored = FindJobRow(reply);
  if (stored.claim != written.claim) {
    LoseClaim(job);
    return;
  }
  const std::uint64_t version = reply.rows.front().version;
  // A finish whose reply was lost has been applied; a renewal after it would
  // reopen the job.
  if (stored.state != JobState::kRunning) {
    ConfirmWrite(job, stored, version, sent);
    return;
  }
  // An earlier renewal may have been applied late. Only the number of this
  // renewal proves that the lease counts from when it was sent.
  if (stored.state == written.state && stored.renewal == written.renewal) {
    ConfirmWrite(job, written, version, sent);
    return;
  }
  claimed->row_version = version;
  RetryLater(job);
}

void JobHolder::ConfirmWrite(const JobId& job,
                             const JobRow& written,
                             std::uint64_t row_version,
                             TimePoint sent) {
  ClaimedJob& claimed = claimed_jobs_.at(job);
  if (written.state != JobState::kRunning) {
    log_.Write(EventId::kJobFinished,
               job.value() + " fence " + std::to_string(written.fence));
    claimed_jobs_.erase(job);
    return;
  }
  claimed.in_flight = false;
  claimed.row_version = row_version;
  claimed.claim.lease_until =
      sent + options_.lease - options_.lease / kLeaseMarginDivisor;
  claimed.renew_at = sent + options_.lease / kRenewalsPerLease;
  if (claimed.finishing) {
    PutResult(job);
  }
}

void JobHolder::RetryLater(const JobId& job) {
  ClaimedJob& claimed = claimed_jobs_.at(job);
  claimed.in_flight = false;
  claimed.next_attempt = clock_.Now() + kRetryDelay;
}

void JobHolder::LoseClaim(const JobId& job) {
  const bool started = claimed_jobs_.at(job).started;
  claimed_jobs_.erase(job);
  if (started && on_lost_) {
    on_lost_(job);
  }
}

JobHolder::ClaimedJob* JobHolder::FindClaim(const JobId& job,
                                            const std::string& claim) {
  auto found = claimed_jobs_.find(job);
  return found == claimed_jobs_.end() || found->second.row.claim != claim
             ? nullptr
             : &found->second;
}

}  // namespace filbertshift
