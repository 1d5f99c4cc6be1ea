// Base of the emulated services that answer each request at once, apart from
// the faults of the fault gate.

#ifndef EMULATOR_HTTP_FAULTY_SERVICE_H_
#define EMULATOR_HTTP_FAULTY_SERVICE_H_

#include <functional>
#include <string>

#include "emulator/http/emulated_service.h"
#include "emulator/http/fault_gate.h"

namespace filbertshift::emulator {

class FaultyService : public EmulatedService {
 public:
  using EmulatedService::EmulatedService;

  // Applies the body of a control request. Throws ControlError, with nothing
  // changed.
  void ApplyControl(const std::string& body);

 protected:
  // Runs on the scheduler thread, one request at a time.
  virtual HttpResponse Execute(const HttpRequest& request) = 0;
  virtual bool IsWrite(const HttpRequest& request) const = 0;
  virtual HttpResponse UnavailableResponse() const;
  virtual HttpResponse ThrottledResponse() const;

  // Reads further keys of a control request. The function that is returned
  // puts them in force; it is called if the whole request is valid.
  virtual std::function<void()> ReadControl(ControlReader* control);
  // Answers paths such as /_history.
  virtual HttpResponse Inspect(const HttpRequest& request) = 0;

  HttpResponse HandleControl(const HttpRequest& request) final;
  void HandleRequest(ExchangeId exchange, HttpRequest request) final;

 private:
  void ExecuteAndRespond(ExchangeId exchange, const HttpRequest& request);

  FaultGate gate_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_HTTP_FAULTY_SERVICE_H_
