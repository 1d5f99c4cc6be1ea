#include "tests/soak/soak_contention.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <utility>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

constexpr int kPlainEndpoints = 2;
// In a burst, all of them ask at once for more than slots and queues hold;
// otherwise only the first few, which leave slots free.
constexpr int kPlainCallers = 14;
constexpr int kSteadyPlainCallers = 2;
constexpr milliseconds kBurstTime{700};
constexpr milliseconds kBurstInterval{2500};
constexpr int kSlowStreamsOfInstance = 12;
constexpr milliseconds kReadInterval{50};
constexpr std::size_t kReadBytes = 64;
constexpr milliseconds kStreamInterval{1000};
constexpr int kUploadsOfInstance = 3;
constexpr std::size_t kUploadBytes = 1000000;
constexpr milliseconds kUploadInterval{5000};
constexpr milliseconds kConnectTimeout{1000};

std::string Row(const char* service,
                const std::string& address,
                std::size_t slots,
                const std::string& data_centre) {
  return fmt::format(R"({{"service":"{}","address":"{}","zone":"{}",)"
                     R"("version":"v1","slots":{},"state":"ready",)"
                     R"("cold_remaining_ms":0,"sequence":1,"born":1}})",
                     service, address, data_centre, slots);
}

}  // namespace

std::string SoakVariant::Settings() const {
  return uses_load ? R"(,"endpoint_load_interval":"300ms","admission":true,)"
                     R"("placement":true)"
                   : "";
}

// A caller with a large body for an endpoint that reads it slowly.
class SoakContention::Upload : public ConnectionListener {
 public:
  Upload(Transport* transport,
         SoakRecord* record,
         std::string instance,
         std::string id)
      : transport_(transport), record_(record), id_(std::move(id)) {
    SoakRequest request;
    request.target = "/upload/x";
    request.instance = instance;
    request.started_at = transport_->Now();
    request.counts_for_served_ratio = false;
    record_->OnSent(id_, std::move(request));
    connection_ = transport_->Connect(instance, kConnectTimeout, this);
  }
  void OnConnected(ConnectionId connection) override {
    transport_->Send(connection,
                     SlowRequestHead("/upload/x", id_, kUploadBytes) +
                         std::string(kUploadBytes, 'u'));
  }
  void OnData(ConnectionId /*connection*/, std::string_view data) override {
    response_.append(data);
  }
  void OnEnd(ConnectionId /*connection*/, ConnectionEnd /*end*/) override {}
  // Records the response, or that there is none.
  void End() {
    transport_->Abort(connection_);
    constexpr std::string_view kStart = "HTTP/1.1 ";
    if (response_.rfind(kStart, 0) == 0) {
      record_->OnResponse(id_, std::atoi(response_.c_str() + kStart.size()),
                          false, std::string());
    } else {
      record_->OnNoResponse(id_);
    }
  }

 private:
  Transport* const transport_;
  SoakRecord* const record_;
  const std::string id_;
  ConnectionId connection_{};
  std::string response_;
};

SoakContention::SoakContention(TcpLoop* loop,
                               SoakRecord* record,
                               StandInStore* store,
                               unsigned seed,
                               std::string (*new_address)())
    : loop_(loop), record_(record), flow_(loop) {
  SoakVariant variant(seed);
  for (int i = 0; i < kPlainEndpoints; ++i) {
    std::string id = fmt::format("p{}", i);
    std::string address = new_address();
    plain_endpoints_.push_back(std::make_unique<PlainEndpoint>(
        loop, id, seed + static_cast<unsigned>(i), record));
    loop->Listen(address, plain_endpoints_.back()->listener());
    store->Put("servers", id,
               Row("p", address, PlainEndpoint::kSlots,
                   variant.uneven && i > 0 ? "b" : "a"));
  }
  std::string flow_address = new_address();
  loop->Listen(flow_address, flow_.listener());
  store->Put("servers", "flow", Row("flow", flow_address, 1000, "a"));
  store->Put("servers", "slow",
             Row("slow", fmt::format("127.0.0.1:{}", slow_endpoint_.port()),
                 1000, "a"));
}

SoakContention::~SoakContention() = default;

std::string SoakContention::Routes() {
  struct ContentionRoute {
    const char* name;
    const char* kind;
    const char* service;
    int timeout_ms;
    int max_attempts;
  };
  constexpr ContentionRoute kContentionRoutes[] = {
      {"plain", "non_idempotent", "p", 4000, 3},
      {"plain-again", "idempotent", "p", 4000, 3},
      {"flow", "streaming", "flow", 60000, 1},
      {"upload", "non_idempotent", "slow", 4000, 1}};
  std::string routes;
  for (const ContentionRoute& route : kContentionRoutes) {
    routes += fmt::format(
        R"(,{{"name":"{}","host":"{}","prefix":"/{}/","route_kind":"{}",)"
        R"("timeout_ms":{},"objective_ms":500,"gap_aim_ms":500,)"
        R"("service":"{}","max_attempts":{}}})",
        route.name, route.service[0] == 'p' ? "soak.example" : "h", route.name,
        route.kind, route.timeout_ms, route.service, route.max_attempts);
  }
  return routes;
}

std::string SoakContention::Services() {
  return R"(,{"name":"p"},{"name":"flow"},{"name":"slow"})";
}

void SoakContention::Start(const std::vector<std::string>& instances,
                           unsigned seed) {
  instances_ = instances;
  for (int i = 0; i < kPlainCallers; ++i) {
    auto caller = std::make_unique<SoakCaller>(
        loop_, fmt::format("p{}", i), "key-1", instances,
        seed + 3000000 + static_cast<unsigned>(i), record_);
    caller->UsePlainService();
    caller->ExcludeFromServedRatio();
    caller->SetActive(i < kSteadyPlainCallers);
    caller->Start();
    plain_callers_.push_back(std::move(caller));
  }
  BeginStreams();
  Burst();
  ReadSlowly();
  BeginUploads();
}

void SoakContention::Burst() {
  if (stopped_) {
    return;
  }
  auto set_active = [this](bool active) {
    for (std::size_t i = kSteadyPlainCallers; i < plain_callers_.size(); ++i) {
      plain_callers_[i]->SetActive(active);
    }
  };
  ++bursts_;
  set_active(true);
  loop_->After(kBurstTime, [set_active] { set_active(false); });
  loop_->After(kBurstInterval, [this] { Burst(); });
}

void SoakContention::ReadSlowly() {
  if (stopped_) {
    return;
  }
  slow_endpoint_.Read();
  for (const std::string& id : slow_endpoint_.TakeSeen()) {
    record_->OnExecution(id, "", loop_->Now(), "slow");
  }
  for (SlowCaller& caller : slow_callers_) {
    caller.Read(kReadBytes);
  }
  loop_->After(kReadInterval, [this] { ReadSlowly(); });
}

void SoakContention::BeginStreams() {
  if (stopped_) {
    return;
  }
  for (std::size_t i = 0; i < instances_.size() * kSlowStreamsOfInstance; ++i) {
    if (i < slow_callers_.size() && !slow_callers_[i].ended()) {
      continue;
    }
    SlowCaller caller(
        instances_[i % instances_.size()],
        SlowRequestHead("/flow/x", fmt::format("slow-{}", ++streams_), 0));
    if (i < slow_callers_.size()) {
      slow_callers_[i] = std::move(caller);
    } else {
      slow_callers_.push_back(std::move(caller));
    }
  }
  loop_->After(kStreamInterval, [this] { BeginStreams(); });
}

void SoakContention::BeginUploads() {
  for (const std::unique_ptr<Upload>& upload : uploads_) {
    upload->End();
  }
  uploads_.clear();
  if (stopped_) {
    return;
  }
  for (std::size_t i = 0; i < instances_.size() * kUploadsOfInstance; ++i) {
    uploads_.push_back(std::make_unique<Upload>(
        loop_, record_, instances_[i % instances_.size()],
        fmt::format("upload-{}-{}", streams_, i)));
  }
  ++streams_;
  loop_->After(kUploadInterval, [this] { BeginUploads(); });
}

void SoakContention::Stop() {
  stopped_ = true;
  for (const std::unique_ptr<SoakCaller>& caller : plain_callers_) {
    caller->Stop();
  }
  for (const std::unique_ptr<Upload>& upload : uploads_) {
    upload->End();
  }
  uploads_.clear();
  slow_callers_.clear();
}

std::string SoakContention::Summary() const {
  int refusals = 0;
  for (const std::unique_ptr<PlainEndpoint>& endpoint : plain_endpoints_) {
    refusals += endpoint->refusals();
  }
  return fmt::format(
      "{} bursts, {} refusals of plain endpoints, {} slow streams", bursts_,
      refusals, streams_);
}

}  // namespace filbertshift
