#include "src/ledger/session_ledger.h"

#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

#include "src/ledger/row_key.h"
#include "src/ledger/stored_answer.h"

namespace filbertshift {
namespace {

using Json = nlohmann::json;

// Limits the reads of one Resolve while other instances change the same
// session.
constexpr int kMaxReads = 6;
// Limits the search if withdrawn versions name each other as successors in a
// cycle.
constexpr int kMaxSuccessorSteps = 8;

// A session may use several models, as in a cascade, each with its own binding.
std::string RowKey(const SessionKey& key) {
  return "session/" + EncodeKeyPart(key.account.value()) + "/" +
         EncodeKeyPart(key.session.value()) + "/" +
         EncodeKeyPart(key.model.value());
}

}  // namespace

bool operator<(const SessionKey& a, const SessionKey& b) {
  return std::tie(a.account, a.session, a.model) <
         std::tie(b.account, b.session, b.model);
}

SessionLedger::SessionLedger(SessionLedgerOptions options,
                             TableCalls& table,
                             PeerPort& peers,
                             Random& random,
                             EventLog& log)
    : options_(options),
      table_(table),
      peers_(peers),
      random_(random),
      log_(log) {}

void SessionLedger::Resolve(
    const SessionKey& key,
    const VersionId& proposed,
    const std::function<bool(const VersionId&)>& withdrawn,
    const std::function<VersionId(const VersionId&)>& replacement,
    Callback callback) {
  auto cached = bindings_.find(key);
  if (cached != bindings_.end() && !cached->second.needs_read &&
      !withdrawn(cached->second.version)) {
    const VersionId version = cached->second.version;
    CacheBinding(key, version);
    callback({SessionStatus::kBound, version});
    return;
  }
  const std::uint64_t id = next_id_++;
  pending_[id] = {key, proposed, withdrawn, replacement, std::move(callback)};
  if (cached == bindings_.end()) {
    Create(id);
  } else {
    Read(id);
  }
}

void SessionLedger::Create(std::uint64_t id) {
  Write(id, pending_.at(id).proposed, 0);
}

void SessionLedger::Write(std::uint64_t id,
                          const VersionId& version,
                          std::uint64_t expected_version) {
  const Pending& pending = pending_.at(id);
  TableWrite write;
  write.key = RowKey(pending.key);
  write.expected_version = expected_version;
  write.value = DumpRow(
      {{"model", pending.key.model.value()}, {"version", version.value()}});
  TableTransaction transaction;
  transaction.token = RandomToken(random_);
  transaction.writes.push_back(std::move(write));
  table_.Submit(std::move(transaction),
                [this, id, version](const TableReply& reply) {
                  OnWritten(id, version, reply);
                });
}

void SessionLedger::OnWritten(std::uint64_t id,
                              const VersionId& version,
                              const TableReply& reply) {
  switch (reply.outcome) {
    case TableOutcome::kOk:
      FinishBound(id, version, true);
      return;
    case TableOutcome::kNotApplied:
      FinishFromCache(id);
      return;
    case TableOutcome::kConflict:
    case TableOutcome::kUnknown:
      Read(id);
      return;
  }
}

void SessionLedger::Read(std::uint64_t id) {
  if (++pending_.at(id).reads > kMaxReads) {
    FinishFromCache(id);
    return;
  }
  table_.Get({RowKey(pending_.at(id).key)},
             [this, id](const TableReply& reply) { OnRead(id, reply); });
}

void SessionLedger::OnRead(std::uint64_t id, const TableReply& reply) {
  if (reply.outcome != TableOutcome::kOk) {
    FinishFromCache(id);
    return;
  }
  if (reply.rows.empty()) {
    Create(id);
    return;
  }
  const TableRow& row = reply.rows.front();
  VersionId version;
  try {
    version = VersionId(Json::parse(row.value).at("version"));
  } catch (const Json::exception& error) {
    log_.Write(EventId::kInvariantViolated,
               "invalid session row " + row.key + ": " + error.what());
    Finish(id, SessionResult());
    return;
  }
  if (pending_.at(id).withdrawn(version)) {
    Move(id, version, row.version);
  } else {
    FinishBound(id, version, false);
  }
}

void SessionLedger::Move(std::uint64_t id,
                         const VersionId& from,
                         std::uint64_t row_version) {
  Pending& pending = pending_.at(id);
  VersionId target = from;
  for (int i = 0; i < kMaxSuccessorSteps && pending.withdrawn(target); ++i) {
    target = pending.replacement(target);
    if (target.empty()) {
      break;
    }
  }
  if (target.empty() || pending.withdrawn(target)) {
    Finish(id, SessionResult());
    return;
  }
  pending.moving = true;
  Write(id, target, row_version);
}

void SessionLedger::FinishBound(std::uint64_t id,
                                const VersionId& version,
                                bool announce) {
  const Pending& pending = pending_.at(id);
  const SessionKey& key = pending.key;
  CacheBinding(key, version).needs_read = false;
  if (announce) {
    peers_.Broadcast(
        PeerSessionBound{key.account, key.session, key.model, version});
    log_.Write(pending.moving ? EventId::kSessionMoved : EventId::kSessionBound,
               RowKey(key) + " to " + version.value());
  }
  Finish(id, {pending.moving ? SessionStatus::kMoved : SessionStatus::kBound,
              version});
}

void SessionLedger::FinishFromCache(std::uint64_t id) {
  const Pending& pending = pending_.at(id);
  SessionResult result;
  auto cached = bindings_.find(pending.key);
  if (cached != bindings_.end() && !pending.withdrawn(cached->second.version)) {
    result = {SessionStatus::kBound, cached->second.version};
  }
  Finish(id, std::move(result));
}

void SessionLedger::Finish(std::uint64_t id, SessionResult result) {
  auto found = pending_.find(id);
  const Callback callback = std::move(found->second.callback);
  pending_.erase(found);
  callback(result);
}

SessionLedger::Binding& SessionLedger::CacheBinding(const SessionKey& key,
                                                    const VersionId& version) {
  auto [entry, inserted] = bindings_.try_emplace(key);
  if (!inserted) {
    lru_keys_.erase(entry->second.lru_position);
  }
  lru_keys_.push_front(key);
  entry->second.lru_position = lru_keys_.begin();
  entry->second.version = version;
  if (bindings_.size() > options_.max_cached) {
    bindings_.erase(lru_keys_.back());
    lru_keys_.pop_back();
  }
  return bindings_.at(key);
}

// Messages from different peers may arrive in a different order than the writes
// that they report.
void SessionLedger::OnPeerMessage(const PeerSessionBound& message) {
  const SessionKey key{message.account, message.session, message.model};
  auto cached = bindings_.find(key);
  const bool conflicts =
      cached != bindings_.end() && cached->second.version != message.version;
  Binding& binding = CacheBinding(key, message.version);
  binding.needs_read = binding.needs_read || conflicts;
}

}  // namespace filbertshift
