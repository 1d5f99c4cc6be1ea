// Passes views between instances: one that cannot reach the store reads what
// another one knows. Rows keep their store versions, so a view only grows.

#ifndef SRC_GATEWAY_PEER_EXCHANGE_H_
#define SRC_GATEWAY_PEER_EXCHANGE_H_

#include <array>
#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "src/gateway/caller_server.h"
#include "src/gateway/gateway_metrics.h"
#include "src/gateway/gateway_ports.h"
#include "src/gateway/http_client.h"

namespace filbertshift {

// What one instance knows of a table, and how long ago it was current.
struct PeerTable {
  TableSnapshot snapshot;
  std::chrono::milliseconds age{0};
};

// MessagePack. The rows are left out of tables that the reader has.
std::string EncodePeerTables(const std::vector<PeerTable>& tables);
// Throws FindingsError if the bytes are no such message.
std::vector<PeerTable> DecodePeerTables(const std::string& bytes);

// Serves the view, and the metrics beside it.
class PeerService : public HttpRequestHandler {
 public:
  PeerService(const FleetView& view,
              const Transport& transport,
              GatewayMetrics* metrics);
  void SetServer(CallerServer* server) { server_ = server; }

  void OnRequest(ConnectionId caller,
                 HttpRequestHead head,
                 std::string body) override;
  void OnCallerGone(ConnectionId caller, ConnectionEnd end) override;
  void OnRejected(int status, std::string_view reason) override;

 private:
  std::string View(const std::string& target) const;

  const FleetView& view_;
  const Transport& transport_;
  GatewayMetrics* const metrics_;
  CallerServer* server_ = nullptr;
};

class PeerReaderListener {
 public:
  virtual ~PeerReaderListener() = default;
  virtual std::int64_t KnownVersion(StoreTable table) const = 0;
  virtual void OnPeerTables(const std::string& peer,
                            const std::vector<PeerTable>& tables) = 0;
};

// Reads the view of one other instance at a time.
class PeerReader : public CallListener {
 public:
  PeerReader(Transport* transport,
             HttpClient* client,
             EventLog* log,
             PeerReaderListener* listener);
  PeerReader(const PeerReader&) = delete;
  PeerReader& operator=(const PeerReader&) = delete;

  bool busy() const { return call_ != CallId{}; }
  // `address` is "ip:port". Must not be busy.
  void Read(const std::string& address);

  HeadDecision OnHead(CallId call, const HttpResponseHead& head) override;
  void OnBody(CallId call, std::string_view data) override;
  void OnComplete(CallId call) override;
  void OnFailed(CallId call,
                CallFailure failure,
                std::string_view detail) override;

 private:
  Transport* const transport_;
  HttpClient* const client_;
  EventLog* const log_;
  PeerReaderListener* const listener_;
  std::string address_;
  CallId call_{};
  TimerId timeout_{};
  int status_ = 0;
  std::string body_;
};

}  // namespace filbertshift

#endif  // SRC_GATEWAY_PEER_EXCHANGE_H_
