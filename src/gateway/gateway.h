// Public header of the gateway library: a routing process whose configuration
// and endpoints are kept in the platform's transactional store.

#ifndef SRC_GATEWAY_GATEWAY_H_
#define SRC_GATEWAY_GATEWAY_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/gateway/caller_server.h"
#include "src/gateway/crash_evidence_exchange.h"
#include "src/gateway/endpoint_load_exchange.h"
#include "src/gateway/forwarder.h"
#include "src/gateway/gateway_metrics.h"
#include "src/gateway/gateway_ports.h"
#include "src/gateway/gateway_settings.h"
#include "src/gateway/operator_pages.h"
#include "src/gateway/peer_exchange.h"
#include "src/gateway/quarantine_store.h"
#include "src/gateway/rollout_control.h"
#include "src/gateway/shutdown_schedule.h"
#include "src/gateway/store_writer.h"
#include "src/gateway/view_source.h"

namespace filbertshift {

// Codecs for the wire formats of a platform.
struct PlatformAdapter {
  const RequestCodec& requests;
  const DocumentCodec& documents;
  const StoreProtocol& store;
};

class Gateway : public FleetViewListener {
 public:
  Gateway(const GatewaySettings& settings,
          const PlatformAdapter& adapter,
          Transport* transport,
          EventLog* log,
          GatewayMetrics* metrics,
          std::uint64_t incarnation);
  ~Gateway() override;
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Listeners for the three listening addresses.
  AcceptListener* caller_listener() { return &caller_server_; }
  AcceptListener* readiness_listener() { return &readiness_server_; }
  AcceptListener* peer_listener() { return &peer_server_; }

  void Start();
  // Reports not ready, finishes requests in progress and then calls `done`.
  void BeginShutdown(std::function<void()> done);
  bool IsReady() const;

  // FleetViewListener:
  void OnConfiguration(const FleetConfiguration& configuration) override;
  void OnEndpoint(const RoutedEndpoint& record) override;
  void OnEndpointRemoved(const EndpointId& endpoint) override;

 private:
  // Answers readiness checks.
  class ReadinessHandler : public HttpRequestHandler {
   public:
    explicit ReadinessHandler(const Gateway& gateway) : gateway_(gateway) {}
    void SetServer(CallerServer* server) { server_ = server; }
    void OnRequest(ConnectionId caller,
                   HttpRequestHead head,
                   std::string body) override;
    void OnCallerDisconnected(ConnectionId caller, ConnectionEnd end) override;
    void OnRejected(int status, std::string_view reason) override;

   private:
    const Gateway& gateway_;
    CallerServer* server_ = nullptr;
  };

  void Tick();
  // Writes this instance's member row to the store, or passes it to the reader
  // that writes it.
  void SendHeartbeat(TimePoint now);
  std::string NextMemberRow(TimePoint now);
  void WriteMemberRows(TimePoint now);
  // The store has committed this instance's row.
  void OnRowCommitted(TimePoint now);
  void SetHandoverPeers(const std::vector<LiveInstance>& live);
  void UpdateSharedLimits(int instance_count, TimePoint now);
  void UpdateMetrics(TimePoint now);
  void StepQuarantine(TimePoint now);
  void LogQuarantineChanges();
  PromptQuarantine::TrialTurn TrialTurnOf(const CauseId& cause) const;
  void CheckShutdown();

  const GatewaySettings settings_;
  Transport* const transport_;
  EventLog* const log_;
  GatewayMetrics* const metrics_;
  const std::uint64_t incarnation_;
  FleetView view_;
  Forwarder forwarder_;
  RequestMemory request_memory_;
  CallerServer caller_server_;
  ReadinessHandler readiness_handler_;
  CallerServer readiness_server_;
  HttpClient store_client_;
  HttpClient peer_client_;
  ViewSource source_;
  OperatorPages operator_pages_;
  // Rows of the instances that read this one's view.
  MemberRowCollector peer_rows_;
  PeerService peer_service_;
  CallerServer peer_server_;
  StoreWriter writer_;
  RolloutControl rollouts_;
  CrashEvidenceExchange crash_evidence_;
  QuarantineStore quarantine_store_;
  // Null if instances do not report load.
  std::unique_ptr<EndpointLoadExchange> endpoint_load_;
  TimePoint next_quarantine_expiry_{};

  HeartbeatSchedule heartbeats_;
  std::uint64_t heartbeat_count_ = 0;
  // Latest heartbeat that a reader has committed for this instance.
  std::uint64_t relayed_beat_ = 0;
  // When this instance's member row was first committed to the store.
  std::optional<TimePoint> joined_at_;
  int instance_count_ = 1;
  bool was_ready_ = false;
  std::optional<TimePoint> shutdown_at_;
  ShutdownSchedule shutdown_schedule_;
  std::function<void()> shutdown_done_;
};

}  // namespace filbertshift

#endif  // SRC_GATEWAY_GATEWAY_H_
