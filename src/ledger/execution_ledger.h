// Execution records: a call with an idempotency key runs at most once, and its
// answer is kept for later tries of the same key on any instance.

#ifndef SRC_LEDGER_EXECUTION_LEDGER_H_
#define SRC_LEDGER_EXECUTION_LEDGER_H_

#include <functional>
#include <optional>
#include <string>

#include "src/ledger/charge.h"
#include "src/ledger/table_calls.h"

namespace filbertshift {

struct ExecutionKey {
  AccountId account;
  std::string idempotency_key;
};

// An answer as the caller got it.
struct StoredAnswer {
  int http_status = 0;
  std::string content_type;
  std::string body;
};

// Names the right of this try to send the call. Invariant: there is at most one
// ticket for a key for which a call may be sent, over all instances.
struct ExecutionTicket {
  ExecutionKey key;
  std::string owner_token;
  std::uint64_t row_version = 0;
};

enum class BeginStatus {
  // The record is durable; the holder of the ticket may send the call.
  kOwned,
  // The call was done before; `answer` is its answer.
  kReplay,
  // Another try has the record and its result is not known.
  kInProgress,
  // The key was used with another request.
  kKeyReused,
  // The table service did not confirm the record; the call must not be sent.
  kUnavailable,
};

struct BeginResult {
  BeginStatus status = BeginStatus::kUnavailable;
  ExecutionTicket ticket;
  StoredAnswer answer;
};

class ExecutionLedger {
 public:
  using BeginCallback = std::function<void(const BeginResult&)>;
  // False if the result could not be stored yet; storing goes on.
  using CompleteCallback = std::function<void(bool stored)>;

  ExecutionLedger(TableCalls& table,
                  const Clock& clock,
                  Random& random,
                  EventLog& log);

  void Begin(const ExecutionKey& key,
             const std::string& request_hash,
             const RequestId& request,
             BeginCallback callback);

  // For repeatable requests: reads the record without reserving it. kOwned and
  // kUnavailable come with a ticket of row version 0, with which Complete
  // stores the first answer and its charge, if no other try has stored one
  // before.
  void Lookup(const ExecutionKey& key,
              const std::string& request_hash,
              BeginCallback callback);

  // Stores the answer and the charge in one transaction. Retries until the
  // table service confirms; the callback comes after the first result.
  void Complete(const ExecutionTicket& ticket,
                const StoredAnswer& answer,
                const std::optional<Charge>& charge,
                CompleteCallback callback);

  // Gives the key free after a call that was certainly not run. Retries.
  void Release(const ExecutionTicket& ticket);

  // Repeats unconfirmed writes.
  void Tick(TimePoint now);

  // Writes that the table service has not confirmed; zero before a shutdown
  // may end.
  std::size_t unconfirmed() const;
};

}  // namespace filbertshift

#endif  // SRC_LEDGER_EXECUTION_LEDGER_H_
