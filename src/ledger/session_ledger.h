// Binds each session to one version of a model, on every instance.

#ifndef SRC_LEDGER_SESSION_LEDGER_H_
#define SRC_LEDGER_SESSION_LEDGER_H_

#include <functional>
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
  // The table service did not answer and no binding is known here.
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
                EventLog& log);

  // `proposed` is bound if the session is new. `replacement` takes a session
  // whose version `withdrawn` is true for. Without the table service a cached
  // binding holds; an unknown session gets kUnavailable.
  void Resolve(const SessionKey& key,
               const VersionId& proposed,
               const std::function<bool(const VersionId&)>& withdrawn,
               const std::function<VersionId(const VersionId&)>& replacement,
               Callback callback);

  void OnPeerMessage(const PeerSessionBound& message);
};

}  // namespace filbertshift

#endif  // SRC_LEDGER_SESSION_LEDGER_H_
