// Batches the charges of requests without an idempotency key, replicates them
// to peers and writes each batch as one table row.

#ifndef SRC_LEDGER_CHARGE_LEDGER_H_
#define SRC_LEDGER_CHARGE_LEDGER_H_

#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/ledger/charge.h"
#include "src/ledger/table_calls.h"

namespace filbertshift {

struct ChargeLedgerOptions {
  // Identifies this run of the process in row keys.
  std::string incarnation;
  std::chrono::milliseconds batch_interval{1000};
  // Limit of charges in memory, own and replicated; at the limit Add fails.
  std::size_t max_buffered = 10000;
  // Copies that peers must confirm before the Add of a charge completes.
  std::size_t replicas = 2;
  // Add completes after this time even without confirmed copies.
  std::chrono::milliseconds replica_timeout{1000};
  // Time after the loss of a peer until its batches are taken over.
  std::chrono::milliseconds takeover_delay{5000};
};

// Invariant: a charge id is stored at most once, in at most one row. A charge
// is assigned to one batch when it is added and never moves to another one.
// Every write of a batch row merges by charge id and is conditional on the
// version of the row.
class ChargeLedger {
 public:
  using AddCallback = std::function<void()>;

  ChargeLedger(ChargeLedgerOptions options,
               TableCalls& table,
               PeerPort& peers,
               const Clock& clock,
               EventLog& log);

  // Each charge id must be added only once. Calls back when the charge is
  // stored, when `replicas` peers (or all reachable ones if there are fewer)
  // have confirmed a copy, or when the replica timeout expires. Returns false
  // and never calls back if the buffer is full.
  bool Add(const Charge& charge, AddCallback callback);

  void OnPeerMessage(const InstanceId& from, const PeerChargeReplica& message);
  void OnPeerMessage(const InstanceId& from,
                     const PeerChargeReplicaAck& message);
  void OnPeerMessage(const InstanceId& from, const PeerChargeStored& message);
  void OnPeerUp(const InstanceId& peer);
  void OnPeerDown(const InstanceId& peer);

  // Closes the open batch when its interval has passed, retries unconfirmed
  // writes and takes over the batches of lost peers.
  void Tick(TimePoint now);
  // Closes and writes the open batch immediately, for a shutdown.
  void Flush(TimePoint now);

  // Charges added here that the table service has not confirmed.
  std::size_t unstored_charges() const { return own_charges_; }
  bool buffer_full() const {
    return own_charges_ + replica_charges_ >= options_.max_buffered;
  }

 private:
  struct Batch {
    ChargeJsonById charges;
    // Own batches accept new charges until they are closed.
    bool closed = false;
    TimePoint opened_at;
    // Reachable peers to which the charges were sent.
    std::set<InstanceId> replica_peers;
    // For replicas: the peer that sent the batch, and the time at which this
    // instance writes the row unless the owner reports it as stored.
    InstanceId owner;
    TimePoint takeover_at;

    bool in_flight = false;
    // Number of charges in the current write; more may be added meanwhile.
    std::size_t charges_in_write = 0;
    TimePoint next_attempt;
    std::chrono::milliseconds retry_delay{0};
  };
  using Batches = std::map<std::string, Batch>;

  // A charge that is not stored and of which not enough peers have confirmed a
  // copy.
  struct PendingAdd {
    std::string batch_key;
    std::string charge_json;
    std::set<InstanceId> confirmed_by;
    TimePoint deadline;
    TimePoint next_send;
    std::chrono::milliseconds send_interval{0};
    // Empty once the replica timeout has expired.
    AddCallback callback;
  };

  std::string OpenBatch();
  void CloseBatch();
  // Selects peers until the batch has enough replicas, and sends them its
  // charges.
  void EnsureReplicas(const std::string& key);
  InstanceId ChooseReplicaPeer(const std::string& key,
                               const Batch& batch) const;
  void SendReplica(const InstanceId& peer,
                   const std::string& key,
                   const Batch& batch);
  void SendCharge(const InstanceId& peer, std::uint64_t sequence);
  void CompleteIfReplicated(std::uint64_t sequence);
  void CompleteReplicated();
  void CompleteAdd(std::uint64_t sequence);
  void CallBackUnreplicated(std::uint64_t sequence);
  void TickPendingAdds(TimePoint now);
  void TickBatches(TimePoint now);

  // Own and replicated batches share the code that stores them. A replica that
  // no longer exists when a reply arrives was stored by its owner.
  Batch* FindBatch(const std::string& key);
  void Write(const std::string& key,
             std::uint64_t expected_version,
             const ChargeJsonById& stored);
  void OnWritten(const std::string& key, const TableReply& reply);
  void Read(const std::string& key, bool write_immediately);
  void OnRead(const std::string& key,
              bool write_immediately,
              const TableReply& reply);
  void RetryLater(const std::string& key);
  void FinishBatch(const std::string& key);

  const ChargeLedgerOptions options_;
  TableCalls& table_;
  PeerPort& peers_;
  const Clock& clock_;
  EventLog& log_;
  std::uint64_t next_batch_ = 1;
  std::uint64_t next_sequence_ = 1;
  // Key of the batch that accepts new charges; empty if there is none.
  std::string open_batch_;
  Batches own_batches_;
  Batches replica_batches_;
  std::size_t own_charges_ = 0;
  std::size_t replica_charges_ = 0;
  std::size_t stores_in_flight_ = 0;
  std::map<std::uint64_t, PendingAdd> pending_adds_;
  std::set<InstanceId> reachable_peers_;
};

}  // namespace filbertshift

#endif  // SRC_LEDGER_CHARGE_LEDGER_H_
