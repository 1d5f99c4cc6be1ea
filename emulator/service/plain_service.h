// Emulates a plain service that executes every request, without deduplication.

#ifndef EMULATOR_SERVICE_PLAIN_SERVICE_H_
#define EMULATOR_SERVICE_PLAIN_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "emulator/http/http.h"
#include "emulator/service/execution_log.h"

namespace filbertshift::emulator {

struct PlainServiceFaults {
  // Delay before the execution.
  std::chrono::milliseconds delay{0};
  // Number of further requests that crash the service before their execution.
  int crash_before = 0;
  // Number of further requests that crash the service after their execution and
  // before the reply.
  int crash_after = 0;
  // Number of further requests that are executed but whose reply is dropped.
  int drop_replies = 0;
  // Requests are neither executed nor answered.
  bool hang = false;
  // Requests are executed but not answered.
  bool hang_after = false;
  // Requests are answered with status 503 and X-Not-Run: true.
  bool refuse = false;
  // Retry-After of these refusals; none if empty.
  std::string retry_after;
  // Added to every response, such as the announcement of a planned stop.
  std::vector<HttpField> headers;

  // Applies keys named like the members, except that delay is delay_ms. Throws
  // ControlError.
  void Apply(ControlReader* control);
};

// Executes any method and path, apart from GET /health and GET /metrics.
// Control: the keys of PlainServiceFaults and crash. Inspection:
// /_history?after=<sequence>.
class PlainService : public EmulatedService {
 public:
  // The service restarts `restart_duration` after a crash.
  PlainService(const ServicePorts& ports,
               std::string name,
               std::chrono::milliseconds restart_duration);
  ~PlainService() override;

  void ApplyControl(const std::string& body) override;

 protected:
  HttpResponse HandleControl(const HttpRequest& request) override;
  void HandleRequest(ExchangeId exchange, HttpRequest request) override;

 private:
  void ExecuteAndRespond(ExchangeId exchange,
                         const HttpRequest& request,
                         int incarnation);
  // Callers of the methods below must hold mutex_.
  void CrashNow();
  std::string MetricsText() const;

  const std::string name_;
  const std::chrono::milliseconds restart_duration_;
  std::mutex mutex_;
  PlainServiceFaults faults_;
  ExecutionLog log_;
  std::int64_t start_ms_;
  // Incremented by each restart. Requests received before a restart are not
  // executed.
  int incarnation_ = 1;
  // True from a crash until the restart.
  bool crashed_ = false;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_SERVICE_PLAIN_SERVICE_H_
