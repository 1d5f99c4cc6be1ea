// Forwards requests of callers to endpoints: intake, choice, repeats, resumed
// streams and the answer. One instance serves one thread.

#ifndef SRC_GATEWAY_FORWARDER_H_
#define SRC_GATEWAY_FORWARDER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "src/gateway/caller_server.h"
#include "src/gateway/exchange.h"
#include "src/gateway/gateway_metrics.h"

namespace filbertshift {

struct ForwarderBounds {
  // A configuration that was confirmed longer ago than this may lack routes
  // and keys that are in force elsewhere.
  std::chrono::milliseconds max_configuration_age{2000};
  std::chrono::milliseconds session_retention{5000};
  RepeatLimits repeats;
  ColdLimits cold;
};

class Forwarder : public HttpRequestHandler, public CallListener {
 public:
  Forwarder(Transport* transport,
            const RequestCodec& codec,
            const FleetView& view,
            EventLog* log,
            GatewayMetrics* metrics,
            DataCentreId data_centre,
            const ForwarderBounds& bounds,
            std::chrono::milliseconds connect_timeout);

  // Must be called once before the first request.
  void SetServer(CallerServer* server) { server_ = server; }
  EndpointPool& pool() { return pool_; }
  VersionPolicy& versions() { return versions_; }
  const RolloutEvidence& evidence() const { return evidence_; }
  RolloutEvidence& evidence() { return evidence_; }
  void SetInstanceCount(int count);
  void OnEndpointRemoved(const EndpointId& endpoint);
  // From now on requests are refused as not run.
  void RefuseNewRequests() { refusing_ = true; }
  // The budget has room for one more repeat at the service.
  bool HasRoomForRepeat(const ServiceId& service) {
    return repeats_.HasRoom(service, transport_->Now());
  }
  std::size_t in_progress() const { return exchanges_.size(); }
  // Requests that this instance has at the endpoint.
  int InFlight(const EndpointId& endpoint) const {
    return pool_.InFlight(endpoint);
  }
  // Requests of the service that run on other versions than `version`.
  int CountOnOtherVersions(const ServiceId& service,
                           const VersionId& version) const;
  std::uint64_t connections_opened() const {
    return client_.connections_opened();
  }

  // HttpRequestHandler:
  void OnRequest(ConnectionId caller,
                 HttpRequestHead head,
                 std::string body) override;
  void OnCallerGone(ConnectionId caller, ConnectionEnd end) override;
  void OnRejected(int status, std::string_view reason) override;

  // CallListener:
  HeadDecision OnHead(CallId call, const HttpResponseHead& head) override;
  void OnBody(CallId call, std::string_view data) override;
  void OnComplete(CallId call) override;
  void OnFailed(CallId call,
                CallFailure failure,
                std::string_view detail) override;

 private:
  using ExchangeKey = std::uint64_t;

  Exchange* Find(ConnectionId caller);
  Exchange* Find(CallId call);

  // Intake. Each returns false after it has refused the request.
  bool CheckRoute(Exchange* exchange);
  bool CheckAccount(Exchange* exchange);
  bool CheckMetadata(Exchange* exchange, const std::vector<Finding>& findings);
  void SetBounds(Exchange* exchange);
  ServiceId PickService(const Exchange& exchange) const;
  bool ConfigurationIsCurrent() const;

  // Attempts.
  void Dispatch(ConnectionId caller);
  // Cost of a token relative to the largest model of the service.
  double ModelWeight(const Exchange& exchange, const ModelId& model) const;
  ChoiceQuery QueryFor(const Exchange& exchange) const;
  VersionRule RuleFor(const Exchange& exchange) const;
  void StartAttempt(Exchange* exchange, const RoutedEndpoint& endpoint);
  std::string EncodeAttempt(const Exchange& exchange,
                            const RoutedEndpoint& endpoint) const;
  void WaitForEndpoint(Exchange* exchange, NoEndpointReason reason);
  void EndAttempt(Exchange* exchange, AttemptResult result);
  // Cancels the attempt and goes on at another endpoint if that is allowed.
  void MoveAttempt(Exchange* exchange, std::string_view reason);
  // The request may be sent to one more endpoint.
  bool MayRepeat(const Exchange& exchange) const;
  void Repeat(Exchange* exchange, std::string_view reason);
  void SweepSilentAttempts();
  void UpdateWaits(TimePoint now);
  bool IsSilent(const Exchange& exchange, TimePoint now) const;

  // Answers.
  void CompleteWhole(Exchange* exchange);
  void CompleteStream(Exchange* exchange);
  void CompleteFailure(Exchange* exchange);
  void DeliverEvents(Exchange* exchange, const std::string& events);
  void BeginAnswer(Exchange* exchange);
  void NoteDelivery(Exchange* exchange);
  bool EscalateIfUnsure(Exchange* exchange);
  void GiveUp(Exchange* exchange, int status, std::string_view code);
  void OnDeadline(ConnectionId caller);
  void Refuse(Exchange* exchange,
              int status,
              std::string_view code,
              RunState run);
  void Finish(Exchange* exchange, int status, std::string_view outcome);
  void RecordOutcome(const Exchange& exchange, bool failed);
  void RecordGap(const Exchange& exchange);
  EvidenceKey KeyOf(const Exchange& exchange) const;

  Transport* const transport_;
  const RequestCodec& codec_;
  const FleetView& view_;
  EventLog* const log_;
  GatewayMetrics* const metrics_;
  const DataCentreId data_centre_;
  const ForwarderBounds bounds_;
  CallerServer* server_ = nullptr;
  bool refusing_ = false;
  HttpClient client_;
  EndpointPool pool_;
  RepeatBudget repeats_;
  VersionPolicy versions_;
  RolloutEvidence evidence_;
  WaitGauge waits_;
  PromptGauge prompts_;
  // By the number of the caller's connection.
  std::unordered_map<ExchangeKey, Exchange> exchanges_;
  // Invariant: the call of each attempt, and nothing else.
  std::unordered_map<std::uint64_t, ConnectionId> callers_by_call_;
};

}  // namespace filbertshift

#endif  // SRC_GATEWAY_FORWARDER_H_
