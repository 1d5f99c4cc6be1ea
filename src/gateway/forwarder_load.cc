// What this instance reports to the others about its own load.

#include <algorithm>

#include "src/gateway/forwarder.h"

namespace filbertshift {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

// The pauses of a shorter stream are too few for a mean.
constexpr int kMinPaceBlocks = 4;

}  // namespace

LoadReport Forwarder::OwnLoad() {
  TimePoint now = transport_->Now();
  LoadReport report;
  pool_.ExportLoad(&report);
  paces_.Export(
      now, [this](const EndpointId& endpoint) { return pool_.Find(endpoint); },
      &report);
  traffic_.Export(now, &report);
  return report;
}

void Forwarder::RecordTraffic(const Exchange& exchange,
                              AttemptResult result,
                              ExecutionState execution) {
  const EndpointAttempt& attempt = *exchange.attempt;
  TimePoint now = transport_->Now();
  if (execution == ExecutionState::kRefused &&
      !attempt.response_metadata.misdirected) {
    traffic_.OnRejection(exchange.service, now);
  } else if (result == AttemptResult::kAnswered && attempt.complete &&
             attempt.head.status / 100 == 2) {
    // Error responses are usually faster and would hide a slow service.
    traffic_.OnAnswer(exchange.service,
                      duration_cast<microseconds>(now - attempt.started_at),
                      now);
  }
}

void Forwarder::RecordPace(const Exchange& exchange,
                           TimePoint latest_block_at) {
  const EndpointAttempt& attempt = *exchange.attempt;
  if (attempt.peer.has_value() || attempt.event_blocks < kMinPaceBlocks) {
    return;
  }
  auto duration = std::max(
      duration_cast<microseconds>(latest_block_at - attempt.first_block_at),
      microseconds(0));
  paces_.OnStream(attempt.endpoint, attempt.incarnation, exchange.service,
                  attempt.model, duration / (attempt.event_blocks - 1),
                  transport_->Now());
}

}  // namespace filbertshift
