// Public header of the gateway library: one routing process on a platform that
// keeps configuration and endpoints in a transactional store.

#ifndef SRC_GATEWAY_GATEWAY_H_
#define SRC_GATEWAY_GATEWAY_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/gateway/caller_server.h"
#include "src/gateway/forwarder.h"
#include "src/gateway/gateway_metrics.h"
#include "src/gateway/gateway_ports.h"
#include "src/gateway/gateway_settings.h"
#include "src/gateway/peer_exchange.h"
#include "src/gateway/rollout_control.h"
#include "src/gateway/store_follower.h"
#include "src/gateway/store_writer.h"

namespace filbertshift {

// The wire formats of one platform.
struct PlatformAdapter {
  const RequestCodec& requests;
  const DocumentCodec& documents;
  const StoreProtocol& store;
};

class Gateway : public FleetViewListener,
                public StoreFollowerListener,
                public PeerReaderListener {
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

  // Listeners for the three addresses.
  AcceptListener* caller_listener() { return &caller_server_; }
  AcceptListener* readiness_listener() { return &readiness_server_; }
  AcceptListener* peer_listener() { return &peer_server_; }

  void Start();
  // Reports not ready, finishes what is in progress and then calls `done`.
  void BeginShutdown(std::function<void()> done);
  bool IsReady() const;

  // FleetViewListener:
  void OnConfiguration(const FleetConfiguration& configuration) override;
  void OnEndpoint(const RoutedEndpoint& record) override;
  void OnEndpointRemoved(const EndpointId& endpoint) override;

  // StoreFollowerListener and PeerReaderListener:
  std::int64_t KnownVersion(StoreTable table) const override;
  void OnTable(const TableSnapshot& snapshot) override;
  void OnChanges(StoreTable table, const RowsAnswer& answer) override;
  void OnStoreTime(std::chrono::milliseconds store_time) override;
  void OnStoreTrouble(StoreTable table, std::string_view detail) override;
  void OnPeerTables(const std::string& peer,
                    const std::vector<PeerTable>& tables) override;

 private:
  // Answers readiness checks.
  class ReadinessHandler : public HttpRequestHandler {
   public:
    explicit ReadinessHandler(const Gateway& gateway) : gateway_(gateway) {}
    void SetServer(CallerServer* server) { server_ = server; }
    void OnRequest(ConnectionId caller,
                   HttpRequestHead head,
                   std::string body) override;
    void OnCallerGone(ConnectionId caller, ConnectionEnd end) override;
    void OnRejected(int status, std::string_view reason) override;

   private:
    const Gateway& gateway_;
    CallerServer* server_ = nullptr;
  };

  void Tick();
  void SetPace();
  void WriteHeartbeat();
  void CountInstances(TimePoint now);
  void ReadPeerIfStale(TimePoint now);
  std::vector<std::string> PeerAddresses() const;
  void UpdateMetrics(TimePoint now);
  void CheckShutdown();
  std::optional<std::chrono::milliseconds> StoreTime(TimePoint now) const;

  const GatewaySettings settings_;
  Transport* const transport_;
  EventLog* const log_;
  GatewayMetrics* const metrics_;
  const std::uint64_t incarnation_;
  FleetView view_;
  Forwarder forwarder_;
  CallerServer caller_server_;
  ReadinessHandler readiness_handler_;
  CallerServer readiness_server_;
  PeerService peer_service_;
  CallerServer peer_server_;
  HttpClient store_client_;
  HttpClient peer_client_;
  // In the order of StoreTable.
  std::vector<std::unique_ptr<StoreFollower>> followers_;
  StoreWriter writer_;
  RolloutControl rollouts_;
  PeerReader peer_reader_;

  std::uint64_t beat_ = 0;
  std::chrono::milliseconds heartbeat_interval_;
  TimePoint next_heartbeat_{};
  // Time of the first own row in the store.
  std::optional<TimePoint> joined_at_;
  int instance_count_ = 1;
  std::size_t next_peer_ = 0;
  // Store clock minus local clock.
  std::optional<std::chrono::milliseconds> store_clock_offset_;
  bool store_reachable_ = true;
  bool was_ready_ = false;
  std::optional<TimePoint> shutdown_at_;
  std::function<void()> shutdown_done_;
};

}  // namespace filbertshift

#endif  // SRC_GATEWAY_GATEWAY_H_
