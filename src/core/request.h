// One accepted request and its present attempt. Owned by the core.

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
  // Waits for the session binding or the execution record.
  kPreparing,
  kQueued,
  kRunning,
  // An attempt broke; a probe tells whether the endpoint crashed.
  kAwaitingProbe,
  // The answer is complete; the rating service judges it before delivery.
  kJudging,
  // The answer is complete; waits for the charge or the execution record.
  kCompleting,
};

struct RunningAttempt {
  AttemptId id;
  EndpointId endpoint;
  Incarnation incarnation;
  TimePoint started;
  // Last time that the attempt showed progress.
  TimePoint last_progress;
  bool sent = false;
  bool first_token = false;
  // 0 before the head.
  int http_status = 0;
  std::vector<HttpHeader> headers;
  // Body of answers that are not a chat stream.
  std::string body;
  // The endpoint refused before it started.
  bool refused = false;
  // The answer carries another attempt's id or is not a valid stream.
  bool invalid = false;
  bool timed_out = false;
};

struct Request {
  RequestId id;
  // Empty once the caller is gone, and for jobs.
  std::optional<CallerId> caller;
  std::optional<JobId> job;
  RequestKind kind = RequestKind::kChat;
  RequestStage stage = RequestStage::kPreparing;

  AccountId account;
  QualityClass quality_class;
  double weight = 1;

  ModelId model;
  // Empty until it is selected; then fixed for all attempts.
  VersionId version;
  bool version_named_by_caller = false;
  // False: the model comes from the cascade of the class.
  bool model_named_by_caller = true;
  // Tokens of answers that were judged too bad to deliver.
  int discarded_tokens = 0;
  ServiceId service;
  bool repeatable = true;

  std::string method;
  std::string target;
  std::string content_type;
  std::string raw_body;
  nlohmann::json chat_body;
  bool wants_stream = false;
  bool wants_usage = false;

  SessionId session;
  std::string idempotency_key;
  std::string request_hash;
  std::optional<ExecutionTicket> ticket;
  Fingerprint fingerprint{};

  TimePoint received;
  TimePoint deadline;
  TimePoint next_poll;
  TimePoint last_keep_alive;

  std::set<EndpointId> excluded;
  // True once an attempt that has ended may have had an effect.
  bool ever_sent = false;
  // The caller went away and nobody can ask for the answer again.
  bool abandoned = false;
  bool head_sent = false;
  int attempts = 0;
  std::optional<RunningAttempt> attempt;
  ChatAnswer answer;
  // The answer of a plain service.
  StoredAnswer service_answer;

  std::string CompletionId() const { return "chatcmpl-" + id.value(); }
  // Without job or key nobody can ask for the answer again.
  bool IsAbandonedWithoutCaller() const {
    return !job.has_value() && idempotency_key.empty();
  }
};

}  // namespace filbertshift

#endif  // SRC_CORE_REQUEST_H_
