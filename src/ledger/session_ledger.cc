#include "src/ledger/session_ledger.h"

#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

#include "src/ledger/row_key.h"
#include "src/ledger/stored_answer.h"

namespace filbertshift {
namespace {

using Json = nlohmann::json;

// Table calls for one Resolve while others change the same session.
constexpr int kMaxRounds = 6;
// Bounds a cycle of withdrawn versions that name each other as successors.
constexpr int kMaxSuccessors = 8;

// A session may use several models, as in a cascade, each with its version.
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
  if (cached != bindings_.end() && !cached->second.uncertain &&
      !withdrawn(cached->second.version)) {
    const VersionId version = cached->second.version;
    Remember(key, version);
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
      EndBound(id, version, true);
      return;
    case TableOutcome::kNotApplied:
      EndWithoutTable(id);
      return;
    case TableOutcome::kConflict:
    case TableOutcome::kUnknown:
      Read(id);
      return;
  }
}

void SessionLedger::Read(std::uint64_t id) {
  if (++pending_.at(id).rounds > kMaxRounds) {
    EndWithoutTable(id);
    return;
  }
  table_.Get({RowKey(pending_.at(id).key)},
             [this, id](const TableReply& reply) { OnRead(id, reply); });
}

void SessionLedger::OnRead(std::uint64_t id, const TableReply& reply) {
  if (reply.outcome != TableOutcome::kOk) {
    EndWithoutTable(id);
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
    End(id, SessionResult());
    return;
  }
  if (pending_.at(id).withdrawn(version)) {
    Move(id, version, row.version);
  } else {
    EndBound(id, version, false);
  }
}

void SessionLedger::Move(std::uint64_t id,
                         const VersionId& from,
                         std::uint64_t row_version) {
  Pending& pending = pending_.at(id);
  VersionId target = from;
  for (int i = 0; i < kMaxSuccessors && pending.withdrawn(target); ++i) {
    target = pending.replacement(target);
    if (target.empty()) {
      break;
    }
  }
  if (target.empty() || pending.withdrawn(target)) {
    End(id, SessionResult());
    return;
  }
  pending.moving = true;
  Write(id, target, row_version);
}

void SessionLedger::EndBound(std::uint64_t id,
                             const VersionId& version,
                             bool announce) {
  const Pending& pending = pending_.at(id);
  const SessionKey& key = pending.key;
  Remember(key, version).uncertain = false;
  if (announce) {
    peers_.Broadcast(
        PeerSessionBound{key.account, key.session, key.model, version});
    log_.Write(pending.moving ? EventId::kSessionMoved : EventId::kSessionBound,
               RowKey(key) + " to " + version.value());
  }
  End(id, {pending.moving ? SessionStatus::kMoved : SessionStatus::kBound,
           version});
}

void SessionLedger::EndWithoutTable(std::uint64_t id) {
  const Pending& pending = pending_.at(id);
  SessionResult result;
  auto cached = bindings_.find(pending.key);
  if (cached != bindings_.end() && !pending.withdrawn(cached->second.version)) {
    result = {SessionStatus::kBound, cached->second.version};
  }
  End(id, std::move(result));
}

void SessionLedger::End(std::uint64_t id, SessionResult result) {
  auto found = pending_.find(id);
  const Callback callback = std::move(found->second.callback);
  pending_.erase(found);
  callback(result);
}

SessionLedger::Binding& SessionLedger::Remember(const SessionKey& key,
                                                const VersionId& version) {
  auto [entry, inserted] = bindings_.try_emplace(key);
  if (!inserted) {
    uses_.erase(entry->second.use);
  }
  uses_.push_front(key);
  entry->second.use = uses_.begin();
  entry->second.version = version;
  if (bindings_.size() > options_.max_cached) {
    bindings_.erase(uses_.back());
    uses_.pop_back();
  }
  return bindings_.at(key);
}

// Messages of different peers may arrive in another order than their writes.
void SessionLedger::OnPeerMessage(const PeerSessionBound& message) {
  const SessionKey key{message.account, message.session, message.model};
  auto cached = bindings_.find(key);
  const bool contradicts =
      cached != bindings_.end() && cached->second.version != message.version;
  Binding& binding = Remember(key, message.version);
  binding.uncertain = binding.uncertain || contradicts;
}

}  // namespace filbertshift
