// Execution records: a call with an idempotency key runs at most once, and its
// answer is kept for later tries of the same key on any instance.

#ifndef SRC_LEDGER_EXECUTION_LEDGER_H_
#define SRC_LEDGER_EXECUTION_LEDGER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "src/ledger/charge.h"
#include "src/ledger/stored_answer.h"
#include "src/ledger/table_calls.h"

namespace filbertshift {

struct ExecutionKey {
  AccountId account;
  std::string idempotency_key;
};

// Names the right of this try to send the call. Invariant: there is at most one
// ticket for a key for which a call may be sent, over all instances.
struct ExecutionTicket {
  ExecutionKey key;
  std::string owner_token;
  // True if the record is durable, so that a call which may not be repeated may
  // be sent.
  bool reserved = false;
  // Version of the record on which the next write is conditional.
  std::uint64_t row_version = 0;
  std::string request_hash;
  RequestId request;
};

enum class BeginStatus {
  // The record is durable; the holder of the ticket may send the call.
  kOwned,
  // The call was done before; `answer` is its answer.
  kReplay,
  // The call was done before, but its answer cannot be read at present.
  kReplayUnavailable,
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

  // All references must outlive the ledger, and the ledger must outlive the
  // last reply that `table` and `objects` deliver.
  ExecutionLedger(TableCalls& table,
                  ObjectCalls& objects,
                  PeerPort& peers,
                  const Clock& clock,
                  Random& random,
                  EventLog& log);

  // Does not wait for a record in progress; the caller asks again. A write of
  // the record whose outcome stays unknown gives kUnavailable and is released
  // in the background.
  void Begin(const ExecutionKey& key,
             const std::string& request_hash,
             const RequestId& request,
             BeginCallback callback);

  // For repeatable requests: reads the record without reserving it. kOwned and
  // kUnavailable come with an unreserved ticket, with which Complete stores the
  // answer and its charge unless another try has stored one before.
  void Lookup(const ExecutionKey& key,
              const std::string& request_hash,
              const RequestId& request,
              BeginCallback callback);

  // Stores the answer and the charge in one transaction. Retries until the
  // table service confirms; the callback comes after the first result. A body
  // that does not fit into a row goes to the object store before the row is
  // written.
  void Complete(const ExecutionTicket& ticket,
                const StoredAnswer& answer,
                const std::optional<Charge>& charge,
                CompleteCallback callback);

  // Gives the key free after a call that was certainly not run. Retries.
  void Release(const ExecutionTicket& ticket);

  // Copies of completions that other instances could not store yet. They are
  // written here when the stream to their owner has been down for a while; the
  // owner token makes the write of the owner and of several peers the same.
  void OnPeerMessage(const InstanceId& from,
                     const PeerExecutionReplica& message);
  void OnPeerUp(const InstanceId& peer);
  void OnPeerDown(const InstanceId& peer);

  // Repeats unconfirmed writes and takes over those of lost peers.
  void Tick(TimePoint now);

  // Writes that the table service has not confirmed; zero before a shutdown
  // may end.
  std::size_t unconfirmed() const { return pending_.size(); }

 private:
  // A Begin that has not called back.
  struct Reservation {
    ExecutionTicket ticket;
    // Version of the row on which the write of the record is conditional.
    std::uint64_t expected_version = 0;
    int writes = 0;
    BeginCallback callback;
  };

  // A write that is repeated until its outcome is known.
  struct PendingWrite {
    bool complete = false;
    ExecutionTicket ticket;
    // Version of the row on which the next write is conditional.
    std::uint64_t expected_version = 0;
    // The new value of the row.
    std::string value;
    // Object to store before the row; empty if there is none or it is stored.
    std::string object;
    std::string object_bytes;
    CompleteCallback callback;
    // Peers have a copy.
    bool replicated = false;
    bool in_flight = false;
    TimePoint next_try;
    std::chrono::milliseconds delay{0};
  };

  ExecutionTicket NewTicket(const ExecutionKey& key,
                            const std::string& request_hash,
                            const RequestId& request);
  void OnLookedUp(std::uint64_t id, const TableReply& reply);
  struct Replica {
    InstanceId owner;
    PeerExecutionReplica message;
    // Not set while the stream to the owner is up.
    std::optional<TimePoint> take_over_at;
  };

  PeerExecutionReplica MakeReplica(const PendingWrite& write) const;
  void TakeOver(const PeerExecutionReplica& message);
  void WriteReservation(std::uint64_t id);
  void OnReservationWritten(std::uint64_t id, const TableReply& reply);
  void ReadRecord(std::uint64_t id, bool may_be_written);
  void OnRecordRead(std::uint64_t id,
                    bool may_be_written,
                    const TableReply& reply);
  void JudgeRecord(std::uint64_t id, const TableRow& row);
  void Replay(std::uint64_t id, const EncodedAnswer& answer);
  void EndReservation(std::uint64_t id, BeginResult result);
  void EndOwned(std::uint64_t id, std::uint64_t row_version);
  void EndUnavailable(std::uint64_t id, bool may_be_written);

  void ReleaseAt(const ExecutionTicket& ticket, std::uint64_t expected_version);
  std::uint64_t AddPending(PendingWrite write);
  void Step(std::uint64_t id);
  void PutObject(std::uint64_t id);
  void OnWritten(std::uint64_t id, const TableReply& reply);
  void ReadBack(std::uint64_t id);
  void OnReadBack(std::uint64_t id, const TableReply& reply);
  // Calls back with `false` if nothing was reported yet, and tries again later.
  void RetryLater(std::uint64_t id);
  void EndPending(std::uint64_t id, bool stored);

  TableCalls& table_;
  ObjectCalls& objects_;
  PeerPort& peers_;
  const Clock& clock_;
  Random& random_;
  EventLog& log_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, Reservation> reservations_;
  std::map<std::uint64_t, PendingWrite> pending_;
  // Invariant: at most kMaxReplicas entries, by owner token.
  std::map<std::string, Replica> replicas_;
};

}  // namespace filbertshift

#endif  // SRC_LEDGER_EXECUTION_LEDGER_H_
