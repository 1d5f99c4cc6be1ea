// Rows and objects of jobs in the table service and the object store.

#ifndef SRC_LEDGER_JOB_ROWS_H_
#define SRC_LEDGER_JOB_ROWS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/ledger/charge.h"
#include "src/ledger/stored_answer.h"
#include "src/ports/ports.h"

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

// The value of the row of a job.
struct JobRow {
  JobId job;
  JobState state = JobState::kQueued;
  AccountId account;
  std::string quality_class;
  std::string owner;
  std::uint64_t fence = 0;
  // Random token of the claim; tells a claim from all others even if its write
  // was confirmed late.
  std::string claim;
  // Number of the renewal that wrote the row.
  std::uint64_t renewal = 0;
  // Calendar time; only shown to operators.
  std::chrono::milliseconds lease_until{0};
  // For finished jobs. The body is in the object `result`.
  StoredAnswer answer;
  std::string result;
  std::optional<Charge> charge;
};

std::string JobKey(const JobId& job);
std::string RequestObject(const JobId& job);
// Each claim has its own object, so that a late writer cannot replace the
// result of the claim that finishes the job.
std::string ResultObject(const JobId& job, std::uint64_t fence);

std::string JobRowToJson(const JobRow& row);
// Throws std::invalid_argument for text that is not a job row.
JobRow JobRowFromJson(const std::string& text);

// Bodies of any bytes are kept unchanged.
std::string JobRequestToBytes(const JobRequest& request);
// Throws std::invalid_argument for bytes that are not a request.
JobRequest JobRequestFromBytes(const std::string& bytes);

// The row in the reply of a read; a default row if there is none or it is not
// valid, which matches no claim.
JobRow FindJobRow(const TableReply& reply);

// Writes the row on condition of its version.
TableTransaction MakeJobTransaction(Random& random,
                                    const JobRow& row,
                                    std::uint64_t expected_version);

}  // namespace filbertshift

#endif  // SRC_LEDGER_JOB_ROWS_H_
