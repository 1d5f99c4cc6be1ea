#include "emulator/http/emulated_service.h"

#include <utility>

#include "emulator/http/control_reader.h"

namespace filbertshift::emulator {

namespace {

// Short compared with the token interval and the timeouts of tests, and long
// enough to keep polling cheap with hundreds of connections.
constexpr std::chrono::milliseconds kDisconnectDetectionInterval{25};

}  // namespace

EmulatedService::EmulatedService(const ServicePorts& ports)
    : server_(ports.listen, *this) {
  if (ports.control) {
    control_server_ = std::make_unique<HttpServer>(*ports.control, *this);
  }
}

EmulatedService::~EmulatedService() = default;

void EmulatedService::Start() {
  server_.Start();
  if (control_server_) {
    control_server_->Start();
  }
  ScheduleDisconnectDetection();
}

void EmulatedService::Stop() {
  scheduler_.Stop();
  server_.Stop();
  if (control_server_) {
    control_server_->Stop();
  }
}

const ListenAddress* EmulatedService::control_address() const {
  return control_server_ ? &control_server_->address() : nullptr;
}

void EmulatedService::OnRequest(HttpServer& server,
                                ExchangeId exchange,
                                HttpRequest request) {
  if (request.path.rfind("/_", 0) == 0) {
    try {
      server.Respond(exchange, HandleControl(request));
    } catch (const ControlError& error) {
      server.Respond(exchange, ErrorResponse(400, error.what()));
    }
    return;
  }
  if (&server != &server_) {
    server.Respond(exchange, ErrorResponse(404, "this is the control port"));
    return;
  }
  HandleRequest(exchange, std::move(request));
}

void EmulatedService::OnBroken(HttpServer& server, ExchangeId exchange) {
  if (&server == &server_) {
    HandleBroken(exchange);
  }
}

void EmulatedService::HandleBroken(ExchangeId) {}

void EmulatedService::TakeDown() {
  scheduler_.After(std::chrono::microseconds(0), [this] { server_.Stop(); });
}

void EmulatedService::BringUp() {
  scheduler_.After(std::chrono::microseconds(0), [this] { server_.Start(); });
}

void EmulatedService::Crash(std::chrono::milliseconds outage,
                            std::function<void()> on_restart) {
  TakeDown();
  scheduler_.After(outage, [this, on_restart = std::move(on_restart)] {
    on_restart();
    server_.Start();
  });
}

void EmulatedService::ScheduleDisconnectDetection() {
  scheduler_.After(kDisconnectDetectionInterval, [this] {
    server_.DetectDisconnects();
    ScheduleDisconnectDetection();
  });
}

std::int64_t WallMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace filbertshift::emulator
