// Finds the endpoints that can serve a query without visiting all of them.

#ifndef SRC_ROUTING_ENDPOINT_INDEX_H_
#define SRC_ROUTING_ENDPOINT_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "src/ports/ports.h"

namespace filbertshift {

// Position of an endpoint in the registry; valid until the next rebuild.
using EndpointSlot = std::uint32_t;

// What endpoints of one group have in common.
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
  // All endpoints in which the seat has a part.
  const std::vector<EndpointSlot>& members() const { return members_; }
  // Endpoints that may be free. Invariant of the registry: every member that
  // can start a request is in here. Others are dropped when they are found.
  const std::vector<EndpointSlot>& available() const { return available_; }

  // Position of the next round-robin choice.
  std::size_t NextTurn() { return turn_++; }

  // A few endpoints for the prefix, best first: neighbours on a hash ring,
  // ordered by rendezvous hashing. The same on all instances with the same
  // endpoints. The ring bounds the cost, rendezvous evens out its gaps.
  std::vector<EndpointSlot> PrefixEndpoints(std::uint64_t prefix_hash) const;

 private:
  friend class EndpointIndex;

  struct RingPoint {
    std::uint64_t hash = 0;
    EndpointSlot slot = 0;
  };

  std::vector<EndpointSlot> members_;
  std::vector<EndpointSlot> available_;
  // Invariant: one point for each member, ordered by hash.
  std::vector<RingPoint> ring_;
  std::size_t turn_ = 0;
};

class EndpointIndex {
 public:
  // Drops all groups but keeps the turns of round robin.
  void Clear(std::size_t slots);
  // The endpoint is also made available.
  void Add(const EndpointRecord& record, EndpointSlot slot);
  // To be called after the last Add.
  void Finish();

  EndpointGroup* Find(const GroupKey& key);
  const EndpointGroup* Find(const GroupKey& key) const;

  // No effect on an endpoint that is available or in no group.
  void MakeAvailable(EndpointSlot slot);
  // Drops the available endpoint at `position`; the last one takes its place.
  void DropAvailable(EndpointGroup* group, std::size_t position);
  void SwapAvailable(EndpointGroup* group, std::size_t a, std::size_t b);

 private:
  static constexpr std::size_t kNotAvailable = static_cast<std::size_t>(-1);

  struct Place {
    EndpointGroup* group = nullptr;
    // In available().
    std::size_t position = kNotAvailable;
  };

  // Groups keep their address while they are in the map.
  std::map<GroupKey, EndpointGroup> groups_;
  std::vector<Place> places_;
};

}  // namespace filbertshift

#endif  // SRC_ROUTING_ENDPOINT_INDEX_H_
