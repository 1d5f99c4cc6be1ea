#include "src/ledger/job_ledger.h"

#include <stdexcept>
#include <utility>

#include "src/ledger/row_key.h"

namespace filbertshift {
namespace {

constexpr std::chrono::milliseconds kRetryDelay{300};
// Rows in one page of a scan.
constexpr int kScanPage = 100;
// The holder of a lease stops this share of it early, for clocks that run at
// different speeds.
constexpr int kLeaseMarginDivisor = 10;
// Renewals in one lease, so that two may fail.
constexpr int kRenewalsInLease = 3;

TableTransaction MakeTransaction(Random& random,
                                 const JobRow& row,
                                 std::uint64_t expected_version) {
  TableTransaction transaction;
  transaction.token = RandomToken(random);
  TableWrite write;
  write.key = JobKey(row.job);
  write.expected_version = expected_version;
  write.value = JobRowToJson(row);
  transaction.writes.push_back(std::move(write));
  return transaction;
}

// The row in the reply of a read; a default row if there is none or it is not
// valid, which matches no claim.
JobRow ReadRow(const TableReply& reply) {
  try {
    return reply.rows.empty() ? JobRow()
                              : JobRowFromJson(reply.rows.front().value);
  } catch (const std::invalid_argument&) {
    return JobRow();
  }
}

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
      next_scan_(clock.Now()) {}

void JobLedger::SetHandlers(ClaimCallback on_claim, LostCallback on_lost) {
  on_claim_ = std::move(on_claim);
  on_lost_ = std::move(on_lost);
}

void JobLedger::Accept(const JobRequest& request, AcceptCallback callback) {
  const std::uint64_t id = next_id_++;
  Accepting& accepting = accepting_[id];
  accepting.request = request;
  accepting.callback = std::move(callback);
  accepting.in_flight = true;
  objects_.Put(RequestObject(request.job), JobRequestToBytes(request),
               [this, id](const ObjectReply& reply) {
                 if (reply.outcome == ObjectOutcome::kOk) {
                   SubmitAccept(id);
                 } else {
                   EndAccept(id, false);
                 }
               });
}

void JobLedger::SubmitAccept(std::uint64_t id) {
  Accepting& accepting = accepting_.at(id);
  accepting.in_flight = true;
  JobRow row;
  row.job = accepting.request.job;
  row.account = accepting.request.account;
  row.quality_class = accepting.request.quality_class;
  table_.Submit(
      MakeTransaction(random_, row, 0),
      [this, id](const TableReply& reply) { OnAcceptWritten(id, reply); });
}

void JobLedger::OnAcceptWritten(std::uint64_t id, const TableReply& reply) {
  Accepting& accepting = accepting_.at(id);
  switch (reply.outcome) {
    case TableOutcome::kOk:
    case TableOutcome::kConflict:
      // A conflict shows the row of an earlier try: job ids are unique.
      EndAccept(id, true);
      return;
    case TableOutcome::kNotApplied:
      if (!accepting.may_be_written) {
        EndAccept(id, false);
        return;
      }
      break;
    case TableOutcome::kUnknown:
      accepting.may_be_written = true;
      break;
  }
  accepting.in_flight = false;
  accepting.next_try = clock_.Now() + kRetryDelay;
}

void JobLedger::EndAccept(std::uint64_t id, bool durable) {
  auto found = accepting_.find(id);
  const Accepting accepting = std::move(found->second);
  accepting_.erase(found);
  if (durable) {
    log_.Write(EventId::kJobAccepted, accepting.request.job.value());
  }
  accepting.callback(durable);
}

void JobLedger::Status(const JobId& job, StatusCallback callback) {
  table_.Get({JobKey(job)}, [this, callback](const TableReply& reply) {
    JobStatus status;
    status.available = reply.outcome == TableOutcome::kOk;
    const JobRow row = ReadRow(reply);
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

void JobLedger::Tick(TimePoint now, bool take_new) {
  for (auto& [id, accepting] : accepting_) {
    if (!accepting.in_flight && accepting.next_try <= now) {
      SubmitAccept(id);
    }
  }
  TickClaimed(now);
  if (take_new && !scanning_ && next_scan_ <= now) {
    Scan();
  }
}

void JobLedger::Scan() {
  scanning_ = true;
  table_.Query("job/", scan_after_, kScanPage,
               [this](const TableReply& reply) { OnScanned(reply); });
}

void JobLedger::OnScanned(const TableReply& reply) {
  scanning_ = false;
  // The next page follows at the next tick, the next pass after the interval.
  scan_after_ = reply.more && !reply.rows.empty() ? reply.rows.back().key : "";
  next_scan_ =
      clock_.Now() + (scan_after_.empty() ? options_.scan_interval
                                          : std::chrono::milliseconds(0));
  // A random start keeps instances from competing for the same jobs.
  const std::size_t count = reply.rows.size();
  const std::size_t start = count == 0 ? 0 : random_.Next() % count;
  for (std::size_t i = 0; i < count; ++i) {
    const TableRow& row = reply.rows[(start + i) % count];
    try {
      const JobRow job = JobRowFromJson(row.value);
      if (IsClaimable(row, job) &&
          claimed_.size() + claiming_ < options_.max_running) {
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
  if (job.state != JobState::kRunning || claimed_.count(job.job) > 0) {
    observed_.erase(job.job);
    return false;
  }
  Observation& observation = observed_[job.job];
  if (observation.row_version != row.version) {
    observation = {row.version, clock_.Now()};
    return false;
  }
  return clock_.Now() - observation.first_seen >= options_.lease;
}

void JobLedger::Claim(const TableRow& row, JobRow job) {
  ++claiming_;
  observed_.erase(job.job);
  const TimePoint sent = clock_.Now();
  job.state = JobState::kRunning;
  job.owner = options_.owner;
  ++job.fence;
  job.claim = RandomToken(random_);
  job.renewal = 0;
  job.lease_until = std::chrono::duration_cast<std::chrono::milliseconds>(
      (clock_.WallNow() + options_.lease).time_since_epoch());
  const std::uint64_t version = row.version;
  table_.Submit(MakeTransaction(random_, job, version),
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
  --claiming_;
  if (reply.outcome == TableOutcome::kOk) {
    AddClaim(row, row_version, sent);
  }
}

// A claim that takes effect after this read is not renewed, so that it runs
// out like that of a lost instance.
void JobLedger::ReadClaim(const JobRow& row, TimePoint sent) {
  table_.Get({JobKey(row.job)}, [this, row, sent](const TableReply& reply) {
    --claiming_;
    if (reply.outcome == TableOutcome::kOk &&
        ReadRow(reply).claim == row.claim) {
      AddClaim(row, reply.rows.front().version, sent);
    }
  });
}

void JobLedger::AddClaim(const JobRow& row,
                         std::uint64_t row_version,
                         TimePoint sent) {
  Claimed& claimed = claimed_[row.job];
  claimed.row = row;
  claimed.row_version = row_version;
  claimed.claim.request.job = row.job;
  claimed.claim.fence = row.fence;
  claimed.claim.lease_until =
      sent + options_.lease - options_.lease / kLeaseMarginDivisor;
  claimed.renew_at = sent + options_.lease / kRenewalsInLease;
  log_.Write(EventId::kJobClaimed,
             row.job.value() + " fence " + std::to_string(row.fence));
  if (clock_.Now() >= claimed.claim.lease_until) {
    Lose(row.job);
    return;
  }
  LoadRequest(row.job);
}

void JobLedger::LoadRequest(const JobId& job) {
  Claimed& claimed = claimed_.at(job);
  claimed.in_flight = true;
  const std::string claim = claimed.row.claim;
  objects_.Get(RequestObject(job), [this, job,
                                    claim](const ObjectReply& reply) {
    Claimed* found = FindClaimed(job, claim);
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

void JobLedger::Finish(const JobId& job,
                       JobState state,
                       const StoredAnswer& answer,
                       const Charge& charge) {
  auto found = claimed_.find(job);
  if (found == claimed_.end()) {
    return;
  }
  Claimed& claimed = found->second;
  claimed.finishing = true;
  claimed.result_object = ResultObject(job, claimed.claim.fence);
  claimed.result_body = answer.body;
  claimed.finished_row = claimed.row;
  claimed.finished_row.state = state;
  claimed.finished_row.answer = answer;
  claimed.finished_row.answer.body.clear();
  claimed.finished_row.result = claimed.result_object;
  if (!charge.id.empty()) {
    claimed.finished_row.charge = charge;
  }
  if (!claimed.in_flight) {
    PutResult(job);
  }
}

void JobLedger::TickClaimed(TimePoint now) {
  std::vector<JobId> jobs;
  for (const auto& [job, claimed] : claimed_) {
    jobs.push_back(job);
  }
  for (const JobId& job : jobs) {
    Claimed& claimed = claimed_.at(job);
    if (now >= claimed.claim.lease_until) {
      Lose(job);
    } else if (claimed.in_flight || claimed.next_try > now) {
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

void JobLedger::PutResult(const JobId& job) {
  Claimed& claimed = claimed_.at(job);
  if (claimed.result_object.empty()) {
    WriteClaimed(job, claimed.finished_row);
    return;
  }
  claimed.in_flight = true;
  const std::string claim = claimed.row.claim;
  objects_.Put(claimed.result_object, claimed.result_body,
               [this, job, claim](const ObjectReply& reply) {
                 Claimed* found = FindClaimed(job, claim);
                 if (found == nullptr) {
                   return;
                 }
                 found->in_flight = false;
                 if (reply.outcome != ObjectOutcome::kOk) {
                   RetryLater(job);
                   return;
                 }
                 found->result_object.clear();
                 WriteClaimed(job, found->finished_row);
               });
}

void JobLedger::Renew(const JobId& job) {
  Claimed& claimed = claimed_.at(job);
  ++claimed.row.renewal;
  claimed.row.lease_until =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          (clock_.WallNow() + options_.lease).time_since_epoch());
  WriteClaimed(job, claimed.row);
}

void JobLedger::WriteClaimed(const JobId& job, const JobRow& row) {
  Claimed& claimed = claimed_.at(job);
  claimed.in_flight = true;
  const TimePoint sent = clock_.Now();
  table_.Submit(MakeTransaction(random_, row, claimed.row_version),
                [this, job, row, sent](const TableReply& reply) {
                  OnClaimedWritten(job, row, sent, reply);
                });
}

void JobLedger::OnClaimedWritten(const JobId& job,
                                 const JobRow& row,
                                 TimePoint sent,
                                 const TableReply& reply) {
  Claimed* claimed = FindClaimed(job, row.claim);
  if (claimed == nullptr) {
    return;
  }
  switch (reply.outcome) {
    case TableOutcome::kOk:
      Confirm(job, row, claimed->row_version + 1, sent);
      return;
    case TableOutcome::kNotApplied:
      RetryLater(job);
      return;
    case TableOutcome::kConflict:
    case TableOutcome::kUnknown:
      ReadClaimed(job, row, sent);
      return;
  }
}

void JobLedger::ReadClaimed(const JobId& job,
                            const JobRow& written,
                            TimePoint sent) {
  table_.Get({JobKey(job)},
             [this, job, written, sent](const TableReply& reply) {
               OnClaimedRead(job, written, sent, reply);
             });
}

void JobLedger::OnClaimedRead(const JobId& job,
                              const JobRow& written,
                              TimePoint sent,
                              const TableReply& reply) {
  Claimed* claimed = FindClaimed(job, written.claim);
  if (claimed == nullptr) {
    return;
  }
  if (reply.outcome != TableOutcome::kOk) {
    RetryLater(job);
    return;
  }
  const JobRow stored = ReadRow(reply);
  if (stored.claim != written.claim) {
    Lose(job);
    return;
  }
  const std::uint64_t version = reply.rows.front().version;
  // A finish whose reply was lost has taken effect; a renewal after it would
  // open the job again.
  if (stored.state != JobState::kRunning) {
    Confirm(job, stored, version, sent);
    return;
  }
  // An earlier renewal may have taken effect late; only this one's number
  // proves that the lease counts from when this one was sent.
  if (stored.state == written.state && stored.renewal == written.renewal) {
    Confirm(job, written, version, sent);
    return;
  }
  claimed->row_version = version;
  RetryLater(job);
}

void JobLedger::Confirm(const JobId& job,
                        const JobRow& written,
                        std::uint64_t row_version,
                        TimePoint sent) {
  Claimed& claimed = claimed_.at(job);
  if (written.state != JobState::kRunning) {
    log_.Write(EventId::kJobFinished,
               job.value() + " fence " + std::to_string(written.fence));
    claimed_.erase(job);
    return;
  }
  claimed.in_flight = false;
  claimed.row_version = row_version;
  claimed.claim.lease_until =
      sent + options_.lease - options_.lease / kLeaseMarginDivisor;
  claimed.renew_at = sent + options_.lease / kRenewalsInLease;
  if (claimed.finishing) {
    PutResult(job);
  }
}

void JobLedger::RetryLater(const JobId& job) {
  Claimed& claimed = claimed_.at(job);
  claimed.in_flight = false;
  claimed.next_try = clock_.Now() + kRetryDelay;
}

void JobLedger::Lose(const JobId& job) {
  const bool started = claimed_.at(job).started;
  claimed_.erase(job);
  if (started && on_lost_) {
    on_lost_(job);
  }
}

JobLedger::Claimed* JobLedger::FindClaimed(const JobId& job,
                                           const std::string& claim) {
  auto found = claimed_.find(job);
  return found == claimed_.end() || found->second.row.claim != claim
             ? nullptr
             : &found->second;
}

}  // namespace filbertshift
