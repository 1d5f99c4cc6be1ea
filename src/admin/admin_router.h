// Turns a call of the operator interface into its reply, independent of the
// HTTP server.

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
  // The body is longer than the bound and is not kept.
  bool body_too_large = false;
  // The body has no length, or one that is not known in advance.
  bool length_missing = false;
};

struct AdminResponse {
  int http_status = 200;
  std::string content_type = "application/json";
  std::string body;
  // Value of the Allow header; empty leaves it out.
  std::string allow;
};

struct AdminIdentity {
  InstanceId instance;
  DataCentreId data_centre;
};

// Thread-safe; the references must outlive it.
class AdminRouter {
 public:
  AdminRouter(AdminIdentity identity,
              OperatorCalls& calls,
              const StderrEventLog& log,
              const prometheus::Registry& registry,
              const std::atomic<bool>& ready);

  AdminResponse Handle(const AdminRequest& request) const;

 private:
  AdminResponse HandlePath(const AdminRequest& request) const;
  AdminResponse Show(const AdminRequest& request,
                     OperatorCommand command) const;
  AdminResponse Apply(const AdminRequest& request) const;
  AdminResponse Events(const AdminRequest& request) const;
  AdminResponse MetricsText(const AdminRequest& request) const;
  AdminResponse Readiness(const AdminRequest& request) const;
  AdminResponse CallCore(OperatorCommand command) const;

  const AdminIdentity identity_;
  OperatorCalls& calls_;
  const StderrEventLog& log_;
  const prometheus::Registry& registry_;
  const std::atomic<bool>& ready_;
};

}  // namespace filbertshift

#endif  // SRC_ADMIN_ADMIN_ROUTER_H_
