#include "src/dispatch/endpoint_load_table.h"

#include <xxhash.h>

#include <utility>

namespace filbertshift {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

void ReportedEndpointLoad::Add(const ReportedEndpointLoad& other) {
  in_flight += other.in_flight;
  running += other.running;
  waiting_tokens += other.waiting_tokens;
  pace_sum += other.pace_sum;
  pace_count += other.pace_count;
}

void ReportedServiceLoad::Add(const ReportedServiceLoad& other) {
  arrivals += other.arrivals;
  admitted += other.admitted;
  answers += other.answers;
  answer_ms += other.answer_ms;
  rejections += other.rejections;
}

void LoadReport::Add(const LoadReport& other) {
  for (const auto& [key, load] : other.endpoints) {
    endpoints[key].Add(load);
  }
  for (const auto& [service, load] : other.services) {
    services[service].Add(load);
  }
}

std::uint64_t EndpointKey(const EndpointId& endpoint) {
  return XXH64(endpoint.value().data(), endpoint.value().size(), 0);
}

void EndpointLoadTable::SetOthers(LoadReport report,
                                  milliseconds age,
                                  TimePoint now) {
  others_ = std::move(report);
  as_of_ = now - age;
}

bool EndpointLoadTable::IsCurrent(TimePoint now) const {
  return as_of_ != TimePoint() && now - as_of_ <= kMaxLoadAge;
}

std::optional<milliseconds> EndpointLoadTable::AgeAt(TimePoint now) const {
  if (as_of_ == TimePoint()) {
    return std::nullopt;
  }
  return duration_cast<milliseconds>(now - as_of_);
}

std::optional<ReportedEndpointLoad> EndpointLoadTable::OthersAt(
    std::uint64_t key,
    TimePoint now) const {
  if (!IsCurrent(now)) {
    return std::nullopt;
  }
  auto found = others_.endpoints.find(key);
  return found == others_.endpoints.end() ? ReportedEndpointLoad()
                                          : found->second;
}

std::optional<ReportedServiceLoad> EndpointLoadTable::OthersOf(
    const ServiceId& service,
    TimePoint now) const {
  if (!IsCurrent(now)) {
    return std::nullopt;
  }
  auto found = others_.services.find(service);
  return found == others_.services.end() ? ReportedServiceLoad()
                                         : found->second;
}

}  // namespace filbertshift
