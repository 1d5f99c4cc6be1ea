// Attempts whose endpoints send nothing: detection and move to another endpoint.

#include <fmt/format.h>

#include <unordered_map>
#include <vector>

#include "src/gateway/forwarder.h"

namespace filbertshift {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kSweepInterval{50};
// Maximum pause of a stream whose endpoint is active, in percent of the allowed
// gap: the endpoint may have preempted it for more urgent requests.
constexpr int kMaxPausePercent = 250;
// A request that is not streamed is moved after this percentage of its
// objective without progress.
constexpr int kSlowResponsePercent = 70;

std::int64_t Milliseconds(std::chrono::nanoseconds time) {
  return duration_cast<milliseconds>(time).count();
}

milliseconds AllowedPause(const Exchange& exchange) {
  const Route& route = *exchange.route;
  bool has_gap =
      exchange.attempt->head_seen && route.event_gap_objective.count() > 0;
  return has_gap ? route.event_gap_objective : route.objective;
}

}  // namespace

void Forwarder::MoveAttempt(Exchange* exchange,
                            std::string_view reason,
                            std::string_view evidence) {
  log_->Write(EventId::kAttemptMoved,
              {RequestId(exchange->metadata.request_id),
               {},
               exchange->attempt->endpoint},
              fmt::format("reason={} last_event={}{}", reason,
                          exchange->last_event_id.value_or("-"), evidence));
  exchange->failure_detail = std::string(reason);
  ++exchange->runs;
  EndAttempt(exchange, AttemptResult::kBroken);
  Repeat(exchange, reason);
}

bool Forwarder::IsSilent(const Exchange& exchange, TimePoint now) const {
  const EndpointAttempt& attempt = *exchange.attempt;
  const Route& route = *exchange.route;
  auto silence = now - attempt.progress_at;
  if (route.kind != RouteKind::kStreaming) {
    return silence > route.objective * kSlowResponsePercent / 100;
  }
  milliseconds allowed = AllowedPause(exchange);
  return pool_.IsSilent(attempt.endpoint, allowed, now) ||
         (attempt.head_seen && silence > allowed * kMaxPausePercent / 100);
}

std::string Forwarder::DescribeSilence(const Exchange& exchange,
                                       TimePoint now,
                                       std::chrono::nanoseconds sweep_delay) {
  const EndpointAttempt& attempt = *exchange.attempt;
  EndpointSilence silence =
      pool_.SilenceOf(attempt.endpoint, AllowedPause(exchange), now);
  return fmt::format(
      " silent_ms={} endpoint_known={} endpoint_silent_ms={} "
      "data_centre_stalled={} endpoint_requests={} sweep_delay_ms={} "
      "repeats_left={}",
      Milliseconds(now - attempt.progress_at), silence.known,
      Milliseconds(silence.endpoint), silence.data_centre_stalled,
      pool_.InFlight(attempt.endpoint), Milliseconds(sweep_delay),
      repeats_.RepeatsLeft(exchange.service, now));
}

void Forwarder::UpdateWaits(TimePoint now) {
  struct Sum {
    microseconds waited{0};
    int requests = 0;
  };
  std::unordered_map<ServiceId, Sum> sums;
  for (const auto& entry : exchanges_) {
    const Exchange& exchange = entry.second;
    Sum& sum = sums[exchange.service];
    if (exchange.attempt.has_value() && !exchange.attempt->head_seen) {
      sum.waited +=
          duration_cast<microseconds>(now - exchange.attempt->started_at);
      ++sum.requests;
    }
  }
  for (const auto& [service, sum] : sums) {
    waits_.SetPendingMean(service, sum.requests == 0
                                       ? microseconds(0)
                                       : sum.waited / sum.requests);
  }
}

void Forwarder::SweepSilentAttempts() {
  TimePoint now = transport_->Now();
  std::chrono::nanoseconds delay = now - sweep_due_at_;
  UpdateWaits(now);
  std::vector<ConnectionId> silent_callers;
  for (const auto& entry : exchanges_) {
    const Exchange& exchange = entry.second;
    if (exchange.attempt.has_value() && exchange.route->repeatable() &&
        exchange.runs + 1 < exchange.route->max_attempts &&
        IsSilent(exchange, now)) {
      silent_callers.push_back(exchange.caller);
    }
  }
  for (ConnectionId caller : silent_callers) {
    Exchange* exchange = Find(caller);
    // If the budget is exhausted, the attempt keeps waiting.
    if (exchange != nullptr && exchange->attempt.has_value() &&
        HasRoomForRepeat(exchange->service)) {
      MoveAttempt(exchange, "silent", DescribeSilence(*exchange, now, delay));
    }
  }
  ScheduleSweep();
}

void Forwarder::ScheduleSweep() {
  sweep_due_at_ = transport_->Now() + kSweepInterval;
  transport_->After(kSweepInterval, [this] { SweepSilentAttempts(); });
}

}  // namespace filbertshift
