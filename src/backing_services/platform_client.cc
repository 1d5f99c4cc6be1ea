#include <algorithm>
#include <utility>

#include "src/backing_services/platform_worker.h"

namespace filbertshift {

PlatformClient::PlatformClient(PlatformOptions options,
                               CoreRing& core,
                               EventLog& log)
    : worker_(std::make_unique<Worker>(std::move(options), core, log)) {}

PlatformClient::~PlatformClient() = default;

bool PlatformClient::Submit(OperationId operation,
                            TableTransaction transaction) {
  return worker_->Enqueue(operation, TransactCall{std::move(transaction)});
}

bool PlatformClient::Get(OperationId operation, std::vector<std::string> keys) {
  GetRowsCall call;
  call.keys = std::move(keys);
  return worker_->Enqueue(operation, std::move(call));
}

bool PlatformClient::Query(OperationId operation,
                           std::string prefix,
                           std::string after,
                           int limit) {
  QueryCall call;
  call.prefix = std::move(prefix);
  call.after = std::move(after);
  call.limit = static_cast<std::size_t>(std::max(limit, 0));
  return worker_->Enqueue(operation, std::move(call));
}

bool PlatformClient::Put(OperationId operation,
                         std::string name,
                         std::string bytes) {
  return worker_->Enqueue(operation,
                          PutObjectCall{std::move(name), std::move(bytes)});
}

bool PlatformClient::Get(OperationId operation, std::string name) {
  return worker_->Enqueue(operation, GetObjectCall{std::move(name)});
}

bool PlatformClient::Remove(OperationId operation, std::string name) {
  return worker_->Enqueue(operation, RemoveObjectCall{std::move(name)});
}

bool PlatformClient::Rate(OperationId operation, RatingQuery query) {
  return worker_->Enqueue(operation, RateCall{std::move(query)});
}

}  // namespace filbertshift
