#include <algorithm>
#include <utility>

#include "src/backing_services/backing_services_worker.h"

namespace filbertshift {

BackingServicesClient::BackingServicesClient(BackingServicesOptions options,
                                             CoreRing& core,
                                             EventLog& log)
    : worker_(std::make_unique<Worker>(std::move(options), core, log)) {}

BackingServicesClient::~BackingServicesClient() = default;

bool BackingServicesClient::Submit(OperationId operation,
                                   TableTransaction transaction) {
  return worker_->Enqueue(operation, TransactCall{std::move(transaction)});
}

bool BackingServicesClient::Get(OperationId operation,
                                std::vector<std::string> keys) {
  GetRowsCall call;
  call.keys = std::move(keys);
  return worker_->Enqueue(operation, std::move(call));
}

bool BackingServicesClient::Query(OperationId operation,
                                  std::string prefix,
                                  std::string after,
                                  int limit) {
  QueryCall call;
  call.prefix = std::move(prefix);
  call.after = std::move(after);
  call.limit = static_cast<std::size_t>(std::max(limit, 0));
  return worker_->Enqueue(operation, std::move(call));
}

bool BackingServicesClient::Put(OperationId operation,
                                std::string name,
                                std::string bytes) {
  return worker_->Enqueue(operation,
                          PutObjectCall{std::move(name), std::move(bytes)});
}

bool BackingServicesClient::Get(OperationId operation, std::string name) {
  return worker_->Enqueue(operation, GetObjectCall{std::move(name)});
}

bool BackingServicesClient::Remove(OperationId operation, std::string name) {
  return worker_->Enqueue(operation, RemoveObjectCall{std::move(name)});
}

bool BackingServicesClient::Rate(OperationId operation, RatingQuery query) {
  return worker_->Enqueue(operation, RateCall{std::move(query)});
}

}  // namespace filbertshift
