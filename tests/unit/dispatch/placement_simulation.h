// Simulated data centres with endpoints, callers and deciding instances, whose
// reports of load arrive late. No network and no threads; time is stepped.

#ifndef TESTS_UNIT_DISPATCH_PLACEMENT_SIMULATION_H_
#define TESTS_UNIT_DISPATCH_PLACEMENT_SIMULATION_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "src/dispatch/dispatch.h"

namespace filbertshift {

struct SimulatedCentre {
  std::string name;
  int instances = 10;
  // Speed of each endpoint, 1 is usual.
  std::vector<double> speeds;
  // Requests per second of its callers.
  double arrivals = 100;
};

struct SimulationSetup {
  std::vector<SimulatedCentre> centres;
  PlacementSettings placement;
  // Of each endpoint.
  int slots = 64;
  int queue = 134;
  // Length of each prompt and of the part that it shares with others.
  double prompt_tokens = 6000;
  double shared_tokens = 4000;
  int prompt_groups = 150;
  double bytes = 20000;
  std::chrono::milliseconds duration{15000};
  // Traffic between data centres is counted from then on: at first, no prompt
  // is cached.
  std::chrono::milliseconds count_remote_from{4000};
  std::chrono::milliseconds objective{1500};
  unsigned seed = 1;
};

struct SimulationResult {
  int requests = 0;
  int in_time = 0;
  int refused = 0;
  // Requests whose shared prompt was cached at their endpoint.
  int cache_hits = 0;
  std::chrono::milliseconds longest_wait{0};
  double remote_bytes = 0;
  // Sends between two data centres, by sender and destination.
  std::map<std::pair<std::string, std::string>, int> remote;
  std::map<std::string, int> requests_by_centre;
  std::map<std::string, int> in_time_by_centre;
  // Busy time of each endpoint in proportion to the simulated time.
  std::map<std::string, double> busy;
  // Steps of 100 ms in which two data centres sent to each other on purpose.
  int both_ways_steps = 0;
  // Largest number of requests that waited at one endpoint.
  int longest_queue = 0;

  double InTime() const;
  double InTimeOf(const std::string& centre) const;
  int RemoteSends() const;
  double BusyRatio() const;
};

// An endpoint reads prompts one after the other and then generates responses
// beside that. All times follow from its speed.
class PlacementSimulation {
 public:
  explicit PlacementSimulation(SimulationSetup setup);

  // Called at each millisecond since the start.
  using Script = std::function<void(PlacementSimulation*, int ms)>;
  SimulationResult Run(const Script& script = nullptr);

  // Takes effect at once.
  void SetArrivals(const std::string& centre, double arrivals);
  // Connections between the data centre and all others fail, in both ways, and
  // so do reports.
  void SetPartitioned(const std::string& centre, bool partitioned);
  // The endpoints of the data centre are gone, or start again.
  void SetDown(const std::string& centre, bool down);
  // The instance neither reads reports nor reports itself.
  void SetReportsLost(int instance, bool lost);
  EndpointPool& PoolOf(int instance) { return *instances_[instance].pool; }
  TimePoint now() const { return now_; }
  // Requests sent to endpoints of the data centre since the last call.
  int TakeSendsTo(const std::string& centre);

 private:
  struct Request {
    int instance = 0;
    std::uint64_t hash = 0;
    int group = 0;
    TimePoint arrived_at{};
    TimePoint sent_at{};
    std::vector<EndpointId> tried;
    WorkEstimate work;
    // Tokens of the prompt that are still to be read.
    double unread = 0;
    TimePoint ends_at{};
  };
  struct Endpoint {
    RoutedEndpoint record;
    double speed = 1;
    bool down = false;
    std::deque<Request> waiting;
    std::vector<Request> running;
    // Groups whose shared prompt is cached, latest first.
    std::deque<int> cached;
    int busy_ms = 0;
  };
  struct Instance {
    std::string centre;
    std::unique_ptr<EndpointLoadTable> table;
    std::unique_ptr<EndpointPool> pool;
    bool reports_lost = false;
  };
  struct Delayed {
    TimePoint due{};
    Request request;
    // Set if an attempt to connect there has failed.
    std::string failed;
  };

  void AddCentre(const SimulatedCentre& centre);
  void Arrive(const SimulatedCentre& centre);
  void Send(Request request);
  void StepEndpoint(Endpoint* endpoint);
  void StartPrompt(Endpoint* endpoint, Request* request);
  void ExchangeReports();
  bool CanConnect(const Instance& instance, const Endpoint& endpoint) const;
  std::vector<LoadReport> OwnReports() const;
  void CountBothWays();

  SimulationSetup setup_;
  std::mt19937 random_;
  TimePoint now_{std::chrono::hours(1)};
  const TimePoint count_remote_from_;
  std::vector<Instance> instances_;
  std::map<std::string, Endpoint> endpoints_;
  std::vector<Delayed> delayed_;
  std::set<std::string> partitioned_;
  // Taken at the previous exchange; they arrive with the next one.
  std::vector<LoadReport> previous_reports_;
  std::set<std::pair<std::string, std::string>> planned_flows_;
  std::map<std::string, int> sends_to_;
  std::uint64_t last_request_ = 0;
  SimulationResult result_;
};

}  // namespace filbertshift

#endif  // TESTS_UNIT_DISPATCH_PLACEMENT_SIMULATION_H_
