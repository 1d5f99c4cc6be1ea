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
// The same for a reader with an outdated view, for example because the store
// turns it away. It is live and may soon be current again.
constexpr milliseconds kOutdatedFallbackTime{1500};
constexpr milliseconds kOutdatedAvoidTime{4000};

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
  std::size_t first = Hash(self_) % readers_.size();
  for (std::size_t i = 0; i < readers_.size(); ++i) {
    const LiveInstance& reader = readers_[(first + i) % readers_.size()];
    auto avoided = avoid_until_.find(reader.instance);
    if (avoided == avoid_until_.end() || now >= avoided->second) {
      return reader;
    }
  }
  return std::nullopt;
}

void ReaderSelector::OnReaderFailed(const InstanceId& instance, TimePoint now) {
  Avoid(instance, kStoreFallbackTime, kReaderAvoidTime, now);
}

void ReaderSelector::OnReaderOutdated(const InstanceId& instance,
                                      TimePoint now) {
  Avoid(instance, kOutdatedFallbackTime, kOutdatedAvoidTime, now);
}

void ReaderSelector::Avoid(const InstanceId& instance,
                           milliseconds store_fallback_time,
                           milliseconds avoid_time,
                           TimePoint now) {
  store_fallback_until_ = now + store_fallback_time;
  avoid_until_[instance] = now + avoid_time;
}

}  // namespace filbertshift
