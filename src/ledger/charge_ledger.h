// Charges of requests without idempotency key: collected into batches, copied
// to peers, and written as one row for each batch.

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
  // Identifies this life of the process in row keys.
  std::string incarnation;
  std::chrono::milliseconds batch_interval{1000};
  // Charges in memory, own and replicas; beyond it Add refuses.
  std::size_t max_buffered = 10000;
  // Copies that peers must confirm before a charge counts as safe.
  std::size_t replicas = 2;
  // After this wait without copies a charge counts as safe anyway.
  std::chrono::milliseconds replica_timeout{1000};
  // Silence after which the batches of a lost peer are taken over.
  std::chrono::milliseconds takeover_delay{5000};
};

// Invariant: a charge id is in at most one row, once. A charge is bound to one
// batch when it is added and is never moved to another one; whoever writes the
// row of the batch merges by charge id under the version of the row.
class ChargeLedger {
 public:
  using SafeCallback = std::function<void()>;

  ChargeLedger(ChargeLedgerOptions options,
               TableCalls& table,
               PeerPort& peers,
               const Clock& clock,
               EventLog& log);

  // Each charge id must be added once. Calls back once the charge is stored,
  // copied to `replicas` peers (or all reachable ones if there are fewer), or
  // the replica timeout has passed. Returns false, without callback, when the
  // buffer is full.
  bool Add(const Charge& charge, SafeCallback callback);

  void OnPeerMessage(const InstanceId& from, const PeerChargeReplica& message);
  void OnPeerMessage(const InstanceId& from, const PeerChargeKept& message);
  void OnPeerMessage(const InstanceId& from, const PeerChargeStored& message);
  void OnPeerUp(const InstanceId& peer);
  void OnPeerDown(const InstanceId& peer);

  // Closes the open batch when its interval has passed, repeats unconfirmed
  // writes, takes over batches of lost peers.
  void Tick(TimePoint now);
  // Closes the open batch at once, as before a shutdown.
  void Flush(TimePoint now);

  // Own charges that are not yet in the table service.
  std::size_t unstored() const { return own_charges_; }
  bool full() const {
    return own_charges_ + replica_charges_ >= options_.max_buffered;
  }

 private:
  struct Batch {
    ChargeTexts charges;
    // Own batches take charges until they are closed.
    bool closed = false;
    TimePoint opened_at;
    // Peers that were sent the charges and are reachable.
    std::set<InstanceId> holders;
    // For replicas: the peer that sent them, and when this instance writes the
    // row unless it hears from the owner before.
    InstanceId owner;
    TimePoint takeover_at;

    bool in_flight = false;
    // Charges in the write in progress; more may arrive meanwhile.
    std::size_t writing = 0;
    TimePoint next_try;
    std::chrono::milliseconds delay{0};
  };
  using Batches = std::map<std::string, Batch>;

  // A charge whose callback has not been called.
  struct Waiting {
    std::string batch;
    std::string charge;
    std::set<InstanceId> kept;
    TimePoint deadline;
    TimePoint next_send;
    SafeCallback callback;
  };

  std::string OpenBatch();
  void CloseBatch();
  // Chooses peers until the batch has enough, and sends them its charges.
  void EnsureHolders(const std::string& key);
  InstanceId ChooseHolder(const std::string& key, const Batch& batch) const;
  void SendAll(const InstanceId& peer,
               const std::string& key,
               const Batch& batch);
  void SendCharge(const InstanceId& peer, std::uint64_t sequence);
  void CheckSafe(std::uint64_t sequence);
  void CheckAllSafe();
  void EndWaiting(std::uint64_t sequence);
  void TickWaiting(TimePoint now);
  void TickBatches(TimePoint now);

  // Own batches and replicas are stored by the same steps. A batch that is
  // gone when a reply arrives was stored by its owner.
  Batch* FindBatch(const std::string& key);
  void Write(const std::string& key,
             std::uint64_t expected_version,
             const ChargeTexts& stored);
  void OnWritten(const std::string& key, const TableReply& reply);
  void Read(const std::string& key, bool write_at_once);
  void OnRead(const std::string& key,
              bool write_at_once,
              const TableReply& reply);
  void RetryLater(const std::string& key);
  void EndBatch(const std::string& key);

  const ChargeLedgerOptions options_;
  TableCalls& table_;
  PeerPort& peers_;
  const Clock& clock_;
  EventLog& log_;
  std::uint64_t next_batch_ = 1;
  std::uint64_t next_sequence_ = 1;
  // Key of the batch that takes new charges; empty if there is none.
  std::string open_batch_;
  Batches own_;
  Batches replicas_;
  std::size_t own_charges_ = 0;
  std::size_t replica_charges_ = 0;
  std::size_t stores_in_flight_ = 0;
  std::map<std::uint64_t, Waiting> waiting_;
  std::set<InstanceId> up_;
};

}  // namespace filbertshift

#endif  // SRC_LEDGER_CHARGE_LEDGER_H_
