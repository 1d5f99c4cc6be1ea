// Finds out whether a host still accepts TCP connections at an address. No
// request is sent: the kernel of a host accepts connections also while the
// process that listens there pauses. Not thread-safe.

#ifndef SRC_GATEWAY_ENDPOINT_PROBE_H_
#define SRC_GATEWAY_ENDPOINT_PROBE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "src/net/net.h"

namespace filbertshift {

class EndpointProbe : public ConnectionListener {
 public:
  enum class Result {
    kAccepted,
    // The host answers, and nothing listens at the address.
    kRefused,
    // Nothing was heard from the host within the timeout.
    kUnanswered,
  };

  explicit EndpointProbe(Transport* transport);
  // Probes in progress end without a result.
  ~EndpointProbe() override;
  EndpointProbe(const EndpointProbe&) = delete;
  EndpointProbe& operator=(const EndpointProbe&) = delete;

  // Opens a connection to `address` ("ip:port") and closes it at once. `done`
  // is called once, never from within this call.
  void Probe(const std::string& address,
             std::chrono::milliseconds timeout,
             std::function<void(Result)> done);
  std::size_t in_progress() const { return probes_.size(); }

  void OnConnected(ConnectionId connection) override;
  void OnData(ConnectionId connection, std::string_view data) override;
  void OnEnd(ConnectionId connection, ConnectionEnd end) override;

 private:
  void Finish(ConnectionId connection, Result result);

  Transport* const transport_;
  std::unordered_map<std::uint64_t, std::function<void(Result)>> probes_;
};

}  // namespace filbertshift

#endif  // SRC_GATEWAY_ENDPOINT_PROBE_H_
