#include "src/ledger/charge_ledger.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace filbertshift {
namespace {

constexpr char kKeyPrefix[] = "charges/";
// Keeps a row below the 400 KB that the table service allows, with 300 bytes
// for each charge.
constexpr std::size_t kMaxBatchCharges = 1000;
// Bounds the load on the table service after an outage.
constexpr std::size_t kMaxParallelStores = 4;
constexpr std::chrono::milliseconds kFirstRetryDelay{200};
constexpr std::chrono::milliseconds kMaxRetryDelay{5000};
constexpr std::chrono::milliseconds kReplicaResendInterval{250};
// A replica whose owner is reachable but silent is checked after this multiple
// of the take-over delay: the message that the batch is stored may be lost.
constexpr int kSilenceFactor = 6;

std::uint64_t Rank(const std::string& key, const InstanceId& peer) {
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

bool ChargeLedger::Add(const Charge& charge, SafeCallback callback) {
  if (full()) {
    return false;
  }
  const std::string key = OpenBatch();
  const std::uint64_t sequence = next_sequence_++;
  Waiting& waiting = waiting_[sequence];
  waiting.batch = key;
  waiting.charge = ChargeToJson(charge);
  waiting.deadline = clock_.Now() + options_.replica_timeout;
  waiting.next_send = clock_.Now() + kReplicaResendInterval;
  waiting.callback = std::move(callback);

  Batch& batch = own_.at(key);
  own_charges_ +=
      batch.charges.emplace(charge.id, waiting.charge).second ? 1 : 0;
  for (const InstanceId& holder : batch.holders) {
    SendCharge(holder, sequence);
  }
  EnsureHolders(key);
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
    Batch& batch = own_[open_batch_];
    batch.opened_at = clock_.Now();
    batch.delay = kFirstRetryDelay;
  }
  return open_batch_;
}

void ChargeLedger::CloseBatch() {
  own_.at(open_batch_).closed = true;
  open_batch_.clear();
}

void ChargeLedger::EnsureHolders(const std::string& key) {
  Batch& batch = own_.at(key);
  while (batch.holders.size() < options_.replicas) {
    const InstanceId peer = ChooseHolder(key, batch);
    if (peer.empty()) {
      return;
    }
    batch.holders.insert(peer);
    SendAll(peer, key, batch);
  }
}

// The choice by hash spreads the replicas of an instance over its peers.
InstanceId ChargeLedger::ChooseHolder(const std::string& key,
                                      const Batch& batch) const {
  InstanceId best;
  for (const InstanceId& peer : up_) {
    if (batch.holders.count(peer) == 0 &&
        (best.empty() || Rank(key, peer) > Rank(key, best))) {
      best = peer;
    }
  }
  return best;
}

void ChargeLedger::SendAll(const InstanceId& peer,
                           const std::string& key,
                           const Batch& batch) {
  std::set<std::string> unsafe;
  for (const auto& [sequence, waiting] : waiting_) {
    if (waiting.batch == key) {
      unsafe.insert(waiting.charge);
      SendCharge(peer, sequence);
    }
  }
  PeerChargeReplica replica;
  replica.batch = key;
  for (const auto& [id, text] : batch.charges) {
    if (unsafe.count(text) == 0) {
      replica.charges.push_back(text);
    }
  }
  if (!replica.charges.empty()) {
    peers_.Send(peer, std::move(replica));
  }
}

void ChargeLedger::SendCharge(const InstanceId& peer, std::uint64_t sequence) {
  const Waiting& waiting = waiting_.at(sequence);
  PeerChargeReplica replica;
  replica.batch = waiting.batch;
  replica.charges = {waiting.charge};
  replica.sequence = sequence;
  peers_.Send(peer, std::move(replica));
}

void ChargeLedger::CheckSafe(std::uint64_t sequence) {
  const std::size_t needed = std::min(options_.replicas, up_.size());
  if (needed > 0 && waiting_.at(sequence).kept.size() >= needed) {
    EndWaiting(sequence);
  }
}

void ChargeLedger::CheckAllSafe() {
  std::vector<std::uint64_t> sequences;
  for (const auto& [sequence, waiting] : waiting_) {
    sequences.push_back(sequence);
  }
  for (std::uint64_t sequence : sequences) {
    CheckSafe(sequence);
  }
}

void ChargeLedger::EndWaiting(std::uint64_t sequence) {
  auto found = waiting_.find(sequence);
  const SafeCallback callback = std::move(found->second.callback);
  waiting_.erase(found);
  callback();
}

void ChargeLedger::OnPeerMessage(const InstanceId& from,
                                 const PeerChargeReplica& message) {
  ChargeTexts charges;
  try {
    for (const std::string& text : message.charges) {
      charges[ChargeFromJson(text).id] = text;
    }
  } catch (const std::invalid_argument& error) {
    log_.Write(EventId::kPeerMessageRejected, error.what());
    return;
  }
  if (message.batch.rfind(kKeyPrefix, 0) != 0 ||
      own_.count(message.batch) > 0 || full()) {
    return;
  }
  Batch& batch = replicas_[message.batch];
  batch.owner = from;
  batch.closed = true;
  batch.takeover_at = clock_.Now() + options_.takeover_delay * kSilenceFactor;
  batch.delay = kFirstRetryDelay;
  for (const auto& [id, text] : charges) {
    replica_charges_ += batch.charges.emplace(id, text).second ? 1 : 0;
  }
  peers_.Send(from, PeerChargeKept{message.batch, message.sequence});
}

void ChargeLedger::OnPeerMessage(const InstanceId& from,
                                 const PeerChargeKept& message) {
  auto found = waiting_.find(message.sequence);
  if (found == waiting_.end() || found->second.batch != message.batch ||
      up_.count(from) == 0) {
    return;
  }
  found->second.kept.insert(from);
  CheckSafe(message.sequence);
}

void ChargeLedger::OnPeerMessage(const InstanceId& from,
                                 const PeerChargeStored& message) {
  auto found = replicas_.find(message.batch);
  if (found != replicas_.end() && found->second.owner == from) {
    replica_charges_ -= found->second.charges.size();
    replicas_.erase(found);
  }
}

void ChargeLedger::OnPeerUp(const InstanceId& peer) {
  up_.insert(peer);
  for (const auto& [key, batch] : own_) {
    EnsureHolders(key);
  }
}

void ChargeLedger::OnPeerDown(const InstanceId& peer) {
  up_.erase(peer);
  for (auto& [key, batch] : own_) {
    batch.holders.erase(peer);
  }
  for (auto& [sequence, waiting] : waiting_) {
    waiting.kept.erase(peer);
  }
  for (const auto& [key, batch] : own_) {
    EnsureHolders(key);
  }
  CheckAllSafe();
  // Even if the peer comes back soon: it may then be another process, which
  // does not have the batch. A batch that it still has is sent again.
  for (auto& [key, batch] : replicas_) {
    if (batch.owner == peer) {
      batch.takeover_at =
          std::min(batch.takeover_at, clock_.Now() + options_.takeover_delay);
    }
  }
}

void ChargeLedger::Tick(TimePoint now) {
  if (!open_batch_.empty() &&
      now - own_.at(open_batch_).opened_at >= options_.batch_interval) {
    CloseBatch();
  }
  TickBatches(now);
  TickWaiting(now);
}

void ChargeLedger::Flush(TimePoint now) {
  if (!open_batch_.empty()) {
    CloseBatch();
  }
  TickBatches(now);
}

void ChargeLedger::TickBatches(TimePoint now) {
  for (auto& [key, batch] : own_) {
    if (stores_in_flight_ < kMaxParallelStores && batch.closed &&
        !batch.in_flight && batch.next_try <= now) {
      ++stores_in_flight_;
      batch.in_flight = true;
      Write(key, 0, ChargeTexts());
    }
  }
  // Another holder may have stored the batch, so that a take-over reads first.
  for (auto& [key, batch] : replicas_) {
    if (stores_in_flight_ < kMaxParallelStores && !batch.in_flight &&
        batch.takeover_at <= now && batch.next_try <= now) {
      ++stores_in_flight_;
      batch.in_flight = true;
      Read(key, true);
    }
  }
}

void ChargeLedger::TickWaiting(TimePoint now) {
  std::vector<std::uint64_t> overdue;
  for (auto& [sequence, waiting] : waiting_) {
    if (waiting.deadline <= now) {
      overdue.push_back(sequence);
    } else if (waiting.next_send <= now) {
      waiting.next_send = now + kReplicaResendInterval;
      for (const InstanceId& holder : own_.at(waiting.batch).holders) {
        if (waiting.kept.count(holder) == 0) {
          SendCharge(holder, sequence);
        }
      }
    }
  }
  for (std::uint64_t sequence : overdue) {
    EndWaiting(sequence);
  }
}

ChargeLedger::Batch* ChargeLedger::FindBatch(const std::string& key) {
  auto own = own_.find(key);
  if (own != own_.end()) {
    return &own->second;
  }
  auto replica = replicas_.find(key);
  return replica == replicas_.end() ? nullptr : &replica->second;
}

void ChargeLedger::Write(const std::string& key,
                         std::uint64_t expected_version,
                         const ChargeTexts& stored) {
  Batch& batch = *FindBatch(key);
  batch.writing = batch.charges.size();
  ChargeTexts merged = stored;
  merged.insert(batch.charges.begin(), batch.charges.end());
  TableWrite write;
  write.key = key;
  write.expected_version = expected_version;
  write.value = ChargesToRow(merged);
  TableTransaction transaction;
  transaction.token = fmt::format(
      "{:016x}{:016x}", XXH3_64bits(write.value.data(), write.value.size()),
      Rank(key, InstanceId(std::to_string(expected_version))));
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
      if (batch->charges.size() == batch->writing) {
        EndBatch(key);
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

void ChargeLedger::Read(const std::string& key, bool write_at_once) {
  table_.Get({key}, [this, key, write_at_once](const TableReply& reply) {
    OnRead(key, write_at_once, reply);
  });
}

void ChargeLedger::OnRead(const std::string& key,
                          bool write_at_once,
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
  ChargeTexts stored;
  std::uint64_t version = 0;
  try {
    if (!reply.rows.empty()) {
      stored = ChargesFromRow(reply.rows.front().value);
      version = reply.rows.front().version;
    }
  } catch (const std::invalid_argument& error) {
    // Overwriting the row could lose charges of others.
    log_.Write(EventId::kInvariantViolated, key + ": " + error.what());
    RetryLater(key);
    return;
  }
  const bool complete = std::all_of(
      batch->charges.begin(), batch->charges.end(),
      [&stored](const auto& charge) { return stored.count(charge.first) > 0; });
  if (complete) {
    EndBatch(key);
  } else if (write_at_once) {
    Write(key, version, stored);
  } else {
    RetryLater(key);
  }
}

void ChargeLedger::RetryLater(const std::string& key) {
  --stores_in_flight_;
  Batch& batch = *FindBatch(key);
  batch.in_flight = false;
  batch.next_try = clock_.Now() + batch.delay;
  batch.delay = std::min(batch.delay * 2, kMaxRetryDelay);
}

void ChargeLedger::EndBatch(const std::string& key) {
  --stores_in_flight_;
  log_.Write(EventId::kChargesStored, key);
  auto replica = replicas_.find(key);
  if (replica != replicas_.end()) {
    replica_charges_ -= replica->second.charges.size();
    replicas_.erase(replica);
    return;
  }
  auto own = own_.find(key);
  own_charges_ -= own->second.charges.size();
  for (const InstanceId& holder : own->second.holders) {
    peers_.Send(holder, PeerChargeStored{key});
  }
  own_.erase(own);
  std::vector<std::uint64_t> safe;
  for (const auto& [sequence, waiting] : waiting_) {
    if (waiting.batch == key) {
      safe.push_back(sequence);
    }
  }
  for (std::uint64_t sequence : safe) {
    EndWaiting(sequence);
  }
}

}  // namespace filbertshift
