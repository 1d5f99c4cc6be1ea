// An accepted caller request, the state of its processing and its current
// attempt. Owned by the core.

#ifndef SRC_CORE_REQUEST_H_
#define SRC_CORE_REQUEST_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "src/core/chat.h"
#include "src/ledger/ledger.h"
#include "src/ports/ports.h"
#include "src/routing/routing.h"

namespace filbertshift {

enum class RequestKind { kChat, kService };

enum class RequestStage {
  // Waiting for the session binding or the execution record.
  kPreparing,
  kQueued,
  kRunning,
  // The connection of the attempt broke; waiting for a probe result that shows
  // whether the endpoint crashed.
  kAwaitingProbe,
  // The answer is complete; waiting for the rating that decides between
  // delivery and escalation.
  kAwaitingRating,
  // The answer is complete; waiting until the charge or the execution record is
  // durable.
  kCompleting,
};

struct RunningAttempt {
  AttemptId id;
  EndpointId endpoint;
  Incarnation incarnation;
  TimePoint started;
  // When the attempt was started, sent or last received data, whichever is
  // latest.
  TimePoint last_progress;
  bool sent = false;
  bool first_token = false;
  // 0 until the response head has arrived.
  int http_status = 0;
  std::vector<HttpHeader> headers;
  // Response body, unless the response is a chat stream.
  std::string body;
  // The endpoint refused the request without running it.
  bool refused = false;
  // The endpoint asked for no attempts for a while, which is no failure of its
  // version.
  bool asked_for_pause = false;
  // The response carries the id of a different attempt, or its event stream is
  // malformed.
  bool invalid = false;
  bool timed_out = false;
};

struct Request {
  RequestId id;
  // Empty for jobs, and once the caller has disconnected or was told that the
  // deadline has passed.
  std::optional<CallerId> caller;
  std::optional<JobId> job;
  RequestKind kind = RequestKind::kChat;
  RequestStage stage = RequestStage::kPreparing;

  AccountId account;
  QualityClass quality_class;
  double weight = 1;

  ModelId model;
  // Empty until selected. An answer is never continued by another version.
  VersionId version;
  bool version_named_by_caller = false;
  // False if the model is taken from the cascade of the quality class.
  bool model_named_by_caller = true;
  // Tokens of answers that were discarded because of a low rating.
  int discarded_tokens = 0;
  ServiceId service;
  bool repeatable = true;

  std::string method;
  std::string target;
  std::string content_type;
  std::string raw_body;
  nlohmann::json chat_body;
  bool stream_requested = false;
  bool usage_requested = false;

  SessionId session;
  std::string idempotency_key;
  std::string request_hash;
  std::optional<ExecutionTicket> ticket;
  Fingerprint fingerprint{};

  TimePoint received;
  TimePoint deadline;
  // The caller's deadline has passed, `deadline` is that of the execution.
  bool detached = false;
  TimePoint next_poll;
  TimePoint last_keep_alive;

  std::set<EndpointId> excluded_endpoints;
  // True once an ended attempt may have been executed by its endpoint.
  bool may_have_run = false;
  // The answer is no longer needed: the caller disconnected and cannot retrieve
  // it later, or the lease of the job was lost.
  bool abandoned = false;
  // The run of a job whose lease was lost: another claim runs and charges it.
  bool lost_lease = false;
  bool head_sent = false;
  int attempts = 0;
  std::optional<RunningAttempt> attempt;
  ChatAnswer answer;
  // The response of a plain service.
  StoredAnswer service_answer;

  std::string CompletionId() const { return "chatcmpl-" + id.value(); }
  // Without a job or an idempotency key the answer cannot be retrieved later.
  bool IsCancelledOnDisconnect() const {
    return !job.has_value() && idempotency_key.empty();
  }
};

}  // namespace filbertshift

#endif  // SRC_CORE_REQUEST_H_
