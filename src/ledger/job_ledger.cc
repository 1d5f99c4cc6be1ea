#include "src/ledger/job_ledger.h"

#include <stdexcept>
#include <utility>

#include "src/ledger/row_key.h"

namespace filbertshift {
namespace {

constexpr std::chrono::milliseconds kRetryDelay{300};
// Rows in one page of a scan.
constexpr int kScanPage = 100;
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
      MakeJobTransaction(random_, row, 0),
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

void JobLedger::Tick(TimePoint now, bool take_new) {
  for (auto& [id, accepting] : accepting_) {
    if (!accepting.in_flight && accepting.next_try <= now) {
      SubmitAccept(id);
    }
  }
  holder_.Tick(now);
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
          holder_.size() + claiming_ < options_.max_running) {
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
  --claiming_;
  if (reply.outcome == TableOutcome::kOk) {
    holder_.Add(row, row_version, sent);
  }
}

// A claim that takes effect after this read is not renewed, so that it runs
// out like that of a lost instance.
void JobLedger::ReadClaim(const JobRow& row, TimePoint sent) {
  table_.Get({JobKey(row.job)}, [this, row, sent](const TableReply& reply) {
    --claiming_;
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
