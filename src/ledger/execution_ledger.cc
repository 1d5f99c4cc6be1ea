#include "src/ledger/execution_ledger.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/ledger/row_key.h"

namespace filbertshift {
namespace {

using Json = nlohmann::json;

// Limits the writes of one Begin when many callers compete for a key that is
// repeatedly released.
constexpr int kMaxReservationWrites = 4;
constexpr std::chrono::milliseconds kFirstRetryDelay{200};
constexpr std::chrono::milliseconds kMaxRetryDelay{5000};

// Limit of replicated completions; new ones are ignored at the limit, since
// none has priority over another.
constexpr std::size_t kMaxReplicas = 10000;
// Longer than a reconnection after a brief loss of the stream.
constexpr std::chrono::milliseconds kTakeoverDelay{5000};
// Copies that peers must confirm before a caller gets an answer whose charge is
// not stored, the longest wait for them, and the first time between two copies
// to a peer that has not confirmed one; it doubles with each.
constexpr std::size_t kReplicas = 2;
constexpr std::chrono::milliseconds kReplicaTimeout{1000};
constexpr std::chrono::milliseconds kReplicaResendInterval{250};
constexpr std::chrono::milliseconds kMaxReplicaResendInterval{8000};

constexpr char kSentState[] = "sent";
constexpr char kDoneState[] = "done";
constexpr char kReleasedState[] = "released";

std::string RowKey(const ExecutionKey& key) {
  return "exec/" + EncodeKeyPart(key.account.value()) + "/" +
         EncodeKeyPart(key.idempotency_key);
}

// The owner token gives each owner of a key its own object.
std::string ObjectName(const ExecutionTicket& ticket) {
  return RowKey(ticket.key) + "/" + ticket.owner_token;
}

Json RecordValue(const ExecutionTicket& ticket, const char* state) {
  return {{"state", state},
          {"owner", ticket.owner_token},
          {"request_hash", ticket.request_hash},
          {"request", ticket.request.value()}};
}

struct ExecutionRecord {
  std::string state;
  std::string owner;
  std::string request_hash;
  Json value;
};

// Throws nlohmann::json::exception if the text is not a valid record.
ExecutionRecord ParseRecord(const std::string& text) {
  ExecutionRecord record;
  record.value = Json::parse(text);
  record.state = record.value.at("state").get<std::string>();
  record.owner = record.value.at("owner").get<std::string>();
  record.request_hash = record.value.at("request_hash").get<std::string>();
  return record;
}

// Returns the record in the reply of a read: with an empty state if there is no
// row, with the state "invalid" if the row cannot be parsed.
ExecutionRecord FindRecord(const TableReply& reply) {
  if (reply.rows.empty()) {
    return ExecutionRecord();
  }
  try {
    return ParseRecord(reply.rows.front().value);
  } catch (const Json::exception&) {
    ExecutionRecord record;
    record.state = "invalid";
    return record;
  }
}

std::uint64_t FindRowVersion(const TableReply& reply) {
  return reply.rows.empty() ? 0 : reply.rows.front().version;
}

EventContext MakeContext(const ExecutionTicket& ticket) {
  EventContext context;
  context.request = ticket.request;
  return context;
}

}  // namespace

ExecutionLedger::ExecutionLedger(TableCalls& table,
                                 ObjectCalls& objects,
                                 PeerPort& peers,
                                 const Clock& clock,
                                 Random& random,
                                 EventLog& log)
    : table_(table),
      objects_(objects),
      peers_(peers),
      clock_(clock),
      random_(random),
      log_(log) {}

void ExecutionLedger::Begin(const ExecutionKey& key,
                            const std::string& request_hash,
                            const RequestId& request,
                            BeginCallback callback) {
  const std::uint64_t id = next_id_++;
  Reservation& reservation = reservations_[id];
  reservation.ticket = MakeTicket(key, request_hash, request);
  reservation.callback = std::move(callback);
  // Most keys are new, so writing without a preceding read is cheapest.
  WriteReservation(id);
}

ExecutionTicket ExecutionLedger::MakeTicket(const ExecutionKey& key,
                                            const std::string& request_hash,
                                            const RequestId& request) {
  ExecutionTicket ticket;
  ticket.key = key;
  ticket.owner_token = RandomToken(random_);
  ticket.request_hash = request_hash;
  ticket.request = request;
  return ticket;
}

void ExecutionLedger::Lookup(const ExecutionKey& key,
                             const std::string& request_hash,
                             const RequestId& request,
                             BeginCallback callback) {
  const std::uint64_t id = next_id_++;
  Reservation& reservation = reservations_[id];
  reservation.ticket = MakeTicket(key, request_hash, request);
  // A lookup never writes, so it must not reserve a released record.
  reservation.writes = kMaxReservationWrites;
  reservation.callback = std::move(callback);
  table_.Get({RowKey(key)},
             [this, id](const TableReply& reply) { OnLookedUp(id, reply); });
}

void ExecutionLedger::OnLookedUp(std::uint64_t id, const TableReply& reply) {
  BeginResult result;
  result.ticket = reservations_.at(id).ticket;
  if (reply.outcome != TableOutcome::kOk) {
    FinishReservation(id, std::move(result));
    return;
  }
  const ExecutionRecord record = FindRecord(reply);
  if (reply.rows.empty() || record.state == kReleasedState) {
    result.status = BeginStatus::kOwned;
    result.ticket.row_version = FindRowVersion(reply);
    FinishReservation(id, std::move(result));
    return;
  }
  HandleExistingRecord(id, reply.rows.front());
}

void ExecutionLedger::WriteReservation(std::uint64_t id) {
  Reservation& reservation = reservations_.at(id);
  ++reservation.writes;
  TableTransaction transaction;
  transaction.token = RandomToken(random_);
  TableWrite write;
  write.key = RowKey(reservation.ticket.key);
  write.expected_version = reservation.expected_version;
  write.value = DumpRow(RecordValue(reservation.ticket, kSentState));
  transaction.writes.push_back(std::move(write));
  table_.Submit(std::move(transaction), [this, id](const TableReply& reply) {
    OnReservationWritten(id, reply);
  });
}

void ExecutionLedger::OnReservationWritten(std::uint64_t id,
                                           const TableReply& reply) {
  switch (reply.outcome) {
    case TableOutcome::kOk:
      FinishOwned(id, reservations_.at(id).expected_version + 1);
      return;
    case TableOutcome::kNotApplied:
      FinishUnavailable(id, false);
      return;
    case TableOutcome::kConflict:
      ReadRecord(id, false);
      return;
    case TableOutcome::kUnknown:
      ReadRecord(id, true);
      return;
  }
}

void ExecutionLedger::ReadRecord(std::uint64_t id, bool may_be_applied) {
  table_.Get({RowKey(reservations_.at(id).ticket.key)},
             [this, id, may_be_applied](const TableReply& reply) {
               OnRecordRead(id, may_be_applied, reply);
             });
}

void ExecutionLedger::OnRecordRead(std::uint64_t id,
                                   bool may_be_applied,
                                   const TableReply& reply) {
  if (reply.outcome != TableOutcome::kOk) {
    FinishUnavailable(id, may_be_applied);
    return;
  }
  const Reservation& reservation = reservations_.at(id);
  const ExecutionRecord record = FindRecord(reply);
  if (record.state == kSentState &&
      record.owner == reservation.ticket.owner_token) {
    FinishOwned(id, FindRowVersion(reply));
    return;
  }
  // The version condition still holds, so the write may be applied later.
  if (may_be_applied && FindRowVersion(reply) == reservation.expected_version) {
    FinishUnavailable(id, true);
    return;
  }
  HandleExistingRecord(id,
                       reply.rows.empty() ? TableRow() : reply.rows.front());
}

void ExecutionLedger::HandleExistingRecord(std::uint64_t id,
                                           const TableRow& row) {
  Reservation& reservation = reservations_.at(id);
  BeginResult result;
  try {
    const ExecutionRecord record = ParseRecord(row.value);
    if (record.request_hash != reservation.ticket.request_hash) {
      result.status = BeginStatus::kKeyReused;
    } else if (record.state == kDoneState) {
      Replay(id, ReadAnswer(record.value));
      return;
    } else if (record.state == kSentState) {
      result.status = BeginStatus::kInProgress;
    } else if (record.state == kReleasedState &&
               reservation.writes < kMaxReservationWrites) {
      reservation.expected_version = row.version;
      WriteReservation(id);
      return;
    }
  } catch (const Json::exception& error) {
    log_.Write(EventId::kInvariantViolated, MakeContext(reservation.ticket),
               "invalid execution record " + row.key + ": " + error.what());
  }
  FinishReservation(id, std::move(result));
}

void ExecutionLedger::Replay(std::uint64_t id, const EncodedAnswer& encoded) {
  BeginResult result;
  result.status = BeginStatus::kReplay;
  result.answer = encoded.answer;
  if (encoded.object.empty()) {
    FinishReservation(id, std::move(result));
    return;
  }
  objects_.Get(encoded.object,
               [this, id, result](const ObjectReply& reply) mutable {
                 if (reply.outcome == ObjectOutcome::kOk) {
                   result.answer.body = reply.bytes;
                 } else {
                   result.status = BeginStatus::kReplayUnavailable;
                 }
                 FinishReservation(id, std::move(result));
               });
}

void ExecutionLedger::FinishReservation(std::uint64_t id, BeginResult result) {
  auto found = reservations_.find(id);
  const BeginCallback callback = std::move(found->second.callback);
  reservations_.erase(found);
  callback(result);
}

void ExecutionLedger::FinishOwned(std::uint64_t id, std::uint64_t row_version) {
  BeginResult result;
  result.status = BeginStatus::kOwned;
  result.ticket = reservations_.at(id).ticket;
  result.ticket.reserved = true;
  result.ticket.row_version = row_version;
  log_.Write(EventId::kExecutionReserved, MakeContext(result.ticket),
             RowKey(result.ticket.key));
  FinishReservation(id, std::move(result));
}

void ExecutionLedger::FinishUnavailable(std::uint64_t id, bool may_be_applied) {
  const Reservation& reservation = reservations_.at(id);
  if (may_be_applied) {
    ReleaseAt(reservation.ticket, reservation.expected_version);
  }
  FinishReservation(id, BeginResult());
}

void ExecutionLedger::Complete(const ExecutionTicket& ticket,
                               const StoredAnswer& answer,
                               const std::optional<Charge>& charge,
                               CompleteCallback callback) {
  PendingWrite write;
  write.is_completion = true;
  write.ticket = ticket;
  write.expected_version = ticket.row_version;
  write.callback = std::move(callback);
  if (!FitsIntoRow(answer.body)) {
    write.object = ObjectName(ticket);
    write.object_bytes = answer.body;
  }
  Json value = RecordValue(ticket, kDoneState);
  AddAnswer(answer, write.object, &value);
  if (charge) {
    value["charge"] = Json::parse(ChargeToJson(*charge));
  }
  write.value = DumpRow(value);
  SubmitPending(AddPending(std::move(write)));
}

void ExecutionLedger::Release(const ExecutionTicket& ticket) {
  ReleaseAt(ticket, ticket.row_version);
}

// If the write of the record is still in flight, writing the released record
// makes the version condition of that late write fail.
void ExecutionLedger::ReleaseAt(const ExecutionTicket& ticket,
                                std::uint64_t expected_version) {
  PendingWrite write;
  write.ticket = ticket;
  write.expected_version = expected_version;
  write.value = DumpRow(RecordValue(ticket, kReleasedState));
  SubmitPending(AddPending(std::move(write)));
}

std::uint64_t ExecutionLedger::AddPending(PendingWrite write) {
  const std::uint64_t id = next_id_++;
  write.retry_delay = kFirstRetryDelay;
  pending_writes_.emplace(id, std::move(write));
  return id;
}

void ExecutionLedger::Tick(TimePoint now) {
  std::vector<std::uint64_t> due;
  for (const auto& [id, write] : pending_writes_) {
    if (!write.in_flight && write.next_attempt <= now) {
      due.push_back(id);
    }
  }
  for (std::uint64_t id : due) {
    SubmitPending(id);
  }
  TickReplication(now);
  for (auto replica = replicas_.begin(); replica != replicas_.end();) {
    const std::optional<TimePoint>& at = replica->second.takeover_at;
    if (at.has_value() && *at <= now) {
      TakeOver(replica->second.message);
      replica = replicas_.erase(replica);
    } else {
      ++replica;
    }
  }
}

std::size_t ExecutionLedger::unconfirmed_writes() const {
  auto due = std::count_if(replicas_.begin(), replicas_.end(),
                           [](const auto& replica) {
                             return replica.second.takeover_at.has_value();
                           });
  return pending_writes_.size() + static_cast<std::size_t>(due);
}

PeerExecutionReplica ExecutionLedger::MakeReplica(std::uint64_t id) const {
  const PendingWrite& write = pending_writes_.at(id);
  PeerExecutionReplica replica;
  replica.account = write.ticket.key.account;
  replica.idempotency_key = write.ticket.key.idempotency_key;
  replica.owner_token = write.ticket.owner_token;
  replica.request_hash = write.ticket.request_hash;
  replica.reserved = write.ticket.reserved;
  replica.expected_version = write.expected_version;
  replica.value = write.value;
  replica.sequence = id;
  return replica;
}

void ExecutionLedger::Replicate(std::uint64_t id) {
  PendingWrite& write = pending_writes_.at(id);
  write.replicated_to_peers = true;
  write.callback_deadline = clock_.Now() + kReplicaTimeout;
  write.copy_interval = kReplicaResendInterval;
  write.next_copy = clock_.Now() + write.copy_interval;
  peers_.Broadcast(MakeReplica(id));
}

void ExecutionLedger::TickReplication(TimePoint now) {
  std::vector<std::uint64_t> timed_out;
  for (auto& [id, write] : pending_writes_) {
    if (!write.replicated_to_peers) {
      continue;
    }
    if (write.callback && write.callback_deadline <= now) {
      timed_out.push_back(id);
    }
    if (!IsReplicated(write) && write.next_copy <= now) {
      write.copy_interval =
          std::min(write.copy_interval * 2, kMaxReplicaResendInterval);
      write.next_copy = now + write.copy_interval;
      for (const InstanceId& peer : reachable_peers_) {
        if (write.confirmed_by.count(peer) == 0) {
          peers_.Send(peer, MakeReplica(id));
        }
      }
    }
  }
  for (std::uint64_t id : timed_out) {
    CallBackUnstored(id);
  }
}

bool ExecutionLedger::IsReplicated(const PendingWrite& write) const {
  const std::size_t needed = std::min(kReplicas, reachable_peers_.size());
  return needed > 0 && write.confirmed_by.size() >= needed;
}

void ExecutionLedger::CallBackIfReplicated(std::uint64_t id) {
  const PendingWrite& write = pending_writes_.at(id);
  if (write.callback && IsReplicated(write)) {
    CallBackUnstored(id);
  }
}

void ExecutionLedger::CallBackUnstored(std::uint64_t id) {
  PendingWrite& write = pending_writes_.at(id);
  const CompleteCallback callback = std::move(write.callback);
  write.callback = nullptr;
  callback(false);
}

void ExecutionLedger::OnPeerMessage(const InstanceId& from,
                                    const PeerExecutionReplica& message) {
  if (message.stored) {
    replicas_.erase(message.owner_token);
    return;
  }
  bool held = taken_over_.count(message.owner_token) > 0;
  if (!held && (replicas_.count(message.owner_token) > 0 ||
                replicas_.size() < kMaxReplicas)) {
    held = true;
    Replica& replica = replicas_[message.owner_token];
    replica.owner = from;
    replica.message = message;
    // The two directions are separate connections: a copy may arrive after the
    // loss of its owner.
    if (!replica.takeover_at.has_value() && reachable_peers_.count(from) == 0) {
      replica.takeover_at = clock_.Now() + kTakeoverDelay;
    }
  }
  // Instances of earlier versions close the stream at an acknowledgement.
  if (held && message.sequence != 0) {
    peers_.Send(from,
                PeerExecutionReplicaAck{message.owner_token, message.sequence});
  }
}

void ExecutionLedger::OnPeerMessage(const InstanceId& from,
                                    const PeerExecutionReplicaAck& message) {
  auto found = pending_writes_.find(message.sequence);
  if (found == pending_writes_.end() ||
      found->second.ticket.owner_token != message.owner_token ||
      reachable_peers_.count(from) == 0) {
    return;
  }
  found->second.confirmed_by.insert(from);
  CallBackIfReplicated(message.sequence);
}

void ExecutionLedger::OnPeerUp(const InstanceId& peer) {
  reachable_peers_.insert(peer);
  for (const auto& [id, write] : pending_writes_) {
    if (write.replicated_to_peers) {
      peers_.Send(peer, MakeReplica(id));
    }
  }
}

void ExecutionLedger::OnPeerDown(const InstanceId& peer) {
  reachable_peers_.erase(peer);
  std::vector<std::uint64_t> ids;
  for (auto& [id, write] : pending_writes_) {
    write.confirmed_by.erase(peer);
    ids.push_back(id);
  }
  for (std::uint64_t id : ids) {
    CallBackIfReplicated(id);
  }
  // The deadline stays when the peer reconnects: it may be a new process that
  // does not have the write.
  for (auto& [token, replica] : replicas_) {
    if (replica.owner == peer && !replica.takeover_at.has_value()) {
      replica.takeover_at = clock_.Now() + kTakeoverDelay;
    }
  }
}

void ExecutionLedger::TakeOver(const PeerExecutionReplica& message) {
  PendingWrite write;
  write.is_completion = true;
  write.ticket.key = {message.account, message.idempotency_key};
  write.ticket.owner_token = message.owner_token;
  write.ticket.request_hash = message.request_hash;
  write.ticket.reserved = message.reserved;
  write.ticket.row_version = message.expected_version;
  write.expected_version = message.expected_version;
  write.value = message.value;
  taken_over_.insert(message.owner_token);
  SubmitPending(AddPending(std::move(write)));
}

void ExecutionLedger::SubmitPending(std::uint64_t id) {
  PendingWrite& write = pending_writes_.at(id);
  write.in_flight = true;
  if (!write.object.empty()) {
    PutObject(id);
    return;
  }
  TableTransaction transaction;
  transaction.token = RandomToken(random_);
  TableWrite row;
  row.key = RowKey(write.ticket.key);
  row.expected_version = write.expected_version;
  row.value = write.value;
  transaction.writes.push_back(std::move(row));
  table_.Submit(std::move(transaction), [this, id](const TableReply& reply) {
    OnPendingWritten(id, reply);
  });
}

void ExecutionLedger::PutObject(std::uint64_t id) {
  const PendingWrite& write = pending_writes_.at(id);
  objects_.Put(write.object, write.object_bytes,
               [this, id](const ObjectReply& reply) {
                 if (reply.outcome != ObjectOutcome::kOk) {
                   RetryLater(id);
                   return;
                 }
                 pending_writes_.at(id).object.clear();
                 pending_writes_.at(id).object_bytes.clear();
                 SubmitPending(id);
               });
}

void ExecutionLedger::OnPendingWritten(std::uint64_t id,
                                       const TableReply& reply) {
  switch (reply.outcome) {
    case TableOutcome::kOk:
      FinishPending(id, true);
      return;
    case TableOutcome::kNotApplied:
      RetryLater(id);
      return;
    case TableOutcome::kConflict:
    case TableOutcome::kUnknown:
      ReadBack(id);
      return;
  }
}

void ExecutionLedger::ReadBack(std::uint64_t id) {
  table_.Get({RowKey(pending_writes_.at(id).ticket.key)},
             [this, id](const TableReply& reply) { OnReadBack(id, reply); });
}

void ExecutionLedger::OnReadBack(std::uint64_t id, const TableReply& reply) {
  PendingWrite& write = pending_writes_.at(id);
  if (reply.outcome != TableOutcome::kOk) {
    RetryLater(id);
    return;
  }
  const ExecutionRecord record = FindRecord(reply);
  const std::uint64_t version = FindRowVersion(reply);
  const bool owned = record.owner == write.ticket.owner_token;
  // The delayed write of the reservation was applied before this write.
  const bool reservation_applied = owned && record.state == kSentState;
  const bool released =
      !write.ticket.reserved && record.state == kReleasedState;
  if (owned &&
      record.state == (write.is_completion ? kDoneState : kReleasedState)) {
    FinishPending(id, true);
  } else if (version == write.expected_version) {
    RetryLater(id);
  } else if (reservation_applied || released) {
    write.expected_version = version;
    SubmitPending(id);
  } else {
    FinishPending(id, false);
  }
}

void ExecutionLedger::RetryLater(std::uint64_t id) {
  PendingWrite& write = pending_writes_.at(id);
  write.in_flight = false;
  write.next_attempt = clock_.Now() + write.retry_delay;
  write.retry_delay = std::min(write.retry_delay * 2, kMaxRetryDelay);
  if (write.callback && !write.replicated_to_peers) {
    Replicate(id);
  }
}

void ExecutionLedger::FinishPending(std::uint64_t id, bool stored) {
  auto found = pending_writes_.find(id);
  const PendingWrite write = std::move(found->second);
  pending_writes_.erase(found);
  taken_over_.erase(write.ticket.owner_token);
  const EventContext context = MakeContext(write.ticket);
  const std::string key = RowKey(write.ticket.key);
  if (write.replicated_to_peers) {
    PeerExecutionReplica done;
    done.owner_token = write.ticket.owner_token;
    done.stored = true;
    peers_.Broadcast(std::move(done));
  }
  if (write.is_completion && !stored && !write.ticket.reserved) {
    log_.Write(EventId::kExecutionDone, context,
               "another attempt has already stored its answer: " + key);
  } else if (write.is_completion && !stored) {
    log_.Write(
        EventId::kInvariantViolated, context,
        "the execution record of a sent call belongs to another owner: " + key);
  } else {
    log_.Write(write.is_completion ? EventId::kExecutionDone
                                   : EventId::kExecutionReleased,
               context, key);
  }
  if (write.callback) {
    write.callback(stored);
  }
}

}  // namespace filbertshift
