// Base of all emulated services: a port for the service itself, an optional
// second port for control, and emulated crashes.

#ifndef EMULATOR_HTTP_EMULATED_SERVICE_H_
#define EMULATOR_HTTP_EMULATED_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "emulator/http/http_message.h"
#include "emulator/http/http_server.h"
#include "emulator/http/listen_address.h"
#include "emulator/http/task_scheduler.h"

namespace filbertshift::emulator {

struct ServicePorts {
  ListenAddress listen;
  // Stays reachable while the service itself refuses connections.
  std::optional<ListenAddress> control;
};

class EmulatedService : public HttpHandler {
 public:
  explicit EmulatedService(const ServicePorts& ports);
  ~EmulatedService() override;

  // Throws std::runtime_error or std::system_error.
  void Start();
  // Derived classes call this in their destructor, before their members go.
  void Stop();

  const ListenAddress& address() const { return server_.address(); }
  // Null without a control port.
  const ListenAddress* control_address() const;

  void OnRequest(HttpServer& server,
                 ExchangeId exchange,
                 HttpRequest request) override;
  void OnBroken(HttpServer& server, ExchangeId exchange) override;

 protected:
  // Called on the server thread for paths that start with "/_". Throws
  // ControlError on a bad request.
  virtual HttpResponse HandleControl(const HttpRequest& request) = 0;
  // Called on the server thread for all other paths.
  virtual void HandleRequest(ExchangeId exchange, HttpRequest request) = 0;
  virtual void HandleBroken(ExchangeId exchange);

  // Cuts all connections and refuses new ones, soon, on the scheduler thread.
  void TakeDown();
  void BringUp();
  // TakeDown, and BringUp after `outage`. `on_restart` runs on the scheduler
  // thread just before connections are accepted again.
  void Crash(std::chrono::milliseconds outage,
             std::function<void()> on_restart);

  HttpServer& server() { return server_; }
  TaskScheduler& scheduler() { return scheduler_; }

 private:
  void ScheduleDisconnectDetection();

  HttpServer server_;
  std::unique_ptr<HttpServer> control_server_;
  TaskScheduler scheduler_;
};

// Milliseconds since 1970, for histories.
std::int64_t WallMilliseconds();

}  // namespace filbertshift::emulator

#endif  // EMULATOR_HTTP_EMULATED_SERVICE_H_
