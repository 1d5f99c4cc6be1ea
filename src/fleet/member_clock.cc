#include "src/fleet/member_clock.h"

namespace filbertshift {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Reads are usually not further apart than this; beyond it, the rows could not
// be read.
constexpr milliseconds kMaxReadGap{3500};
// Without any change for longer than this, the rows could not be written: this
// instance's own row changes as well.
constexpr milliseconds kMaxQuiet{2500};

}  // namespace

void MemberClock::OnRead(bool any_changed, TimePoint now) {
  TimePoint previous = read_at_.value_or(now);
  if (now < previous) {
    return;
  }
  read_at_ = now;
  auto gap = duration_cast<milliseconds>(now - previous);
  if (gap > kMaxReadGap) {
    quiet_ = milliseconds(0);
    return;
  }
  quiet_ = any_changed ? milliseconds(0) : quiet_ + gap;
  if (quiet_ <= kMaxQuiet) {
    elapsed_ += gap;
  }
}

}  // namespace filbertshift
