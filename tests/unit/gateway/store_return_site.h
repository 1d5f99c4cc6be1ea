// Instances, endpoints and a store that may return from an older copy, over a
// simulated network and clock.

#ifndef TESTS_UNIT_GATEWAY_STORE_RETURN_SITE_H_
#define TESTS_UNIT_GATEWAY_STORE_RETURN_SITE_H_

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "platform/platform.h"
#include "src/gateway/gateway.h"
#include "tests/unit/gateway/stand_ins.h"
#include "tests/unit/support/sim_network.h"

namespace filbertshift {

class StoreReturnSite {
 public:
  // An endpoint writes its row about every second while it is registered.
  struct Endpoint {
    SimNode* node = nullptr;
    std::unique_ptr<StandInWorker> worker;
    std::string address;
    std::string data_centre = "a";
    std::string version = "v1";
    std::string state = "ready";
    int sequence = 0;
    bool registered = true;
  };
  // Counts events by their id.
  class CountingLog : public EventLog {
   public:
    using EventLog::Write;
    void Write(EventId event, const EventContext&, std::string) override {
      ++counts[event];
    }
    std::map<EventId, int> counts;
  };
  struct Instance {
    SimNode* node = nullptr;
    CountingLog log;
    GatewayMetrics metrics;
    std::unique_ptr<Gateway> gateway;
    std::string data_centre;
    TimePoint started_at{};
    // When it got SIGTERM.
    std::optional<TimePoint> terminated_at;
    bool has_ended = false;
    // Starts when this one has ended; empty: none does.
    std::string successor;
  };

  explicit StoreReturnSite(int instance_count);

  // `routes` are names; route R has the prefix "/R/". `keys` are API keys.
  void PutConfiguration(int version,
                        const std::vector<std::string>& routes,
                        const std::vector<std::string>& keys);
  Endpoint& AddEndpoint(const std::string& id);
  // Writes the endpoint's row now.
  void Register(const std::string& id);
  // Removes the endpoint's row; it writes none any more.
  void Deregister(const std::string& id);
  Instance& StartInstance(const std::string& name,
                          const std::string& data_centre = "a");
  void StopInstance(const std::string& name);
  // Sends SIGTERM. The process ends by itself, or is killed after its grace
  // period. Then the successor starts, unless its name is empty; it may be the
  // same name.
  void TerminateInstance(const std::string& name, const std::string& successor);
  // Lets time pass; endpoints write their rows, instances end and start.
  void Run(std::chrono::milliseconds time);
  // Sends GET /ROUTE/x to an instance and returns the status of the response;
  // 0 if there is none within three seconds.
  int Get(const std::string& instance,
          const std::string& route,
          const std::string& key = "k1");
  // Sends `count` requests to each instance. Returns how often each status was
  // returned.
  std::map<int, int> GetFromAll(const std::string& route,
                                int count,
                                const std::string& key = "k1");
  int Runs(const std::string& endpoint) const {
    return endpoints.at(endpoint).worker->runs();
  }
  // State in the row that reports the rollout of service "s" to operators.
  std::string RolloutStatus() const;
  // Sum over all instances.
  int CountEvents(EventId event) const;

  SimNetwork network;
  SimNode* const store_node;
  StandInStore store;
  std::map<std::string, Endpoint> endpoints;
  std::map<std::string, Instance> instances;

 private:
  void ReplaceEndedInstances();

  SimNode* const caller_node_;
  HttpClient client_;
  HeaderCodec headers_;
  DocumentDecoder documents_;
  RowProtocol rows_;
  std::uint64_t last_incarnation_ = 0;
  int requests_ = 0;
  std::chrono::milliseconds since_beat_{0};
};

}  // namespace filbertshift

#endif  // TESTS_UNIT_GATEWAY_STORE_RETURN_SITE_H_
