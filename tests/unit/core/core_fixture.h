// A core with recording ports, an in-memory table service and a clock that is
// advanced by the test.

#ifndef TESTS_UNIT_CORE_CORE_FIXTURE_H_
#define TESTS_UNIT_CORE_CORE_FIXTURE_H_

#include <map>
#include <string>
#include <vector>

#include "src/core/core.h"
#include "tests/unit/ledger/fake_table.h"

namespace filbertshift {

struct CallerRecord {
  int http_status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
  bool finished = false;
};

class RecordingCallers : public CallerPort {
 public:
  void SendHead(CallerId caller,
                int http_status,
                std::vector<HttpHeader> headers,
                bool streaming) override;
  void SendBody(CallerId caller, std::string bytes) override;
  void Finish(CallerId caller) override;
  void Abort(CallerId caller) override;

  std::map<CallerId, CallerRecord> records;
};

class RecordingEndpoints : public EndpointPort {
 public:
  bool Start(AttemptSpec attempt) override;
  void Cancel(const AttemptId& attempt) override;
  void Probe(const EndpointId& endpoint,
             const std::string& address,
             std::chrono::milliseconds timeout) override;
  void Forget(const EndpointId& endpoint) override;

  std::vector<AttemptSpec> started;
  std::vector<AttemptId> cancelled;
  std::vector<EndpointId> probes;
};

class RecordingPeers : public PeerPort {
 public:
  void Send(const InstanceId& to, PeerMessage message) override;
  void Broadcast(PeerMessage message) override;
  void SetPeers(std::vector<PeerAddress> peers) override;

  std::vector<PeerMessage> sent;
};

class RecordingOperators : public OperatorPort {
 public:
  void Reply(OperatorReply reply) override;
  std::vector<OperatorReply> replies;
};

class RecordingRatings : public RatingPort {
 public:
  bool Rate(OperationId operation, RatingQuery query) override;

  bool available = false;
  std::vector<std::pair<OperationId, RatingQuery>> queries;
};

class RecordingMetrics : public CoreMetrics {
 public:
  void OnRequestEnd(const std::string& quality_class,
                    const std::string& code,
                    std::chrono::microseconds duration) override;
  void OnAttemptEnd(AttemptOutcome) override {}
  void OnFirstToken(const std::string&, std::chrono::microseconds) override {}
  void OnTokenGap(const std::string&, std::chrono::microseconds) override {}
  void OnInvariantViolated(const std::string& invariant) override;
  void SetRequests(std::size_t) override {}
  void SetQueueLength(const std::string&, std::size_t) override {}
  void SetEndpoints(const std::vector<EndpointView>&) override {}
  void SetCharges(std::size_t) override {}
  void SetRevisions(const std::vector<std::uint64_t>&) override {}

  std::map<std::string, int> codes;
  std::map<std::string, int> violations;
};

// Two warm endpoints "e0" and "e1" of model "small" in version "v1", one
// endpoint "s0" of the plain service "ledger", and client account "museum".
class CoreFixture {
 public:
  CoreFixture();

  // Processes all pending calls of the table service and delivers the replies.
  void ProcessPendingReplies();
  // Advances the clock tick by tick. Probes are answered according to
  // `endpoint_start_times`.
  void Advance(std::chrono::milliseconds time);
  void AnswerProbes();

  CallerId Chat(const std::string& prompt,
                bool stream,
                std::vector<HttpHeader> headers = {});
  CallerId ChatWithBody(std::string body);
  CallerId Post(const std::string& path,
                const std::string& key,
                const std::string& body);
  // The most recently started attempt.
  const AttemptSpec& LastAttempt() const;
  void Sent(const AttemptSpec& attempt);
  void Head(const AttemptSpec& attempt,
            int status,
            std::vector<HttpHeader> headers,
            bool own_connection = true);
  // Delivers the head of an event stream and one content chunk for each piece.
  void Stream(const AttemptSpec& attempt,
              const std::vector<std::string>& pieces);
  // Delivers the finish reason and [DONE], and ends the attempt as complete.
  void EndStream(const AttemptSpec& attempt);
  void End(const AttemptSpec& attempt, AttemptOutcome outcome);
  // Breaks the attempt and lets all probes of its endpoint fail.
  void Crash(const AttemptSpec& attempt);
  // Lets the endpoint answer probes again, with a new start time.
  void Restart(const EndpointId& endpoint);

  CallerRecord& Record(CallerId caller) { return callers.records[caller]; }
  // The field of the error in the response body; empty if there is none.
  std::string ErrorField(CallerId caller, const char* field);
  // The concatenated content of a streamed answer.
  std::string StreamText(CallerId caller);
  // Writes a configuration section to the table service and waits until the
  // core has applied it.
  void PutSection(const std::string& section, const nlohmann::json& text);

  FakeClock clock;
  SystemRandom random{7};
  FakeEventLog log;
  FakeStore store;
  FakeClient client;
  RecordingCallers callers;
  RecordingEndpoints endpoints;
  RecordingPeers peers;
  RecordingOperators operators;
  RecordingRatings ratings;
  RecordingMetrics metrics;
  // Process start time of each endpoint; 0 if the endpoint is down.
  std::map<EndpointId, std::chrono::milliseconds> endpoint_start_times;
  nlohmann::json models_section;
  Core core;

 private:
  CallerId Submit(CallerRequest request);

  std::uint64_t next_caller_ = 1;
};

}  // namespace filbertshift

#endif  // TESTS_UNIT_CORE_CORE_FIXTURE_H_
