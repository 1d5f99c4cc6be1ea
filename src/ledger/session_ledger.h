// Binds each session to one version of a model, identical on all instances.

#ifndef SRC_LEDGER_SESSION_LEDGER_H_
#define SRC_LEDGER_SESSION_LEDGER_H_

#include <functional>
#include <list>
#include <map>
#include <string>

#include "src/config/config.h"
#include "src/ledger/table_calls.h"

namespace filbertshift {

struct SessionKey {
  AccountId account;
  SessionId session;
  ModelId model;

  friend bool operator<(const SessionKey& a, const SessionKey& b);
};

enum class SessionStatus {
  // The session is bound to `version` on all instances.
  kBound,
  // The previous version was withdrawn and the session has moved to `version`.
  kMoved,
  // The table service did not answer and no binding is cached, or the version
  // of the session is withdrawn and has no usable replacement.
  kUnavailable,
};

struct SessionResult {
  SessionStatus status = SessionStatus::kUnavailable;
  VersionId version;
};

struct SessionLedgerOptions {
  // Limit of cached bindings; the least recently used ones are evicted.
  std::size_t max_cached = 50000;
};

class SessionLedger {
 public:
  using Callback = std::function<void(const SessionResult&)>;

  SessionLedger(SessionLedgerOptions options,
                TableCalls& table,
                PeerPort& peers,
                Random& random,
                EventLog& log);

  // Binds a new session to `proposed`. If `withdrawn` returns true for the
  // version of the session, the session moves to the result of `replacement`.
  // While the table service is unavailable, a cached binding is used unless its
  // version is withdrawn, and an unknown session gets kUnavailable. Both
  // functions are kept until the callback has run. With a usable cached binding
  // the callback runs before Resolve returns.
  void Resolve(const SessionKey& key,
               const VersionId& proposed,
               const std::function<bool(const VersionId&)>& withdrawn,
               const std::function<VersionId(const VersionId&)>& replacement,
               Callback callback);

  void OnPeerMessage(const PeerSessionBound& message);

 private:
  struct Binding {
    VersionId version;
    // True after a peer reported a different version: the next Resolve reads
    // the stored version, if the table service answers.
    bool needs_read = false;
    std::list<SessionKey>::iterator lru_position;
  };

  // A Resolve whose callback is outstanding.
  struct Pending {
    SessionKey key;
    VersionId proposed;
    std::function<bool(const VersionId&)> withdrawn;
    std::function<VersionId(const VersionId&)> replacement;
    Callback callback;
    // True if the stored version is withdrawn and a move was written.
    bool moving = false;
    int reads = 0;
  };

  void Create(std::uint64_t id);
  void Read(std::uint64_t id);
  void OnRead(std::uint64_t id, const TableReply& reply);
  void Move(std::uint64_t id, const VersionId& from, std::uint64_t row_version);
  void Write(std::uint64_t id,
             const VersionId& version,
             std::uint64_t expected_version);
  void OnWritten(std::uint64_t id,
                 const VersionId& version,
                 const TableReply& reply);
  void FinishBound(std::uint64_t id, const VersionId& version, bool announce);
  // Finishes with the cached binding if it is usable, else with kUnavailable.
  void FinishFromCache(std::uint64_t id);
  void Finish(std::uint64_t id, SessionResult result);
  Binding& CacheBinding(const SessionKey& key, const VersionId& version);

  const SessionLedgerOptions options_;
  TableCalls& table_;
  PeerPort& peers_;
  Random& random_;
  EventLog& log_;
  std::map<SessionKey, Binding> bindings_;
  // Keys of bindings_, most recently used first. Invariant: each key once.
  std::list<SessionKey> lru_keys_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, Pending> pending_;
};

}  // namespace filbertshift

#endif  // SRC_LEDGER_SESSION_LEDGER_H_
