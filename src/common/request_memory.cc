#include "src/common/request_memory.h"

#include <algorithm>

namespace filbertshift {

namespace {

// A request must leave this many times its own size, but not more than the
// limit divided by kReserveDivisor.
constexpr std::size_t kReserveFactor = 16;
constexpr std::size_t kReserveDivisor = 4;

}  // namespace

bool RequestMemory::TryHold(Key request, std::size_t bytes) {
  auto found = held_.find(request);
  std::size_t before = found == held_.end() ? 0 : found->second;
  if (bytes > before) {
    std::size_t largest_reserve = max_bytes_ / kReserveDivisor;
    std::size_t reserve = bytes > largest_reserve / kReserveFactor
                              ? largest_reserve
                              : bytes * kReserveFactor;
    std::size_t available = max_bytes_ - (total_ - before);
    if (available < reserve || bytes > available - reserve) {
      return false;
    }
  }
  if (bytes == 0) {
    Release(request);
    return true;
  }
  total_ = total_ - before + bytes;
  held_[request] = bytes;
  return true;
}

void RequestMemory::Release(Key request) {
  auto found = held_.find(request);
  if (found != held_.end()) {
    total_ -= found->second;
    held_.erase(found);
  }
}

}  // namespace filbertshift
