// Handles requests to the operator interface, independently of the HTTP server
// that receives them.

#ifndef SRC_ADMIN_ADMIN_ROUTER_H_
#define SRC_ADMIN_ADMIN_ROUTER_H_

#include <prometheus/registry.h>

#include <atomic>
#include <string>

#include "src/admin/operator_calls.h"
#include "src/common/common.h"

namespace filbertshift {

struct AdminRequest {
  std::string method;
  std::string path;
  // Without the question mark.
  std::string query;
  std::string body;
  // The body exceeds the size limit and was discarded.
  bool body_too_large = false;
  // There is no Content-Length header, for example with a chunked body.
  bool length_missing = false;
};

struct AdminResponse {
  int http_status = 200;
  std::string content_type = "application/json";
  std::string body;
  // Value of the Allow header, which is omitted if this is empty.
  std::string allow;
};

struct AdminIdentity {
  InstanceId instance;
  DataCentreId data_centre;
};

// Maps paths to handlers. Thread-safe; the references must outlive it.
class AdminRouter {
 public:
  AdminRouter(AdminIdentity identity,
              OperatorCalls& calls,
              const StderrEventLog& log,
              const prometheus::Registry& registry,
              const std::atomic<bool>& ready);

  AdminResponse Handle(const AdminRequest& request) const;

 private:
  AdminResponse Route(const AdminRequest& request) const;
  AdminResponse HandleShow(const AdminRequest& request,
                           OperatorCommand command) const;
  AdminResponse HandleApply(const AdminRequest& request) const;
  AdminResponse HandleEvents(const AdminRequest& request) const;
  AdminResponse HandleMetrics(const AdminRequest& request) const;
  AdminResponse HandleReadiness(const AdminRequest& request) const;
  AdminResponse CallCore(OperatorCommand command) const;

  const AdminIdentity identity_;
  OperatorCalls& calls_;
  const StderrEventLog& log_;
  const prometheus::Registry& registry_;
  const std::atomic<bool>& ready_;
};

}  // namespace filbertshift

#endif  // SRC_ADMIN_ADMIN_ROUTER_H_
