// Matches replies of the table service and the object store to their calls.

#ifndef SRC_LEDGER_TABLE_CALLS_H_
#define SRC_LEDGER_TABLE_CALLS_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "src/ports/ports.h"

namespace filbertshift {

// Runs on the core thread. Every call gets exactly one callback, never from
// within the call itself: from OnReply, or, if the queue of the port was full,
// when the core fails the refused calls after handling a message or a tick.
class TableCalls {
 public:
  using Callback = std::function<void(const TableReply&)>;

  TableCalls(TablePort& port, EventLog& log);

  void Submit(TableTransaction transaction, Callback callback);
  void Get(std::vector<std::string> keys, Callback callback);
  void Query(std::string prefix,
             std::string after,
             int limit,
             Callback callback);

  void OnReply(const TableReply& reply);
  // Calls back with kNotApplied for the calls that the port refused.
  void FailRefusedCalls();

  // False after a failed call, until a later call gets kOk or kConflict.
  bool available() const { return available_; }
  std::size_t pending() const { return callbacks_.size(); }

 private:
  OperationId Register(Callback callback);
  // Logs when the table service becomes unavailable or available again.
  void UpdateAvailability(const TableReply& reply);

  TablePort& port_;
  EventLog& log_;
  std::uint64_t next_operation_ = 1;
  std::map<OperationId, Callback> callbacks_;
  std::vector<OperationId> refused_operations_;
  bool available_ = true;
};

class ObjectCalls {
 public:
  using Callback = std::function<void(const ObjectReply&)>;

  explicit ObjectCalls(ObjectPort& port);

  void Put(std::string name, std::string bytes, Callback callback);
  void Get(std::string name, Callback callback);
  void Remove(std::string name, Callback callback);
  void OnReply(const ObjectReply& reply);
  void FailRefusedCalls();

 private:
  OperationId Register(Callback callback);

  ObjectPort& port_;
  std::uint64_t next_operation_ = 1;
  std::map<OperationId, Callback> callbacks_;
  std::vector<OperationId> refused_operations_;
};

}  // namespace filbertshift

#endif  // SRC_LEDGER_TABLE_CALLS_H_
