// What an instance of the simulation does, as Forwarder: admission, choice of
// endpoints and their answers.

#include <algorithm>

#include "tests/unit/admission/fleet_simulation.h"

namespace filbertshift::admission_test {

namespace {

using std::chrono::milliseconds;

constexpr std::chrono::microseconds kToEndpoint{900};
constexpr std::chrono::microseconds kToCaller{3000};
constexpr milliseconds kReleaseInterval{10};
// Sends beyond the first of a request that endpoints reject, as in Forwarder.
constexpr int kMaxSends = 4;

std::uint64_t Mix(std::uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

EndpointId IdOf(int endpoint) {
  return EndpointId("e" + std::to_string(endpoint));
}

}  // namespace

AdmissionRequest FleetSimulation::Describe(int id) const {
  const Request& request = requests_[id];
  AdmissionRequest described;
  described.key = RequestId(std::to_string(id));
  described.hash = Mix(static_cast<std::uint64_t>(id) * 3 +
                       static_cast<std::uint64_t>(request.refusals) + 1);
  described.account = AccountId("a" + std::to_string(request.account));
  described.priority = request.priority;
  described.arrived_at = TimePoint(std::chrono::hours(1)) + request.arrival;
  described.objective = settings_.objective;
  described.deadline = TimePoint(std::chrono::hours(1)) +
                       request.first_arrival + settings_.timeout;
  return described;
}

void FleetSimulation::UpdateState(int id) {
  Instance& instance = instances_[id];
  ServiceState state;
  state.instances = static_cast<int>(
      std::count_if(instances_.begin(), instances_.end(),
                    [](const Instance& entry) { return entry.alive; }));
  state.current = has_report_ && settings_.reports && !instance.cut &&
                  now_ - report_.taken < milliseconds(1000);
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    if (!endpoints_[i].usable) {
      continue;
    }
    double in_flight = instance.in_flight[i];
    for (std::size_t k = 0; state.current && k < instances_.size(); ++k) {
      if (report_.valid[k] && static_cast<int>(k) != id) {
        in_flight += report_.in_flight[k][i];
      }
    }
    state.endpoints.push_back(
        {IdOf(static_cast<int>(i)), settings_.slots, in_flight});
  }
  for (std::size_t k = 0; state.current && k < instances_.size(); ++k) {
    if (report_.valid[k] && static_cast<int>(k) != id) {
      state.others.Add(report_.traffic[k]);
    }
  }
  instance.admission.SetState(state, Now());
}

void FleetSimulation::Decide(int id, bool rejected) {
  Request& request = requests_[id];
  Instance& instance = instances_[request.instance];
  if (!settings_.admission) {
    Send(id);
    return;
  }
  UpdateState(request.instance);
  AdmissionDecision decision =
      rejected ? instance.admission.DecideRejected(Describe(id), Now())
               : instance.admission.Decide(Describe(id), Now());
  switch (decision.verdict) {
    case AdmissionVerdict::kSend:
      Send(id);
      break;
    case AdmissionVerdict::kWait:
      instance.waiting[std::to_string(id)] = id;
      ScheduleRelease(request.instance);
      break;
    case AdmissionVerdict::kRefuse:
      Refuse(id, decision.retry_after);
      break;
  }
}

void FleetSimulation::ScheduleRelease(int id) {
  if (!instances_[id].release_scheduled) {
    instances_[id].release_scheduled = true;
    AtInstance(id, now_ + kReleaseInterval, [this, id] {
      instances_[id].release_scheduled = false;
      Release(id);
    });
  }
}

void FleetSimulation::Release(int id) {
  Instance& instance = instances_[id];
  UpdateState(id);
  for (const AdmissionRelease& release : instance.admission.Release(Now())) {
    int request = instance.waiting.at(release.key.value());
    instance.waiting.erase(release.key.value());
    if (release.decision.verdict == AdmissionVerdict::kSend) {
      Send(request);
    } else {
      Refuse(request, release.decision.retry_after);
    }
  }
  if (!instance.waiting.empty()) {
    ScheduleRelease(id);
  }
}

int FleetSimulation::ChooseEndpoint(const Request& request, bool avoid_full) {
  const Instance& instance = instances_[request.instance];
  int best = -1;
  std::pair<int, std::uint64_t> best_score;
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    int endpoint = static_cast<int>(i);
    bool tried = std::find(request.tried.begin(), request.tried.end(),
                           endpoint) != request.tried.end();
    bool full =
        instance.admission.full_endpoints().IsFull(IdOf(endpoint), Now());
    if (!endpoints_[i].usable || tried || (avoid_full && full)) {
      continue;
    }
    std::pair<int, std::uint64_t> score{instance.in_flight[i] + (full ? 9 : 0),
                                        random_()};
    if (best < 0 || score < best_score) {
      best = endpoint;
      best_score = score;
    }
  }
  return best;
}

void FleetSimulation::Send(int id) {
  Request& request = requests_[id];
  int endpoint = ChooseEndpoint(request, settings_.admission);
  if (endpoint < 0 && !settings_.admission) {
    request.tried.clear();
    endpoint = ChooseEndpoint(request, false);
  }
  if (endpoint < 0) {
    if (settings_.admission) {
      Decide(id, true);
    } else {
      Refuse(id, milliseconds(400));
    }
    return;
  }
  ++request.sends;
  request.tried.push_back(endpoint);
  request.sent = now_;
  CountsOf(request.instance).admitted += request.sends == 1 ? 1 : 0;
  ++instances_[request.instance].in_flight[endpoint];
  Schedule(now_ + kToEndpoint,
           [this, id, endpoint] { ReachEndpoint(id, endpoint); });
}

void FleetSimulation::OnAnswer(int id, int endpoint) {
  Request& request = requests_[id];
  Instance& instance = instances_[request.instance];
  --instance.in_flight[endpoint];
  Counts& counts = CountsOf(request.instance);
  counts.answers += 1;
  counts.answer_ms += static_cast<double>((now_ - request.sent).count()) / 1000;
  instance.admission.OnAnswer(
      IdOf(endpoint), TimePoint(std::chrono::hours(1)) + request.sent, Now());
  request.served = true;
  request.response = now_ + kToCaller - request.arrival;
  request.in_time = request.response <= settings_.objective;
  if (!instance.waiting.empty()) {
    Release(request.instance);
  }
}

void FleetSimulation::OnRejected(int id, int endpoint) {
  Request& request = requests_[id];
  Instance& instance = instances_[request.instance];
  --instance.in_flight[endpoint];
  CountsOf(request.instance).rejections += 1;
  instance.admission.OnRejected(IdOf(endpoint), Now());
  if (!settings_.admission) {
    if (request.sends < kMaxSends) {
      Send(id);
    } else {
      Refuse(id, milliseconds(400));
    }
  } else if (request.sends < 2 && ChooseEndpoint(request, true) >= 0) {
    Send(id);
  } else {
    Decide(id, true);
  }
}

void FleetSimulation::Refuse(int id, milliseconds retry_after) {
  Request& request = requests_[id];
  request.waited_before_refusal =
      std::max(request.waited_before_refusal, now_ - request.arrival);
  ++request.refusals;
  Time left = request.first_arrival + settings_.timeout - now_;
  if (request.refusals >= 2) {
    return;
  }
  Time wait = settings_.callers_ignore_retry_after
                  ? Time(milliseconds(10))
                  : std::min(Time(retry_after), left / 3);
  Schedule(now_ + 2 * kToCaller + wait, [this, id] { Arrive(id); });
}

}  // namespace filbertshift::admission_test
