#include "tests/unit/admission/fleet_simulation.h"

#include <algorithm>
#include <cmath>

namespace filbertshift::admission_test {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr microseconds kToEndpoint{900};
constexpr milliseconds kStateInterval{100};
constexpr std::int64_t kSliceUs = 100000;

}  // namespace

FleetSimulation::FleetSimulation(const SimulationSettings& settings)
    : settings_(settings),
      random_(settings.seed),
      endpoints_(static_cast<std::size_t>(settings.endpoints)),
      instances_(static_cast<std::size_t>(settings.instances)),
      account_factor_(static_cast<std::size_t>(settings.accounts), 1) {
  for (Instance& instance : instances_) {
    instance.in_flight.assign(endpoints_.size(), 0);
  }
  for (int account = 0; account < settings.accounts; ++account) {
    NextArrival(account, generation_);
  }
  for (int i = 0; i < settings.instances; ++i) {
    Tick(i);
  }
  TakeReport();
}

// The state is refreshed regularly, as by the forwarder's timer.
void FleetSimulation::Tick(int instance) {
  UpdateState(instance);
  AtInstance(instance, now_ + kStateInterval,
             [this, instance] { Tick(instance); });
}

void FleetSimulation::Schedule(Time at, std::function<void()> action) {
  events_.push({at, next_order_++, std::move(action)});
}

void FleetSimulation::At(milliseconds time, std::function<void()> action) {
  Schedule(time, std::move(action));
}

void FleetSimulation::AtInstance(int instance,
                                 Time at,
                                 std::function<void()> action) {
  Schedule(at, [this, instance, action = std::move(action)] {
    Instance& target = instances_[instance];
    if (!target.alive) {
      return;
    }
    if (now_ < target.frozen_until) {
      AtInstance(instance, target.frozen_until, action);
    } else {
      action();
    }
  });
}

void FleetSimulation::RunUntil(milliseconds end) {
  while (!events_.empty() && events_.top().at <= end) {
    Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.action();
  }
  now_ = end;
}

double FleetSimulation::NextGap(double rate) {
  return std::exponential_distribution<double>(rate)(random_);
}

void FleetSimulation::NextArrival(int account, std::uint64_t generation) {
  double rate = settings_.rate / settings_.accounts *
                account_factor_[static_cast<std::size_t>(account)];
  Time at = now_ + Time(static_cast<std::int64_t>(NextGap(rate) * 1e6));
  Schedule(at, [this, account, generation] {
    if (generation != generation_) {
      return;
    }
    Request request;
    request.account = account;
    request.priority = std::uniform_real_distribution<double>(0, 1)(random_) <
                               settings_.urgent_share
                           ? 0
                           : 1;
    request.first_arrival = now_;
    requests_.push_back(request);
    Arrive(static_cast<int>(requests_.size()) - 1);
    NextArrival(account, generation);
  });
}

void FleetSimulation::SetAccountFactor(int account, double factor) {
  account_factor_[static_cast<std::size_t>(account)] = factor;
  ++generation_;
  for (int i = 0; i < settings_.accounts; ++i) {
    NextArrival(i, generation_);
  }
}

int FleetSimulation::PickInstance() {
  std::vector<int> alive;
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    if (instances_[i].alive) {
      alive.push_back(static_cast<int>(i));
    }
  }
  return alive[random_() % alive.size()];
}

void FleetSimulation::Arrive(int id) {
  Request& request = requests_[id];
  request.instance = PickInstance();
  request.arrival = now_;
  request.sends = 0;
  request.tried.clear();
  AtInstance(request.instance, now_, [this, id] {
    CountsOf(requests_[id].instance).arrivals += 1;
    Decide(id, false);
  });
}

void FleetSimulation::Burst(int instance, int requests) {
  for (int i = 0; i < requests; ++i) {
    Request request;
    request.account = i % settings_.accounts;
    request.first_arrival = now_;
    request.arrival = now_;
    request.instance = instance;
    requests_.push_back(request);
    CountsOf(instance).arrivals += 1;
    Decide(static_cast<int>(requests_.size()) - 1, false);
  }
}

void FleetSimulation::ReachEndpoint(int id, int endpoint) {
  Endpoint& target = endpoints_[endpoint];
  if (target.running < settings_.slots) {
    Start(id, endpoint);
  } else if (static_cast<int>(target.queue.size()) < settings_.queue) {
    target.queue.push_back(id);
  } else {
    ++requests_[id].rejections;
    AtInstance(requests_[id].instance, now_ + kToEndpoint,
               [this, id, endpoint] { OnRejected(id, endpoint); });
  }
}

void FleetSimulation::Start(int id, int endpoint) {
  Endpoint& target = endpoints_[endpoint];
  ++target.running;
  double factor = now_ < target.slow_until ? target.factor : 1;
  Time work(static_cast<std::int64_t>(
      factor * static_cast<double>(Time(settings_.work).count())));
  Schedule(now_ + work, [this, id, endpoint] { Finish(id, endpoint); });
}

void FleetSimulation::Finish(int id, int endpoint) {
  Endpoint& target = endpoints_[endpoint];
  --target.running;
  if (!target.queue.empty()) {
    int next = target.queue.front();
    target.queue.pop_front();
    Start(next, endpoint);
  }
  AtInstance(requests_[id].instance, now_ + kToEndpoint,
             [this, id, endpoint] { OnAnswer(id, endpoint); });
}

FleetSimulation::Counts& FleetSimulation::CountsOf(int id) {
  return instances_[id].counts[now_.count() / kSliceUs];
}

void FleetSimulation::TakeReport() {
  Report report;
  report.taken = now_;
  std::int64_t slice = now_.count() / kSliceUs;
  for (Instance& instance : instances_) {
    ServiceTraffic traffic;
    while (!instance.counts.empty() &&
           instance.counts.begin()->first < slice - 10) {
      instance.counts.erase(instance.counts.begin());
    }
    for (const auto& [at, counts] : instance.counts) {
      if (at < slice) {
        traffic.Add({counts.arrivals, counts.admitted, counts.answers,
                     counts.answer_ms, counts.rejections});
      }
    }
    report.traffic.push_back(traffic);
    report.in_flight.push_back(instance.in_flight);
    report.valid.push_back(instance.alive && !instance.cut &&
                           now_ >= instance.frozen_until);
  }
  Schedule(now_ + settings_.report_delay, [this, report] {
    report_ = report;
    has_report_ = true;
  });
  Schedule(now_ + settings_.report_interval, [this] { TakeReport(); });
}

void FleetSimulation::RemoveEndpoint(int endpoint) {
  endpoints_[endpoint].usable = false;
}

void FleetSimulation::SlowEndpoint(int endpoint,
                                   double factor,
                                   milliseconds time) {
  endpoints_[endpoint].factor = factor;
  endpoints_[endpoint].slow_until = now_ + time;
}

void FleetSimulation::KillInstance(int instance) {
  instances_[instance].alive = false;
}

void FleetSimulation::Freeze(int instance, milliseconds time) {
  instances_[instance].frozen_until = now_ + time;
}

void FleetSimulation::Partition(int instance, bool cut) {
  instances_[instance].cut = cut;
}

double FleetSimulation::admitted_fraction(int instance) const {
  return instances_[instance].admission.admitted_fraction();
}

Tally FleetSimulation::Count(milliseconds from, milliseconds to) const {
  Tally tally;
  for (const Request& request : requests_) {
    bool counted = settings_.counted_priority < 0 ||
                   request.priority == settings_.counted_priority;
    if (!counted || request.first_arrival < from ||
        request.first_arrival >= to) {
      continue;
    }
    ++tally.requests;
    ++tally.requests_by_account[request.account];
    tally.served += request.served ? 1 : 0;
    tally.in_time += request.in_time ? 1 : 0;
    tally.in_time_by_account[request.account] += request.in_time ? 1 : 0;
    tally.refused_once += request.refusals == 1 ? 1 : 0;
    tally.refused_twice += request.refusals >= 2 ? 1 : 0;
    tally.rejected_by_endpoints += request.rejections;
    tally.longest_wait =
        std::max(tally.longest_wait,
                 duration_cast<milliseconds>(std::max(
                     request.response, request.waited_before_refusal)));
    tally.longest_before_refusal =
        std::max(tally.longest_before_refusal,
                 duration_cast<milliseconds>(request.waited_before_refusal));
  }
  return tally;
}

}  // namespace filbertshift::admission_test
