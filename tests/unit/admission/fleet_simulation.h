// Plays many instances that admit requests of one service before a few
// endpoints, in simulated time and without sockets. Callers return once after a
// refusal.

#ifndef TESTS_UNIT_ADMISSION_FLEET_SIMULATION_H_
#define TESTS_UNIT_ADMISSION_FLEET_SIMULATION_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "src/admission/admission.h"

namespace filbertshift::admission_test {

struct SimulationSettings {
  int instances = 34;
  int endpoints = 3;
  int slots = 6;
  int queue = 24;
  std::chrono::milliseconds work{30};
  std::chrono::milliseconds objective{150};
  std::chrono::milliseconds timeout{1500};
  // Requests a second, over all accounts and instances.
  double rate = 200;
  int accounts = 8;
  // Requests of this share of the callers are more urgent.
  double urgent_share = 0;
  // False: everything is sent at once, and what an endpoint rejects goes to the
  // others, as without admission control.
  bool admission = true;
  bool reports = true;
  std::chrono::milliseconds report_interval{300};
  // Time until a report has reached all instances.
  std::chrono::milliseconds report_delay{300};
  bool callers_ignore_retry_after = false;
  // Count returns only requests with this priority; -1: all.
  int counted_priority = -1;
  std::uint64_t seed = 1;
};

// Requests are counted by the second of their first arrival.
struct Tally {
  int requests = 0;
  int served = 0;
  // Answered within the objective after the latest arrival.
  int in_time = 0;
  int refused_once = 0;
  int refused_twice = 0;
  int rejected_by_endpoints = 0;
  std::chrono::milliseconds longest_wait{0};
  std::map<int, int> requests_by_account;
  std::map<int, int> in_time_by_account;
  // Longest time that a request which was refused had waited for that.
  std::chrono::milliseconds longest_before_refusal{0};
};

class FleetSimulation {
 public:
  explicit FleetSimulation(const SimulationSettings& settings);

  void At(std::chrono::milliseconds time, std::function<void()> action);
  void RunUntil(std::chrono::milliseconds end);
  // Sum over requests that first arrived in [from, to).
  Tally Count(std::chrono::milliseconds from,
              std::chrono::milliseconds to) const;

  // Changes, for use in At.
  void SetRate(double rate) { settings_.rate = rate; }
  void SetAccountFactor(int account, double factor);
  void RemoveEndpoint(int endpoint);
  void SlowEndpoint(int endpoint,
                    double factor,
                    std::chrono::milliseconds time);
  // New requests of its callers go to other instances.
  void KillInstance(int instance);
  void Freeze(int instance, std::chrono::milliseconds time);
  // The instance gets no reports, and its own reach nobody.
  void Partition(int instance, bool cut);
  // Requests of one account at one instance, at once.
  void Burst(int instance, int requests);
  double admitted_fraction(int instance) const;

 private:
  using Time = std::chrono::microseconds;
  struct Request {
    int account = 0;
    int priority = 1;
    int instance = 0;
    Time first_arrival{0};
    Time arrival{0};
    Time sent{0};
    int sends = 0;
    int refusals = 0;
    bool waiting = false;
    bool served = false;
    bool in_time = false;
    Time waited_before_refusal{0};
    Time response{0};
    int rejections = 0;
    std::vector<int> tried;
  };
  struct Endpoint {
    bool usable = true;
    int running = 0;
    std::deque<int> queue;
    double factor = 1;
    Time slow_until{0};
  };
  struct Counts {
    double arrivals = 0, admitted = 0, answers = 0, answer_ms = 0,
           rejections = 0;
  };
  struct Instance {
    ServiceAdmission admission;
    bool alive = true;
    bool cut = false;
    Time frozen_until{0};
    std::vector<int> in_flight;
    // By 100 ms.
    std::map<std::int64_t, Counts> counts;
    std::map<std::string, int> waiting;
    bool release_scheduled = false;
  };
  struct Report {
    Time taken{0};
    std::vector<ServiceTraffic> traffic;
    std::vector<std::vector<int>> in_flight;
    std::vector<bool> valid;
  };
  struct Event {
    Time at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void Schedule(Time at, std::function<void()> action);
  // Runs the action at the instance, after its suspension if there is one.
  void AtInstance(int instance, Time at, std::function<void()> action);
  TimePoint Now() const { return TimePoint(std::chrono::hours(1)) + now_; }
  double NextGap(double rate);
  void NextArrival(int account, std::uint64_t generation);
  int PickInstance();
  void Arrive(int request);
  void Decide(int request, bool rejected);
  void Send(int request);
  int ChooseEndpoint(const Request& request, bool avoid_full);
  void ReachEndpoint(int request, int endpoint);
  void Start(int request, int endpoint);
  void Finish(int request, int endpoint);
  void OnAnswer(int request, int endpoint);
  void OnRejected(int request, int endpoint);
  void Refuse(int request, std::chrono::milliseconds retry_after);
  void ScheduleRelease(int instance);
  void Release(int instance);
  void Tick(int instance);
  void UpdateState(int instance);
  void TakeReport();
  Counts& CountsOf(int instance);
  AdmissionRequest Describe(int request) const;

  SimulationSettings settings_;
  std::mt19937_64 random_;
  Time now_{0};
  std::uint64_t next_order_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Endpoint> endpoints_;
  std::vector<Instance> instances_;
  std::vector<Request> requests_;
  std::vector<double> account_factor_;
  std::uint64_t generation_ = 0;
  Report report_;
  bool has_report_ = false;
};

}  // namespace filbertshift::admission_test

#endif  // TESTS_UNIT_ADMISSION_FLEET_SIMULATION_H_
