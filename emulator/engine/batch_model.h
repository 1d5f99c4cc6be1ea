// Decides when which request of an engine gets a token: continuous batching,
// prefill, waiting requests and the limits of a cold engine. Free of I/O.

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
  // More waiting requests than max_waiting.
  kFull,
  // One request more than a cold engine bears: the engine crashes.
  kOverload,
};

// Not thread-safe. One object covers all lives of an engine.
class BatchModel {
 public:
  using Time = std::chrono::steady_clock::time_point;

  BatchModel(EngineSettings settings, Time start);

  BatchAdmission Add(BatchRequestId id, const std::string& prompt, Time now);
  // Frees the place of a request that has ended. No effect if unknown.
  void Remove(BatchRequestId id, Time now);
  // Ends all requests and starts a new, cold life.
  void Restart(Time now);

  // When Step has to be called next; nothing while no request runs.
  std::optional<Time> NextStep() const;
  // The running requests that get one token each. Empty before NextStep().
  std::vector<BatchRequestId> Step(Time now);

  // Requests in all that the engine bears at `now`, running and waiting.
  // Nothing is the absence of a bound.
  std::optional<std::size_t> BearableRequests(Time now) const;
  std::chrono::microseconds StepTime() const;

  std::size_t running() const { return running_.size(); }
  std::size_t waiting() const { return waiting_.size(); }
  // Most requests in all, running and waiting, in this life.
  std::size_t high_water() const { return high_water_; }

  // Multiplies all times from now on.
  void set_slow_factor(double factor) { slow_factor_ = factor; }
  // A hung engine accepts requests and gives no tokens.
  void set_hung(bool hung) { hung_ = hung; }

 private:
  struct Running {
    // End of the prefill.
    Time ready;
    // Tokens of prompt and answer in KV memory.
    std::size_t kv_tokens = 0;
  };
  struct Waiting {
    BatchRequestId id{};
    std::string prompt;
  };

  void Promote(Time now);
  std::size_t KvTokens() const;

  const EngineSettings settings_;
  PrefixCache cache_;
  Time start_;
  bool warm_;
  Time last_step_;
  double slow_factor_ = 1;
  bool hung_ = false;
  std::size_t high_water_ = 0;
  // Invariant: at most max_concurrency.
  std::map<BatchRequestId, Running> running_;
  std::deque<Waiting> waiting_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_ENGINE_BATCH_MODEL_H_
