#include "src/ledger/charge_ledger.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace filbertshift {
namespace {

constexpr char kKeyPrefix[] = "charges/";
// Keeps a row below the 400 KB limit of the table service at 300 bytes per
// charge.
constexpr std::size_t kMaxBatchCharges = 1000;
// Limits the load on the table service after an outage.
constexpr std::size_t kMaxConcurrentStores = 4;
constexpr std::chrono::milliseconds kFirstRetryDelay{200};
constexpr std::chrono::milliseconds kMaxRetryDelay{5000};
// Doubles with each copy to a peer that has not confirmed one.
constexpr std::chrono::milliseconds kReplicaResendInterval{250};
constexpr std::chrono::milliseconds kMaxReplicaResendInterval{8000};
// Multiple of the takeover delay after which a replica is taken over although
// its owner is reachable: the message that the batch is stored may be lost.
constexpr int kSilentOwnerTakeoverFactor = 6;

std::uint64_t HashPair(const std::string& key, const InstanceId& peer) {
  const std::string text = key + "|" + peer.value();
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

ChargeLedger::ChargeLedger(ChargeLedgerOptions options,
                           TableCalls& table,
                           PeerPort& peers,
                           const Clock& clock,
                           EventLog& log)
    : options_(std::move(options)),
      table_(table),
      peers_(peers),
      clock_(clock),
      log_(log) {}

bool ChargeLedger::Add(const Charge& charge, AddCallback callback) {
  if (buffer_full()) {
    return false;
  }
  const std::string key = OpenBatch();
  const std::uint64_t sequence = next_sequence_++;
  PendingAdd& pending = pending_adds_[sequence];
  pending.batch_key = key;
  pending.charge_json = ChargeToJson(charge);
  pending.deadline = clock_.Now() + options_.replica_timeout;
  pending.send_interval = kReplicaResendInterval;
  pending.next_send = clock_.Now() + pending.send_interval;
  pending.callback = std::move(callback);

  Batch& batch = own_batches_.at(key);
  own_charges_ +=
      batch.charges.emplace(charge.id, pending.charge_json).second ? 1 : 0;
  for (const InstanceId& replica_peer : batch.replica_peers) {
    SendCharge(replica_peer, sequence);
  }
  EnsureReplicas(key);
  EventContext context;
  context.request = charge.request;
  log_.Write(EventId::kChargeBuffered, context, key);
  if (batch.charges.size() >= kMaxBatchCharges) {
    CloseBatch();
  }
  return true;
}

std::string ChargeLedger::OpenBatch() {
  if (open_batch_.empty()) {
    open_batch_ =
        fmt::format("{}{}/{}", kKeyPrefix, options_.incarnation, next_batch_++);
    Batch& batch = own_batches_[open_batch_];
    batch.opened_at = clock_.Now();
    batch.retry_delay = kFirstRetryDelay;
  }
  return open_batch_;
}

void ChargeLedger::CloseBatch() {
  own_batches_.at(open_batch_).closed = true;
  open_batch_.clear();
}

void ChargeLedger::EnsureReplicas(const std::string& key) {
  Batch& batch = own_batches_.at(key);
  while (batch.replica_peers.size() < options_.replicas) {
    const InstanceId peer = ChooseReplicaPeer(key, batch);
    if (peer.empty()) {
      return;
    }
    batch.replica_peers.insert(peer);
    SendReplica(peer, key, batch);
  }
}

// Rendezvous hashing spreads the replicas of an instance over its peers.
InstanceId ChargeLedger::ChooseReplicaPeer(const std::string& key,
                                           const Batch& batch) const {
  InstanceId best;
  for (const InstanceId& peer : reachable_peers_) {
    if (batch.replica_peers.count(peer) == 0 &&
        (best.empty() || HashPair(key, peer) > HashPair(key, best))) {
      best = peer;
    }
  }
  return best;
}

void ChargeLedger::SendReplica(const InstanceId& peer,
                               const std::string& key,
                               const Batch& batch) {
  std::set<std::string> unconfirmed;
  for (const auto& [sequence, pending] : pending_adds_) {
    if (pending.batch_key == key) {
      unconfirmed.insert(pending.charge_json);
      SendCharge(peer, sequence);
    }
  }
  PeerChargeReplica replica;
  replica.batch = key;
  for (const auto& [id, text] : batch.charges) {
    if (unconfirmed.count(text) == 0) {
      replica.charges.push_back(text);
    }
  }
  if (!replica.charges.empty()) {
    peers_.Send(peer, std::move(replica));
  }
}

void ChargeLedger::SendCharge(const InstanceId& peer, std::uint64_t sequence) {
  const PendingAdd& pending = pending_adds_.at(sequence);
  PeerChargeReplica replica;
  replica.batch = pending.batch_key;
  replica.charges = {pending.charge_json};
  replica.sequence = sequence;
  peers_.Send(peer, std::move(replica));
}

void ChargeLedger::CompleteIfReplicated(std::uint64_t sequence) {
  const std::size_t needed =
      std::min(options_.replicas, reachable_peers_.size());
  if (needed > 0 && pending_adds_.at(sequence).confirmed_by.size() >= needed) {
    CompleteAdd(sequence);
  }
}

void ChargeLedger::CompleteReplicated() {
  std::vector<std::uint64_t> sequences;
  for (const auto& [sequence, pending] : pending_adds_) {
    sequences.push_back(sequence);
  }
  for (std::uint64_t sequence : sequences) {
    CompleteIfReplicated(sequence);
  }
}

void ChargeLedger::CompleteAdd(std::uint64_t sequence) {
  auto found = pending_adds_.find(sequence);
  const AddCallback callback = std::move(found->second.callback);
  pending_adds_.erase(found);
  if (callback) {
    callback();
  }
}

void ChargeLedger::CallBackUnreplicated(std::uint64_t sequence) {
  PendingAdd& pending = pending_adds_.at(sequence);
  const AddCallback callback = std::move(pending.callback);
  pending.callback = nullptr;
  callback();
}

void ChargeLedger::OnPeerMessage(const InstanceId& from,
                                 const PeerChargeReplica& message) {
  ChargeJsonById charges;
  try {
    for (const std::string& text : message.charges) {
      charges[ChargeFromJson(text).id] = text;
    }
  } catch (const std::invalid_argument& error) {
    log_.Write(EventId::kPeerMessageRejected, error.what());
    return;
  }
  if (message.batch.rfind(kKeyPrefix, 0) != 0 ||
      own_batches_.count(message.batch) > 0 || buffer_full()) {
    return;
  }
  Batch& batch = replica_batches_[message.batch];
  batch.owner = from;
  batch.closed = true;
  batch.takeover_at =
      clock_.Now() + options_.takeover_delay * kSilentOwnerTakeoverFactor;
  batch.retry_delay = kFirstRetryDelay;
  for (const auto& [id, text] : charges) {
    replica_charges_ += batch.charges.emplace(id, text).second ? 1 : 0;
  }
  peers_.Send(from, PeerChargeReplicaAck{message.batch, message.sequence});
}

void ChargeLedger::OnPeerMessage(const InstanceId& from,
                                 const PeerChargeReplicaAck& message) {
  auto found = pending_adds_.find(message.sequence);
  if (found == pending_adds_.end() ||
      found->second.batch_key != message.batch ||
      reachable_peers_.count(from) == 0) {
    return;
  }
  found->second.confirmed_by.insert(from);
  CompleteIfReplicated(message.sequence);
}

void ChargeLedger::OnPeerMessage(const InstanceId& from,
                                 const PeerChargeStored& message) {
  auto found = replica_batches_.find(message.batch);
  if (found != replica_batches_.end() && found->second.owner == from) {
    replica_charges_ -= found->second.charges.size();
    replica_batches_.erase(found);
  }
}

void ChargeLedger::OnPeerUp(const InstanceId& peer) {
  reachable_peers_.insert(peer);
  for (const auto& [key, batch] : own_batches_) {
    EnsureReplicas(key);
  }
}

void ChargeLedger::OnPeerDown(const InstanceId& peer) {
  reachable_peers_.erase(peer);
  for (auto& [key, batch] : own_batches_) {
    batch.replica_peers.erase(peer);
  }
  for (auto& [sequence, pending] : pending_adds_) {
    pending.confirmed_by.erase(peer);
  }
  for (const auto& [key, batch] : own_batches_) {
    EnsureReplicas(key);
  }
  CompleteReplicated();
  // The deadline stays when the peer reconnects: it may be a new process that
  // does not have the batch. An owner that still has it sends it again.
  for (auto& [key, batch] : replica_batches_) {
    if (batch.owner == peer) {
      batch.takeover_at =
          std::min(batch.takeover_at, clock_.Now() + options_.takeover_delay);
    }
  }
}

void ChargeLedger::Tick(TimePoint now) {
  if (!open_batch_.empty() &&
      now - own_batches_.at(open_batch_).opened_at >= options_.batch_interval) {
    CloseBatch();
  }
  TickBatches(now);
  TickPendingAdds(now);
}

void ChargeLedger::Flush(TimePoint now) {
  if (!open_batch_.empty()) {
    CloseBatch();
  }
  TickBatches(now);
}

void ChargeLedger::TickBatches(TimePoint now) {
  for (auto& [key, batch] : own_batches_) {
    if (stores_in_flight_ < kMaxConcurrentStores && batch.closed &&
        !batch.in_flight && batch.next_attempt <= now) {
      ++stores_in_flight_;
      batch.in_flight = true;
      Write(key, 0, ChargeJsonById());
    }
  }
  // A takeover reads first, because another peer may have stored the batch.
  for (auto& [key, batch] : replica_batches_) {
    if (stores_in_flight_ < kMaxConcurrentStores && !batch.in_flight &&
        batch.takeover_at <= now && batch.next_attempt <= now) {
      ++stores_in_flight_;
      batch.in_flight = true;
      Read(key, true);
    }
  }
}

void ChargeLedger::TickPendingAdds(TimePoint now) {
  std::vector<std::uint64_t> timed_out;
  for (auto& [sequence, pending] : pending_adds_) {
    if (pending.callback && pending.deadline <= now) {
      timed_out.push_back(sequence);
    }
    if (pending.next_send <= now) {
      pending.send_interval =
          std::min(pending.send_interval * 2, kMaxReplicaResendInterval);
      pending.next_send = now + pending.send_interval;
      for (const InstanceId& replica_peer :
           own_batches_.at(pending.batch_key).replica_peers) {
        if (pending.confirmed_by.count(replica_peer) == 0) {
          SendCharge(replica_peer, sequence);
        }
      }
    }
  }
  for (std::uint64_t sequence : timed_out) {
    CallBackUnreplicated(sequence);
  }
}

ChargeLedger::Batch* ChargeLedger::FindBatch(const std::string& key) {
  auto own = own_batches_.find(key);
  if (own != own_batches_.end()) {
    return &own->second;
  }
  auto replica = replica_batches_.find(key);
  return replica == replica_batches_.end() ? nullptr : &replica->second;
}

void ChargeLedger::Write(const std::string& key,
                         std::uint64_t expected_version,
                         const ChargeJsonById& stored) {
  Batch& batch = *FindBatch(key);
  batch.charges_in_write = batch.charges.size();
  ChargeJsonById merged = stored;
  merged.insert(batch.charges.begin(), batch.charges.end());
  TableWrite write;
  write.key = key;
  write.expected_version = expected_version;
  write.value = ChargesToRow(merged);
  TableTransaction transaction;
  transaction.token = fmt::format(
      "{:016x}{:016x}", XXH3_64bits(write.value.data(), write.value.size()),
      HashPair(key, InstanceId(std::to_string(expected_version))));
  transaction.writes.push_back(std::move(write));
  table_.Submit(std::move(transaction), [this, key](const TableReply& reply) {
    OnWritten(key, reply);
  });
}

void ChargeLedger::OnWritten(const std::string& key, const TableReply& reply) {
  Batch* batch = FindBatch(key);
  if (batch == nullptr) {
    --stores_in_flight_;
    return;
  }
  switch (reply.outcome) {
    case TableOutcome::kOk:
      if (batch->charges.size() == batch->charges_in_write) {
        FinishBatch(key);
      } else {
        Read(key, true);
      }
      return;
    case TableOutcome::kNotApplied:
      RetryLater(key);
      return;
    case TableOutcome::kConflict:
      Read(key, true);
      return;
    case TableOutcome::kUnknown:
      Read(key, false);
      return;
  }
}

void ChargeLedger::Read(const std::string& key, bool write_immediately) {
  table_.Get({key}, [this, key, write_immediately](const TableReply& reply) {
    OnRead(key, write_immediately, reply);
  });
}

void ChargeLedger::OnRead(const std::string& key,
                          bool write_immediately,
                          const TableReply& reply) {
  Batch* batch = FindBatch(key);
  if (batch == nullptr) {
    --stores_in_flight_;
    return;
  }
  if (reply.outcome != TableOutcome::kOk) {
    RetryLater(key);
    return;
  }
  ChargeJsonById stored;
  std::uint64_t version = 0;
  try {
    if (!reply.rows.empty()) {
      stored = ChargesFromRow(reply.rows.front().value);
      version = reply.rows.front().version;
    }
  } catch (const std::invalid_argument& error) {
    // Overwriting the row could lose charges that other instances stored.
    log_.Write(EventId::kInvariantViolated, key + ": " + error.what());
    RetryLater(key);
    return;
  }
  const bool complete = std::all_of(
      batch->charges.begin(), batch->charges.end(),
      [&stored](const auto& charge) { return stored.count(charge.first) > 0; });
  if (complete) {
    FinishBatch(key);
  } else if (write_immediately) {
    Write(key, version, stored);
  } else {
    RetryLater(key);
  }
}

void ChargeLedger::RetryLater(const std::string& key) {
  --stores_in_flight_;
  Batch& batch = *FindBatch(key);
  batch.in_flight = false;
  batch.next_attempt = clock_.Now() + batch.retry_delay;
  batch.retry_delay = std::min(batch.retry_delay * 2, kMaxRetryDelay);
}

void ChargeLedger::FinishBatch(const std::string& key) {
  --stores_in_flight_;
  log_.Write(EventId::kChargesStored, key);
  auto replica = replica_batches_.find(key);
  if (replica != replica_batches_.end()) {
    replica_charges_ -= replica->second.charges.size();
    replica_batches_.erase(replica);
    return;
  }
  auto own = own_batches_.find(key);
  own_charges_ -= own->second.charges.size();
  for (const InstanceId& replica_peer : own->second.replica_peers) {
    peers_.Send(replica_peer, PeerChargeStored{key});
  }
  own_batches_.erase(own);
  std::vector<std::uint64_t> stored_sequences;
  for (const auto& [sequence, pending] : pending_adds_) {
    if (pending.batch_key == key) {
      stored_sequences.push_back(sequence);
    }
  }
  for (std::uint64_t sequence : stored_sequences) {
    CompleteAdd(sequence);
  }
}

}  // namespace filbertshift
