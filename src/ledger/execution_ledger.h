// Execution records: a call with an idempotency key runs at most once, and its
// answer is stored for repeats of the request on any instance.

#ifndef SRC_LEDGER_EXECUTION_LEDGER_H_
#define SRC_LEDGER_EXECUTION_LEDGER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "src/ledger/charge.h"
#include "src/ledger/stored_answer.h"
#include "src/ledger/table_calls.h"

namespace filbertshift {

struct ExecutionKey {
  AccountId account;
  std::string idempotency_key;
};

// Permits one attempt to send the call of a key. Invariant: over all instances,
// at most one ticket of a key permits a send.
struct ExecutionTicket {
  ExecutionKey key;
  std::string owner_token;
  // True if the record is durable, so that a non-repeatable call may be sent.
  bool reserved = false;
  // Row version on which the next write of the record is conditional.
  std::uint64_t row_version = 0;
  std::string request_hash;
  RequestId request;
};

enum class BeginStatus {
  // The record is durable; the owner of the ticket may send the call.
  kOwned,
  // The call was completed earlier; `answer` is its stored answer.
  kReplay,
  // The call was completed earlier, but its answer is currently unreadable.
  kReplayUnavailable,
  // Another attempt owns the record and its result is not known yet.
  kInProgress,
  // The key was already used with a different request.
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
  // `stored` is false if the result is not stored yet; the write is retried,
  // and copies of it were sent to the peers.
  using CompleteCallback = std::function<void(bool stored)>;

  // All references must outlive the ledger, and the ledger must outlive the
  // last reply that `table` and `objects` deliver.
  ExecutionLedger(TableCalls& table,
                  ObjectCalls& objects,
                  PeerPort& peers,
                  const Clock& clock,
                  Random& random,
                  EventLog& log);

  // Does not wait for a call in progress; the caller must ask again. If the
  // outcome of writing the record stays unknown, the result is kUnavailable and
  // the record is released in the background.
  void Begin(const ExecutionKey& key,
             const std::string& request_hash,
             const RequestId& request,
             BeginCallback callback);

  // For repeatable requests: reads the record without reserving the key. With
  // kOwned and kUnavailable the ticket is unreserved; Complete then stores the
  // answer and its charge unless another attempt has already stored one.
  void Lookup(const ExecutionKey& key,
              const std::string& request_hash,
              const RequestId& request,
              BeginCallback callback);

  // Stores the answer and the charge in one transaction. Retries until the
  // table service confirms it. Calls back when the first attempt has succeeded
  // or, after it has failed, when two peers (or all reachable ones if there are
  // fewer) have confirmed a copy, when a later attempt succeeds, or after the
  // replica timeout of 1 s. A body that does not fit into a row is stored in
  // the object store before the row is written.
  void Complete(const ExecutionTicket& ticket,
                const StoredAnswer& answer,
                const std::optional<Charge>& charge,
                CompleteCallback callback);

  // Releases the key after a call that was definitely not run. Retries until
  // the table service confirms it.
  void Release(const ExecutionTicket& ticket);

  // Keeps copies of completions that other instances could not store yet. They
  // are written here when the takeover delay has passed since the stream to
  // their owner was lost. The owner token makes writes by the owner and by
  // several peers equivalent.
  void OnPeerMessage(const InstanceId& from,
                     const PeerExecutionReplica& message);
  void OnPeerMessage(const InstanceId& from,
                     const PeerExecutionReplicaAck& message);
  void OnPeerUp(const InstanceId& peer);
  void OnPeerDown(const InstanceId& peer);

  // Retries unconfirmed writes and takes over those of lost peers.
  void Tick(TimePoint now);

  // Writes that the table service has not confirmed, with those of lost peers
  // that are due; a shutdown waits until there are none.
  std::size_t unconfirmed_writes() const;

 private:
  // A Begin or Lookup whose callback is outstanding.
  struct Reservation {
    ExecutionTicket ticket;
    // Row version on which the write of the record is conditional.
    std::uint64_t expected_version = 0;
    int writes = 0;
    BeginCallback callback;
  };

  // A write that is retried until its outcome is known.
  struct PendingWrite {
    // True for a Complete, false for a release.
    bool is_completion = false;
    ExecutionTicket ticket;
    // Row version on which the next write is conditional.
    std::uint64_t expected_version = 0;
    // The new value of the row.
    std::string value;
    // Object to store before the row; empty if none or already stored.
    std::string object;
    std::string object_bytes;
    CompleteCallback callback;
    // True if a copy was sent to the peers.
    bool replicated_to_peers = false;
    // Invariant: only reachable peers.
    std::set<InstanceId> confirmed_by;
    // The callback runs then even without confirmed copies.
    TimePoint callback_deadline;
    TimePoint next_copy;
    std::chrono::milliseconds copy_interval{0};
    bool in_flight = false;
    TimePoint next_attempt;
    std::chrono::milliseconds retry_delay{0};
  };

  ExecutionTicket MakeTicket(const ExecutionKey& key,
                             const std::string& request_hash,
                             const RequestId& request);
  void OnLookedUp(std::uint64_t id, const TableReply& reply);
  struct Replica {
    InstanceId owner;
    PeerExecutionReplica message;
    // Unset until the stream to the owner has been lost.
    std::optional<TimePoint> takeover_at;
  };

  PeerExecutionReplica MakeReplica(std::uint64_t id) const;
  // Sends copies to the peers, so that the charge survives the loss of this
  // instance once the caller has its answer.
  void Replicate(std::uint64_t id);
  void TickReplication(TimePoint now);
  // Whether enough peers have confirmed a copy.
  bool IsReplicated(const PendingWrite& write) const;
  void CallBackIfReplicated(std::uint64_t id);
  void CallBackUnstored(std::uint64_t id);
  void TakeOver(const PeerExecutionReplica& message);
  void WriteReservation(std::uint64_t id);
  void OnReservationWritten(std::uint64_t id, const TableReply& reply);
  void ReadRecord(std::uint64_t id, bool may_be_applied);
  void OnRecordRead(std::uint64_t id,
                    bool may_be_applied,
                    const TableReply& reply);
  void HandleExistingRecord(std::uint64_t id, const TableRow& row);
  void Replay(std::uint64_t id, const EncodedAnswer& answer);
  void FinishReservation(std::uint64_t id, BeginResult result);
  void FinishOwned(std::uint64_t id, std::uint64_t row_version);
  void FinishUnavailable(std::uint64_t id, bool may_be_applied);

  void ReleaseAt(const ExecutionTicket& ticket, std::uint64_t expected_version);
  std::uint64_t AddPending(PendingWrite write);
  void SubmitPending(std::uint64_t id);
  void PutObject(std::uint64_t id);
  void OnPendingWritten(std::uint64_t id, const TableReply& reply);
  void ReadBack(std::uint64_t id);
  void OnReadBack(std::uint64_t id, const TableReply& reply);
  // Schedules the next attempt; replicates the write if its callback is still
  // outstanding.
  void RetryLater(std::uint64_t id);
  void FinishPending(std::uint64_t id, bool stored);

  TableCalls& table_;
  ObjectCalls& objects_;
  PeerPort& peers_;
  const Clock& clock_;
  Random& random_;
  EventLog& log_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, Reservation> reservations_;
  std::map<std::uint64_t, PendingWrite> pending_writes_;
  // By owner token. Invariant: at most kMaxReplicas entries.
  std::map<std::string, Replica> replicas_;
  // Owner tokens of writes in `pending_writes_` that were taken over.
  std::set<std::string> taken_over_;
  std::set<InstanceId> reachable_peers_;
};

}  // namespace filbertshift

#endif  // SRC_LEDGER_EXECUTION_LEDGER_H_
