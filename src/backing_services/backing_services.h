// Public header of the platform library: adapters to the table service, the
// object store, the instance list and the rating service. One thread serves all
// of them.

#ifndef SRC_BACKING_SERVICES_PLATFORM_H_
#define SRC_BACKING_SERVICES_PLATFORM_H_

#include <chrono>
#include <memory>
#include <string>

#include "src/ports/ports.h"

namespace filbertshift {

struct PlatformOptions {
  // Each "ip:port"; an empty rating address means that there is none.
  std::string table_address;
  std::string table_name;
  std::string object_store_address;
  std::string object_store_bucket;
  std::string instance_list_address;
  std::string rating_address;
  std::chrono::milliseconds timeout{1500};
  std::chrono::milliseconds instance_list_poll_interval{1000};
  // Calls in progress or waiting; more are refused.
  std::size_t max_pending = 4096;
  // Calls to the table service at a time; bounds its load from one instance.
  std::size_t max_parallel = 32;
};

// Starts its thread on construction and ends it on destruction. Throws
// std::runtime_error if it cannot start.
class PlatformClient : public TablePort, public ObjectPort, public RatingPort {
 public:
  PlatformClient(PlatformOptions options, CoreRing& core, EventLog& log);
  ~PlatformClient() override;

  bool Submit(OperationId operation, TableTransaction transaction) override;
  bool Get(OperationId operation, std::vector<std::string> keys) override;
  bool Query(OperationId operation,
             std::string prefix,
             std::string after,
             int limit) override;

  bool Put(OperationId operation, std::string name, std::string bytes) override;
  bool Get(OperationId operation, std::string name) override;
  bool Remove(OperationId operation, std::string name) override;

  bool Rate(OperationId operation, RatingQuery query) override;

 private:
  class Worker;
  std::unique_ptr<Worker> worker_;
};

}  // namespace filbertshift

#endif  // SRC_BACKING_SERVICES_PLATFORM_H_
