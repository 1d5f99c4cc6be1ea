// Index of the endpoints of each service by data centre. Finding candidates for
// a request costs the same for any number of endpoints.

#ifndef SRC_DISPATCH_SERVICE_ENDPOINTS_H_
#define SRC_DISPATCH_SERVICE_ENDPOINTS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

// The endpoints of one service in one data centre.
class EndpointRing {
 public:
  void Add(const EndpointId& endpoint);
  void Remove(const EndpointId& endpoint);
  bool empty() const { return members_.empty(); }
  const std::vector<EndpointId>& members() const { return members_; }

  // Calls `visit` for at most `max_endpoints` distinct endpoints in ring order
  // from `hash` on, until it returns false. All instances visit in the same
  // order.
  void Visit(std::uint64_t hash,
             std::size_t max_endpoints,
             const std::function<bool(const EndpointId&)>& visit) const;
  // An endpoint that depends on the hash only, each with the same probability;
  // the ring must not be empty.
  const EndpointId& At(std::uint64_t hash) const;

 private:
  // Points on the ring by position; kPointsPerEndpoint for each member unless
  // two share a position.
  std::map<std::uint64_t, EndpointId> points_;
  std::vector<EndpointId> members_;
  // Positions in `members_`.
  std::unordered_map<EndpointId, std::size_t> positions_;
};

class ServiceEndpoints {
 public:
  // Ordered, so that all instances go through data centres in the same order.
  using RingsByDataCentre = std::map<DataCentreId, EndpointRing>;

  // Moves the endpoint if it is known under another service or data centre.
  void Put(const EndpointId& endpoint,
           const ServiceId& service,
           const DataCentreId& data_centre);
  void Remove(const EndpointId& endpoint);
  // Null if the service has no endpoints.
  const RingsByDataCentre* Find(const ServiceId& service) const;

 private:
  struct Place {
    ServiceId service;
    DataCentreId data_centre;
  };
  // Invariant: holds no empty ring and no service without rings.
  std::unordered_map<ServiceId, RingsByDataCentre> services_;
  // Invariant: names the one ring of each endpoint in `services_`.
  std::unordered_map<EndpointId, Place> places_;
};

}  // namespace filbertshift

#endif  // SRC_DISPATCH_SERVICE_ENDPOINTS_H_
