// An emulated plain service: executes any request and never deduplicates.

#ifndef EMULATOR_SERVICE_PLAIN_SERVICE_H_
#define EMULATOR_SERVICE_PLAIN_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>

#include "emulator/http/http.h"
#include "emulator/service/execution_log.h"

namespace filbertshift::emulator {

struct PlainServiceFaults {
  // Passes before the execution.
  std::chrono::milliseconds delay{0};
  // Number of further requests that crash the service before their execution.
  int crash_before = 0;
  // The same, after the execution and before the reply.
  int crash_after = 0;
  // Number of further replies that are lost after the execution.
  int drop_replies = 0;
  // Requests are neither executed nor answered.
  bool hang = false;
  // Requests are executed and not answered.
  bool hang_after = false;
  // 503 with X-Not-Run: true.
  bool refuse = false;

  // Keys as the members, delay_ms. Throws ControlError.
  void Apply(ControlReader* control);
};

// Any method and path, GET /health, GET /metrics. Control: the keys of
// PlainServiceFaults and crash. Inspection: /_history?after=<sequence>.
class PlainService : public EmulatedService {
 public:
  // A crash is followed by a new life after `restart_duration`.
  PlainService(const ServicePorts& ports,
               std::string name,
               std::chrono::milliseconds restart_duration);
  ~PlainService() override;

 protected:
  HttpResponse HandleControl(const HttpRequest& request) override;
  void HandleRequest(ExchangeId exchange, HttpRequest request) override;

 private:
  void ExecuteAndRespond(ExchangeId exchange,
                         const HttpRequest& request,
                         int life);
  // The methods below need mutex_.
  void CrashNow();
  std::string MetricsText() const;

  const std::string name_;
  const std::chrono::milliseconds restart_duration_;
  std::mutex mutex_;
  PlainServiceFaults faults_;
  ExecutionLog log_;
  std::int64_t start_ms_;
  // Requests of an earlier life are not executed.
  int life_ = 1;
  // True from a crash until the next life.
  bool dead_ = false;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_SERVICE_PLAIN_SERVICE_H_
