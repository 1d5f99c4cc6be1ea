#include "emulator/proxy/proxy_control.h"

namespace filbertshift::emulator {

ProxyControl::ProxyControl(const ListenAddress& listen, FaultProxy& proxy)
    : proxy_(proxy), server_(listen, *this) {
  server_.Start();
}

ProxyControl::~ProxyControl() {
  server_.Stop();
}

void ProxyControl::OnRequest(HttpServer& server,
                             ExchangeId exchange,
                             HttpRequest request) {
  server.Respond(exchange, Handle(request));
}

void ProxyControl::OnBroken(HttpServer&, ExchangeId) {}

HttpResponse ProxyControl::Handle(const HttpRequest& request) {
  if (request.path == "/_stats") {
    return Stats();
  }
  if (request.path != "/_control") {
    return ErrorResponse(404, "unknown path");
  }
  try {
    ControlReader control(request.body);
    ProxyFaults faults = proxy_.faults();
    faults.Apply(&control);
    proxy_.SetFaults(faults);
  } catch (const ControlError& error) {
    return ErrorResponse(400, error.what());
  }
  return JsonResponse(200, Json{{"ok", true}});
}

HttpResponse ProxyControl::Stats() const {
  const ProxyCounters counters = proxy_.counters();
  return JsonResponse(200, Json{{"accepted", counters.accepted},
                                {"open", counters.open},
                                {"resets", counters.resets},
                                {"bytes_to_target", counters.bytes_to_target},
                                {"bytes_to_client", counters.bytes_to_client}});
}

}  // namespace filbertshift::emulator
