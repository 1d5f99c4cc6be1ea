// Emulates the instance list of the platform, in the format of Prometheus HTTP
// service discovery.

#ifndef EMULATOR_INSTANCES_INSTANCE_LIST_SERVICE_H_
#define EMULATOR_INSTANCES_INSTANCE_LIST_SERVICE_H_

#include <mutex>

#include "emulator/http/http.h"
#include "emulator/instances/lagged_list.h"

namespace filbertshift::emulator {

// GET /instances returns the visible list. PUT /_control/instances replaces the
// list; GET /_control/instances returns the newest one regardless of the lag.
// Additional control keys: lag_ms, stale.
class InstanceListService : public FaultyService {
 public:
  // Throws std::invalid_argument if `initial` is not a list in the format of
  // Prometheus HTTP service discovery. The initial list is visible immediately.
  InstanceListService(const ServicePorts& ports, const Json& initial);
  ~InstanceListService() override;

 protected:
  HttpResponse Execute(const HttpRequest& request) override;
  bool IsWrite(const HttpRequest& request) const override;
  std::function<void()> ReadControl(ControlReader* control) override;
  HttpResponse Inspect(const HttpRequest& request) override;

 private:
  HttpResponse Replace(const HttpRequest& request);

  std::mutex mutex_;
  LaggedList list_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_INSTANCES_INSTANCE_LIST_SERVICE_H_
