// Charges of requests without idempotency key: collected into batches, copied
// to peers, and written as one row for each batch.

#ifndef SRC_LEDGER_CHARGE_LEDGER_H_
#define SRC_LEDGER_CHARGE_LEDGER_H_

#include <chrono>
#include <functional>
#include <map>
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

// Invariant: a charge is bound to one batch when it is added and is never moved
// to another one, so that it is in at most one row of the table.
class ChargeLedger {
 public:
  using SafeCallback = std::function<void()>;

  ChargeLedger(ChargeLedgerOptions options,
               TableCalls& table,
               PeerPort& peers,
               const Clock& clock,
               EventLog& log);

  // Calls back once the charge is stored, copied to `replicas` peers (or all
  // reachable ones if there are fewer), or the replica timeout has passed.
  // Returns false, without callback, when the buffer is full.
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
  std::size_t unstored() const;
  bool full() const;
};

}  // namespace filbertshift

#endif  // SRC_LEDGER_CHARGE_LEDGER_H_
