#include "emulator/http/faulty_service.h"

#include <utility>

namespace filbertshift::emulator {

HttpResponse FaultyService::UnavailableResponse() const {
  return ErrorResponse(503, "unavailable");
}

HttpResponse FaultyService::ThrottledResponse() const {
  return ErrorResponse(503, "throttled");
}

std::function<void()> FaultyService::ReadControl(ControlReader*) {
  return [] {};
}

HttpResponse FaultyService::HandleControl(const HttpRequest& request) {
  if (request.path != "/_control") {
    return Inspect(request);
  }
  ApplyControl(request.body);
  return JsonResponse(200, Json{{"ok", true}});
}

void FaultyService::ApplyControl(const std::string& body) {
  const Availability before = fault_injector_.settings().availability;
  ControlReader control(body);
  const std::function<void()> apply_settings = ReadControl(&control);
  fault_injector_.Apply(&control);
  apply_settings();
  const Availability after = fault_injector_.settings().availability;
  if (after == Availability::kRefusing && before != after) {
    TakeDown();
  }
  if (before == Availability::kRefusing && before != after) {
    BringUp();
  }
}

void FaultyService::HandleRequest(ExchangeId exchange, HttpRequest request) {
  switch (fault_injector_.Admit(IsWrite(request),
                                std::chrono::steady_clock::now())) {
    case Admission::kUnavailable:
      server().Respond(exchange, UnavailableResponse());
      return;
    case Admission::kThrottled:
      server().Respond(exchange, ThrottledResponse());
      return;
    case Admission::kHanging:
      return;
    case Admission::kAdmitted:
      break;
  }
  scheduler().After(fault_injector_.settings().delay,
                    [this, exchange, request = std::move(request)] {
                      ExecuteAndRespond(exchange, request);
                    });
}

void FaultyService::ExecuteAndRespond(ExchangeId exchange,
                                      const HttpRequest& request) {
  HttpResponse response = Execute(request);
  const bool effective = IsWrite(request) && response.status < 300;
  if (fault_injector_.ConsumeReplyDrop(effective)) {
    server().Cut(exchange);
    return;
  }
  const std::chrono::milliseconds delay =
      fault_injector_.settings().reply_delay;
  if (delay.count() == 0) {
    server().Respond(exchange, std::move(response));
    return;
  }
  scheduler().After(delay, [this, exchange, response = std::move(response)] {
    server().Respond(exchange, response);
  });
}

}  // namespace filbertshift::emulator
