// Base class of emulated services that compute each response synchronously,
// subject to the faults of FaultInjector.

#ifndef EMULATOR_HTTP_FAULTY_SERVICE_H_
#define EMULATOR_HTTP_FAULTY_SERVICE_H_

#include <functional>
#include <string>

#include "emulator/http/emulated_service.h"
#include "emulator/http/fault_injector.h"

namespace filbertshift::emulator {

class FaultyService : public EmulatedService {
 public:
  using EmulatedService::EmulatedService;

  void ApplyControl(const std::string& body) override;

 protected:
  // Called on the scheduler thread, for one request at a time.
  virtual HttpResponse Execute(const HttpRequest& request) = 0;
  virtual bool IsWrite(const HttpRequest& request) const = 0;
  virtual HttpResponse UnavailableResponse() const;
  virtual HttpResponse ThrottledResponse() const;

  // Reads the service-specific keys of a control request. Returns a function
  // that applies them; it is called only if the whole request is valid.
  virtual std::function<void()> ReadControl(ControlReader* control);
  // Handles inspection paths such as /_history.
  virtual HttpResponse Inspect(const HttpRequest& request) = 0;

  HttpResponse HandleControl(const HttpRequest& request) final;
  void HandleRequest(ExchangeId exchange, HttpRequest request) final;

 private:
  void ExecuteAndRespond(ExchangeId exchange, const HttpRequest& request);

  FaultInjector fault_injector_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_HTTP_FAULTY_SERVICE_H_
