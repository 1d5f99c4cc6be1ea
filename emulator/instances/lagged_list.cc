#include "emulator/instances/lagged_list.h"

#include <utility>

namespace filbertshift::emulator {

void LaggedList::Replace(Json list, SteadyTime now) {
  pending_.push_back({now + lag_, std::move(list)});
}

const Json& LaggedList::VisibleAt(SteadyTime now) {
  while (!stale_ && !pending_.empty() && pending_.front().visible <= now) {
    visible_ = std::move(pending_.front().list);
    pending_.pop_front();
  }
  return visible_;
}

const Json& LaggedList::newest() const {
  return pending_.empty() ? visible_ : pending_.back().list;
}

void LaggedList::set_stale(bool stale, SteadyTime now) {
  VisibleAt(now);
  stale_ = stale;
}

}  // namespace filbertshift::emulator
