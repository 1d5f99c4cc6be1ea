#include "src/fleet/reader_selector.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

// Number of instances per reader.
constexpr std::size_t kInstancesPerReader = 16;
// After a reader fails, the store is read directly for at least
// kStoreFallbackTime. The reader is avoided for longer, because a failed
// instance is still listed as live for some seconds.
constexpr milliseconds kStoreFallbackTime{3000};
constexpr milliseconds kReaderAvoidTime{12000};

std::uint64_t Hash(const InstanceId& instance) {
  return XXH64(instance.value().data(), instance.value().size(), 0);
}

}  // namespace

void ReaderSelector::SetInstances(const std::vector<LiveInstance>& live) {
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

bool ReaderSelector::IsReader() const {
  return std::any_of(
      readers_.begin(), readers_.end(),
      [this](const LiveInstance& entry) { return entry.instance == self_; });
}

std::optional<LiveInstance> ReaderSelector::CurrentReader(TimePoint now) const {
  if (readers_.empty() || IsReader() ||
      (store_fallback_until_.has_value() && now < *store_fallback_until_)) {
    return std::nullopt;
  }
  const LiveInstance& reader = readers_[Hash(self_) % readers_.size()];
  auto avoided = avoid_until_.find(reader.instance);
  if (avoided != avoid_until_.end() && now < avoided->second) {
    return std::nullopt;
  }
  return reader;
}

void ReaderSelector::OnReaderFailed(const InstanceId& instance, TimePoint now) {
  store_fallback_until_ = now + kStoreFallbackTime;
  avoid_until_[instance] = now + kReaderAvoidTime;
}

}  // namespace filbertshift
