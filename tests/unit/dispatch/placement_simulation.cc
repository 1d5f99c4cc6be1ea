#include "tests/unit/dispatch/placement_simulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace filbertshift {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Tokens that an endpoint of usual speed processes in a millisecond, and those
// of them that each running response takes.
constexpr double kTokensPerMs = 50;
constexpr double kGenerationPerMs = 0.4;
constexpr milliseconds kGenerationTime{1500};
constexpr std::size_t kCachedGroups = 40;
constexpr milliseconds kReportInterval{300};
constexpr milliseconds kConnectTimeout{300};
constexpr milliseconds kRetryInterval{20};
constexpr milliseconds kDeadline{8000};
constexpr int kMaxAttempts = 4;

std::uint64_t Mix(std::uint64_t value) {
  value ^= value >> 31U;
  value *= 0x9e3779b97f4a7c15;
  value ^= value >> 29U;
  return value * 0xbf58476d1ce4e5b9;
}

}  // namespace

double SimulationResult::InTime() const {
  return static_cast<double>(in_time) / std::max(requests, 1);
}

double SimulationResult::InTimeOf(const std::string& centre) const {
  auto count = [&](const std::map<std::string, int>& counts) {
    auto found = counts.find(centre);
    return found == counts.end() ? 0 : found->second;
  };
  return static_cast<double>(count(in_time_by_centre)) /
         std::max(count(requests_by_centre), 1);
}

int SimulationResult::RemoteSends() const {
  int sum = 0;
  for (const auto& entry : remote) {
    sum += entry.second;
  }
  return sum;
}

double SimulationResult::BusyRatio() const {
  double sum = 0;
  double most = 0;
  for (const auto& entry : busy) {
    sum += entry.second;
    most = std::max(most, entry.second);
  }
  return sum > 0 ? most * static_cast<double>(busy.size()) / sum : 0;
}

PlacementSimulation::PlacementSimulation(SimulationSetup setup)
    : setup_(std::move(setup)),
      random_(setup_.seed),
      count_remote_from_(now_ + setup_.count_remote_from) {
  for (const SimulatedCentre& centre : setup_.centres) {
    AddCentre(centre);
  }
  for (Instance& instance : instances_) {
    for (const auto& entry : endpoints_) {
      instance.pool->Update(entry.second.record, now_);
    }
    instance.pool->SetInstanceCount(static_cast<int>(instances_.size()));
  }
  previous_reports_ = OwnReports();
  ExchangeReports();
}

void PlacementSimulation::AddCentre(const SimulatedCentre& centre) {
  int number = 0;
  for (double speed : centre.speeds) {
    Endpoint endpoint;
    endpoint.speed = speed;
    endpoint.record.endpoint =
        EndpointId(fmt::format("{}-{:02}", centre.name, ++number));
    endpoint.record.service = ServiceId("s");
    endpoint.record.address = fmt::format("{}.{}:80", centre.name, number);
    endpoint.record.data_centre = DataCentreId(centre.name);
    endpoint.record.version = VersionId("v1");
    endpoint.record.slots = setup_.slots;
    endpoints_[endpoint.record.endpoint.value()] = endpoint;
  }
  for (int i = 0; i < centre.instances; ++i) {
    Instance instance;
    instance.centre = centre.name;
    instance.table = std::make_unique<EndpointLoadTable>();
    instance.pool = std::make_unique<EndpointPool>(ColdLimits{1.5, 5});
    PlacementSettings placement = setup_.placement;
    placement.data_centre = DataCentreId(centre.name);
    instance.pool->SetPlacement(placement);
    instance.pool->SetLoadTable(instance.table.get());
    instances_.push_back(std::move(instance));
  }
}

void PlacementSimulation::SetArrivals(const std::string& centre,
                                      double arrivals) {
  for (SimulatedCentre& entry : setup_.centres) {
    entry.arrivals = entry.name == centre ? arrivals : entry.arrivals;
  }
}

void PlacementSimulation::SetPartitioned(const std::string& centre,
                                         bool partitioned) {
  if (partitioned) {
    partitioned_.insert(centre);
  } else {
    partitioned_.erase(centre);
  }
}

void PlacementSimulation::SetDown(const std::string& centre, bool down) {
  for (auto& entry : endpoints_) {
    Endpoint& endpoint = entry.second;
    if (endpoint.record.data_centre != DataCentreId(centre)) {
      continue;
    }
    endpoint.down = down;
    endpoint.cached.clear();
    endpoint.record.started_at += down ? 0 : 1;
    std::vector<Request> lost;
    lost.insert(lost.end(), endpoint.waiting.begin(), endpoint.waiting.end());
    std::size_t running_from = lost.size();
    lost.insert(lost.end(), endpoint.running.begin(), endpoint.running.end());
    endpoint.waiting.clear();
    endpoint.running.clear();
    for (std::size_t i = 0; i < lost.size(); ++i) {
      instances_[lost[i].instance].pool->OnEnd(endpoint.record.endpoint,
                                               lost[i].work, i >= running_from,
                                               AttemptResult::kBroken, now_);
      if (i < running_from) {
        delayed_.push_back({now_, lost[i], ""});
      }
    }
    for (Instance& instance : instances_) {
      if (!down) {
        instance.pool->Update(endpoint.record, now_);
      }
    }
  }
}

void PlacementSimulation::SetReportsLost(int instance, bool lost) {
  instances_[instance].reports_lost = lost;
}

int PlacementSimulation::TakeSendsTo(const std::string& centre) {
  return std::exchange(sends_to_[centre], 0);
}

bool PlacementSimulation::CanConnect(const Instance& instance,
                                     const Endpoint& endpoint) const {
  const std::string& to = endpoint.record.data_centre.value();
  bool cut =
      instance.centre != to &&
      (partitioned_.count(instance.centre) > 0 || partitioned_.count(to) > 0);
  return !cut && !endpoint.down;
}

std::vector<LoadReport> PlacementSimulation::OwnReports() const {
  std::vector<LoadReport> reports(instances_.size());
  for (const auto& entry : endpoints_) {
    const Endpoint& endpoint = entry.second;
    std::uint64_t key = EndpointKey(endpoint.record.endpoint);
    for (const Request& request : endpoint.waiting) {
      ReportedEndpointLoad& load = reports[request.instance].endpoints[key];
      load.in_flight += 1;
      load.waiting_tokens += request.work.prompt_tokens;
    }
    for (const Request& request : endpoint.running) {
      ReportedEndpointLoad& load = reports[request.instance].endpoints[key];
      load.in_flight += 1;
      load.running += 1;
      load.pace_sum += 1 / endpoint.speed;
      load.pace_count += 1;
    }
  }
  return reports;
}

// Delivers what was reported one interval ago: at the next exchange it is two
// intervals old.
void PlacementSimulation::ExchangeReports() {
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    if (instances_[i].reports_lost) {
      continue;
    }
    LoadReport others;
    for (std::size_t j = 0; j < instances_.size(); ++j) {
      bool cut = instances_[i].centre != instances_[j].centre &&
                 (partitioned_.count(instances_[i].centre) > 0 ||
                  partitioned_.count(instances_[j].centre) > 0);
      if (i != j && !cut && !instances_[j].reports_lost) {
        others.Add(previous_reports_[j]);
      }
    }
    instances_[i].table->SetOthers(std::move(others), kReportInterval, now_);
  }
  previous_reports_ = OwnReports();
}

void PlacementSimulation::Arrive(const SimulatedCentre& centre) {
  Request request;
  std::vector<int> local;
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    if (instances_[i].centre == centre.name) {
      local.push_back(static_cast<int>(i));
    }
  }
  request.instance = local[random_() % local.size()];
  request.hash = Mix(++last_request_ + setup_.seed * 1000003ULL);
  request.group = static_cast<int>(
      random_() % static_cast<unsigned>(std::max(setup_.prompt_groups, 1)));
  request.arrived_at = now_;
  request.work = {setup_.prompt_tokens, setup_.shared_tokens, 1};
  ++result_.requests;
  ++result_.requests_by_centre[centre.name];
  Send(std::move(request));
}

void PlacementSimulation::Send(Request request) {
  Instance& instance = instances_[request.instance];
  DispatchQuery query;
  query.service = ServiceId("s");
  query.work = request.work;
  query.request_hash = request.hash;
  query.affinity = Mix(static_cast<std::uint64_t>(request.group) + 77);
  query.excluded = request.tried;
  query.bytes = setup_.bytes;
  query.local_data_centre = DataCentreId(instance.centre);
  DispatchChoice choice = instance.pool->Choose(query, now_);
  bool late = now_ - request.arrived_at > kDeadline;
  if (late || request.tried.size() >= kMaxAttempts) {
    ++result_.refused;
    return;
  }
  if (!choice.endpoint.has_value()) {
    delayed_.push_back({now_ + kRetryInterval, std::move(request), ""});
    return;
  }
  Endpoint& endpoint = endpoints_.at(choice.endpoint->value());
  const std::string& to = endpoint.record.data_centre.value();
  request.tried.push_back(*choice.endpoint);
  request.sent_at = now_;
  instance.pool->OnStart(*choice.endpoint, request.work, now_);
  ++sends_to_[to];
  if (to != instance.centre && now_ >= count_remote_from_) {
    ++result_.remote[{instance.centre, to}];
    result_.remote_bytes += setup_.bytes;
    // An instance learns from failed connections that a data centre is gone.
    if (choice.remote == RemoteReason::kOverflow &&
        CanConnect(instance, endpoint)) {
      planned_flows_.insert({instance.centre, to});
    }
  }
  if (!CanConnect(instance, endpoint)) {
    std::string failed = choice.endpoint->value();
    delayed_.push_back({now_ + kConnectTimeout, std::move(request), failed});
    return;
  }
  std::size_t held = endpoint.waiting.size() + endpoint.running.size();
  if (held >= static_cast<std::size_t>(setup_.slots) +
                  static_cast<std::size_t>(setup_.queue)) {
    instance.pool->OnEnd(*choice.endpoint, request.work, false,
                         AttemptResult::kRefused, now_);
    Send(std::move(request));
    return;
  }
  StartPrompt(&endpoint, &request);
  endpoint.waiting.push_back(std::move(request));
  result_.longest_queue = std::max(result_.longest_queue,
                                   static_cast<int>(endpoint.waiting.size()));
}

void PlacementSimulation::StartPrompt(Endpoint* endpoint, Request* request) {
  auto cached = std::find(endpoint->cached.begin(), endpoint->cached.end(),
                          request->group);
  request->unread = request->work.prompt_tokens;
  result_.cache_hits += cached != endpoint->cached.end() ? 1 : 0;
  if (cached != endpoint->cached.end()) {
    request->unread -= request->work.shared_tokens;
    endpoint->cached.erase(cached);
  }
  endpoint->cached.push_front(request->group);
  if (endpoint->cached.size() > kCachedGroups) {
    endpoint->cached.pop_back();
  }
}

void PlacementSimulation::StepEndpoint(Endpoint* endpoint) {
  const EndpointId& id = endpoint->record.endpoint;
  for (auto request = endpoint->running.begin();
       request != endpoint->running.end();) {
    if (request->ends_at > now_) {
      ++request;
      continue;
    }
    instances_[request->instance].pool->OnEnd(id, request->work, true,
                                              AttemptResult::kAnswered, now_);
    request = endpoint->running.erase(request);
  }
  double running = static_cast<double>(endpoint->running.size());
  double tokens = std::max(
      kTokensPerMs * endpoint->speed - kGenerationPerMs * running, 0.5);
  endpoint->busy_ms += endpoint->waiting.empty() ? 0 : 1;
  while (tokens > 0 && !endpoint->waiting.empty() &&
         endpoint->running.size() < static_cast<std::size_t>(setup_.slots)) {
    Request& first = endpoint->waiting.front();
    double read = std::min(tokens, first.unread);
    tokens -= read;
    first.unread -= read;
    if (first.unread > 0) {
      break;
    }
    Request request = std::move(first);
    endpoint->waiting.pop_front();
    instances_[request.instance].pool->OnFirstByte(
        id, request.work, duration_cast<microseconds>(now_ - request.sent_at),
        now_);
    auto wait = duration_cast<milliseconds>(now_ - request.arrived_at);
    result_.longest_wait = std::max(result_.longest_wait, wait);
    bool in_time = wait <= setup_.objective;
    result_.in_time += in_time ? 1 : 0;
    result_.in_time_by_centre[instances_[request.instance].centre] +=
        in_time ? 1 : 0;
    request.ends_at =
        now_ +
        milliseconds(static_cast<std::int64_t>(
            static_cast<double>(kGenerationTime.count()) / endpoint->speed));
    endpoint->running.push_back(std::move(request));
  }
}

void PlacementSimulation::CountBothWays() {
  for (const auto& [from, to] : planned_flows_) {
    if (from < to && planned_flows_.count({to, from}) > 0) {
      ++result_.both_ways_steps;
    }
  }
  planned_flows_.clear();
}

SimulationResult PlacementSimulation::Run(const Script& script) {
  constexpr int kFlowStep = 100;
  for (int ms = 0; ms < setup_.duration.count(); ++ms) {
    now_ += milliseconds(1);
    if (script) {
      script(this, ms);
    }
    if (ms % kReportInterval.count() == 0) {
      ExchangeReports();
    }
    for (Instance& instance : instances_) {
      instance.pool->UpdatePlans(now_);
    }
    if (ms % kFlowStep == 0) {
      CountBothWays();
    }
    std::vector<Delayed> due;
    auto first_due = std::stable_partition(
        delayed_.begin(), delayed_.end(),
        [this](const Delayed& d) { return d.due > now_; });
    due.assign(std::make_move_iterator(first_due),
               std::make_move_iterator(delayed_.end()));
    delayed_.erase(first_due, delayed_.end());
    for (Delayed& entry : due) {
      if (!entry.failed.empty()) {
        instances_[entry.request.instance].pool->OnEnd(
            EndpointId(entry.failed), entry.request.work, false,
            AttemptResult::kUnreachable, now_);
      }
      Send(std::move(entry.request));
    }
    for (const SimulatedCentre& centre : setup_.centres) {
      std::poisson_distribution<int> count(centre.arrivals / 1000);
      for (int n = count(random_); n > 0; --n) {
        Arrive(centre);
      }
    }
    for (auto& entry : endpoints_) {
      StepEndpoint(&entry.second);
    }
  }
  for (const auto& [name, endpoint] : endpoints_) {
    result_.busy[name] = static_cast<double>(endpoint.busy_ms) /
                         static_cast<double>(setup_.duration.count());
  }
  return result_;
}

}  // namespace filbertshift
