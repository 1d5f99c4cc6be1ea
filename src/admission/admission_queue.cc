#include "src/admission/admission_queue.h"

#include <algorithm>
#include <stdexcept>

namespace filbertshift {

namespace {

// Lower bounds that keep the virtual time finite and increasing for accounts
// with weight 0 and requests without expected work.
constexpr double kMinWeight = 1e-3;
constexpr double kMinCost = 1e-3;

}  // namespace

bool AdmissionQueue::Push(const QueuedRequest& request, int class_limit) {
  if (arrival_by_request_.count(request.request) > 0) {
    throw std::invalid_argument("request is already queued: " +
                                request.request.value());
  }
  const std::size_t limit = static_cast<std::size_t>(std::max(class_limit, 0));
  if (SizeOfClass(request.quality_class) >= limit) {
    return false;
  }
  const Arrival arrival = next_arrival_++;
  Level& level = levels_[request.priority];
  Flow& flow = level.flows[{request.target, request.account}];
  if (flow.waiting.empty()) {
    flow.virtual_start = level.virtual_time;
  }
  flow.waiting.insert(arrival);
  arrivals_by_deadline_.insert({request.deadline, arrival});
  arrival_by_request_[request.request] = arrival;
  ++size_by_class_[request.quality_class];
  requests_[arrival] = request;
  return true;
}

AdmissionQueue::Offer AdmissionQueue::MakeOffer(const Level& level,
                                                const FlowKey& key,
                                                Arrival arrival) const {
  const QueuedRequest& request = requests_.at(arrival);
  double start = level.flows.at(key).virtual_start;
  // All flows of an account share its weight.
  const auto last = level.last_finish.find(key.account);
  if (last != level.last_finish.end()) {
    start = std::max(start, last->second);
  }
  const double cost = std::max(request.cost, kMinCost);
  const double weight = std::max(request.weight, kMinWeight);
  return {start + cost / weight, arrival, key};
}

void AdmissionQueue::Drain(const TryStart& try_start) {
  // A target that is blocked for one priority is blocked for all lower ones.
  std::set<std::string> blocked_targets;
  std::vector<int> priorities;
  for (const auto& [priority, level] : levels_) {
    priorities.push_back(priority);
  }
  for (int priority : priorities) {
    DrainLevel(priority, try_start, &blocked_targets);
  }
}

void AdmissionQueue::DrainLevel(int priority,
                                const TryStart& try_start,
                                std::set<std::string>* blocked_targets) {
  Level& level = levels_.at(priority);
  Offers offers;
  for (const auto& [key, flow] : level.flows) {
    offers.insert(MakeOffer(level, key, *flow.waiting.begin()));
  }
  while (!offers.empty()) {
    const Offer offer = *offers.begin();
    offers.erase(offers.begin());
    if (blocked_targets->count(offer.flow.target) > 0) {
      continue;
    }
    // Another flow of the account may have been charged in the meantime.
    const Offer current = MakeOffer(level, offer.flow, offer.arrival);
    if (offer < current) {
      offers.insert(current);
      continue;
    }
    const bool started = try_start(requests_.at(offer.arrival));
    if (!started && !offer.flow.target.empty()) {
      blocked_targets->insert(offer.flow.target);
      continue;
    }
    if (started) {
      Charge(&level, offer);
    }
    AddNextOffer(level, offer, &offers);
    // Erasing the last request destroys the level; no offers are left then, so
    // the loop ends.
    if (started) {
      Erase(offer.arrival);
    }
  }
}

void AdmissionQueue::Charge(Level* level, const Offer& started) const {
  level->last_finish[started.flow.account] = started.virtual_finish;
  level->virtual_time = std::max(level->virtual_time, started.virtual_finish);
}

void AdmissionQueue::AddNextOffer(const Level& level,
                                  const Offer& previous,
                                  Offers* offers) const {
  const std::set<Arrival>& waiting = level.flows.at(previous.flow).waiting;
  const auto next = waiting.upper_bound(previous.arrival);
  if (next != waiting.end()) {
    offers->insert(MakeOffer(level, previous.flow, *next));
  }
}

std::vector<QueuedRequest> AdmissionQueue::Expire(TimePoint now) {
  std::vector<QueuedRequest> expired;
  while (!arrivals_by_deadline_.empty() &&
         arrivals_by_deadline_.begin()->first <= now) {
    expired.push_back(Erase(arrivals_by_deadline_.begin()->second));
  }
  return expired;
}

bool AdmissionQueue::Remove(const RequestId& request) {
  const auto found = arrival_by_request_.find(request);
  if (found == arrival_by_request_.end()) {
    return false;
  }
  Erase(found->second);
  return true;
}

std::size_t AdmissionQueue::SizeOfClass(
    const std::string& quality_class) const {
  const auto found = size_by_class_.find(quality_class);
  return found == size_by_class_.end() ? 0 : found->second;
}

QueuedRequest AdmissionQueue::Erase(Arrival arrival) {
  const auto entry = requests_.find(arrival);
  QueuedRequest request = std::move(entry->second);
  requests_.erase(entry);
  arrival_by_request_.erase(request.request);
  arrivals_by_deadline_.erase({request.deadline, arrival});
  const auto size = size_by_class_.find(request.quality_class);
  if (--size->second == 0) {
    size_by_class_.erase(size);
  }
  EraseFromFlow(request, arrival);
  return request;
}

void AdmissionQueue::EraseFromFlow(const QueuedRequest& request,
                                   Arrival arrival) {
  const auto level = levels_.find(request.priority);
  const auto flow = level->second.flows.find({request.target, request.account});
  flow->second.waiting.erase(arrival);
  if (flow->second.waiting.empty()) {
    level->second.flows.erase(flow);
  }
  // Removing empty levels resets the virtual time and bounds last_finish.
  if (level->second.flows.empty()) {
    levels_.erase(level);
  }
}

}  // namespace filbertshift
