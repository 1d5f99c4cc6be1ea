#include "src/dispatch/endpoint_activity.h"

#include <algorithm>
#include <cstdint>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

// Silence counts as a stall after this many average intervals between bytes. A
// minimum number of active responses is required, because pauses of a few
// responses can coincide by chance.
constexpr double kStallIntervals = 25;
constexpr milliseconds kMinSilence{300};
constexpr int kMinActiveResponses = 4;
// After this many consecutive connection failures without received bytes for
// kUnreachableSilence, one request per kProbeInterval is sent as a probe.
constexpr int kUnreachableFailures = 3;
constexpr milliseconds kUnreachableSilence{400};
constexpr milliseconds kProbeInterval{500};

}  // namespace

void EndpointActivity::OnRequest(TimePoint now, bool first_in_flight) {
  if (first_in_flight) {
    last_bytes_ = now;
  }
  last_request_ = now;
}

void EndpointActivity::OnBytes(TimePoint now) {
  if (active_responses_ > 0) {
    interval_.Add(
        std::chrono::duration<double, std::milli>(now - last_bytes_).count());
  }
  last_bytes_ = now;
  failed_connections_ = 0;
}

void EndpointActivity::OnResponseEnded(int count) {
  active_responses_ = std::max(active_responses_ - count, 0);
}

bool EndpointActivity::IsStalled(milliseconds max_silence,
                                 std::chrono::nanoseconds silence) const {
  milliseconds stall_time(
      static_cast<std::int64_t>(kStallIntervals * interval_.value()));
  return active_responses_ >= kMinActiveResponses &&
         silence > std::min(std::max(stall_time, kMinSilence), max_silence);
}

bool EndpointActivity::IsUnreachable(TimePoint now) const {
  return failed_connections_ >= kUnreachableFailures &&
         now - last_bytes_ > kUnreachableSilence &&
         now - last_request_ < kProbeInterval;
}

}  // namespace filbertshift
