// The core makes every decision about requests, on one thread and without
// sockets. Its behaviour depends only on the messages, the clock and the random
// numbers that it is given.

#ifndef SRC_CORE_CORE_H_
#define SRC_CORE_CORE_H_

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/admission/admission.h"
#include "src/config/config.h"
#include "src/core/request.h"
#include "src/core/request_intake.h"
#include "src/ledger/ledger.h"
#include "src/policy/policy.h"
#include "src/ports/ports.h"
#include "src/routing/routing.h"

namespace filbertshift {

// Receives the measurements of the core. Called on the core thread.
class CoreMetrics {
 public:
  virtual ~CoreMetrics() = default;
  // `code` is "ok" or the error code of the response to the caller.
  virtual void OnRequestEnd(const std::string& quality_class,
                            const std::string& code,
                            std::chrono::microseconds duration) = 0;
  virtual void OnAttemptEnd(AttemptOutcome outcome) = 0;
  virtual void OnFirstToken(const std::string& quality_class,
                            std::chrono::microseconds delay) = 0;
  virtual void OnTokenGap(const std::string& quality_class,
                          std::chrono::microseconds gap) = 0;
  virtual void OnInvariantViolated(const std::string& invariant) = 0;
  virtual void SetRequests(std::size_t in_progress) = 0;
  virtual void SetQueueLength(const std::string& quality_class,
                              std::size_t queued) = 0;
  virtual void SetEndpoints(const std::vector<EndpointView>& endpoints) = 0;
  virtual void SetCharges(std::size_t unstored) = 0;
  virtual void SetRevisions(const std::vector<std::uint64_t>& revisions) = 0;
};

struct CoreOptions {
  InstanceId instance;
  DataCentreId data_centre;
  int seat = -1;
  // Identifies this run of the process; different after each restart.
  std::string incarnation;
  std::size_t max_response_bytes = std::size_t{16} * 1024 * 1024;
  std::chrono::milliseconds connect_timeout{1000};
  std::chrono::milliseconds configuration_poll_interval{2000};
  std::chrono::milliseconds probe_interval{1000};
  std::chrono::milliseconds charge_batch_interval{1000};
  std::chrono::milliseconds share_transition{13000};
  FailureDetectorOptions detector;
  RetryBudgetOptions retry_budget;
  RolloutMonitorOptions rollouts;
  CascadeOptions cascade;
  // Fraction of delivered answers that are rated, to monitor rollouts and to
  // train the cascade policy.
  double rating_share = 0.1;
  ChoicePolicy policy = ChoicePolicy::kCostAware;
};

struct CorePorts {
  CallerPort& callers;
  EndpointPort& endpoints;
  TablePort& table;
  ObjectPort& objects;
  RatingPort& ratings;
  PeerPort& peers;
  OperatorPort& operators;
  Clock& clock;
  Random& random;
  EventLog& log;
  CoreMetrics& metrics;
};

class Core {
 public:
  Core(CoreOptions options, CorePorts ports);
  ~Core();

  void Handle(CoreMessage message);
  // Processes due deadlines, timeouts, probes, heartbeats and writes. Must be
  // called at least every 20 ms.
  void Tick();

  // True while new requests are accepted.
  bool ready() const;
  // True after ShutdownRequested once all requests and jobs are finished and
  // all charges and execution records are stored.
  bool IsDrained() const;

 private:
  // Message handlers.
  void OnMessage(CallerRequest&& call);
  void OnMessage(CallerDisconnected&& gone);
  void OnMessage(AttemptSent&& sent);
  void OnMessage(AttemptHead&& head);
  void OnMessage(AttemptData&& data);
  void OnMessage(AttemptEnd&& end);
  void OnMessage(ProbeResult&& probe);
  void OnMessage(ConnectionLost&& lost);
  void OnMessage(TableReply&& reply);
  void OnMessage(ObjectReply&& reply);
  void OnMessage(RatingReply&& reply);
  void OnMessage(PeerReceived&& received);
  void OnMessage(PeerUp&& peer);
  void OnMessage(PeerDown&& peer);
  void OnMessage(InstanceListRead&& list);
  void OnMessage(OperatorRequest&& request);
  void OnMessage(ShutdownRequested&& shutdown);

  // Acceptance of requests and jobs.
  void Accept(Request request);
  void SubmitJob(const CallerRequest& call, JobSubmission submission);
  void AnswerJobQuery(const CallerRequest& call, const JobQuery& query);
  // Chooses the first model to run if the caller named none.
  void ChooseModel(Request& request);
  void Prepare(Request& request);
  void PrepareExecution(Request& request);
  void OnExecutionBegun(const RequestId& id, const BeginResult& result);
  void PrepareSession(Request& request);
  void Enqueue(Request& request);
  void RunJob(const JobClaim& claim);
  void CancelJob(const JobId& job);

  // Attempts.
  void DrainQueue();
  bool TryStartAttempt(const QueuedRequest& queued);
  void OnDisallowed(Request& request);
  bool IsStillAllowed(const Request& request) const;
  EndpointQuery MakeEndpointQuery(const Request& request,
                                  CrashVerdict verdict) const;
  AttemptSpec MakeAttemptSpec(const Request& request,
                              const EndpointChoice& choice) const;
  void PauseEndpoint(Request& request);
  void OnChatData(Request& request, const std::string& bytes);
  void OnChatChunk(Request& request, nlohmann::json chunk);
  void OnProgress(Request& request);
  void EndAttempt(Request& request, const AttemptEnd& end);
  void EndChatAttempt(Request& request, const RunningAttempt& attempt);
  void EndServiceAttempt(Request& request, const RunningAttempt& attempt);
  void OnAttemptLost(Request& request, const RunningAttempt& attempt);
  // Enqueues the request for another attempt, finishes it at its token limit,
  // or fails it.
  void Retry(Request& request);
  void FinishAtTokenLimit(Request& request);
  // Retries the requests whose attempts broke on the endpoint. If the endpoint
  // crashed, they become suspects, as do all requests in flight on it.
  void ResolveBrokenAttempts(const EndpointId& endpoint, bool crashed);
  void Probe(const EndpointId& endpoint);
  void CheckTimeouts(TimePoint now);
  void OnTimerDue(Request& request, TimePoint now);
  void OnDeadline(Request& request, TimePoint now);

  // Completion.
  void SendHead(Request& request,
                int status,
                const std::string& content_type,
                bool streaming);
  // Handles a complete answer, which is rated before delivery if its quality
  // class requires it.
  void OnAnswerComplete(Request& request);
  void Complete(Request& request);
  void Deliver(const RequestId& id, const StoredAnswer& answer);
  void Fail(Request& request, CallerError error);
  void Finish(Request& request, const std::string& code);
  StoredAnswer BuildStoredAnswer(const Request& request) const;
  Charge MakeCharge(const Request& request) const;
  RunState RunStateOf(const Request& request) const;
  void Reply(const CallerRequest& call,
             int status,
             const std::string& content_type,
             std::string body);
  void ReplyError(CallerId caller, const CallerError& error);
  void SendKeepAlive(Request& request, TimePoint now);

  // Ratings and rollouts.
  bool RequestRating(const Request& request, bool before_delivery);
  void OnRatedBeforeDelivery(Request& request, const RatingReply& reply);
  bool Escalate(Request& request);
  void CountRolloutAnswer(const Request& request, bool failed);
  void PublishStoppedCandidates();
  void PollStoppedCandidates(TimePoint now);
  std::set<VersionId> StoppedVersions(const ModelId& model) const;

  // Operator requests.
  std::string InstanceJson() const;
  std::string EndpointsJson() const;
  std::string ConfigurationJson() const;
  std::string RolloutsJson() const;
  void Apply(OperatorCallId call, const ApplySection& command);

  void OnConfiguration(const Configuration& configuration);
  void UpdateGauges(TimePoint now);
  void SendHeartbeat();
  void BroadcastSuspects(const std::vector<SuspectState>& suspects);
  // Counts and logs a violation of the invariant unless `holds` is true.
  void CheckInvariant(bool holds,
                      const char* invariant,
                      const Request& request);
  Request* FindRequest(const RequestId& id);
  Request* FindRequestByAttempt(const AttemptId& attempt);
  std::string NewRandomId();
  const Configuration& configuration() const;

  const CoreOptions options_;
  CorePorts ports_;
  TableCalls table_calls_;
  ObjectCalls object_calls_;
  ConfigurationLedger configuration_ledger_;
  ExecutionLedger executions_;
  ChargeLedger charges_;
  SessionLedger sessions_;
  JobLedger jobs_;
  EndpointRegistry registry_;
  FailureDetector detector_;
  RetryBudget retry_budget_;
  CrashQuarantine quarantine_;
  AdmissionQueue queue_;
  RolloutMonitor rollouts_;
  CascadePolicy cascade_;

  // Invariant: a request is in the map from acceptance until its caller has the
  // complete answer or an error, and its charge is durable.
  std::map<RequestId, Request> requests_;
  std::map<CallerId, RequestId> request_by_caller_;
  std::map<AttemptId, RequestId> request_by_attempt_;
  std::map<AccountId, int> in_flight_by_account_;
  struct BrokenAttempt {
    RequestId request;
    Fingerprint fingerprint{};
    Incarnation incarnation;
  };
  // Attempts that broke on an endpoint, kept until the result of a probe that
  // was started after the break.
  std::map<EndpointId, std::vector<BrokenAttempt>> attempts_awaiting_probe_;
  std::map<EndpointId, int> probes_outstanding_;
  // Number of results to ignore because their probes were started before the
  // attempts broke.
  std::map<EndpointId, int> probe_results_to_ignore_;
  std::map<EndpointId, std::string> endpoint_addresses_;
  // Queued requests whose version or service is no longer allowed, collected
  // while the queue is drained.
  std::vector<RequestId> disallowed_requests_;
  // Queued requests whose deadline has passed, collected likewise.
  std::vector<RequestId> overdue_requests_;
  struct PendingRating {
    // The request that waits for the rating; empty if its answer was delivered
    // without waiting.
    RequestId awaiting_request;
    QualityClass quality_class;
    AccountId account;
    ModelId model;
    VersionId version;
  };
  std::map<OperationId, PendingRating> pending_ratings_;
  std::uint64_t next_rating_id_ = 1;
  // False after a failed rating until the next one succeeds.
  bool rating_available_ = true;
  // Stopped candidates that the table service is known to have.
  std::set<StoppedCandidate> stored_stopped_candidates_;
  TimePoint next_stopped_candidate_poll_;
  // In the order of ConfigurationSections().
  std::vector<std::uint64_t> active_revisions_;
  // The entry instances from which the current peers were selected.
  std::vector<EntryInstanceRecord> listed_instances_;
  std::map<InstanceId, PeerHeartbeat> peer_heartbeats_;
  // Peers with an open stream.
  std::set<InstanceId> connected_peers_;
  bool shutting_down_ = false;
  bool queue_drain_needed_ = false;
  TimePoint next_heartbeat_;
  TimePoint next_maintenance_;
  TimePoint next_metrics_;
};

}  // namespace filbertshift

#endif  // SRC_CORE_CORE_H_
