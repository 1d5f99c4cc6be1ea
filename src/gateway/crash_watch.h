// Tells crashes of endpoints from connections that broke for another reason:
// an endpoint that crashed refuses connections until it is back.

#ifndef SRC_GATEWAY_CRASH_WATCH_H_
#define SRC_GATEWAY_CRASH_WATCH_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "src/dispatch/dispatch.h"
#include "src/gateway/endpoint_probe.h"

namespace filbertshift {

class CrashWatch {
 public:
  // Whether the endpoint has crashed.
  using Done = std::function<void(bool crashed)>;

  CrashWatch(Transport* transport, EventLog* log, PromptQuarantine* quarantine);
  // What the other endpoints say about who is at fault.
  enum class Contact {
    kGood,
    // Connects have failed and none has succeeded since.
    kInDoubt,
    // No endpoint is reached: none of them is to blame.
    kLost,
  };
  // `on_refused` is told of each connect that was refused; `contact` is asked
  // again while it is in doubt.
  void SetContact(std::function<void(const EndpointId&)> on_refused,
                  std::function<Contact()> contact) {
    on_refused_ = std::move(on_refused);
    contact_ = std::move(contact);
  }
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
    // The endpoint refuses connections.
    std::optional<TimePoint> refused_at;
  };

  void OnProbed(const EndpointId& endpoint, EndpointProbe::Result result);
  // Waits while contact with the endpoints is in doubt.
  void Judge(const EndpointId& endpoint);
  void Conclude(const EndpointId& endpoint, bool crashed);

  Transport* const transport_;
  EventLog* const log_;
  PromptQuarantine* const quarantine_;
  EndpointProbe probe_;
  std::function<void(const EndpointId&)> on_refused_;
  std::function<Contact()> contact_;
  std::map<EndpointId, Suspect> suspects_;
};

}  // namespace filbertshift

#endif  // SRC_GATEWAY_CRASH_WATCH_H_
