// Simplified platform services for tests over real sockets: a row store and a
// worker, implemented from the published protocol.

#ifndef TESTS_UNIT_GATEWAY_STAND_INS_H_
#define TESTS_UNIT_GATEWAY_STAND_INS_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/gateway/caller_server.h"
#include "src/net/net.h"

namespace filbertshift {

// In-memory row store. Requests for changes are long polls.
class StandInStore : public HttpRequestHandler {
 public:
  struct Row {
    std::string value;
    std::int64_t version = 0;
    bool removed = false;
  };

  explicit StandInStore(Transport* transport);
  AcceptListener* listener() { return &server_; }

  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  // Requests for changes after versions up to the current one get status 410.
  void ForgetHistory();
  // While true, every request gets status 503.
  void SetBusy(bool busy) { busy_ = busy; }

  // Contents of the store at a version.
  struct Copy {
    std::map<std::string, std::map<std::string, Row>> tables;
    std::int64_t version = 0;
  };
  Copy SaveCopy() const { return {tables_, version_}; }
  // Loses all that was written since the copy was saved and raises the era.
  // Waiting requests are cut off.
  void ReturnTo(const Copy& copy);
  // Every response carries the era; not set: none does.
  void SetEra(std::optional<std::int64_t> era) { era_ = era; }
  std::optional<std::int64_t> era() const { return era_; }
  // Reads that got status 410.
  int lost_reads() const { return lost_reads_; }
  // Number of requests that wait for changes of the table.
  std::size_t CountWaiting(const std::string& table) const;
  bool Has(const std::string& table, const std::string& key) const;
  // Number of transactions and of other calls received.
  int transactions() const { return transactions_; }
  int reads() const { return reads_; }
  std::string Value(const std::string& table, const std::string& key) const;

  void OnRequest(ConnectionId caller,
                 HttpRequestHead head,
                 std::string body) override;
  void OnCallerDisconnected(ConnectionId caller, ConnectionEnd end) override;
  void OnRejected(int status, std::string_view reason) override;

 private:
  struct Waiting {
    // Tells this request apart from later ones of the same connection.
    std::uint64_t number;
    ConnectionId caller;
    std::string table;
    std::int64_t after;
  };

  void Transact(ConnectionId caller, const std::string& body);
  bool RespondWithChanges(const Waiting& waiting, bool allow_empty);
  void RespondToWaiting();
  std::string RowsBody(const std::string& table, std::int64_t after) const;
  void Reply(ConnectionId caller, int status, const std::string& body);

  Transport* const transport_;
  CallerServer server_;
  std::map<std::string, std::map<std::string, Row>> tables_;
  std::vector<Waiting> waiting_;
  std::uint64_t last_waiting_ = 0;
  std::int64_t version_ = 0;
  // Requests for changes after an older version get status 410.
  std::int64_t history_from_ = 0;
  bool busy_ = false;
  int transactions_ = 0;
  int reads_ = 0;
  int lost_reads_ = 0;
  std::optional<std::int64_t> era_ = 1;
};

// Answers each request with a sealed response; streams three events on /stream/
// paths.
class StandInWorker : public HttpRequestHandler {
 public:
  StandInWorker(Transport* transport, std::string id);
  AcceptListener* listener() { return &server_; }
  int runs() const { return runs_; }
  // While true, every run ends with status 500.
  void SetFailing(bool failing) { failing_ = failing; }
  // Answers that are no streams come so long after their requests.
  void SetDelay(std::chrono::milliseconds delay) { delay_ = delay; }
  // Aborts the next stream after its first event.
  void BreakNextStream() { break_next_ = true; }

  void OnRequest(ConnectionId caller,
                 HttpRequestHead head,
                 std::string body) override;
  void OnCallerDisconnected(ConnectionId caller, ConnectionEnd end) override;
  void OnRejected(int status, std::string_view reason) override;

 private:
  Transport* const transport_;
  const std::string id_;
  CallerServer server_;
  int runs_ = 0;
  std::chrono::milliseconds delay_{0};
  bool failing_ = false;
  bool break_next_ = false;
};

}  // namespace filbertshift

#endif  // TESTS_UNIT_GATEWAY_STAND_INS_H_
