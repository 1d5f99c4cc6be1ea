// Binds each session to one version of a model, on every instance.

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
  // `version` holds for this session on every instance.
  kBound,
  // The session's version is withdrawn and it has moved to `version`.
  kMoved,
  // The table service did not answer and no binding is known here, or the
  // session's version is withdrawn and cannot be replaced.
  kUnavailable,
};

struct SessionResult {
  SessionStatus status = SessionStatus::kUnavailable;
  VersionId version;
};

struct SessionLedgerOptions {
  // Least recently used bindings beyond this number are dropped from memory.
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

  // `proposed` is bound if the session is new. `replacement` takes a session
  // whose version `withdrawn` is true for. Without the table service a cached
  // binding holds unless its version is withdrawn; an unknown session gets
  // kUnavailable. Both functions are kept until the callback. With a cached
  // binding the callback runs before Resolve returns.
  void Resolve(const SessionKey& key,
               const VersionId& proposed,
               const std::function<bool(const VersionId&)>& withdrawn,
               const std::function<VersionId(const VersionId&)>& replacement,
               Callback callback);

  void OnPeerMessage(const PeerSessionBound& message);

 private:
  struct Binding {
    VersionId version;
    // True after contradicting news: the table decides, if it answers.
    bool uncertain = false;
    std::list<SessionKey>::iterator use;
  };

  // A Resolve that has not called back.
  struct Pending {
    SessionKey key;
    VersionId proposed;
    std::function<bool(const VersionId&)> withdrawn;
    std::function<VersionId(const VersionId&)> replacement;
    Callback callback;
    // The binding was to a withdrawn version.
    bool moving = false;
    int rounds = 0;
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
  void EndBound(std::uint64_t id, const VersionId& version, bool announce);
  // Ends with the cached binding, if there is a usable one.
  void EndWithoutTable(std::uint64_t id);
  void End(std::uint64_t id, SessionResult result);
  Binding& Remember(const SessionKey& key, const VersionId& version);

  const SessionLedgerOptions options_;
  TableCalls& table_;
  PeerPort& peers_;
  Random& random_;
  EventLog& log_;
  std::map<SessionKey, Binding> bindings_;
  // Invariant: each key of bindings_ once, most recently used first.
  std::list<SessionKey> uses_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, Pending> pending_;
};

}  // namespace filbertshift

#endif  // SRC_LEDGER_SESSION_LEDGER_H_
