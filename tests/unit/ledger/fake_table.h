// In-memory table service and object store for tests of the ledgers. Several
// clients share one store. A seeded schedule decides the order in which calls
// are applied and replies are delivered, and which of them are lost.

#ifndef TESTS_UNIT_LEDGER_FAKE_TABLE_H_
#define TESTS_UNIT_LEDGER_FAKE_TABLE_H_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "src/ledger/table_calls.h"

namespace filbertshift {

class FakeClock : public Clock {
 public:
  TimePoint Now() const override { return now; }
  WallTime WallNow() const override {
    return WallTime(
        std::chrono::duration_cast<WallTime::duration>(now.time_since_epoch()));
  }
  TimePoint now{std::chrono::seconds(1000)};
};

class FakeEventLog : public EventLog {
 public:
  using EventLog::Write;
  void Write(EventId event, const EventContext&, std::string) override {
    ++counts[event];
  }
  std::map<EventId, int> counts;
};

// Percentage of calls that are hit by each fault.
struct FakeFaults {
  // The call is refused and not applied.
  int refused = 0;
  // The call is applied, but its reply is lost; the client gets kUnknown.
  int lost_reply = 0;
  // The call is lost and not applied; the client gets kUnknown.
  int lost_call = 0;
  // The client gets kUnknown, and the call is applied later.
  int delayed_call = 0;
};

class FakeStore {
 public:
  struct Call {
    int client = 0;
    OperationId operation{};
    bool query = false;
    bool delayed = false;
    TableTransaction transaction;
    std::vector<std::string> keys;
    std::string prefix;
    std::string after;
    int limit = 0;
  };

  TableReply Apply(const Call& call);
  // Number of rows whose key starts with the prefix.
  std::size_t Count(const std::string& prefix) const;

  std::map<std::string, TableRow> rows;
  std::map<std::string, std::string> objects;
  std::deque<Call> calls;
  int writes = 0;
  int reads = 0;

 private:
  TableReply ApplyWrites(const TableTransaction& transaction);
  TableReply ApplyQuery(const Call& call) const;
};

// One client of the store. Replies are queued in an inbox, so that a test can
// pause the client.
class FakeClient : public TablePort, public ObjectPort {
 public:
  FakeClient(FakeStore& store, int client, EventLog& log);

  bool Submit(OperationId operation, TableTransaction transaction) override;
  bool Get(OperationId operation, std::vector<std::string> keys) override;
  bool Query(OperationId operation,
             std::string prefix,
             std::string after,
             int limit) override;
  bool Put(OperationId operation, std::string name, std::string bytes) override;
  bool Get(OperationId operation, std::string name) override;
  bool Remove(OperationId operation, std::string name) override;

  // Delivers the oldest reply. Returns false if there is none.
  bool DeliverOne();

  FakeStore& store;
  const int client;
  // If true, the table service refuses every call of this client.
  bool down = false;
  // If true, the object store refuses every call of this client.
  bool objects_down = false;
  std::deque<std::variant<TableReply, ObjectReply>> inbox;
  TableCalls table;
  ObjectCalls objects;

 private:
  bool Enqueue(FakeStore::Call call);
};

// Applies the calls of all clients in a random order determined by the seed.
class FakeSchedule {
 public:
  FakeSchedule(FakeStore& store, std::uint64_t seed, FakeFaults faults);

  void Add(FakeClient* client) { clients_.push_back(client); }
  // Simulates a crash of the client: its undelivered replies are lost, its
  // calls in flight may still be applied.
  void Remove(const FakeClient* client);
  // Applies one pending call or delivers one reply. Returns false if there is
  // neither. Clients in `paused` get no replies.
  bool RunOne();
  // Runs until no call or reply is pending.
  void RunAll();
  // Returns a random number from 0 to bound - 1.
  int Draw(int bound);

  std::set<int> paused;
  FakeFaults faults;

 private:
  void HandleCall();
  void Answer(int client, TableReply reply);

  FakeStore& store_;
  SystemRandom random_;
  std::vector<FakeClient*> clients_;
};

}  // namespace filbertshift

#endif  // TESTS_UNIT_LEDGER_FAKE_TABLE_H_
