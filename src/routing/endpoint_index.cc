#include "src/routing/endpoint_index.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace filbertshift {

namespace {

// Number of ring neighbours that rendezvous hashing ranks for a prefix.
constexpr std::size_t kPrefixEndpoints = 4;

std::uint64_t HashPair(std::uint64_t value, std::uint64_t seed) {
  return XXH64(&value, sizeof(value), seed);
}

}  // namespace

bool operator<(const GroupKey& a, const GroupKey& b) {
  return std::tie(a.kind, a.model, a.version, a.service) <
         std::tie(b.kind, b.model, b.version, b.service);
}

GroupKey GroupKeyOf(const EndpointRecord& record) {
  GroupKey key;
  key.kind = record.kind;
  if (record.kind == EndpointKind::kPlainService) {
    key.service = record.service;
  } else {
    key.model = record.model;
    key.version = record.version;
  }
  return key;
}

std::vector<EndpointSlot> EndpointGroup::PrefixEndpoints(
    std::uint64_t prefix_hash) const {
  const auto first =
      std::lower_bound(ring_.begin(), ring_.end(), HashPair(prefix_hash, 0),
                       [](const RingPoint& point, std::uint64_t hash) {
                         return point.hash < hash;
                       });
  const std::size_t start = static_cast<std::size_t>(first - ring_.begin());
  std::vector<std::pair<std::uint64_t, EndpointSlot>> ranked;
  for (std::size_t i = 0; i < std::min(kPrefixEndpoints, ring_.size()); ++i) {
    const RingPoint& point = ring_[(start + i) % ring_.size()];
    ranked.push_back({HashPair(point.hash, prefix_hash), point.slot});
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<EndpointSlot> slots;
  for (const auto& [hash, slot] : ranked) {
    slots.push_back(slot);
  }
  return slots;
}

void EndpointIndex::Clear(std::size_t slots) {
  locations_.assign(slots, Location());
  for (auto& [key, group] : groups_) {
    group.members_.clear();
    group.available_.clear();
    group.ring_.clear();
  }
}

void EndpointIndex::Add(const EndpointRecord& record, EndpointSlot slot) {
  EndpointGroup& group = groups_[GroupKeyOf(record)];
  const std::string& id = record.endpoint.value();
  group.members_.push_back(slot);
  group.ring_.push_back({XXH64(id.data(), id.size(), 0), slot});
  locations_[slot].group = &group;
  MakeAvailable(slot);
}

void EndpointIndex::Finish() {
  for (auto entry = groups_.begin(); entry != groups_.end();) {
    EndpointGroup& group = entry->second;
    std::sort(
        group.ring_.begin(), group.ring_.end(),
        [](const EndpointGroup::RingPoint& a,
           const EndpointGroup::RingPoint& b) { return a.hash < b.hash; });
    entry = group.members_.empty() ? groups_.erase(entry) : std::next(entry);
  }
}

EndpointGroup* EndpointIndex::Find(const GroupKey& key) {
  const auto found = groups_.find(key);
  return found == groups_.end() ? nullptr : &found->second;
}

const EndpointGroup* EndpointIndex::Find(const GroupKey& key) const {
  const auto found = groups_.find(key);
  return found == groups_.end() ? nullptr : &found->second;
}

void EndpointIndex::MakeAvailable(EndpointSlot slot) {
  Location& location = locations_[slot];
  if (location.group == nullptr || location.position != kNotAvailable) {
    return;
  }
  location.position = location.group->available_.size();
  location.group->available_.push_back(slot);
}

void EndpointIndex::DropAvailable(EndpointGroup* group, std::size_t position) {
  SwapAvailableSlots(group, position, group->available_.size() - 1);
  locations_[group->available_.back()].position = kNotAvailable;
  group->available_.pop_back();
}

void EndpointIndex::SwapAvailableSlots(EndpointGroup* group,
                                       std::size_t a,
                                       std::size_t b) {
  std::vector<EndpointSlot>& available = group->available_;
  std::swap(available[a], available[b]);
  locations_[available[a]].position = a;
  locations_[available[b]].position = b;
}

}  // namespace filbertshift
