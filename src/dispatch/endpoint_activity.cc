#include "src/dispatch/endpoint_activity.h"

#include <algorithm>
#include <cstdint>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

// Silence is unusual after this many of the usual times between bytes, given
// enough answers in progress, whose pauses do not coincide.
constexpr double kSilentIntervals = 25;
constexpr milliseconds kLeastSilence{300};
constexpr int kMinRunning = 4;
// After this many connections in a row that were not made, and without bytes
// for the time, one request for each interval is a try.
constexpr int kUnreachableConnections = 3;
constexpr milliseconds kUnreachableTime{400};
constexpr milliseconds kProbeInterval{500};

}  // namespace

void EndpointActivity::OnRequest(TimePoint now, bool first_in_flight) {
  if (first_in_flight) {
    last_bytes_ = now;
  }
  last_request_ = now;
}

void EndpointActivity::OnBytes(TimePoint now) {
  if (running_ > 0) {
    interval_.Add(
        std::chrono::duration<double, std::milli>(now - last_bytes_).count());
  }
  last_bytes_ = now;
  failed_connections_ = 0;
}

void EndpointActivity::OnAnswerEnded(int count) {
  running_ = std::max(running_ - count, 0);
}

bool EndpointActivity::IsUnusuallySilent(milliseconds most,
                                         TimePoint now) const {
  milliseconds usual(
      static_cast<std::int64_t>(kSilentIntervals * interval_.value()));
  return running_ >= kMinRunning &&
         SilentFor(now) > std::min(std::max(usual, kLeastSilence), most);
}

bool EndpointActivity::IsUnreachable(TimePoint now) const {
  return failed_connections_ >= kUnreachableConnections &&
         SilentFor(now) > kUnreachableTime &&
         now - last_request_ < kProbeInterval;
}

}  // namespace filbertshift
