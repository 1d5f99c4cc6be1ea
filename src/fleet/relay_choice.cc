#include "src/fleet/relay_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

// Instances for each one that reads the store.
constexpr std::size_t kInstancesPerReader = 16;
// After a reader has failed, the store is read for this long at least, and the
// reader is left alone for longer: a dead one counts as live for some seconds.
constexpr milliseconds kReadStoreTime{3000};
constexpr milliseconds kUnfitTime{12000};

std::uint64_t Hash(const InstanceId& instance) {
  return XXH64(instance.value().data(), instance.value().size(), 0);
}

}  // namespace

void RelayChoice::SetInstances(const std::vector<LiveInstance>& live) {
  readers_ = live;
  std::sort(readers_.begin(), readers_.end(),
            [](const LiveInstance& a, const LiveInstance& b) {
              return std::pair(Hash(a.instance), a.instance.value()) <
                     std::pair(Hash(b.instance), b.instance.value());
            });
  std::size_t count =
      (live.size() + kInstancesPerReader - 1) / kInstancesPerReader;
  readers_.resize(count);
}

bool RelayChoice::IsReader() const {
  return std::any_of(
      readers_.begin(), readers_.end(),
      [this](const LiveInstance& entry) { return entry.instance == self_; });
}

std::optional<LiveInstance> RelayChoice::Current(TimePoint now) const {
  if (readers_.empty() || IsReader() ||
      (store_until_.has_value() && now < *store_until_)) {
    return std::nullopt;
  }
  const LiveInstance& reader = readers_[Hash(self_) % readers_.size()];
  auto unfit = unfit_until_.find(reader.instance);
  if (unfit != unfit_until_.end() && now < unfit->second) {
    return std::nullopt;
  }
  return reader;
}

void RelayChoice::OnUnfit(const InstanceId& instance, TimePoint now) {
  store_until_ = now + kReadStoreTime;
  unfit_until_[instance] = now + kUnfitTime;
}

}  // namespace filbertshift
