// The core: takes every decision on requests, on one thread and without
// sockets. Everything that it does follows from the messages, the clock and the
// random numbers that it is given.

#ifndef SRC_CORE_CORE_H_
#define SRC_CORE_CORE_H_

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/config/config.h"
#include "src/core/request.h"
#include "src/core/request_intake.h"
#include "src/ledger/ledger.h"
#include "src/policy/policy.h"
#include "src/ports/ports.h"
#include "src/routing/routing.h"

namespace filbertshift {

// Where the core reports its measurements. Called by the core thread.
class CoreMetrics {
 public:
  virtual ~CoreMetrics() = default;
  // `code` is "ok" or the code of the error that the caller got.
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
  // Identifies this life of the process.
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
  // Share of delivered answers that are rated to watch rollouts and to learn.
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
  // Deadlines, timeouts, probes, heartbeats and writes that are due. To be
  // called at least every 20 ms.
  void Tick();

  // True while new requests are accepted.
  bool ready() const;
  // After ShutdownRequested: true once nothing is left to finish.
  bool IsDrained() const;

 private:
  // Messages.
  void On(CallerRequest&& call);
  void On(CallerGone&& gone);
  void On(AttemptSent&& sent);
  void On(AttemptHead&& head);
  void On(AttemptData&& data);
  void On(AttemptEnd&& end);
  void On(ProbeResult&& probe);
  void On(ConnectionLost&& lost);
  void On(TableReply&& reply);
  void On(ObjectReply&& reply);
  void On(RatingReply&& reply);
  void On(PeerReceived&& received);
  void On(PeerUp&& peer);
  void On(PeerDown&& peer);
  void On(InstanceListRead&& list);
  void On(OperatorRequest&& request);
  void On(ShutdownRequested&& shutdown);

  // Intake.
  void Accept(Request request);
  void Submit(const CallerRequest& call, JobSubmission submission);
  void Answer(const CallerRequest& call, const JobQuery& query);
  // Chooses the first model of a cascade.
  void ChooseModel(Request& request);
  void Prepare(Request& request);
  void PrepareExecution(Request& request);
  void OnExecutionBegun(const RequestId& id, const BeginResult& result);
  void PrepareSession(Request& request);
  void Enqueue(Request& request);
  void RunJob(const JobClaim& claim);
  void StopJob(const JobId& job);

  // Attempts.
  void DrainQueue();
  bool TryStart(const QueuedRequest& queued);
  void OnDisallowed(Request& request);
  bool IsStillAllowed(const Request& request) const;
  EndpointQuery MakeQuery(const Request& request, CrashVerdict verdict) const;
  AttemptSpec MakeAttempt(const Request& request,
                          const EndpointChoice& choice) const;
  void OnChatData(Request& request, const std::string& bytes);
  void OnChatChunk(Request& request, nlohmann::json chunk);
  void OnProgress(Request& request);
  void EndAttempt(Request& request, const AttemptEnd& end);
  void EndChatAttempt(Request& request, const RunningAttempt& attempt);
  void EndServiceAttempt(Request& request, const RunningAttempt& attempt);
  void OnAttemptLost(Request& request, const RunningAttempt& attempt);
  // Runs the request again, or fails it.
  void Retry(Request& request);
  void FinishAtLimit(Request& request);
  // Takes the requests whose attempts broke on the endpoint on, as suspects if
  // it crashed.
  void ResolveBroken(const EndpointId& endpoint, bool crashed);
  void Probe(const EndpointId& endpoint);
  void CheckTimeouts(TimePoint now);
  void OnDue(Request& request, TimePoint now);
  void OnDeadline(Request& request, TimePoint now);

  // Completion.
  void SendHead(Request& request,
                int status,
                const std::string& content_type,
                bool streaming);
  // The engine's answer is whole: judges it if its class asks for that.
  void OnAnswerWhole(Request& request);
  void Complete(Request& request);
  void Deliver(const RequestId& id, const StoredAnswer& answer);
  void Fail(Request& request, CallerError error);
  void Finish(Request& request, const std::string& code);
  StoredAnswer WholeAnswer(const Request& request) const;
  Charge MakeCharge(const Request& request) const;
  RunState RunStateOf(const Request& request) const;
  void Reply(const CallerRequest& call,
             int status,
             const std::string& content_type,
             std::string body);
  void ReplyError(CallerId caller, const CallerError& error);
  void KeepAlive(Request& request, TimePoint now);

  // Ratings and rollouts.
  bool Rate(const Request& request, bool judging);
  void OnJudged(Request& request, const RatingReply& reply);
  bool Escalate(Request& request);
  void CountAnswer(const Request& request, bool bad);
  void ShareStops();
  void PollStops(TimePoint now);
  std::set<VersionId> StoppedVersions(const ModelId& model) const;

  // Operators.
  std::string InstanceJson() const;
  std::string EndpointsJson() const;
  std::string ConfigurationJson() const;
  std::string RolloutsJson() const;
  void Apply(OperatorCallId call, const ApplySection& command);

  void OnConfiguration(const Configuration& configuration);
  void UpdateGauges(TimePoint now);
  void SendHeartbeat();
  void ShareSuspects(const std::vector<SuspectState>& suspects);
  // Counts and logs a broken invariant; `holds` is the checked condition.
  void CheckInvariant(bool holds,
                      const char* invariant,
                      const Request& request);
  Request* Find(const RequestId& id);
  Request* FindByAttempt(const AttemptId& attempt);
  std::string NewToken();
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
  // whole answer or an error, and its charge is safe.
  std::map<RequestId, Request> requests_;
  std::map<CallerId, RequestId> request_by_caller_;
  std::map<AttemptId, RequestId> request_by_attempt_;
  std::map<AccountId, int> in_flight_by_account_;
  struct BrokenAttempt {
    RequestId request;
    Fingerprint fingerprint{};
    Incarnation incarnation;
  };
  // Attempts that broke on the endpoint, until a probe begun later answers.
  std::map<EndpointId, std::vector<BrokenAttempt>> awaiting_probe_;
  std::map<EndpointId, int> probes_outstanding_;
  // Answers that must come in before one can tell about the broken attempts.
  std::map<EndpointId, int> probes_to_skip_;
  std::map<EndpointId, std::string> addresses_;
  // Requests found in the queue whose version or service is no longer allowed.
  std::vector<RequestId> disallowed_;
  struct PendingRating {
    // Empty for an answer that was delivered before its rating.
    RequestId judged;
    QualityClass quality_class;
    AccountId account;
    ModelId model;
    VersionId version;
  };
  std::map<OperationId, PendingRating> ratings_;
  std::uint64_t next_rating_ = 1;
  // False after a failed rating until the next one succeeds.
  bool rating_available_ = true;
  // Stops that are in the table service.
  std::set<StoppedCandidate> stored_stops_;
  TimePoint next_stop_poll_;
  // In the order of ConfigurationSections().
  std::vector<std::uint64_t> revisions_in_force_;
  // The entry instances from which the peers were chosen.
  std::vector<EntryInstanceRecord> listed_instances_;
  std::map<InstanceId, PeerHeartbeat> peers_;
  // Peers to which a stream is open.
  std::set<InstanceId> up_peers_;
  bool shutting_down_ = false;
  bool queue_changed_ = false;
  TimePoint next_heartbeat_;
  TimePoint next_slow_tick_;
  TimePoint next_metrics_;
};

}  // namespace filbertshift

#endif  // SRC_CORE_CORE_H_
