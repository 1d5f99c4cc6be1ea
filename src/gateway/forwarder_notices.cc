// Notices of endpoints in the heads of their responses: that they stop, or want
// no requests for a while.

#include <fmt/format.h>

#include <algorithm>
#include <vector>

#include "src/gateway/forwarder.h"

namespace filbertshift {

// Applies to every response to this request, with a seal or without:
// refusals have none. A copy of the response to another request does not reach
// this point; the response to this request repeats what still holds.
void Forwarder::ApplyNotices(const Exchange& exchange,
                             const ResponseMetadata& metadata,
                             const std::vector<Finding>& findings) {
  const EndpointAttempt& attempt = *exchange.attempt;
  EventContext context{
      RequestId(exchange.metadata.request_id), {}, attempt.endpoint};
  for (const Finding& finding : findings) {
    log_->Write(EventId::kEndpointFieldRejected, context,
                FormatFinding(finding));
  }
  // Another endpoint has the address now; the notice is its own.
  if (metadata.misdirected) {
    return;
  }
  EndpointNotices& notices = pool_.notices();
  bool is_new = false;
  if (metadata.leaving &&
      notices.OnLeaving(attempt.endpoint, attempt.incarnation)) {
    is_new = true;
    log_->Write(
        EventId::kEndpointLeaving, context,
        fmt::format("address={} started_at={}", attempt.incarnation.address,
                    attempt.incarnation.started_at));
  }
  if (metadata.pause.has_value() &&
      notices.OnPause(attempt.endpoint, attempt.incarnation, *metadata.pause,
                      transport_->Now())) {
    is_new = true;
    log_->Write(
        EventId::kEndpointPaused, context,
        fmt::format(
            "asked_ms={} kept_ms={}", metadata.pause->count(),
            std::min(*metadata.pause, limits_.max_endpoint_pause).count()));
  }
  if (is_new) {
    MoveUnsentRequests(attempt.endpoint);
  }
}

// A repeat stays: it would draw on the repeat budget again.
void Forwarder::MoveUnsentRequests(const EndpointId& endpoint) {
  std::vector<ConnectionId> callers;
  for (const auto& entry : exchanges_) {
    const Exchange& exchange = entry.second;
    if (exchange.attempt.has_value() &&
        exchange.attempt->endpoint == endpoint && exchange.sends == 1 &&
        !client_.IsSent(exchange.attempt->call)) {
      callers.push_back(exchange.caller);
    }
  }
  for (ConnectionId caller : callers) {
    Exchange* exchange = Find(caller);
    if (exchange == nullptr || !exchange->attempt.has_value()) {
      continue;
    }
    exchange->failure_detail = "endpoint takes no requests";
    EndAttempt(exchange, AttemptResult::kCancelled);
    Dispatch(caller);
  }
}

}  // namespace filbertshift
