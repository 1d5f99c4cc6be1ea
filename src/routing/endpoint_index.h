// Index of endpoints by group, so that a query need not scan all endpoints.

#ifndef SRC_ROUTING_ENDPOINT_INDEX_H_
#define SRC_ROUTING_ENDPOINT_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "src/ports/ports.h"

namespace filbertshift {

// Index of an endpoint in the registry; valid until the next rebuild.
using EndpointSlot = std::uint32_t;

// Key shared by the endpoints that can serve the same queries.
struct GroupKey {
  EndpointKind kind = EndpointKind::kModelEngine;
  ModelId model;
  VersionId version;
  ServiceId service;

  friend bool operator<(const GroupKey& a, const GroupKey& b);
};

GroupKey GroupKeyOf(const EndpointRecord& record);

class EndpointGroup {
 public:
  // All endpoints of the group in which the seat has a share.
  const std::vector<EndpointSlot>& members() const { return members_; }
  // Superset of the members that can start a request; the registry maintains
  // this invariant and drops the others lazily when a choice encounters them.
  const std::vector<EndpointSlot>& available() const { return available_; }

  // Returns and advances the round-robin counter.
  std::size_t NextRoundRobin() { return round_robin_counter_++; }

  // Returns a few endpoints for the prefix, best first: neighbours on a hash
  // ring, ordered by rendezvous hashing. All instances with the same endpoints
  // get the same result. The ring bounds the cost; rendezvous hashing evens out
  // the unequal gaps between its points.
  std::vector<EndpointSlot> PrefixEndpoints(std::uint64_t prefix_hash) const;

 private:
  friend class EndpointIndex;

  struct RingPoint {
    std::uint64_t hash = 0;
    EndpointSlot slot = 0;
  };

  std::vector<EndpointSlot> members_;
  std::vector<EndpointSlot> available_;
  // Invariant: one point for each member; sorted by hash after Finish.
  std::vector<RingPoint> ring_;
  std::size_t round_robin_counter_ = 0;
};

class EndpointIndex {
 public:
  // Empties all groups but keeps their round-robin counters.
  void Clear(std::size_t slots);
  // Also makes the endpoint available.
  void Add(const EndpointRecord& record, EndpointSlot slot);
  // Completes a rebuild; must be called after the last Add.
  void Finish();

  EndpointGroup* Find(const GroupKey& key);
  const EndpointGroup* Find(const GroupKey& key) const;

  // No effect for an endpoint that is already available or in no group.
  void MakeAvailable(EndpointSlot slot);
  // Removes the available endpoint at `position` by swapping it with the last.
  void DropAvailable(EndpointGroup* group, std::size_t position);
  void SwapAvailableSlots(EndpointGroup* group, std::size_t a, std::size_t b);

 private:
  static constexpr std::size_t kNotAvailable = static_cast<std::size_t>(-1);

  struct Location {
    EndpointGroup* group = nullptr;
    // Index in available().
    std::size_t position = kNotAvailable;
  };

  // std::map keeps the addresses of the groups stable for locations_.
  std::map<GroupKey, EndpointGroup> groups_;
  std::vector<Location> locations_;
};

}  // namespace filbertshift

#endif  // SRC_ROUTING_ENDPOINT_INDEX_H_
