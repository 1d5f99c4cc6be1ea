// Tells crashes of endpoints from connections that broke for another reason:
// an endpoint that crashed refuses connections until it is back.

#ifndef SRC_GATEWAY_CRASH_WATCH_H_
#define SRC_GATEWAY_CRASH_WATCH_H_

#include <functional>
#include <map>
#include <vector>

#include "src/dispatch/dispatch.h"
#include "src/gateway/endpoint_probe.h"

namespace filbertshift {

class CrashWatch {
 public:
  // Whether the endpoint has crashed.
  using Done = std::function<void(bool crashed)>;

  CrashWatch(Transport* transport, EventLog* log, PromptQuarantine* quarantine);
  CrashWatch(const CrashWatch&) = delete;
  CrashWatch& operator=(const CrashWatch&) = delete;

  // The connection of a request ended before the request was answered.
  // `address` is "ip:port". `done` is called once, later.
  void OnBroken(const EndpointId& endpoint,
                const std::string& address,
                const CrashProfile& profile,
                Done done);

 private:
  // Requests whose connections broke while one probe is under way.
  struct Suspect {
    std::vector<CrashProfile> profiles;
    std::vector<Done> done;
  };

  void OnProbed(const EndpointId& endpoint, EndpointProbe::Result result);

  Transport* const transport_;
  EventLog* const log_;
  PromptQuarantine* const quarantine_;
  EndpointProbe probe_;
  std::map<EndpointId, Suspect> suspects_;
};

}  // namespace filbertshift

#endif  // SRC_GATEWAY_CRASH_WATCH_H_
