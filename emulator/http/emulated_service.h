// Base class of all emulated services: a service port, an optional control
// port and emulated crashes.

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
  // Remains reachable while the service port refuses connections.
  std::optional<ListenAddress> control;
};

class EmulatedService : public HttpHandler {
 public:
  explicit EmulatedService(const ServicePorts& ports);
  ~EmulatedService() override;

  // Throws std::runtime_error or std::system_error.
  void Start();
  // Derived classes must call this in their destructor, before their members
  // are destroyed.
  void Stop();

  // Applies the body of a control request. If it throws ControlError, no
  // setting has changed.
  virtual void ApplyControl(const std::string& body) = 0;

  const ListenAddress& address() const { return server_.address(); }
  // Null if there is no control port.
  const ListenAddress* control_address() const;

  void OnRequest(HttpServer& server,
                 ExchangeId exchange,
                 HttpRequest request) override;
  void OnBroken(HttpServer& server, ExchangeId exchange) override;

 protected:
  // Handles paths that start with "/_". Called on the server thread. Throws
  // ControlError if the request is invalid.
  virtual HttpResponse HandleControl(const HttpRequest& request) = 0;
  // Handles all other paths. Called on the server thread.
  virtual void HandleRequest(ExchangeId exchange, HttpRequest request) = 0;
  virtual void HandleBroken(ExchangeId exchange);

  // Closes all connections and refuses new ones. Runs asynchronously on the
  // scheduler thread.
  void TakeDown();
  void BringUp();
  // Takes the service down for `outage`. `on_restart` runs on the scheduler
  // thread immediately before connections are accepted again.
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

// Milliseconds since the Unix epoch, for timestamps in histories.
std::int64_t WallMilliseconds();

}  // namespace filbertshift::emulator

#endif  // EMULATOR_HTTP_EMULATED_SERVICE_H_
