// Models the scheduler of an inference engine: continuous batching, prefill,
// the waiting queue and the reduced request limit of a cold engine. Performs
// no I/O.

#ifndef EMULATOR_ENGINE_BATCH_MODEL_H_
#define EMULATOR_ENGINE_BATCH_MODEL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "emulator/engine/engine_settings.h"
#include "emulator/engine/prefix_cache.h"

namespace filbertshift::emulator {

enum class BatchRequestId : std::uint64_t {};

enum class BatchAdmission {
  kAccepted,
  // The waiting queue holds max_waiting requests.
  kQueueFull,
  // The request exceeds the limit of a cold engine, which crashes.
  kOverload,
};

// Not thread-safe. One object covers all incarnations of an engine.
class BatchModel {
 public:
  using Time = std::chrono::steady_clock::time_point;

  BatchModel(EngineSettings settings, Time start);

  BatchAdmission Add(BatchRequestId id, const std::string& prompt, Time now);
  // Removes a request that has ended. Unknown ids are ignored.
  void Remove(BatchRequestId id, Time now);
  // Drops all requests and starts a new, cold incarnation.
  void Restart(Time now);

  // Time at which Step is due; nullopt while no request runs or while hung.
  std::optional<Time> NextStep() const;
  // Returns the running requests that each generate one token in this step.
  // Empty before NextStep().
  std::vector<BatchRequestId> Step(Time now);

  // Maximum number of running and waiting requests at `now` that does not crash
  // the engine; nullopt if unlimited.
  std::optional<std::size_t> RequestLimit(Time now) const;
  std::chrono::microseconds StepTime() const;

  std::size_t running() const { return running_.size(); }
  std::size_t waiting() const { return waiting_.size(); }
  // Peak number of running and waiting requests in this incarnation.
  std::size_t high_water() const { return high_water_; }

  // Factor on prefill and token times; applies to later calculations only.
  void set_slowdown_factor(double factor) { slowdown_factor_ = factor; }
  // A hung engine accepts requests but generates no tokens.
  void set_hung(bool hung) { hung_ = hung; }

 private:
  struct Running {
    Time prefill_end;
    // Prompt and answer tokens held in KV memory.
    std::size_t kv_tokens = 0;
  };
  struct Waiting {
    BatchRequestId id{};
    std::string prompt;
  };

  // Starts waiting requests while max_concurrency allows.
  void StartWaiting(Time now);
  std::size_t KvTokens() const;

  const EngineSettings settings_;
  PrefixCache cache_;
  Time start_;
  bool warm_;
  Time last_step_;
  double slowdown_factor_ = 1;
  bool hung_ = false;
  std::size_t high_water_ = 0;
  // Invariant: at most max_concurrency entries.
  std::map<BatchRequestId, Running> running_;
  std::deque<Waiting> waiting_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_ENGINE_BATCH_MODEL_H_
