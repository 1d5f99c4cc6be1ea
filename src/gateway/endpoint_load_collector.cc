#include "src/gateway/endpoint_load_collector.h"

#include <algorithm>
#include <utility>

namespace filbertshift {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// How long a report that no longer counts is kept as the base of changes. Where
// reports come rarely, because they are large, whole ones would be larger yet.
constexpr milliseconds kBaseRetention{10000};

}  // namespace

bool EndpointLoadCollector::Add(LoadMessage message, TimePoint now) {
  Expire(now);
  bool is_sum = message.scope == LoadScope::kSum;
  Parts& parts = is_sum ? sums_ : instances_;
  auto found = parts.find(message.instance);
  if (message.base != 0) {
    if (found == parts.end() ||
        found->second.incarnation != message.incarnation ||
        found->second.sequence != message.base) {
      return false;
    }
    ApplyChanges(message.report, &found->second.report);
  } else {
    found = parts.try_emplace(message.instance).first;
    found->second.report = std::move(message.report);
  }
  Part& part = found->second;
  part.as_of = now - std::min(message.age, kRetention);
  part.arrived_at = now;
  part.incarnation = message.incarnation;
  part.sequence = message.sequence;
  part.expired = false;
  if (is_sum) {
    instances_.erase(message.instance);
  }
  return true;
}

void EndpointLoadCollector::Expire(TimePoint now) {
  for (Parts* parts : {&instances_, &sums_}) {
    milliseconds retention = parts == &sums_ ? kSumRetention : kRetention;
    for (auto entry = parts->begin(); entry != parts->end();) {
      auto age = now - entry->second.arrived_at;
      entry->second.expired = age >= retention;
      entry = age >= kBaseRetention ? parts->erase(entry) : std::next(entry);
    }
  }
}

bool EndpointLoadCollector::empty() const {
  auto is_expired = [](const auto& entry) { return entry.second.expired; };
  return std::all_of(instances_.begin(), instances_.end(), is_expired) &&
         std::all_of(sums_.begin(), sums_.end(), is_expired);
}

LoadReport EndpointLoadCollector::SumOfInstances() const {
  LoadReport sum;
  for (const auto& entry : instances_) {
    if (!entry.second.expired) {
      sum.Add(entry.second.report);
    }
  }
  return sum;
}

LoadReport EndpointLoadCollector::SumWithout(const InstanceId& excluded) const {
  LoadReport sum;
  for (const Parts* parts : {&instances_, &sums_}) {
    for (const auto& [instance, part] : *parts) {
      if (instance != excluded && !part.expired) {
        sum.Add(part.report);
      }
    }
  }
  return sum;
}

milliseconds EndpointLoadCollector::OldestAge(TimePoint now) const {
  milliseconds oldest{0};
  for (const Parts* parts : {&instances_, &sums_}) {
    for (const auto& entry : *parts) {
      if (!entry.second.expired) {
        oldest = std::max(
            oldest, duration_cast<milliseconds>(now - entry.second.as_of));
      }
    }
  }
  return oldest;
}

}  // namespace filbertshift
