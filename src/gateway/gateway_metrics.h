// Prometheus metrics of the gateway.

#ifndef SRC_GATEWAY_GATEWAY_METRICS_H_
#define SRC_GATEWAY_GATEWAY_METRICS_H_

#include <prometheus/registry.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace filbertshift {

class GatewayMetrics {
 public:
  GatewayMetrics();
  ~GatewayMetrics();
  GatewayMetrics(const GatewayMetrics&) = delete;
  GatewayMetrics& operator=(const GatewayMetrics&) = delete;

  void CountExchange(const std::string& route, std::string_view outcome);
  void CountAttempt(std::string_view result);
  void CountRepeat(std::string_view reason);
  // A response that had begun was ended by this instance.
  void CountBrokenOff(std::string_view reason);
  void CountProbe(std::string_view result);
  // `role` "sent": requests that this instance has handed over, by how that
  // ended; "received": those that it has taken or refused.
  void CountHandover(std::string_view role, std::string_view outcome);
  // This instance reaches no endpoint.
  void SetStranded(bool stranded);
  // An endpoint sent bytes that no request was waiting for.
  void CountUnsolicited();
  void CountRejected(int status);
  // An attempt at an endpoint in another data centre.
  void CountRemoteRequest(const std::string& destination,
                          std::string_view reason);
  // Bytes of bodies to or from it; `part`: request or response.
  void CountRemoteBytes(const std::string& destination,
                        std::string_view part,
                        std::size_t bytes);
  // Planned share of a service's requests that goes to the data centre.
  void SetOverflowShare(const std::string& service,
                        const std::string& destination,
                        double share);
  void CountCallerConnectionClosed(std::string_view reason);
  void ObserveFirstByte(const std::string& route,
                        std::chrono::microseconds time);
  void ObserveExchange(const std::string& route,
                       std::chrono::microseconds time);
  void CountStoreCall(std::string_view table, std::string_view outcome);
  void CountInvariantViolation(std::string_view invariant);
  void SetInProgress(std::size_t exchanges);
  void SetEndpoints(std::size_t endpoints);
  void SetInstances(std::size_t instances);
  void SetStoreEra(std::int64_t era);
  // Memory of callers' requests.
  void SetRequestMemory(std::size_t bytes);
  // Prompt parts and requests that are blocked because they crash endpoints.
  void SetBlockedCauses(std::size_t causes);
  // Time since this instance's copy of a store table was confirmed current.
  void SetTableAge(std::string_view table, std::chrono::milliseconds age);
  // Load that the other instances report: its age (not set if it never was
  // known) and the interval between reports.
  void SetEndpointLoad(std::optional<std::chrono::milliseconds> age,
                       std::chrono::milliseconds interval);
  // Age of the oldest instance's part of it.
  void SetEndpointLoadOldestPart(std::chrono::milliseconds age);
  // `role` "client": reports that this instance exchanges for itself;
  // "reader": those that it takes from the instances that report to it.
  void CountEndpointLoadBytes(std::string_view role,
                              std::string_view direction,
                              std::size_t bytes);
  void CountEndpointLoadRejected();
  // Admission control.
  void CountAdmissionRefusal(const std::string& route, std::string_view reason);
  // The account must be one of a bounded number.
  void CountRefusedAccount(const std::string& account, double requests);
  void ObserveAdmissionWait(const std::string& route,
                            std::chrono::microseconds time);
  void SetAdmission(const std::string& service,
                    std::size_t waiting,
                    double admitted_fraction);
  // Returns the metrics in the Prometheus text exposition format.
  std::string Serialize() const;

 private:
  struct Families;
  prometheus::Registry registry_;
  const std::unique_ptr<Families> families_;
};

}  // namespace filbertshift

#endif  // SRC_GATEWAY_GATEWAY_METRICS_H_
