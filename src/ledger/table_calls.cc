#include "src/ledger/table_calls.h"

#include <utility>

namespace filbertshift {

TableCalls::TableCalls(TablePort& port, EventLog& log)
    : port_(port), log_(log) {}

OperationId TableCalls::Register(Callback callback) {
  const OperationId operation{next_operation_++};
  callbacks_.emplace(operation, std::move(callback));
  return operation;
}

void TableCalls::Submit(TableTransaction transaction, Callback callback) {
  const OperationId operation = Register(std::move(callback));
  if (!port_.Submit(operation, std::move(transaction))) {
    refused_operations_.push_back(operation);
  }
}

void TableCalls::Get(std::vector<std::string> keys, Callback callback) {
  const OperationId operation = Register(std::move(callback));
  if (!port_.Get(operation, std::move(keys))) {
    refused_operations_.push_back(operation);
  }
}

void TableCalls::Query(std::string prefix,
                       std::string after,
                       int limit,
                       Callback callback) {
  const OperationId operation = Register(std::move(callback));
  if (!port_.Query(operation, std::move(prefix), std::move(after), limit)) {
    refused_operations_.push_back(operation);
  }
}

void TableCalls::OnReply(const TableReply& reply) {
  auto found = callbacks_.find(reply.operation);
  if (found == callbacks_.end()) {
    return;
  }
  Callback callback = std::move(found->second);
  callbacks_.erase(found);
  UpdateAvailability(reply);
  callback(reply);
}

void TableCalls::UpdateAvailability(const TableReply& reply) {
  const bool answered = reply.outcome == TableOutcome::kOk ||
                        reply.outcome == TableOutcome::kConflict;
  if (answered == available_) {
    return;
  }
  available_ = answered;
  log_.Write(answered ? EventId::kTableRecovered : EventId::kTableUnavailable,
             reply.detail);
}

void TableCalls::FailRefusedCalls() {
  std::vector<OperationId> refused;
  std::swap(refused, refused_operations_);
  for (OperationId operation : refused) {
    TableReply reply;
    reply.operation = operation;
    reply.outcome = TableOutcome::kNotApplied;
    reply.detail = "the queue to the platform thread is full";
    OnReply(reply);
  }
}

ObjectCalls::ObjectCalls(ObjectPort& port) : port_(port) {}

OperationId ObjectCalls::Register(Callback callback) {
  const OperationId operation{next_operation_++};
  callbacks_.emplace(operation, std::move(callback));
  return operation;
}

void ObjectCalls::Put(std::string name, std::string bytes, Callback callback) {
  const OperationId operation = Register(std::move(callback));
  if (!port_.Put(operation, std::move(name), std::move(bytes))) {
    refused_operations_.push_back(operation);
  }
}

void ObjectCalls::Get(std::string name, Callback callback) {
  const OperationId operation = Register(std::move(callback));
  if (!port_.Get(operation, std::move(name))) {
    refused_operations_.push_back(operation);
  }
}

void ObjectCalls::Remove(std::string name, Callback callback) {
  const OperationId operation = Register(std::move(callback));
  if (!port_.Remove(operation, std::move(name))) {
    refused_operations_.push_back(operation);
  }
}

void ObjectCalls::OnReply(const ObjectReply& reply) {
  auto found = callbacks_.find(reply.operation);
  if (found == callbacks_.end()) {
    return;
  }
  Callback callback = std::move(found->second);
  callbacks_.erase(found);
  callback(reply);
}

void ObjectCalls::FailRefusedCalls() {
  std::vector<OperationId> refused;
  std::swap(refused, refused_operations_);
  for (OperationId operation : refused) {
    ObjectReply reply;
    reply.operation = operation;
    reply.detail = "the queue to the platform thread is full";
    OnReply(reply);
  }
}

}  // namespace filbertshift
