#include "src/dispatch/service_endpoints.h"

#include <xxhash.h>

#include <algorithm>

namespace filbertshift {

namespace {

// With one point, the endpoint behind the longest arc would be first for
// several times its share of the prompts; with 16 the arcs differ by a quarter.
constexpr std::uint64_t kPointsPerEndpoint = 16;

std::uint64_t PointOf(const EndpointId& endpoint, std::uint64_t number) {
  const std::string& id = endpoint.value();
  // The seed 0 is that of the hash that identifies the endpoint in reports.
  return XXH64(id.data(), id.size(), number + 1);
}

}  // namespace

void EndpointRing::Add(const EndpointId& endpoint) {
  if (!positions_.emplace(endpoint, members_.size()).second) {
    return;
  }
  members_.push_back(endpoint);
  for (std::uint64_t i = 0; i < kPointsPerEndpoint; ++i) {
    points_.emplace(PointOf(endpoint, i), endpoint);
  }
}

void EndpointRing::Remove(const EndpointId& endpoint) {
  auto found = positions_.find(endpoint);
  if (found == positions_.end()) {
    return;
  }
  for (std::uint64_t i = 0; i < kPointsPerEndpoint; ++i) {
    auto point = points_.find(PointOf(endpoint, i));
    if (point != points_.end() && point->second == endpoint) {
      points_.erase(point);
    }
  }
  std::size_t position = found->second;
  positions_.erase(found);
  if (position + 1 < members_.size()) {
    members_[position] = members_.back();
    positions_[members_[position]] = position;
  }
  members_.pop_back();
}

void EndpointRing::Visit(
    std::uint64_t hash,
    std::size_t max_endpoints,
    const std::function<bool(const EndpointId&)>& visit) const {
  // Few, so that a linear search is cheapest.
  std::vector<const EndpointId*> seen;
  std::size_t count = std::min(max_endpoints, members_.size());
  seen.reserve(count);
  auto point = points_.lower_bound(hash);
  for (std::size_t i = 0; i < points_.size() && seen.size() < count; ++i) {
    if (point == points_.end()) {
      point = points_.begin();
    }
    const EndpointId& endpoint = point->second;
    ++point;
    bool known =
        std::any_of(seen.begin(), seen.end(),
                    [&](const EndpointId* id) { return *id == endpoint; });
    if (known) {
      continue;
    }
    seen.push_back(&endpoint);
    if (!visit(endpoint)) {
      return;
    }
  }
}

const EndpointId& EndpointRing::At(std::uint64_t hash) const {
  return members_[hash % members_.size()];
}

void ServiceEndpoints::Put(const EndpointId& endpoint,
                           const ServiceId& service,
                           const DataCentreId& data_centre) {
  auto found = places_.find(endpoint);
  if (found != places_.end()) {
    if (found->second.service == service &&
        found->second.data_centre == data_centre) {
      return;
    }
    Remove(endpoint);
  }
  places_[endpoint] = {service, data_centre};
  services_[service][data_centre].Add(endpoint);
}

void ServiceEndpoints::Remove(const EndpointId& endpoint) {
  auto found = places_.find(endpoint);
  if (found == places_.end()) {
    return;
  }
  auto service = services_.find(found->second.service);
  auto ring = service->second.find(found->second.data_centre);
  ring->second.Remove(endpoint);
  if (ring->second.empty()) {
    service->second.erase(ring);
  }
  if (service->second.empty()) {
    services_.erase(service);
  }
  places_.erase(found);
}

const ServiceEndpoints::RingsByDataCentre* ServiceEndpoints::Find(
    const ServiceId& service) const {
  auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second;
}

}  // namespace filbertshift
