// Public header of the backing_services library: clients of the table service,
// the object store, the instance list and the rating service. All of them run
// on one thread.

#ifndef SRC_BACKING_SERVICES_BACKING_SERVICES_H_
#define SRC_BACKING_SERVICES_BACKING_SERVICES_H_

#include <chrono>
#include <memory>
#include <string>

#include "src/ports/ports.h"

namespace filbertshift {

struct BackingServicesOptions {
  // Addresses are "ip:port". An empty rating_address means that there is no
  // rating service.
  std::string table_address;
  std::string table_name;
  std::string object_store_address;
  std::string object_store_bucket;
  std::string instance_list_address;
  std::string rating_address;
  std::chrono::milliseconds timeout{1500};
  std::chrono::milliseconds instance_list_poll_interval{1000};
  // Calls that are in progress or queued; further calls are rejected.
  std::size_t max_pending = 4096;
  // Concurrent connections to each service; bounds the load from one instance.
  std::size_t max_parallel = 32;
};

// Starts its thread on construction and stops it on destruction. The
// constructor throws std::runtime_error if the thread cannot start.
class BackingServicesClient : public TablePort,
                              public ObjectPort,
                              public RatingPort {
 public:
  BackingServicesClient(BackingServicesOptions options,
                        CoreRing& core,
                        EventLog& log);
  ~BackingServicesClient() override;

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

#endif  // SRC_BACKING_SERVICES_BACKING_SERVICES_H_
