// An emulated inference engine that serves the chat completions API.

#ifndef EMULATOR_ENGINE_ENGINE_SERVICE_H_
#define EMULATOR_ENGINE_ENGINE_SERVICE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "emulator/engine/batch_model.h"
#include "emulator/engine/completion_format.h"
#include "emulator/engine/engine_faults.h"
#include "emulator/engine/engine_history.h"
#include "emulator/engine/engine_settings.h"
#include "emulator/http/http.h"
#include "emulator/tokens/tokens.h"

namespace filbertshift::emulator {

// A prompt that contains this text crashes the engine when its first token is
// due.
constexpr std::string_view kCrashPrompt = "CRASH-ENGINE";

// Serves POST /v1/chat/completions, GET /health and GET /metrics. /_control
// takes the keys of EngineFaults; /_history?after=<sequence> returns the
// history.
class EngineService : public EmulatedService {
 public:
  EngineService(const ServicePorts& ports, EngineSettings settings);
  ~EngineService() override;

  void ApplyControl(const std::string& body) override;

 protected:
  HttpResponse HandleControl(const HttpRequest& request) override;
  void HandleRequest(ExchangeId exchange, HttpRequest request) override;
  void HandleBroken(ExchangeId exchange) override;

 private:
  // A request that the engine has accepted.
  struct Job {
    Job(ExchangeId job_exchange,
        ChatRequest job_request,
        Answer job_answer,
        CompletionFormat job_format);

    ExchangeId exchange;
    std::uint64_t sequence = 0;
    ChatRequest request;
    Answer answer;
    CompletionFormat format;
    bool garbage = false;
    std::size_t next_token = 0;
    // Index after the last token.
    std::size_t end_token = 0;
    // Bytes of the next token that the prefix of the request already contains.
    std::size_t prefix_bytes = 0;
    // Text generated so far; unused for a streamed answer.
    std::string text;
    std::size_t generated_tokens = 0;
  };
  struct LoadSample {
    SteadyTime time;
    std::size_t running = 0;
    std::size_t waiting = 0;
  };

  // The methods below require mutex_ to be held, except OnStepTimer and
  // StartIncarnation, which acquire it.
  void HandleChat(ExchangeId exchange, const HttpRequest& request);
  // Returns the error response to an invalid request, nullopt if it is valid.
  // `prefix_complete` tells whether the prefix is the complete answer.
  std::optional<HttpResponse> ValidateRequest(
      const ChatRequest& request,
      const std::optional<Answer::Match>& match,
      bool prefix_complete) const;
  void Admit(Job job, const std::string& request_id);
  void Refuse(ExchangeId exchange,
              const std::string& request_id,
              HttpResponse response);
  void StartAnswer(const Job& job, const std::string& request_id);
  void OnStepTimer(SteadyTime due);
  void RunStep();
  void ScheduleStep();
  // Returns true if the engine crashed.
  bool EmitToken(BatchRequestId id);
  void FinishJob(BatchRequestId id, EngineOutcome outcome);
  void CompleteJob(BatchRequestId id);
  void EndIncarnation(const std::string& cause,
                      std::chrono::milliseconds downtime);
  void StartIncarnation();
  void SampleLoad();
  std::string MetricsText();

  const EngineSettings settings_;
  std::mutex mutex_;
  BatchModel batch_;
  EngineFaults faults_;
  EngineHistory history_;
  std::uint64_t tokens_total_ = 0;
  // True from a crash until the next incarnation starts.
  bool restarting_ = false;
  std::map<BatchRequestId, Job> jobs_;
  std::map<ExchangeId, BatchRequestId> jobs_by_exchange_;
  std::optional<SteadyTime> scheduled_step_;
  // Ordered by time. The metrics report the first sample.
  std::deque<LoadSample> load_samples_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_ENGINE_ENGINE_SERVICE_H_
