// Encoding and keys of job rows in the table service and of job objects in the
// object store.

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

// The request of a job, complete enough to run it on any instance.
struct JobRequest {
  JobId job;
  AccountId account;
  std::string quality_class;
  std::vector<HttpHeader> headers;
  std::string target;
  std::string body;
};

enum class JobState { kQueued, kRunning, kDone, kFailed };

// The value of a job row.
struct JobRow {
  JobId job;
  JobState state = JobState::kQueued;
  AccountId account;
  std::string quality_class;
  std::string owner;
  std::uint64_t fence = 0;
  // Random token that identifies the claim even if its write is confirmed late.
  std::string claim;
  // Sequence number of the renewal that wrote the row.
  std::uint64_t renewal = 0;
  // Wall-clock time since the epoch; only for display to operators.
  std::chrono::milliseconds lease_until{0};
  // For finished jobs. The body is stored in the object `result`.
  StoredAnswer answer;
  std::string result;
  std::optional<Charge> charge;
};

std::string JobKey(const JobId& job);
std::string RequestObject(const JobId& job);
// Each claim has its own object, so that a delayed write of an older claim
// cannot replace the result of the claim that finishes the job.
std::string ResultObject(const JobId& job, std::uint64_t fence);

std::string JobRowToJson(const JobRow& row);
// Throws std::invalid_argument if the text is not a valid job row.
JobRow JobRowFromJson(const std::string& text);

// Encodes the request as MessagePack, which preserves arbitrary body bytes.
std::string JobRequestToBytes(const JobRequest& request);
// Throws std::invalid_argument if the bytes are not a valid request.
JobRequest JobRequestFromBytes(const std::string& bytes);

// Returns the row in the reply of a read, or a default row, which matches no
// claim, if there is none or it is invalid.
JobRow FindJobRow(const TableReply& reply);

// Builds a transaction that writes the row if it has `expected_version`.
TableTransaction MakeJobTransaction(Random& random,
                                    const JobRow& row,
                                    std::uint64_t expected_version);

}  // namespace filbertshift

#endif  // SRC_LEDGER_JOB_ROWS_H_
