#include "tests/unit/ledger/fake_table.h"

#include <algorithm>
#include <utility>

namespace filbertshift {
namespace {

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

TableReply FakeStore::Apply(const Call& call) {
  TableReply reply;
  if (call.query) {
    ++reads;
    reply = ApplyQuery(call);
  } else if (call.transaction.writes.empty()) {
    ++reads;
    reply.outcome = TableOutcome::kOk;
    for (const std::string& key : call.keys) {
      if (rows.count(key) > 0) {
        reply.rows.push_back(rows.at(key));
      }
    }
  } else {
    reply = ApplyWrites(call.transaction);
  }
  reply.operation = call.operation;
  return reply;
}

TableReply FakeStore::ApplyWrites(const TableTransaction& transaction) {
  TableReply reply;
  for (const TableWrite& write : transaction.writes) {
    writes += write.check_only ? 0 : 1;
    auto found = rows.find(write.key);
    const std::uint64_t version =
        found == rows.end() ? 0 : found->second.version;
    if (version != write.expected_version) {
      reply.outcome = TableOutcome::kConflict;
    }
  }
  if (reply.outcome == TableOutcome::kConflict) {
    return reply;
  }
  for (const TableWrite& write : transaction.writes) {
    if (write.remove) {
      rows.erase(write.key);
    } else if (!write.check_only) {
      rows[write.key] = {write.key, write.expected_version + 1, write.value};
    }
  }
  reply.outcome = TableOutcome::kOk;
  return reply;
}

TableReply FakeStore::ApplyQuery(const Call& call) const {
  TableReply reply;
  reply.outcome = TableOutcome::kOk;
  for (const auto& [key, row] : rows) {
    if (!StartsWith(key, call.prefix) || key <= call.after) {
      continue;
    }
    if (reply.rows.size() == static_cast<std::size_t>(call.limit)) {
      reply.has_more = true;
      break;
    }
    reply.rows.push_back(row);
  }
  return reply;
}

std::size_t FakeStore::Count(const std::string& prefix) const {
  return static_cast<std::size_t>(
      std::count_if(rows.begin(), rows.end(), [&prefix](const auto& entry) {
        return StartsWith(entry.first, prefix);
      }));
}

FakeClient::FakeClient(FakeStore& shared_store, int number, EventLog& log)
    : store(shared_store), client(number), table(*this, log), objects(*this) {}

bool FakeClient::Enqueue(FakeStore::Call call) {
  call.client = client;
  if (down) {
    TableReply reply;
    reply.operation = call.operation;
    reply.outcome = TableOutcome::kNotApplied;
    inbox.emplace_back(reply);
  } else {
    store.calls.push_back(std::move(call));
  }
  return true;
}

bool FakeClient::Submit(OperationId operation, TableTransaction transaction) {
  FakeStore::Call call;
  call.operation = operation;
  call.transaction = std::move(transaction);
  return Enqueue(std::move(call));
}

bool FakeClient::Get(OperationId operation, std::vector<std::string> keys) {
  FakeStore::Call call;
  call.operation = operation;
  call.keys = std::move(keys);
  return Enqueue(std::move(call));
}

bool FakeClient::Query(OperationId operation,
                       std::string prefix,
                       std::string after,
                       int limit) {
  FakeStore::Call call;
  call.operation = operation;
  call.query = true;
  call.prefix = std::move(prefix);
  call.after = std::move(after);
  call.limit = limit;
  return Enqueue(std::move(call));
}

bool FakeClient::Put(OperationId operation,
                     std::string name,
                     std::string bytes) {
  ObjectReply reply;
  reply.operation = operation;
  if (!objects_down) {
    store.objects[name] = std::move(bytes);
    reply.outcome = ObjectOutcome::kOk;
  }
  inbox.emplace_back(reply);
  return true;
}

bool FakeClient::Get(OperationId operation, std::string name) {
  ObjectReply reply;
  reply.operation = operation;
  if (!objects_down) {
    auto found = store.objects.find(name);
    reply.outcome = found == store.objects.end() ? ObjectOutcome::kMissing
                                                 : ObjectOutcome::kOk;
    reply.bytes = found == store.objects.end() ? "" : found->second;
  }
  inbox.emplace_back(reply);
  return true;
}

bool FakeClient::Remove(OperationId operation, std::string name) {
  ObjectReply reply;
  reply.operation = operation;
  if (!objects_down) {
    store.objects.erase(name);
    reply.outcome = ObjectOutcome::kOk;
  }
  inbox.emplace_back(reply);
  return true;
}

bool FakeClient::DeliverOne() {
  if (inbox.empty()) {
    return false;
  }
  const auto reply = std::move(inbox.front());
  inbox.pop_front();
  if (const auto* table_reply = std::get_if<TableReply>(&reply)) {
    table.OnReply(*table_reply);
  } else {
    objects.OnReply(std::get<ObjectReply>(reply));
  }
  return true;
}

FakeSchedule::FakeSchedule(FakeStore& store,
                           std::uint64_t seed,
                           FakeFaults initial_faults)
    : faults(initial_faults), store_(store), random_(seed) {}

int FakeSchedule::Draw(int bound) {
  return static_cast<int>(random_.Next() % static_cast<std::uint64_t>(bound));
}

void FakeSchedule::Remove(const FakeClient* client) {
  clients_.erase(std::remove(clients_.begin(), clients_.end(), client),
                 clients_.end());
}

bool FakeSchedule::RunOne() {
  std::vector<FakeClient*> ready;
  for (FakeClient* client : clients_) {
    if (!client->inbox.empty() && paused.count(client->client) == 0) {
      ready.push_back(client);
    }
  }
  const int choices =
      static_cast<int>(ready.size()) + (store_.calls.empty() ? 0 : 1);
  if (choices == 0) {
    return false;
  }
  const auto choice = static_cast<std::size_t>(Draw(choices));
  if (choice < ready.size()) {
    ready[choice]->DeliverOne();
  } else {
    HandleCall();
  }
  return true;
}

void FakeSchedule::RunAll() {
  while (RunOne()) {
  }
}

void FakeSchedule::HandleCall() {
  const int index = Draw(static_cast<int>(store_.calls.size()));
  const FakeStore::Call call = store_.calls[index];
  store_.calls.erase(store_.calls.begin() + index);
  if (call.delayed) {
    store_.Apply(call);
    return;
  }
  TableReply lost;
  lost.operation = call.operation;
  int draw = Draw(100);
  if ((draw -= faults.refused) < 0) {
    lost.outcome = TableOutcome::kNotApplied;
    Answer(call.client, lost);
  } else if ((draw -= faults.lost_reply) < 0) {
    store_.Apply(call);
    Answer(call.client, lost);
  } else if ((draw -= faults.lost_call) < 0) {
    Answer(call.client, lost);
  } else if ((draw -= faults.delayed_call) < 0) {
    store_.calls.push_back(call);
    store_.calls.back().delayed = true;
    Answer(call.client, lost);
  } else {
    Answer(call.client, store_.Apply(call));
  }
}

void FakeSchedule::Answer(int client, TableReply reply) {
  for (FakeClient* candidate : clients_) {
    if (candidate->client == client) {
      candidate->inbox.emplace_back(std::move(reply));
      return;
    }
  }
}

}  // namespace filbertshift
