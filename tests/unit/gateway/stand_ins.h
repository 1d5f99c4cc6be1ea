// Stand-ins for the users' platform over real sockets: its store of rows and
// one worker, written from the published protocol.

#ifndef TESTS_UNIT_GATEWAY_STAND_INS_H_
#define TESTS_UNIT_GATEWAY_STAND_INS_H_

#include <map>
#include <string>
#include <vector>

#include "src/gateway/caller_server.h"
#include "src/net/net.h"

namespace filbertshift {

// Keeps rows of any table in memory. Calls for changes wait as asked.
class StandInStore : public HttpRequestHandler {
 public:
  explicit StandInStore(Transport* transport);
  AcceptListener* listener() { return &server_; }

  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  // Calls for changes after an older version than the newest one get 410 once.
  void ForgetHistory();
  // Every call gets 503 while true.
  void SetBusy(bool busy) { busy_ = busy; }
  bool Has(const std::string& table, const std::string& key) const;
  std::string Value(const std::string& table, const std::string& key) const;

  void OnRequest(ConnectionId caller,
                 HttpRequestHead head,
                 std::string body) override;
  void OnCallerGone(ConnectionId caller, ConnectionEnd end) override;
  void OnRejected(int status, std::string_view reason) override;

 private:
  struct Row {
    std::string value;
    std::int64_t version = 0;
    bool removed = false;
  };
  struct Waiting {
    ConnectionId caller;
    std::string table;
    std::int64_t after;
  };

  void Transact(ConnectionId caller, const std::string& body);
  bool AnswerChanges(const Waiting& waiting, bool even_if_none);
  void AnswerWaiting();
  std::string RowsBody(const std::string& table, std::int64_t after) const;
  void Reply(ConnectionId caller, int status, const std::string& body);

  Transport* const transport_;
  CallerServer server_;
  std::map<std::string, std::map<std::string, Row>> tables_;
  std::vector<Waiting> waiting_;
  std::int64_t version_ = 0;
  // Changes before this version are not known any more.
  std::int64_t history_from_ = 0;
  bool busy_ = false;
};

// Answers each request with a seal; streams three events on /stream/ paths.
class StandInWorker : public HttpRequestHandler {
 public:
  StandInWorker(Transport* transport, std::string id);
  AcceptListener* listener() { return &server_; }
  int runs() const { return runs_; }
  // Breaks off the next stream after its first event.
  void BreakNextStream() { break_next_ = true; }

  void OnRequest(ConnectionId caller,
                 HttpRequestHead head,
                 std::string body) override;
  void OnCallerGone(ConnectionId caller, ConnectionEnd end) override;
  void OnRejected(int status, std::string_view reason) override;

 private:
  const std::string id_;
  CallerServer server_;
  int runs_ = 0;
  bool break_next_ = false;
};

}  // namespace filbertshift

#endif  // TESTS_UNIT_GATEWAY_STAND_INS_H_
