// An emulated model engine with the chat completions convention.

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

// A prompt with this text crashes the engine when its first token is due.
constexpr std::string_view kCrashPrompt = "CRASH-ENGINE";

// POST /v1/chat/completions, GET /health, GET /metrics. Control: the keys of
// EngineFaults. Inspection: /_history?after=<sequence>.
class EngineService : public EmulatedService {
 public:
  EngineService(const ServicePorts& ports, EngineSettings settings);
  ~EngineService() override;

 protected:
  HttpResponse HandleControl(const HttpRequest& request) override;
  void HandleRequest(ExchangeId exchange, HttpRequest request) override;
  void HandleBroken(ExchangeId exchange) override;

 private:
  // One accepted request.
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
    // Index of the next token and of the one after the last.
    std::size_t next = 0;
    std::size_t end = 0;
    // Characters of the next token that the prefix has already.
    std::size_t skip = 0;
    // Text of this answer; only if it is not streamed.
    std::string text;
    std::size_t sent = 0;
  };
  struct LoadSample {
    SteadyTime time;
    std::size_t running = 0;
    std::size_t waiting = 0;
  };

  // The methods below need mutex_.
  void HandleChat(ExchangeId exchange, const HttpRequest& request);
  // Returns an error response, or nothing if the request may run.
  std::optional<HttpResponse> Refusal(const ChatRequest& request,
                                      const std::optional<Answer::Match>& match,
                                      bool finished) const;
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
  void EndLife(const std::string& cause, std::chrono::milliseconds outage);
  void StartLife();
  void SampleLoad();
  std::string MetricsText();

  const EngineSettings settings_;
  std::mutex mutex_;
  BatchModel batch_;
  EngineFaults faults_;
  EngineHistory history_;
  std::uint64_t tokens_total_ = 0;
  // True from a crash until the next life.
  bool dead_ = false;
  std::map<BatchRequestId, Job> jobs_;
  // The job of each open exchange.
  std::map<ExchangeId, BatchRequestId> exchanges_;
  std::optional<SteadyTime> scheduled_step_;
  // In order of time; the first one is what the metrics show.
  std::deque<LoadSample> load_samples_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_ENGINE_ENGINE_SERVICE_H_
