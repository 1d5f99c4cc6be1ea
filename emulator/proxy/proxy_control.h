// HTTP control interface of the fault proxy.

#ifndef EMULATOR_PROXY_PROXY_CONTROL_H_
#define EMULATOR_PROXY_PROXY_CONTROL_H_

#include "emulator/http/http.h"
#include "emulator/proxy/fault_proxy.h"

namespace filbertshift::emulator {

// POST /_control accepts the keys of ProxyFaults and responds when the faults
// have been applied. GET /_stats returns the counters.
class ProxyControl : public HttpHandler {
 public:
  // `proxy` must outlive this object. Throws std::system_error and
  // std::runtime_error.
  ProxyControl(const ListenAddress& listen, FaultProxy& proxy);
  ~ProxyControl() override;

  const ListenAddress& address() const { return server_.address(); }

  void OnRequest(HttpServer& server,
                 ExchangeId exchange,
                 HttpRequest request) override;
  void OnBroken(HttpServer& server, ExchangeId exchange) override;

 private:
  HttpResponse Handle(const HttpRequest& request);
  HttpResponse Stats() const;

  FaultProxy& proxy_;
  HttpServer server_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_PROXY_PROXY_CONTROL_H_
