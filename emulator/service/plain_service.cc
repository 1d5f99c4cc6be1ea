#include "emulator/service/plain_service.h"

#include <fmt/format.h>

#include <cstdlib>
#include <utility>

namespace filbertshift::emulator {

void PlainServiceFaults::Apply(ControlReader* control) {
  control->ReadDuration("delay_ms", &delay);
  control->Read("crash_before", &crash_before);
  control->Read("crash_after", &crash_after);
  control->Read("drop_replies", &drop_replies);
  control->Read("hang", &hang);
  control->Read("hang_after", &hang_after);
  control->Read("refuse", &refuse);
  control->Read("retry_after", &retry_after);
  control->ReadFields("headers", &headers);
}

PlainService::PlainService(const ServicePorts& ports,
                           std::string name,
                           std::chrono::milliseconds restart_duration)
    : EmulatedService(ports),
      name_(std::move(name)),
      restart_duration_(restart_duration),
      start_ms_(WallMilliseconds()) {}

PlainService::~PlainService() {
  Stop();
}

HttpResponse PlainService::HandleControl(const HttpRequest& request) {
  if (request.path == "/_history") {
    std::lock_guard<std::mutex> lock(mutex_);
    const std::string after = request.QueryValue("after");
    return JsonResponse(200,
                        log_.ToJson(std::strtoull(after.c_str(), nullptr, 10)));
  }
  if (request.path != "/_control") {
    return ErrorResponse(404, "unknown path");
  }
  ApplyControl(request.body);
  return JsonResponse(200, Json{{"ok", true}});
}

void PlainService::ApplyControl(const std::string& body) {
  std::lock_guard<std::mutex> lock(mutex_);
  ControlReader control(body);
  PlainServiceFaults changed = faults_;
  changed.Apply(&control);
  bool crash = false;
  control.Read("crash", &crash);
  control.Finish();
  faults_ = changed;
  server().SetExtraHeaders(faults_.headers);
  if (crash) {
    CrashNow();
  }
}

void PlainService::HandleRequest(ExchangeId exchange, HttpRequest request) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (crashed_) {
    server().Cut(exchange);
    return;
  }
  if (request.method == "GET" && request.path == "/health") {
    server().Respond(exchange, JsonResponse(200, Json{{"status", "ok"}}));
    return;
  }
  if (request.method == "GET" && request.path == "/metrics") {
    server().Respond(exchange, TextResponse(200, MetricsText()));
    return;
  }
  if (faults_.refuse) {
    HttpResponse response = ErrorResponse(503, "refused");
    response.headers.push_back({"X-Not-Run", "true"});
    if (!faults_.retry_after.empty()) {
      response.headers.push_back({"Retry-After", faults_.retry_after});
    }
    server().Respond(exchange, std::move(response));
    return;
  }
  if (faults_.hang) {
    return;
  }
  scheduler().After(faults_.delay,
                    [this, exchange, request = std::move(request),
                     incarnation = incarnation_] {
                      ExecuteAndRespond(exchange, request, incarnation);
                    });
}

void PlainService::ExecuteAndRespond(ExchangeId exchange,
                                     const HttpRequest& request,
                                     int incarnation) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (crashed_ || incarnation != incarnation_) {
    return;
  }
  if (faults_.crash_before > 0) {
    --faults_.crash_before;
    CrashNow();
    return;
  }
  const Execution& execution = log_.Execute(request, WallMilliseconds());
  if (faults_.crash_after > 0) {
    --faults_.crash_after;
    CrashNow();
    return;
  }
  if (faults_.drop_replies > 0) {
    --faults_.drop_replies;
    server().Cut(exchange);
    return;
  }
  if (faults_.hang_after) {
    return;
  }
  HttpResponse response =
      JsonResponse(200, Json{{"service", name_},
                             {"execution", execution.sequence},
                             {"key", execution.key},
                             {"count", execution.count}});
  if (!execution.request_id.empty()) {
    response.headers.push_back({"X-Request-Id", execution.request_id});
  }
  server().Respond(exchange, std::move(response));
}

void PlainService::CrashNow() {
  if (crashed_) {
    return;
  }
  crashed_ = true;
  Crash(restart_duration_, [this] {
    std::lock_guard<std::mutex> lock(mutex_);
    crashed_ = false;
    ++incarnation_;
    start_ms_ = WallMilliseconds();
  });
}

std::string PlainService::MetricsText() const {
  return fmt::format(
      "# TYPE process_start_time_seconds gauge\n"
      "process_start_time_seconds {:.3f}\n",
      static_cast<double>(start_ms_) / 1000);
}

}  // namespace filbertshift::emulator
