#include "tests/unit/gateway/store_return_site.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kStore[] = "store:1";
constexpr milliseconds kBeatInterval{1000};
constexpr milliseconds kStep{20};
// After SIGTERM, the platform waits so long before it kills the process.
constexpr seconds kGrace{8};

class OneCall : public CallListener {
 public:
  HeadDecision OnHead(CallId, const HttpResponseHead& head) override {
    status = head.status;
    return HeadDecision::kAccept;
  }
  void OnBody(CallId, std::string_view) override {}
  void OnComplete(CallId) override { done = true; }
  void OnFailed(CallId, CallFailure, std::string_view) override {
    status = 0;
    done = true;
  }
  int status = 0;
  bool done = false;
};

}  // namespace

StoreReturnSite::StoreReturnSite(int instance_count)
    : store_node(network.AddNode()),
      store(store_node),
      caller_node_(network.AddNode()),
      client_(caller_node_, seconds(1)),
      rows_(kStore) {
  store_node->Listen(kStore, store.listener());
  for (int i = 0; i < instance_count; ++i) {
    StartInstance(fmt::format("i{}", i));
  }
}

void StoreReturnSite::PutConfiguration(int version,
                                       const std::vector<std::string>& routes,
                                       const std::vector<std::string>& keys) {
  nlohmann::json document{{"version", version},
                          {"routes", nlohmann::json::array()},
                          {"services", {{{"name", "s"}}}},
                          {"tenants", {{{"name", "t"}, {"api_keys", keys}}}}};
  for (const std::string& route : routes) {
    document["routes"].push_back({{"name", route},
                                  {"host", "h"},
                                  {"prefix", "/" + route + "/"},
                                  {"route_kind", "idempotent"},
                                  {"timeout_ms", 2000},
                                  {"objective_ms", 300},
                                  {"service", "s"},
                                  {"max_attempts", 3}});
  }
  store.Put("op", "config", document.dump());
}

StoreReturnSite::Endpoint& StoreReturnSite::AddEndpoint(const std::string& id) {
  Endpoint& endpoint = endpoints[id];
  endpoint.node = network.AddNode();
  endpoint.worker = std::make_unique<StandInWorker>(endpoint.node, id);
  endpoint.address = fmt::format("10.0.0.{}:1", endpoints.size());
  endpoint.node->Listen(endpoint.address, endpoint.worker->listener());
  return endpoint;
}

void StoreReturnSite::Register(const std::string& id) {
  Endpoint& endpoint = endpoints.at(id);
  endpoint.registered = true;
  store.Put("servers", id,
            nlohmann::json{{"service", "s"},
                           {"address", endpoint.address},
                           {"zone", endpoint.data_centre},
                           {"version", endpoint.version},
                           {"slots", 8},
                           {"state", endpoint.state},
                           {"cold_remaining_ms", 0},
                           {"born", 1000},
                           {"sequence", ++endpoint.sequence}}
                .dump());
}

void StoreReturnSite::Deregister(const std::string& id) {
  endpoints.at(id).registered = false;
  store.Remove("servers", id);
}

StoreReturnSite::Instance& StoreReturnSite::StartInstance(
    const std::string& name,
    const std::string& data_centre) {
  Instance& instance = instances[name];
  instance.node = network.AddNode();
  instance.data_centre = data_centre;
  instance.started_at = network.now();
  GatewaySettings settings;
  settings.instance = InstanceId(name);
  settings.data_centre = DataCentreId(data_centre);
  settings.caller_listen = name + ":1";
  settings.peer_listen = name + ":2";
  settings.store_address = kStore;
  instance.gateway = std::make_unique<Gateway>(
      settings, PlatformAdapter{headers_, documents_, rows_}, instance.node,
      &instance.log, &instance.metrics, ++last_incarnation_);
  instance.node->Listen(settings.caller_listen,
                        instance.gateway->caller_listener());
  instance.node->Listen(settings.peer_listen,
                        instance.gateway->peer_listener());
  instance.gateway->Start();
  return instance;
}

void StoreReturnSite::StopInstance(const std::string& name) {
  auto found = instances.find(name);
  network.Stop(found->second.node);
  found->second.gateway.reset();
  instances.erase(found);
}

void StoreReturnSite::TerminateInstance(const std::string& name,
                                        const std::string& successor) {
  Instance& instance = instances.at(name);
  instance.terminated_at = network.now();
  instance.successor = successor;
  instance.gateway->BeginShutdown([&instance] { instance.has_ended = true; });
}

void StoreReturnSite::ReplaceEndedInstances() {
  std::vector<std::string> ended;
  for (const auto& [name, instance] : instances) {
    if (instance.has_ended ||
        (instance.terminated_at.has_value() &&
         network.now() - *instance.terminated_at >= kGrace)) {
      ended.push_back(name);
    }
  }
  for (const std::string& name : ended) {
    std::string successor = instances.at(name).successor;
    std::string data_centre = instances.at(name).data_centre;
    StopInstance(name);
    if (!successor.empty()) {
      StartInstance(successor, data_centre);
    }
  }
}

void StoreReturnSite::Run(milliseconds time) {
  for (milliseconds passed{0}; passed < time; passed += kStep) {
    network.RunFor(kStep);
    ReplaceEndedInstances();
    since_beat_ += kStep;
    if (since_beat_ < kBeatInterval) {
      continue;
    }
    since_beat_ = milliseconds(0);
    for (const auto& entry : endpoints) {
      if (entry.second.registered) {
        Register(entry.first);
      }
    }
  }
}

int StoreReturnSite::Get(const std::string& instance,
                         const std::string& route,
                         const std::string& key) {
  OneCall call;
  CallId id = client_.Start(instance + ":1",
                            fmt::format("GET /{}/x HTTP/1.1\r\nHost: h\r\n"
                                        "Filbertshift-Attempt-Id: a{}\r\n"
                                        "Filbertshift-Deadline-Ms: 2000\r\n"
                                        "Authorization: Bearer {}\r\n\r\n",
                                        route, ++requests_, key),
                            milliseconds(0), &call);
  for (milliseconds waited{0}; !call.done && waited < seconds(3);
       waited += kStep) {
    Run(kStep);
  }
  if (!call.done) {
    client_.Cancel(id);
    return 0;
  }
  return call.status;
}

std::map<int, int> StoreReturnSite::GetFromAll(const std::string& route,
                                               int count,
                                               const std::string& key) {
  std::map<int, int> statuses;
  std::vector<std::string> names;
  for (const auto& entry : instances) {
    names.push_back(entry.first);
  }
  for (int i = 0; i < count; ++i) {
    for (const std::string& name : names) {
      ++statuses[Get(name, route, key)];
    }
  }
  return statuses;
}

std::string StoreReturnSite::RolloutStatus() const {
  std::string text = store.Value("status", "rollout/s");
  return text.empty()
             ? std::string()
             : nlohmann::json::parse(text).at("state").get<std::string>();
}

int StoreReturnSite::CountEvents(EventId event) const {
  int count = 0;
  for (const auto& entry : instances) {
    auto found = entry.second.log.counts.find(event);
    count += found == entry.second.log.counts.end() ? 0 : found->second;
  }
  return count;
}

}  // namespace filbertshift
