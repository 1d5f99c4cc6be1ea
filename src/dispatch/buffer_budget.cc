#include "src/dispatch/buffer_budget.h"

#include <algorithm>
#include <utility>

namespace filbertshift {

void BufferBudget::Set(Key response, std::size_t bytes, bool has_length) {
  if (bytes == 0) {
    Remove(response);
    return;
  }
  Held& held = held_[response];
  total_ += bytes - held.bytes;
  held = {bytes, has_length};
}

void BufferBudget::Remove(Key response) {
  auto found = held_.find(response);
  if (found != held_.end()) {
    total_ -= found->second.bytes;
    held_.erase(found);
  }
}

std::size_t BufferBudget::BytesOf(Key response) const {
  auto found = held_.find(response);
  return found == held_.end() ? 0 : found->second.bytes;
}

std::optional<BufferBudget::Key> BufferBudget::FindExcess() const {
  if (total_ <= max_bytes_) {
    return std::nullopt;
  }
  auto largest = std::max_element(
      held_.begin(), held_.end(), [](const auto& a, const auto& b) {
        return std::pair(!a.second.has_length, a.second.bytes) <
               std::pair(!b.second.has_length, b.second.bytes);
      });
  return largest->first;
}

}  // namespace filbertshift
