#include "src/ledger/execution_ledger.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/ledger/row_key.h"

namespace filbertshift {
namespace {

using Json = nlohmann::json;

// Bounds the load of a key that many callers release and take at once.
constexpr int kMaxReservationWrites = 4;
constexpr std::chrono::milliseconds kFirstRetryDelay{200};
constexpr std::chrono::milliseconds kMaxRetryDelay{5000};

// Completions of other instances kept here; the oldest tokens are not special,
// so further ones are not kept.
constexpr std::size_t kMaxReplicas = 10000;
// Longer than a reconnection after a short loss of the stream.
constexpr std::chrono::milliseconds kTakeOverDelay{5000};

constexpr char kSent[] = "sent";
constexpr char kDone[] = "done";
constexpr char kReleased[] = "released";

std::string RowKey(const ExecutionKey& key) {
  return "exec/" + EncodeKeyPart(key.account.value()) + "/" +
         EncodeKeyPart(key.idempotency_key);
}

// The owner token keeps the objects of different owners of a key apart.
std::string ObjectName(const ExecutionTicket& ticket) {
  return RowKey(ticket.key) + "/" + ticket.owner_token;
}

Json RecordValue(const ExecutionTicket& ticket, const char* state) {
  return {{"state", state},
          {"owner", ticket.owner_token},
          {"request_hash", ticket.request_hash},
          {"request", ticket.request.value()}};
}

struct Record {
  std::string state;
  std::string owner;
  std::string request_hash;
  Json value;
};

// Throws nlohmann::json::exception.
Record ParseRecord(const std::string& text) {
  Record record;
  record.value = Json::parse(text);
  record.state = record.value.at("state").get<std::string>();
  record.owner = record.value.at("owner").get<std::string>();
  record.request_hash = record.value.at("request_hash").get<std::string>();
  return record;
}

// The record in the reply of a read; empty state if there is none. A record
// that cannot be parsed has the state "invalid".
Record FindRecord(const TableReply& reply) {
  if (reply.rows.empty()) {
    return Record();
  }
  try {
    return ParseRecord(reply.rows.front().value);
  } catch (const Json::exception&) {
    Record record;
    record.state = "invalid";
    return record;
  }
}

std::uint64_t FindVersion(const TableReply& reply) {
  return reply.rows.empty() ? 0 : reply.rows.front().version;
}

EventContext ContextOf(const ExecutionTicket& ticket) {
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
  reservation.ticket = NewTicket(key, request_hash, request);
  reservation.callback = std::move(callback);
  // Most keys are new, so that a write without a read before it is cheapest.
  WriteReservation(id);
}

ExecutionTicket ExecutionLedger::NewTicket(const ExecutionKey& key,
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
  reservation.ticket = NewTicket(key, request_hash, request);
  // A released record must not be taken over by a write.
  reservation.writes = kMaxReservationWrites;
  reservation.callback = std::move(callback);
  table_.Get({RowKey(key)},
             [this, id](const TableReply& reply) { OnLookedUp(id, reply); });
}

void ExecutionLedger::OnLookedUp(std::uint64_t id, const TableReply& reply) {
  BeginResult result;
  result.ticket = reservations_.at(id).ticket;
  if (reply.outcome != TableOutcome::kOk) {
    EndReservation(id, std::move(result));
    return;
  }
  const Record record = FindRecord(reply);
  if (reply.rows.empty() || record.state == kReleased) {
    result.status = BeginStatus::kOwned;
    result.ticket.row_version = FindVersion(reply);
    EndReservation(id, std::move(result));
    return;
  }
  JudgeRecord(id, reply.rows.front());
}

void ExecutionLedger::WriteReservation(std::uint64_t id) {
  Reservation& reservation = reservations_.at(id);
  ++reservation.writes;
  TableTransaction transaction;
  transaction.token = RandomToken(random_);
  TableWrite write;
  write.key = RowKey(reservation.ticket.key);
  write.expected_version = reservation.expected_version;
  write.value = DumpRow(RecordValue(reservation.ticket, kSent));
  transaction.writes.push_back(std::move(write));
  table_.Submit(std::move(transaction), [this, id](const TableReply& reply) {
    OnReservationWritten(id, reply);
  });
}

void ExecutionLedger::OnReservationWritten(std::uint64_t id,
                                           const TableReply& reply) {
  switch (reply.outcome) {
    case TableOutcome::kOk:
      EndOwned(id, reservations_.at(id).expected_version + 1);
      return;
    case TableOutcome::kNotApplied:
      EndUnavailable(id, false);
      return;
    case TableOutcome::kConflict:
      ReadRecord(id, false);
      return;
    case TableOutcome::kUnknown:
      ReadRecord(id, true);
      return;
  }
}

void ExecutionLedger::ReadRecord(std::uint64_t id, bool may_be_written) {
  table_.Get({RowKey(reservations_.at(id).ticket.key)},
             [this, id, may_be_written](const TableReply& reply) {
               OnRecordRead(id, may_be_written, reply);
             });
}

void ExecutionLedger::OnRecordRead(std::uint64_t id,
                                   bool may_be_written,
                                   const TableReply& reply) {
  if (reply.outcome != TableOutcome::kOk) {
    EndUnavailable(id, may_be_written);
    return;
  }
  const Reservation& reservation = reservations_.at(id);
  const Record record = FindRecord(reply);
  if (record.state == kSent && record.owner == reservation.ticket.owner_token) {
    EndOwned(id, FindVersion(reply));
    return;
  }
  // The condition of the write still holds, so that it may take effect later.
  if (may_be_written && FindVersion(reply) == reservation.expected_version) {
    EndUnavailable(id, true);
    return;
  }
  JudgeRecord(id, reply.rows.empty() ? TableRow() : reply.rows.front());
}

void ExecutionLedger::JudgeRecord(std::uint64_t id, const TableRow& row) {
  Reservation& reservation = reservations_.at(id);
  BeginResult result;
  try {
    const Record record = ParseRecord(row.value);
    if (record.request_hash != reservation.ticket.request_hash) {
      result.status = BeginStatus::kKeyReused;
    } else if (record.state == kDone) {
      Replay(id, ReadAnswer(record.value));
      return;
    } else if (record.state == kSent) {
      result.status = BeginStatus::kInProgress;
    } else if (record.state == kReleased &&
               reservation.writes < kMaxReservationWrites) {
      reservation.expected_version = row.version;
      WriteReservation(id);
      return;
    }
  } catch (const Json::exception& error) {
    log_.Write(EventId::kInvariantViolated, ContextOf(reservation.ticket),
               "invalid execution record " + row.key + ": " + error.what());
  }
  EndReservation(id, std::move(result));
}

void ExecutionLedger::Replay(std::uint64_t id, const EncodedAnswer& encoded) {
  BeginResult result;
  result.status = BeginStatus::kReplay;
  result.answer = encoded.answer;
  if (encoded.object.empty()) {
    EndReservation(id, std::move(result));
    return;
  }
  objects_.Get(encoded.object,
               [this, id, result](const ObjectReply& reply) mutable {
                 if (reply.outcome == ObjectOutcome::kOk) {
                   result.answer.body = reply.bytes;
                 } else {
                   result.status = BeginStatus::kReplayUnavailable;
                 }
                 EndReservation(id, std::move(result));
               });
}

void ExecutionLedger::EndReservation(std::uint64_t id, BeginResult result) {
  auto found = reservations_.find(id);
  const BeginCallback callback = std::move(found->second.callback);
  reservations_.erase(found);
  callback(result);
}

void ExecutionLedger::EndOwned(std::uint64_t id, std::uint64_t row_version) {
  BeginResult result;
  result.status = BeginStatus::kOwned;
  result.ticket = reservations_.at(id).ticket;
  result.ticket.reserved = true;
  result.ticket.row_version = row_version;
  log_.Write(EventId::kExecutionReserved, ContextOf(result.ticket),
             RowKey(result.ticket.key));
  EndReservation(id, std::move(result));
}

void ExecutionLedger::EndUnavailable(std::uint64_t id, bool may_be_written) {
  const Reservation& reservation = reservations_.at(id);
  if (may_be_written) {
    ReleaseAt(reservation.ticket, reservation.expected_version);
  }
  EndReservation(id, BeginResult());
}

void ExecutionLedger::Complete(const ExecutionTicket& ticket,
                               const StoredAnswer& answer,
                               const std::optional<Charge>& charge,
                               CompleteCallback callback) {
  PendingWrite write;
  write.complete = true;
  write.ticket = ticket;
  write.expected_version = ticket.row_version;
  write.callback = std::move(callback);
  if (!FitsIntoRow(answer.body)) {
    write.object = ObjectName(ticket);
    write.object_bytes = answer.body;
  }
  Json value = RecordValue(ticket, kDone);
  AddAnswer(answer, write.object, &value);
  if (charge) {
    value["charge"] = Json::parse(ChargeToJson(*charge));
  }
  write.value = DumpRow(value);
  Step(AddPending(std::move(write)));
}

void ExecutionLedger::Release(const ExecutionTicket& ticket) {
  ReleaseAt(ticket, ticket.row_version);
}

// If the write of the record is still on its way, the released record takes
// its place: the version condition of the late write then fails.
void ExecutionLedger::ReleaseAt(const ExecutionTicket& ticket,
                                std::uint64_t expected_version) {
  PendingWrite write;
  write.ticket = ticket;
  write.expected_version = expected_version;
  write.value = DumpRow(RecordValue(ticket, kReleased));
  Step(AddPending(std::move(write)));
}

std::uint64_t ExecutionLedger::AddPending(PendingWrite write) {
  const std::uint64_t id = next_id_++;
  write.delay = kFirstRetryDelay;
  pending_.emplace(id, std::move(write));
  return id;
}

void ExecutionLedger::Tick(TimePoint now) {
  std::vector<std::uint64_t> due;
  for (const auto& [id, write] : pending_) {
    if (!write.in_flight && write.next_try <= now) {
      due.push_back(id);
    }
  }
  for (std::uint64_t id : due) {
    Step(id);
  }
  for (auto replica = replicas_.begin(); replica != replicas_.end();) {
    const std::optional<TimePoint>& at = replica->second.take_over_at;
    if (at.has_value() && *at <= now) {
      TakeOver(replica->second.message);
      replica = replicas_.erase(replica);
    } else {
      ++replica;
    }
  }
}

PeerExecutionReplica ExecutionLedger::MakeReplica(
    const PendingWrite& write) const {
  PeerExecutionReplica replica;
  replica.account = write.ticket.key.account;
  replica.idempotency_key = write.ticket.key.idempotency_key;
  replica.owner_token = write.ticket.owner_token;
  replica.request_hash = write.ticket.request_hash;
  replica.reserved = write.ticket.reserved;
  replica.expected_version = write.expected_version;
  replica.value = write.value;
  return replica;
}

void ExecutionLedger::OnPeerMessage(const InstanceId& from,
                                    const PeerExecutionReplica& message) {
  if (message.stored) {
    replicas_.erase(message.owner_token);
  } else if (replicas_.size() < kMaxReplicas) {
    replicas_[message.owner_token] = {from, message, std::nullopt};
  }
}

void ExecutionLedger::OnPeerUp(const InstanceId& peer) {
  for (auto& [token, replica] : replicas_) {
    if (replica.owner == peer) {
      replica.take_over_at.reset();
    }
  }
}

void ExecutionLedger::OnPeerDown(const InstanceId& peer) {
  for (auto& [token, replica] : replicas_) {
    if (replica.owner == peer) {
      replica.take_over_at = clock_.Now() + kTakeOverDelay;
    }
  }
}

void ExecutionLedger::TakeOver(const PeerExecutionReplica& message) {
  PendingWrite write;
  write.complete = true;
  write.ticket.key = {message.account, message.idempotency_key};
  write.ticket.owner_token = message.owner_token;
  write.ticket.request_hash = message.request_hash;
  write.ticket.reserved = message.reserved;
  write.ticket.row_version = message.expected_version;
  write.expected_version = message.expected_version;
  write.value = message.value;
  Step(AddPending(std::move(write)));
}

void ExecutionLedger::Step(std::uint64_t id) {
  PendingWrite& write = pending_.at(id);
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
  table_.Submit(std::move(transaction),
                [this, id](const TableReply& reply) { OnWritten(id, reply); });
}

void ExecutionLedger::PutObject(std::uint64_t id) {
  const PendingWrite& write = pending_.at(id);
  objects_.Put(write.object, write.object_bytes,
               [this, id](const ObjectReply& reply) {
                 if (reply.outcome != ObjectOutcome::kOk) {
                   RetryLater(id);
                   return;
                 }
                 pending_.at(id).object.clear();
                 pending_.at(id).object_bytes.clear();
                 Step(id);
               });
}

void ExecutionLedger::OnWritten(std::uint64_t id, const TableReply& reply) {
  switch (reply.outcome) {
    case TableOutcome::kOk:
      EndPending(id, true);
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
  table_.Get({RowKey(pending_.at(id).ticket.key)},
             [this, id](const TableReply& reply) { OnReadBack(id, reply); });
}

void ExecutionLedger::OnReadBack(std::uint64_t id, const TableReply& reply) {
  PendingWrite& write = pending_.at(id);
  if (reply.outcome != TableOutcome::kOk) {
    RetryLater(id);
    return;
  }
  const Record record = FindRecord(reply);
  const std::uint64_t version = FindVersion(reply);
  const bool own = record.owner == write.ticket.owner_token;
  // The late write of the record has taken effect before the release.
  const bool late = own && record.state == kSent;
  const bool released = !write.ticket.reserved && record.state == kReleased;
  if (own && record.state == (write.complete ? kDone : kReleased)) {
    EndPending(id, true);
  } else if (version == write.expected_version) {
    RetryLater(id);
  } else if (late || released) {
    write.expected_version = version;
    Step(id);
  } else {
    EndPending(id, false);
  }
}

void ExecutionLedger::RetryLater(std::uint64_t id) {
  PendingWrite& write = pending_.at(id);
  write.in_flight = false;
  write.next_try = clock_.Now() + write.delay;
  write.delay = std::min(write.delay * 2, kMaxRetryDelay);
  if (write.callback) {
    // The caller may get its answer now, so that the loss of this instance must
    // not lose the charge.
    write.replicated = true;
    peers_.Broadcast(MakeReplica(write));
    const CompleteCallback callback = std::move(write.callback);
    write.callback = nullptr;
    callback(false);
  }
}

void ExecutionLedger::EndPending(std::uint64_t id, bool stored) {
  auto found = pending_.find(id);
  const PendingWrite write = std::move(found->second);
  pending_.erase(found);
  const EventContext context = ContextOf(write.ticket);
  const std::string key = RowKey(write.ticket.key);
  if (write.replicated) {
    PeerExecutionReplica done;
    done.owner_token = write.ticket.owner_token;
    done.stored = true;
    peers_.Broadcast(std::move(done));
  }
  if (write.complete && !stored && !write.ticket.reserved) {
    log_.Write(EventId::kExecutionDone, context,
               "another try has stored its answer before: " + key);
  } else if (write.complete && !stored) {
    log_.Write(EventId::kInvariantViolated, context,
               "the execution record of a sent call has another owner: " + key);
  } else {
    log_.Write(
        write.complete ? EventId::kExecutionDone : EventId::kExecutionReleased,
        context, key);
  }
  if (write.callback) {
    write.callback(stored);
  }
}

}  // namespace filbertshift
