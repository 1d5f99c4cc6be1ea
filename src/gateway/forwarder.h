// Forwards callers' requests to endpoints: validation, endpoint selection,
// retries, stream resumption and the response. Not thread-safe.

#ifndef SRC_GATEWAY_FORWARDER_H_
#define SRC_GATEWAY_FORWARDER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "src/admission/admission.h"
#include "src/gateway/caller_server.h"
#include "src/gateway/crash_watch.h"
#include "src/gateway/endpoint_probe.h"
#include "src/gateway/exchange.h"
#include "src/gateway/gateway_metrics.h"
#include "src/gateway/peer_exchange.h"
#include "src/gateway/remote_traffic.h"

namespace filbertshift {

struct ForwarderLimits {
  // Beyond this age, the configuration may lack routes and API keys that other
  // instances already use.
  std::chrono::milliseconds max_configuration_age{2000};
  std::chrono::milliseconds session_retention{5000};
  // Bytes of all responses held for their rest or for slow callers.
  std::size_t max_buffered_bytes = std::size_t{64} * 1024 * 1024;
  // Bytes of one event of a stream.
  std::size_t max_event_bytes = std::size_t{1024} * 1024;
  // Longest pause that an endpoint may ask for.
  std::chrono::milliseconds max_endpoint_pause{30000};
  RepeatLimits repeats;
  ColdLimits cold;
  // Whether admission control applies to plain services with fewer slots than
  // instances.
  bool admission = false;
  // See PlacementSettings.
  bool placement = false;
  double remote_cost_ms_per_mb = 0;
};

class Forwarder : public HttpRequestHandler,
                  public CallListener,
                  public HandoverReceiver,
                  public OwnLoadProvider {
 public:
  Forwarder(Transport* transport,
            const RequestCodec& codec,
            const FleetView& view,
            EventLog* log,
            GatewayMetrics* metrics,
            DataCentreId data_centre,
            const ForwarderLimits& limits,
            std::chrono::milliseconds connect_timeout);

  // Must be called before the first request.
  void SetServer(CallerServer* server) { server_ = server; }
  EndpointPool& pool() { return pool_; }
  VersionPolicy& versions() { return versions_; }
  const RolloutEvidence& evidence() const { return evidence_; }
  RolloutEvidence& evidence() { return evidence_; }
  void SetInstanceCount(int count);
  // The other live instances.
  void SetPeers(std::vector<HandoverPeer> peers) {
    peers_.SetPeers(std::move(peers));
  }
  void OnEndpointRemoved(const EndpointId& endpoint);
  // Refuses every further request, and those that wait, as not run.
  void RefuseNewRequests() { refusing_ = true; }
  // Nothing is sent from now on that could not be answered until then.
  void SetStopTime(TimePoint time) { stop_at_ = time; }
  // Answers all requests in progress with an error, and breaks off responses.
  void EndRequests();
  // Whether the repeat budget of the service allows one more repeat.
  bool HasRoomForRepeat(const ServiceId& service) {
    return repeats_.AllowsRepeat(service, transport_->Now());
  }
  PromptQuarantine& quarantine() { return quarantine_; }
  const PromptQuarantine& quarantine() const { return quarantine_; }
  // Load that the other instances report; filled by EndpointLoadExchange.
  EndpointLoadTable& load_table() { return load_table_; }
  const EndpointLoadTable& load_table() const { return load_table_; }
  std::size_t in_progress() const { return exchanges_.size(); }
  // Requests that wait in the admission queues.
  std::size_t waiting_for_admission() const;
  // Bytes of responses held for their rest or for slow callers.
  std::size_t buffered_bytes() const { return buffers_.total(); }
  // What endpoints have asked this instance for in their answers.
  const EndpointNotices& notices() const { return pool_.notices(); }
  // Requests of this instance in progress at the endpoint.
  int InFlight(const EndpointId& endpoint) const {
    return pool_.InFlight(endpoint);
  }
  // Requests of the service in progress on versions other than `version`.
  int CountOnOtherVersions(const ServiceId& service,
                           const VersionId& version) const;
  // Updates the plans of what leaves the data centre, and their metrics and
  // log; called about ten times a second.
  void StepPlacement();
  std::uint64_t connections_opened() const {
    return client_.connections_opened();
  }

  // HttpRequestHandler:
  void OnRequest(ConnectionId caller,
                 HttpRequestHead head,
                 std::string body) override;
  void OnCallerDisconnected(ConnectionId caller, ConnectionEnd end) override;
  void OnRejected(int status, std::string_view reason) override;
  void OnConnectionClosed(CallerCloseReason reason,
                          std::size_t unanswered_bytes) override;

  // HandoverReceiver:
  void OnHandover(ConnectionId caller,
                  CallerServer* server,
                  std::string_view message) override;
  void OnSenderDisconnected(ConnectionId caller, ConnectionEnd end) override {
    OnCallerDisconnected(caller, end);
  }

  // CallListener:
  HeadDecision OnHead(CallId call, const HttpResponseHead& head) override;
  void OnBody(CallId call, std::string_view data) override;
  void OnComplete(CallId call) override;
  void OnFailed(CallId call,
                CallFailure failure,
                std::string_view detail) override;
  // OwnLoadProvider:
  LoadReport OwnLoad() override;
  // An endpoint sent bytes that no request was waiting for.
  void OnUnsolicited(const UnsolicitedBytes& unsolicited);

 private:
  using ExchangeKey = std::uint64_t;
  static constexpr std::chrono::milliseconds kSweepInterval{50};

  Exchange* Find(ConnectionId caller);
  Exchange* Find(CallId call);

  Exchange& AddExchange(ConnectionId caller,
                        CallerServer* server,
                        HttpRequestHead head,
                        std::string body);

  // Validation. Each check returns false if it has refused the request.
  bool CheckRoute(Exchange* exchange);
  bool CheckAccount(Exchange* exchange);
  bool CheckMetadata(Exchange* exchange, const std::vector<Finding>& findings);
  // Sets the deadline, service, session, model and urgency.
  void PrepareExchange(Exchange* exchange);
  ServiceId SelectService(const Exchange& exchange) const;
  bool ConfigurationIsCurrent() const;

  // Attempts.
  void OnConnected(CallId call, std::chrono::microseconds time);
  void Dispatch(ConnectionId caller);
  // Cost of a token relative to the largest model of the service.
  double ModelWeight(const Exchange& exchange, const ModelId& model) const;
  DispatchQuery QueryFor(const Exchange& exchange) const;
  DispatchChoice SelectEndpoint(const Exchange& exchange);
  VersionRule RuleFor(const Exchange& exchange) const;
  void StartAttempt(Exchange* exchange, const RoutedEndpoint& endpoint);
  std::string EncodeAttemptHead(const Exchange& exchange,
                                const RoutedEndpoint& endpoint) const;
  void WaitForEndpoint(Exchange* exchange, const DispatchChoice& choice);
  // Logs why the request finds no endpoint.
  void ReportNoEndpoint(const Exchange& exchange);
  // Counts whether the request was sent and may have run.
  void EndAttempt(Exchange* exchange, AttemptResult result);
  ExecutionState ExecutionOf(const EndpointAttempt& attempt) const;
  // Cancels the attempt and retries at another endpoint if that is allowed.
  // `evidence` is appended to the log line.
  void MoveAttempt(Exchange* exchange,
                   std::string_view reason,
                   AttemptResult result = AttemptResult::kBroken,
                   std::string_view evidence = {});
  // Counts an attempt that ends in the traffic of its service.
  void RecordTraffic(const Exchange& exchange,
                     AttemptResult result,
                     ExecutionState execution);
  // Records the mean pause between the event blocks so far.
  void RecordPace(const Exchange& exchange, TimePoint latest_block_at);
  // Whether the request can be sent before a planned stop.
  bool FitsBeforeStop(const Exchange& exchange) const;
  // Whether another run of it can be answered before a planned stop.
  bool HasTimeToRepeat(const Exchange& exchange) const;
  // Whether the request may be sent to one more endpoint.
  bool MayRepeat(const Exchange& exchange) const;
  // Whether the attempt in progress, which may have run, may be given up for
  // another one. Every decision that ends an attempt whose endpoint has not
  // failed asks this first.
  bool MayReplaceAttempt(const Exchange& exchange) const;
  void Repeat(Exchange* exchange, std::string_view reason);
  // Crashes of endpoints.
  CrashProfile CrashProfileOf(const Exchange& exchange) const;
  // Returns false if it has refused the request.
  bool AdmitExchange(Exchange* exchange);
  void ReportAnswered(Exchange* exchange);
  // The connection ended before the request was answered: repeats the request
  // at another endpoint unless it crashes endpoints.
  void OnEarlyBreak(Exchange* exchange, std::string_view reason);
  void OnBreakExplained(ConnectionId caller,
                        const std::string& request_id,
                        bool crashed);
  bool MayCrashEndpoints(const Exchange& exchange) const;

  // Admission control.
  struct AdmissionGate {
    ServiceAdmission admission;
    // Ready endpoints of the service, some of which may not be usable now.
    std::vector<EndpointId> endpoints;
    TimePoint listed_at{};
    TimePoint refreshed_at{};
    // Set while requests are held back.
    std::optional<TimePoint> shedding_since;
    // Refusals since then, and those that the metrics do not have yet.
    TopAccounts refused;
    TopAccounts uncounted;
    TimePoint counted_at{};
  };
  // Null if admission control does not apply to the request's service; it may
  // also be inactive.
  AdmissionGate* GateOf(const Exchange& exchange);
  // As GateOf; null as well while everything is sent.
  const AdmissionGate* ActiveGateOf(const Exchange& exchange) const;
  AdmissionRequest DescribeForAdmission(const Exchange& exchange) const;
  // Returns false if the request waits or was refused.
  bool PassAdmission(Exchange* exchange);
  // Applies a decision; returns whether the request may be sent.
  bool ApplyAdmission(Exchange* exchange, const AdmissionDecision& decision);
  void RefuseByAdmission(Exchange* exchange, const AdmissionDecision& decision);
  // Endpoints that the request must not be sent to because they are full.
  std::vector<EndpointId> FullEndpointsFor(const Exchange& exchange) const;
  // The endpoint of the attempt has rejected the request. Returns true if the
  // request goes to no further endpoint now.
  bool HandleRejection(Exchange* exchange, const EndpointId& endpoint);
  // No endpoint that is not full is left. Returns false if that is not why
  // there is none.
  bool WaitForCapacity(Exchange* exchange);
  void ReportAdmissionAnswer(const Exchange& exchange);
  void LeaveAdmission(Exchange* exchange);
  void RefreshGate(const ServiceId& service, AdmissionGate* gate);
  ServiceState AdmissionStateOf(const AdmissionGate& gate) const;
  void ReportShedding(const ServiceId& service, AdmissionGate* gate);
  void CountRefusedAccounts(AdmissionGate* gate);
  // Refreshes the gates, and again after a time that depends on whether
  // requests wait.
  void StepAdmission();
  void ScheduleAdmission(std::chrono::milliseconds delay);
  void ReleaseWaiting(const ServiceId& service, AdmissionGate* gate);
  void EndWaitingBeforeStop();

  // Silent attempts.
  void SweepSilentAttempts();
  void ScheduleSweep();
  void UpdateWaits(TimePoint now);
  SilenceQuery SilenceOf(const Exchange& exchange) const;
  // When the endpoint of the attempt fell silent.
  TimePoint SilentSince(const EndpointAttempt& attempt) const;
  // Whether another endpoint is likely to take the request now.
  bool HasReplacement(const Exchange& exchange);
  void LeaveSilentEndpoint(ConnectionId caller);
  void ProbeEndpoint(const EndpointAttempt& attempt);
  void OnProbed(const EndpointId& endpoint,
                TimePoint started_at,
                EndpointProbe::Result result);
  // What a decision on a silent attempt was based on, for the log.
  std::string DescribeSilence(const Exchange& exchange,
                              const SilenceQuery& query,
                              SilenceReason reason);

  // Logs when connects to many endpoints begin or cease to fail.
  void ReportConnects();
  // Contact with endpoints, and requests that other instances take meanwhile.
  void StepContact();
  // Probes that are due.
  void ProbeContact();
  std::vector<ContactTarget> ContactTargets() const;
  CrashWatch::Contact ContactForCrashes() const;
  // When the oldest attempt at an endpoint began; not set if there is none.
  std::optional<TimePoint> WaitingSince() const;
  void OnContactProbed(const EndpointId& endpoint,
                       TimePoint started_at,
                       EndpointProbe::Result result);
  void ReportProbe(const EndpointId& endpoint, Reachability value);
  // Contact was lost: moves what can be repeated and what was not sent.
  void MoveStrandedRequests();
  // Returns false if there are no other instances.
  bool MoveToPeer(Exchange* exchange);
  void StartHandover(Exchange* exchange, const HandoverPeer& peer);
  HandoverRequest DescribeForPeer(const Exchange& exchange,
                                  int granted_runs) const;
  void EndHandover(Exchange* exchange, AttemptResult result);
  HeadDecision OnPeerHead(CallId call,
                          Exchange* exchange,
                          const HttpResponseHead& head,
                          const ResponseMetadata& metadata);
  // Whether the response that has begun goes on a stream of which the caller
  // has a part.
  bool CanContinueStream(const Exchange& exchange) const;
  // `genuine`: the response is that of an endpoint.
  void CompletePeerFailure(Exchange* exchange, bool genuine);
  // Ends the request with a response that the peer has written itself.
  void RelayPeerRefusal(Exchange* exchange);
  void OnPeerFailed(Exchange* exchange,
                    CallFailure failure,
                    std::string_view detail);
  bool IsPeerSilent(const Exchange& exchange) const;
  void LeaveSilentPeer(Exchange* exchange);
  // Returns false if it has refused the request.
  bool CheckHandover(Exchange* exchange, const HandoverRequest& request);
  void AddHandoverFields(const Exchange& exchange,
                         RunState run,
                         std::string_view code,
                         HttpResponseHead* head) const;

  // Notices of endpoints.
  void ApplyNotices(const Exchange& exchange,
                    const ResponseMetadata& metadata,
                    const std::vector<Finding>& findings);
  // Sends requests elsewhere that wait for a connection to the endpoint.
  void MoveUnsentRequests(const EndpointId& endpoint);

  // Responses.
  void CompleteBuffered(Exchange* exchange);
  void CompleteStream(Exchange* exchange);
  void CompleteFailure(Exchange* exchange);
  void DeliverEvents(Exchange* exchange, const std::string& events);
  void ReceiveEvents(Exchange* exchange, std::string_view data);
  void ReceiveBody(Exchange* exchange, std::string_view data);
  // Counts what is held of its response now, and returns that.
  std::size_t CountBuffered(const Exchange& exchange);
  // Breaks responses off while they exceed the buffer budget; the exchange may
  // be one of them.
  void HoldWithinBudget(Exchange* exchange);
  void BreakOffExcess(Exchange* exchange);
  void BeginResponse(Exchange* exchange);
  void RecordDelivery(Exchange* exchange);
  // Restarts the request on a larger model if the response's confidence is low.
  bool EscalateOnLowConfidence(Exchange* exchange);
  // Makes the model that of the exchange if an endpoint can take the request
  // with it now.
  bool SwitchModel(Exchange* exchange, const ModelId& model);
  // Ends the request without a response from an endpoint. `cause` says why
  // nothing more is tried.
  void GiveUp(Exchange* exchange,
              int status,
              std::string_view code,
              std::string_view cause);
  // Resets the caller's connection in mid-response.
  void BreakOff(Exchange* exchange,
                std::string_view outcome,
                std::string_view cause,
                CallerCloseReason reason);
  void OnDeadline(ConnectionId caller);
  void Refuse(Exchange* exchange,
              int status,
              std::string_view code,
              RunState run);
  // The only way in which a whole response reaches the caller. A status that
  // denies a run of a request that may have run is replaced.
  void Reply(Exchange* exchange,
             HttpResponseHead head,
             std::string body,
             std::string_view outcome);
  void Finish(Exchange* exchange, int status, std::string_view outcome);
  void RecordOutcome(const Exchange& exchange, bool failed);
  // Records the mean gap of the events so far.
  void RecordGap(const Exchange& exchange, TimePoint latest_block_at);
  EvidenceKey EvidenceKeyOf(const Exchange& exchange) const;
  // Group in which the times of the current attempt are counted.
  int EvidenceGroupOf(const Exchange& exchange) const;

  Transport* const transport_;
  const RequestCodec& codec_;
  const FleetView& view_;
  EventLog* const log_;
  GatewayMetrics* const metrics_;
  const DataCentreId data_centre_;
  const ForwarderLimits limits_;
  const std::chrono::milliseconds connect_timeout_;
  CallerServer* server_ = nullptr;
  bool refusing_ = false;
  std::optional<TimePoint> stop_at_;
  HttpClient client_;
  EndpointPool pool_;
  EndpointLoadTable load_table_;
  ServiceTrafficMeter traffic_;
  PaceMeter paces_;
  RepeatBudget repeats_;
  // Keyed as `exchanges_`.
  BufferBudget buffers_;
  VersionPolicy versions_;
  PromptQuarantine quarantine_;
  CrashWatch crash_watch_;
  RolloutEvidence evidence_;
  FirstByteWaitEstimator waits_;
  PromptTimeEstimator prompts_;
  RemoteTraffic remote_traffic_;
  // Bytes of whole responses, by route name.
  std::unordered_map<std::string, MovingAverage> response_bytes_;
  ObservedTime observed_;
  EndpointReachability reachability_;
  EndpointProbe probe_;
  EndpointContact contact_;
  // Whether the loss of contact has been acted upon.
  bool acts_stranded_ = false;
  TimePoint stranded_since_{};
  HandoverPeers peers_;
  // Keyed by the caller's connection id.
  std::unordered_map<ExchangeKey, Exchange> exchanges_;
  // By service; created with the first request of a plain service.
  std::unordered_map<ServiceId, AdmissionGate> gates_;
  int instances_ = 1;
  std::optional<TimerId> admission_timer_;
  TimePoint next_admission_step_{};
  // Accounts that have a label in the metrics; bounded.
  std::unordered_set<AccountId> counted_accounts_;
  // Invariant: holds exactly the calls of the attempts in progress.
  std::unordered_map<std::uint64_t, ConnectionId> callers_by_call_;
};

}  // namespace filbertshift

#endif  // SRC_GATEWAY_FORWARDER_H_
